#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "lagoonwind/policy.h"

/// \file
/// An agent's decisions against a small fake engine in virtual time, with work always waiting.
namespace lagoonwind::bench {

/// How many requests an engine bears, and how it slows down.
struct EngineModel {
  /// Time per token of an unloaded engine.
  Duration token_interval = std::chrono::milliseconds(30);
  /// Time to the first token of an unloaded engine.
  Duration time_to_first_token = std::chrono::milliseconds(100);
  /// Requests that it bears when cold and when warm.
  double cold_capacity = 2;
  double warm_capacity = 16;
  /// Requests by which the bearing grows in a second.
  double capacity_growth_per_second = 1;
  /// Load, as a part of the bearing, above which tokens slow down.
  double knee = 0.6;
  /// Slowdown at the bearing.
  double slowdown_at_capacity = 1.5;
  /// Slowdown by which each further bearing's worth of load adds above it.
  double slowdown_above_capacity = 4;
  /// Load, as a part of the bearing, at which it crashes.
  double crash_load = 1.5;
  /// Random part of each token's time, to either side.
  double jitter = 0.1;

  /// Factor by which tokens slow down.
  /// \param load  Running requests as a part of the bearing.
  [[nodiscard]] double Slowdown(double load) const;
};

struct BenchOptions {
  EngineModel engine;
  std::uint64_t seed = 1;
  Duration length = std::chrono::seconds(40);
  /// Times at which the engine falls back to cold without a sign.
  std::vector<Duration> cold_resets;
  /// Times at which the agent is replaced by one without memory, while the engine goes on.
  std::vector<Duration> agent_restarts;
  /// Starts this soon after a fallback aren't counted as overloads: the first late token is only
  /// overdue then.
  Duration overload_grace = std::chrono::milliseconds(400);
  /// Tokens of the shortest and the longest request.
  int min_tokens = 10;
  int max_tokens = 200;
  /// Instead of the agent's decisions, a fixed number of requests; 0 for the agent's.
  std::uint32_t fixed_concurrency_limit = 0;
  /// Part of the run at its start that doesn't count towards utilisation.
  Duration warm_up = std::chrono::seconds(0);
};

struct BenchResult {
  /// Requests started above the engine's bearing.
  std::uint64_t overloads = 0;
  std::uint64_t crashes = 0;
  std::uint64_t finished = 0;
  /// Tokens generated, as a part of the most that the engine could have generated.
  double throughput = 0;
  /// Requests running, as a part of the bearing.
  double occupancy = 0;
};

/// Runs one schedule. Equal options give equal results.
BenchResult RunCapacityBench(const BenchOptions& options);

}  // namespace lagoonwind::bench
