#include "rollout_statistics.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <numeric>
#include <ranges>
#include <span>

namespace lagoonwind::policy {
namespace {

/// Terms below this fraction of the sum no longer change it noticeably.
constexpr double kNegligibleTerm = 1e-9;

}  // namespace

std::size_t RolloutLatencyClass(Duration time) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
  if (ms < 2) {
    return 0;
  }
  const auto power = static_cast<std::size_t>(std::bit_width(static_cast<std::uint64_t>(ms)) - 1);
  return std::min(power, kRolloutLatencyClasses - 1);
}

std::uint32_t RolloutCount(const RolloutHistogram& histogram) {
  return std::accumulate(histogram.begin(), histogram.end(), std::uint32_t{0});
}

std::size_t RolloutMedianClass(const RolloutHistogram& histogram) {
  const std::uint32_t count = RolloutCount(histogram);
  std::uint32_t below = 0;
  for (std::size_t i = 0; i < kRolloutLatencyClasses; ++i) {
    below += histogram.at(i);
    if (count > 0 && below * std::uint64_t{2} >= count) {
      return i;
    }
  }
  return kRolloutLatencyClasses - 1;
}

std::uint32_t RolloutSlow(const RolloutHistogram& histogram, std::size_t median) {
  const std::size_t first = std::min(median + kSlowClasses, kRolloutLatencyClasses);
  const auto slow = std::span(histogram).subspan(first);
  return std::accumulate(slow.begin(), slow.end(), std::uint32_t{0});
}

double BinomialUpperTail(std::uint64_t successes, std::uint64_t trials, double rate) {
  if (successes == 0) {
    return 1;
  }
  if (successes > trials || !(rate > 0)) {
    return 0;
  }
  if (rate >= 1) {
    return 1;
  }
  const auto n = static_cast<double>(trials);
  const auto k = static_cast<double>(successes);
  if (k <= n * rate) {
    return 1;  // At or below the mean: no evidence, whatever the exact value.
  }
  const double log_first = std::lgamma(n + 1) - std::lgamma(k + 1) - std::lgamma(n - k + 1) +
                           k * std::log(rate) + (n - k) * std::log1p(-rate);
  const double odds = rate / (1 - rate);
  double term = 1;
  double sum = 0;
  for (double i = k; i <= n && term > kNegligibleTerm * sum; ++i) {
    sum += term;
    term *= (n - i) / (i + 1) * odds;
  }
  return std::min(1.0, std::exp(log_first) * sum);
}

}  // namespace lagoonwind::policy
