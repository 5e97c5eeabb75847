#pragma once

#include <map>
#include <string>
#include <utility>

namespace lagoonwind::ctl {

/// What one customer had at a sample.
struct CustomerSample {
  /// Service since the start of the run, in units of service.
  double service = 0;
  double share = 1;
  bool backlogged = false;
};

/// Measures the fairness gap: over every span in which two customers are both backlogged, how far
/// their service per share drifts apart (Golestani's relative fairness). Not thread safe.
class FairnessMeter {
 public:
  /// Takes in one sample of all customers; a customer counts between two samples if it is
  /// backlogged at both.
  void Sample(const std::map<std::string, CustomerSample>& customers);
  /// Largest gap so far, in units of service per share.
  [[nodiscard]] double gap() const { return gap_; }
  /// The customers with the largest gap; empty before any two were backlogged together.
  [[nodiscard]] const std::pair<std::string, std::string>& widest_pair() const {
    return widest_pair_;
  }

 private:
  /// Drift of one pair within the current span.
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
