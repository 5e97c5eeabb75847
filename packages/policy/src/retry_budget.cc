#include "retry_budget.h"

#include <algorithm>

namespace lagoonwind::policy {
namespace {

/// Number of doublings after which the bound stays constant; keeps the shift in range.
constexpr std::uint32_t kMaxDoublings = 16;

}  // namespace

void RetryBudget::RequestArrived() {
  tokens_ = std::min(tokens_ + ratio_, limits::kRetryBudgetCapacity);
}

bool RetryBudget::TryTake() {
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

Duration Backoff::Next(std::uint32_t attempts) {
  const std::uint32_t doublings = std::min(std::max(attempts, 1U) - 1, kMaxDoublings);
  const Duration bound =
      std::min<Duration>(limits::kRetryBaseDelay * (1U << doublings), limits::kRetryMaxDelay);
  const std::uint64_t random = CombineHashes(seed_, ++draw_count_);
  return Duration(
      static_cast<std::int64_t>(random % static_cast<std::uint64_t>(bound.count() + 1)));
}

}  // namespace lagoonwind::policy
