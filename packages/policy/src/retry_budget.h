#pragma once

#include <cstdint>

#include "lagoonwind/base.h"
#include "lagoonwind/limits.h"

namespace lagoonwind::policy {

/// Bounds retries to a share of the requests that arrive, with some saved up. Not thread safe.
class RetryBudget {
 public:
  /// \param share  Retries for each request that arrives; starts with all that can be saved.
  explicit RetryBudget(double share) : share_(share) {}

  void RequestArrived();
  /// Takes one retry out of the budget.
  /// \return False if there is none left.
  bool TryTake();

 private:
  double share_;
  double tokens_ = limits::kRetryBudgetCapacity;
};

/// Exponential backoff with full jitter: each delay is uniform between zero and a bound that
/// doubles. Equal seeds give equal delays. Not thread safe.
class Backoff {
 public:
  explicit Backoff(std::uint64_t seed) : seed_(seed) {}

  /// \param tries  Attempts so far that count, at least 1.
  Duration Next(std::uint32_t tries);

 private:
  std::uint64_t seed_;
  std::uint64_t draws_ = 0;
};

}  // namespace lagoonwind::policy
