#include "soak_plan.h"

#include <algorithm>
#include <array>
#include <random>
#include <span>

namespace lagoonwind::testing {
namespace {

using std::chrono::milliseconds;

constexpr std::array kPlannedOperations{Disturbance::kStopGateway, Disturbance::kReloadGateway,
                                        Disturbance::kUpdateConfiguration,
                                        Disturbance::kDrainServer};
constexpr std::array kAllDisturbances{
    Disturbance::kStopGateway,         Disturbance::kReloadGateway,
    Disturbance::kUpdateConfiguration, Disturbance::kDrainServer,
    Disturbance::kServerLinkFault,     Disturbance::kServerLinkFault,
    Disturbance::kStoreLinkFault,      Disturbance::kStoreDown,
    Disturbance::kPauseGateway,        Disturbance::kKillGateway,
    Disturbance::kServerFailureMode,   Disturbance::kServerFailureMode,
    Disturbance::kRestartServer,       Disturbance::kDeregisterServer,
    Disturbance::kAllServersRefuse};

/// One out of this many seeds has planned operations only.
constexpr std::uint64_t kSeedsPerPlannedOnly = 5;
/// Mean time between the starts of steps.
constexpr int kMeanIntervalMs = 120;
constexpr int kMinDurationMs = 100;
constexpr int kMaxDurationMs = 1500;
/// Time between SIGTERM and SIGKILL of a stopped gateway; must match the grace period in its
/// settings.
constexpr milliseconds kShutdownGrace{4000};
/// On average, one out of `kStepsPerBurst` draws yields a burst: `kBurstLength` disturbances of the
/// same kind in quick succession.
constexpr std::uint64_t kStepsPerBurst = 4;
constexpr int kBurstLength = 3;

}  // namespace

std::string_view Name(Disturbance disturbance) {
  constexpr std::array<std::string_view, 13> kNames{
      "stop_gateway",   "reload_gateway", "new_configuration", "drain_server", "server_link",
      "store_link",     "store_down",     "pause_gateway",     "kill_gateway", "server_mode",
      "restart_server", "vanish_server",  "all_refuse"};
  return kNames[static_cast<std::size_t>(disturbance)];
}

bool IsPlannedOnly(std::uint64_t seed) { return seed % kSeedsPerPlannedOnly == 0; }

std::vector<Step> MakePlan(const PlanOptions& options) {
  std::mt19937_64 random(options.seed);
  const auto random_below = [&](int bound) {
    return static_cast<int>(random() % static_cast<std::uint64_t>(bound));
  };
  const std::span<const Disturbance> disturbances =
      IsPlannedOnly(options.seed) ? std::span<const Disturbance>(kPlannedOperations)
                                  : std::span(kAllDisturbances);
  std::vector<Step> plan;
  milliseconds start_offset{0};
  while (start_offset < options.duration) {
    const Disturbance disturbance = disturbances[random() % disturbances.size()];
    const int burst_length = random() % kStepsPerBurst == 0 ? kBurstLength : 1;
    for (int i = 0; i < burst_length; ++i) {
      const bool targets_gateway =
          disturbance == Disturbance::kStopGateway || disturbance == Disturbance::kReloadGateway ||
          disturbance == Disturbance::kPauseGateway || disturbance == Disturbance::kKillGateway;
      Step step{
          .disturbance = disturbance,
          .start_offset = start_offset,
          .duration = milliseconds(kMinDurationMs + random_below(kMaxDurationMs - kMinDurationMs)),
          .target_index = random_below(targets_gateway ? options.gateways : options.servers),
          .fault_variant = random_below(1000)};
      if (disturbance == Disturbance::kStopGateway) {
        step.duration = kShutdownGrace;
      }
      plan.push_back(step);
      start_offset += milliseconds(random_below(2 * kMeanIntervalMs) / burst_length);
    }
  }
  return plan;
}

}  // namespace lagoonwind::testing
