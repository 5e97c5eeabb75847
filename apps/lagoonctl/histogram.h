#pragma once

#include <cstdint>
#include <vector>

namespace lagoonwind::ctl {

/// Histogram of durations in seconds. Its buckets have equal relative width, so that every quantile
/// is accurate to within kRelativeError. Uses constant memory. Not thread safe.
class Histogram {
 public:
  static constexpr double kRelativeError = 0.02;

  /// Adds a value; values outside the range of 1 us to about an hour go into the nearest bucket.
  void Add(double seconds);
  void Merge(const Histogram& other);
  /// \param fraction  0 to 1.
  /// \return The quantile in seconds; 0 if the histogram is empty.
  [[nodiscard]] double Quantile(double fraction) const;
  [[nodiscard]] std::uint64_t count() const { return count_; }

 private:
  std::vector<std::uint32_t> buckets_;
  std::uint64_t count_ = 0;
};

}  // namespace lagoonwind::ctl
