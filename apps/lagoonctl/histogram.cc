#include "histogram.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace lagoonwind::ctl {
namespace {

constexpr double kLeast = 1e-6;
constexpr double kGrowth = 1 + 2 * Histogram::kRelativeError;
constexpr std::size_t kBuckets = 565;

std::size_t BucketOf(double seconds) {
  if (!(seconds > kLeast)) {
    return 0;
  }
  const double index = std::log(seconds / kLeast) / std::log(kGrowth);
  return std::min(static_cast<std::size_t>(index), kBuckets - 1);
}

/// Geometric middle of a bucket, in seconds.
double MiddleOf(std::size_t bucket) {
  constexpr double kHalf = 0.5;
  return kLeast * std::pow(kGrowth, static_cast<double>(bucket) + kHalf);
}

}  // namespace

void Histogram::Add(double seconds) {
  buckets_.resize(kBuckets);
  ++buckets_[BucketOf(seconds)];
  ++count_;
}

void Histogram::Merge(const Histogram& other) {
  if (other.count_ == 0) {
    return;
  }
  buckets_.resize(kBuckets);
  std::ranges::transform(buckets_, other.buckets_, buckets_.begin(), std::plus<>());
  count_ += other.count_;
}

double Histogram::Quantile(double part) const {
  if (count_ == 0) {
    return 0;
  }
  const auto rank = static_cast<std::uint64_t>(std::ceil(part * static_cast<double>(count_)));
  std::vector<std::uint64_t> sums(buckets_.size());
  std::ranges::copy(buckets_, sums.begin());
  std::partial_sum(sums.begin(), sums.end(), sums.begin());
  const auto found = std::ranges::lower_bound(sums, std::max<std::uint64_t>(rank, 1));
  return MiddleOf(static_cast<std::size_t>(found - sums.begin()));
}

}  // namespace lagoonwind::ctl
