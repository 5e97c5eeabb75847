#pragma once

#include <cstdint>
#include <vector>

#include "lagoonwind/policy.h"

/// \file
/// Simulates a fleet in virtual time: the production policies of entries and agents, links with a
/// fixed delay, and simple backend servers that can crash or fail. Used to test and measure retries
/// and the quarantine of crashing requests.
namespace lagoonwind::bench {

/// Fleet, workload and faults of one simulation.
struct FleetOptions {
  std::uint64_t seed = 1;
  int entries = 3;
  int agents = 4;
  /// Simulated time.
  Duration length = std::chrono::seconds(60);
  /// One-way delay of a link between an entry and an agent.
  Duration link_delay = std::chrono::milliseconds(1);
  /// Mean arrival rate over all entries; arrivals follow a Poisson process.
  double requests_per_second = 20;
  /// Mean duration of an execution on a backend server with spare capacity. Durations vary
  /// uniformly by `jitter`, a fraction of the mean, to either side.
  Duration execution_time = std::chrono::milliseconds(200);
  double jitter = 0.5;
  /// Requests that a backend server can run at the same time without slowing down.
  std::uint32_t concurrency_capacity = 8;
  /// Time after which a caller without a response disconnects.
  Duration caller_timeout = std::chrono::seconds(20);
  /// Fraction of the executions started in [brownout_start, brownout_end) that fail.
  double failure_ratio = 0;
  Duration brownout_start{0};
  Duration brownout_end{0};
  /// Retries that the retry budget allows per request, as a fraction.
  double retry_ratio = limits::kRetryBudgetRatio;
  /// Number of times that the crashing request is submitted: each time after the response to the
  /// previous one, at the next entry.
  int crashing_submissions = 0;
  /// Copies of the crashing request submitted at the same time, each resubmitted as above.
  int crashing_copies = 1;
  /// If false, a crash is reported as an ordinary failure of the backend server, so that no request
  /// is quarantined.
  bool quarantine = true;
};

/// Counts over one simulation.
struct FleetResult {
  /// Requests submitted, and their outcomes.
  std::uint64_t sent = 0;
  std::uint64_t complete = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  /// Requests whose caller disconnected at its timeout.
  std::uint64_t abandoned = 0;
  std::uint64_t executions = 0;
  std::uint64_t crashes = 0;
  std::uint64_t retries_denied = 0;
  /// Outcomes of the crashing request.
  std::uint64_t crashing_unknown = 0;
  std::uint64_t crashing_quarantined = 0;
  /// Requests reported as not run although an execution had started. Must be 0.
  std::uint64_t false_not_run = 0;
  /// Mean time from arrival to a complete response, in seconds.
  double mean_seconds = 0;
};

/// Runs one simulation. Deterministic: equal options give equal results.
FleetResult RunFleetBench(const FleetOptions& options);

}  // namespace lagoonwind::bench
