#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "lagoonwind/policy.h"

/// \file
/// Simulates one agent with the production policy and one inference engine in virtual time, under a
/// permanent backlog. Used to test and measure the adaptive concurrency limit.
namespace lagoonwind::bench {

/// Capacity of a simulated engine, in concurrent requests, and its slowdown under load. Load is the
/// number of running requests divided by the current capacity.
struct EngineModel {
  /// Time per token of an unloaded engine.
  Duration token_interval = std::chrono::milliseconds(30);
  /// Time to the first token of an unloaded engine.
  Duration time_to_first_token = std::chrono::milliseconds(100);
  /// Capacity at the beginning of a cold start and when warm.
  double cold_capacity = 2;
  double warm_capacity = 16;
  /// Growth of the capacity during a cold start, in requests per second.
  double capacity_growth_per_second = 1;
  /// Load above which token generation slows down.
  double knee = 0.6;
  /// Slowdown factor at a load of 1.
  double slowdown_at_capacity = 1.5;
  /// Increase of the slowdown factor per unit of load above 1.
  double slowdown_above_capacity = 4;
  /// Load above which the engine crashes.
  double crash_load = 1.5;
  /// Uniform variation of the time per token to either side, as a fraction of it.
  double jitter = 0.1;

  /// Factor by which the time per token increases at the given load; 1 up to `knee`.
  [[nodiscard]] double Slowdown(double load) const;
};

/// Engine, workload and faults of one simulation.
struct BenchOptions {
  EngineModel engine;
  std::uint64_t seed = 1;
  /// Simulated time.
  Duration length = std::chrono::seconds(40);
  /// Times at which the engine returns to its cold capacity without reporting a new incarnation.
  std::vector<Duration> cold_resets;
  /// Times at which the agent restarts with empty state while the engine continues to run.
  std::vector<Duration> agent_restarts;
  /// Requests started within this time after a cold reset are not counted as overloads: the agent
  /// can detect the reset only once the first token is overdue.
  Duration overload_grace = std::chrono::milliseconds(400);
  /// Bounds of the uniformly distributed number of tokens per request.
  int min_tokens = 10;
  int max_tokens = 200;
  /// Keeps this number of requests running and bypasses the agent; 0 uses the agent's limit.
  std::uint32_t fixed_concurrency_limit = 0;
  /// Initial time that is left out of `throughput` and `occupancy`.
  Duration warm_up = std::chrono::seconds(0);
};

/// Counts and ratios over one simulation.
struct BenchResult {
  /// Requests started when the engine was at or above its capacity.
  std::uint64_t overloads = 0;
  std::uint64_t crashes = 0;
  std::uint64_t finished = 0;
  /// Tokens generated, as a fraction of what the engine could have generated at its best load.
  double throughput = 0;
  /// Requests running, up to the capacity, as a fraction of the capacity.
  double occupancy = 0;
};

/// Runs one simulation. Deterministic: equal options give equal results.
BenchResult RunCapacityBench(const BenchOptions& options);

}  // namespace lagoonwind::bench
