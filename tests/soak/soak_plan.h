#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

namespace lagoonwind::testing {

/// What the soak does to the system under test.
enum class Trouble {
  // Planned work.
  kStopGateway,
  kReloadGateway,
  kNewConfiguration,
  kDrainServer,
  // Links to backend servers and to the store.
  kServerLink,
  kStoreLink,
  kStoreDown,
  // Processes.
  kPauseGateway,
  kKillGateway,
  // Backend servers.
  kServerMode,
  kRestartServer,
  kVanishServer,
  /// All backend servers refuse, so that repeats are limited by the budget alone.
  kAllRefuse,
};

std::string_view Name(Trouble trouble);

/// One trouble that begins at a time and lasts.
struct Step {
  Trouble trouble = Trouble::kReloadGateway;
  std::chrono::milliseconds at{0};
  std::chrono::milliseconds length{0};
  /// Which gateway or backend server, from 0.
  int subject = 0;
  /// Which kind of fault, where a trouble has several.
  int variant = 0;
};

struct PlanOptions {
  std::uint64_t seed = 1;
  std::chrono::milliseconds length{5000};
  int gateways = 3;
  int servers = 6;
};

/// True for seeds that play planned work only, during which nothing may be lost.
bool IsPlannedOnly(std::uint64_t seed);

/// Steps of one run in order of their beginning; they overlap and come in series.
std::vector<Step> PlanOf(const PlanOptions& options);

}  // namespace lagoonwind::testing
