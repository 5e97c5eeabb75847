#pragma once

#include <map>
#include <string>
#include <utility>

namespace lagoonwind::ctl {

/// State of one customer at the time of a sample.
struct CustomerSample {
  /// Service received since the start of the load test, in units of service.
  double service = 0;
  double share = 1;
  bool backlogged = false;
};

/// Measures the fairness gap: the largest difference between two customers in service received per
/// share, over all intervals in which both are backlogged throughout (Golestani's relative
/// fairness). Not thread safe.
class FairnessMeter {
 public:
  /// Adds one sample of all customers. A customer counts as backlogged between two samples if it is
  /// backlogged at both. Shares must be above 0.
  void Sample(const std::map<std::string, CustomerSample>& customers);
  /// Largest gap so far, in units of service per share.
  [[nodiscard]] double gap() const { return gap_; }
  /// The two customers with the largest gap; empty names while the gap is 0.
  [[nodiscard]] const std::pair<std::string, std::string>& widest_pair() const {
    return widest_pair_;
  }

 private:
  /// Difference in service per share between two customers, accumulated over the interval in which
  /// both have been backlogged.
  struct Drift {
    double current = 0;
    double lowest = 0;
    double highest = 0;
  };

  void SamplePair(const std::string& first, const std::string& second,
                  const std::map<std::string, CustomerSample>& customers);

  std::map<std::string, CustomerSample> previous_;
  std::map<std::pair<std::string, std::string>, Drift> drifts_;
  double gap_ = 0;
  std::pair<std::string, std::string> widest_pair_;
};

}  // namespace lagoonwind::ctl
