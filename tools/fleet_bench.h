#pragma once

#include <cstdint>
#include <vector>

#include "lagoonwind/policy.h"

/// \file
/// Entries' and agents' decisions in virtual time over links with a delay and small fake backend
/// servers, for crashes and retries.
namespace lagoonwind::bench {

struct FleetOptions {
  std::uint64_t seed = 1;
  int entries = 3;
  int agents = 4;
  Duration length = std::chrono::seconds(60);
  /// One way.
  Duration link_delay = std::chrono::milliseconds(1);
  /// Requests of callers in a second, over all entries.
  double requests_per_second = 20;
  /// Time of one run on an unloaded backend server, and the random part to either side.
  Duration execution_time = std::chrono::milliseconds(200);
  double jitter = 0.5;
  /// Requests that a backend server runs at full speed.
  std::uint32_t concurrency_capacity = 8;
  /// Callers leave after this time.
  Duration caller_timeout = std::chrono::seconds(20);
  /// Part of all runs that fail, in [brownout_start, brownout_end).
  double failure_ratio = 0;
  Duration brownout_start{0};
  Duration brownout_end{0};
  double retry_ratio = limits::kRetryBudgetRatio;
  /// Times that callers send the crashing request, each when the one before it was answered, at
  /// the next entry.
  int crashing_submissions = 0;
  /// Copies of it that are sent at once, each resent as above.
  int crashing_copies = 1;
  /// Without it, crashes count as failures of the backend server alone.
  bool quarantine = true;
};

struct FleetResult {
  std::uint64_t sent = 0;
  std::uint64_t complete = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t abandoned = 0;
  std::uint64_t executions = 0;
  std::uint64_t crashes = 0;
  std::uint64_t retries_denied = 0;
  /// Answers to the crashing request.
  std::uint64_t crashing_unknown = 0;
  std::uint64_t crashing_quarantined = 0;
  /// Requests reported as not run that had run.
  std::uint64_t false_not_run = 0;
  /// Mean seconds from arrival to a complete answer.
  double mean_seconds = 0;
};

/// Runs one schedule. Equal options give equal results.
FleetResult RunFleetBench(const FleetOptions& options);

}  // namespace lagoonwind::bench
