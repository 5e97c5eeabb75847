#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

namespace lagoonwind::testing {

/// What the soak does to the system under test.
enum class Disturbance {
  // Planned work.
  kStopGateway,
  kReloadGateway,
  kUpdateConfiguration,
  kDrainServer,
  // Links to backend servers and to the store.
  kServerLinkFault,
  kStoreLinkFault,
  kStoreDown,
  // Processes.
  kPauseGateway,
  kKillGateway,
  // Backend servers.
  kServerFailureMode,
  kRestartServer,
  kDeregisterServer,
  /// All backend servers refuse, so that repeats are limited by the budget alone.
  kAllServersRefuse,
};

std::string_view Name(Disturbance disturbance);

/// One trouble that begins at a time and lasts.
struct Step {
  Disturbance disturbance = Disturbance::kReloadGateway;
  std::chrono::milliseconds start_offset{0};
  std::chrono::milliseconds duration{0};
  /// Which gateway or backend server, from 0.
  int target_index = 0;
  /// Which kind of fault, where a trouble has several.
  int fault_variant = 0;
};

struct PlanOptions {
  std::uint64_t seed = 1;
  std::chrono::milliseconds duration{5000};
  int gateways = 3;
  int servers = 6;
};

/// True for seeds that play planned work only, during which nothing may be lost.
bool IsPlannedOnly(std::uint64_t seed);

/// Steps of one run in order of their beginning; they overlap and come in series.
std::vector<Step> MakePlan(const PlanOptions& options);

}  // namespace lagoonwind::testing
