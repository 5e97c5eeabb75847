#include "histogram.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace lagoonwind::ctl {
namespace {

constexpr double kMinSeconds = 1e-6;
constexpr double kBucketRatio = 1 + 2 * Histogram::kRelativeError;
constexpr std::size_t kBucketCount = 565;

std::size_t BucketIndex(double seconds) {
  if (!(seconds > kMinSeconds)) {
    return 0;
  }
  const double index = std::log(seconds / kMinSeconds) / std::log(kBucketRatio);
  return std::min(static_cast<std::size_t>(index), kBucketCount - 1);
}

/// Geometric middle of a bucket, in seconds.
double BucketMidpoint(std::size_t bucket) {
  constexpr double kHalf = 0.5;
  return kMinSeconds * std::pow(kBucketRatio, static_cast<double>(bucket) + kHalf);
}

}  // namespace

void Histogram::Add(double seconds) {
  buckets_.resize(kBucketCount);
  ++buckets_[BucketIndex(seconds)];
  ++count_;
}

void Histogram::Merge(const Histogram& other) {
  if (other.count_ == 0) {
    return;
  }
  buckets_.resize(kBucketCount);
  std::ranges::transform(buckets_, other.buckets_, buckets_.begin(), std::plus<>());
  count_ += other.count_;
}

double Histogram::Quantile(double fraction) const {
  if (count_ == 0) {
    return 0;
  }
  const auto rank = static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(count_)));
  std::vector<std::uint64_t> cumulative_counts(buckets_.size());
  std::ranges::copy(buckets_, cumulative_counts.begin());
  std::partial_sum(cumulative_counts.begin(), cumulative_counts.end(), cumulative_counts.begin());
  const auto found = std::ranges::lower_bound(cumulative_counts, std::max<std::uint64_t>(rank, 1));
  return BucketMidpoint(static_cast<std::size_t>(found - cumulative_counts.begin()));
}

}  // namespace lagoonwind::ctl
