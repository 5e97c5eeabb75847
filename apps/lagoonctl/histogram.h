#pragma once

#include <cstdint>
#include <vector>

namespace lagoonwind::ctl {

/// Histogram of seconds with buckets of equal relative width, so that every quantile is known to
/// within kRelativeError. Constant memory. Not thread safe.
class Histogram {
 public:
  static constexpr double kRelativeError = 0.02;

  /// \param seconds  Values outside 1 us to about an hour count at the nearest end.
  void Add(double seconds);
  void Merge(const Histogram& other);
  /// Value below which `part` (0 to 1) of the values lie, in seconds; 0 if there are none.
  [[nodiscard]] double Quantile(double fraction) const;
  [[nodiscard]] std::uint64_t count() const { return count_; }

 private:
  std::vector<std::uint32_t> buckets_;
  std::uint64_t count_ = 0;
};

}  // namespace lagoonwind::ctl
