#include "soak_plan.h"

#include <algorithm>
#include <array>
#include <random>
#include <span>

namespace lagoonwind::testing {
namespace {

using std::chrono::milliseconds;

constexpr std::array kPlanned{Trouble::kStopGateway, Trouble::kReloadGateway,
                              Trouble::kNewConfiguration, Trouble::kDrainServer};
constexpr std::array kAny{
    Trouble::kStopGateway,   Trouble::kReloadGateway, Trouble::kNewConfiguration,
    Trouble::kDrainServer,   Trouble::kServerLink,    Trouble::kServerLink,
    Trouble::kStoreLink,     Trouble::kStoreDown,     Trouble::kPauseGateway,
    Trouble::kKillGateway,   Trouble::kServerMode,    Trouble::kServerMode,
    Trouble::kRestartServer, Trouble::kVanishServer,  Trouble::kAllRefuse};

/// One of so many seeds plays planned work only.
constexpr std::uint64_t kPlannedEvery = 5;
/// Mean time between the beginnings of troubles.
constexpr int kMeanGapMs = 120;
constexpr int kMinLengthMs = 100;
constexpr int kMaxLengthMs = 1500;
/// A stopped gateway has this long before it is killed, as its settings say.
constexpr milliseconds kGrace{4000};
/// Troubles of the same kind that follow one another at once.
constexpr std::uint64_t kSeriesEvery = 4;
constexpr int kSeriesLength = 3;

}  // namespace

std::string_view Name(Trouble trouble) {
  constexpr std::array<std::string_view, 13> kNames{
      "stop_gateway",   "reload_gateway", "new_configuration", "drain_server", "server_link",
      "store_link",     "store_down",     "pause_gateway",     "kill_gateway", "server_mode",
      "restart_server", "vanish_server",  "all_refuse"};
  return kNames[static_cast<std::size_t>(trouble)];
}

bool IsPlannedOnly(std::uint64_t seed) { return seed % kPlannedEvery == 0; }

std::vector<Step> PlanOf(const PlanOptions& options) {
  std::mt19937_64 random(options.seed);
  const auto below = [&](int bound) {
    return static_cast<int>(random() % static_cast<std::uint64_t>(bound));
  };
  const std::span<const Trouble> kinds =
      IsPlannedOnly(options.seed) ? std::span<const Trouble>(kPlanned) : std::span(kAny);
  std::vector<Step> plan;
  milliseconds at{0};
  while (at < options.length) {
    const Trouble trouble = kinds[random() % kinds.size()];
    const int series = random() % kSeriesEvery == 0 ? kSeriesLength : 1;
    for (int i = 0; i < series; ++i) {
      const bool of_gateway = trouble == Trouble::kStopGateway ||
                              trouble == Trouble::kReloadGateway ||
                              trouble == Trouble::kPauseGateway || trouble == Trouble::kKillGateway;
      Step step{.trouble = trouble,
                .at = at,
                .length = milliseconds(kMinLengthMs + below(kMaxLengthMs - kMinLengthMs)),
                .subject = below(of_gateway ? options.gateways : options.servers),
                .variant = below(1000)};
      if (trouble == Trouble::kStopGateway) {
        step.length = kGrace;
      }
      plan.push_back(step);
      at += milliseconds(below(2 * kMeanGapMs) / series);
    }
  }
  return plan;
}

}  // namespace lagoonwind::testing
