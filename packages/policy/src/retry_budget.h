#pragma once

#include <cstdint>

#include "lagoonwind/base.h"
#include "lagoonwind/limits.h"

namespace lagoonwind::policy {

/// Token bucket that limits retries to a ratio of the requests that arrive. Holds at most
/// limits::kRetryBudgetCapacity tokens. Not thread safe.
class RetryBudget {
 public:
  /// The bucket starts full.
  /// \param ratio  Retries earned by each arriving request.
  explicit RetryBudget(double ratio) : ratio_(ratio) {}

  void RequestArrived();
  /// Takes one retry from the budget.
  /// \return False if the budget is exhausted.
  bool TryTake();

 private:
  double ratio_;
  double tokens_ = limits::kRetryBudgetCapacity;
};

/// Exponential backoff with full jitter: each delay is uniformly distributed between zero and a
/// bound that doubles with every attempt. Equal seeds give equal delays. Not thread safe.
class Backoff {
 public:
  explicit Backoff(std::uint64_t seed) : seed_(seed) {}

  /// Delay before the next attempt.
  /// \param attempts  Number of counted attempts so far, at least 1.
  Duration Next(std::uint32_t attempts);

 private:
  std::uint64_t seed_;
  std::uint64_t draw_count_ = 0;
};

}  // namespace lagoonwind::policy
