#pragma once

#include <absl/container/btree_map.h>

#include "lagoonwind/limits.h"
#include "lagoonwind/policy.h"

namespace lagoonwind::policy {

/// Estimates the cost of a customer's requests from completed ones, in units of service. Cost hints
/// of callers are ignored. Not thread safe.
class CostEstimator {
 public:
  /// Adds the cost of a request that ended.
  void AddSample(CustomerId customer, double cost);
  /// Mean cost of the customer's recent requests. Falls back to the mean over all customers, and to
  /// limits::kInitialRequestCost before any request has ended.
  [[nodiscard]] double MeanCost(CustomerId customer) const;
  /// Cost charged to a request at its start under the given kind of estimate.
  [[nodiscard]] double ExpectedCost(CustomerId customer, CostEstimate estimate) const;

 private:
  struct Statistics {
    double mean = 0;
    double quantile = 0;
  };
  static void Update(Statistics& statistics, double cost);

  absl::btree_map<CustomerId, Statistics> customers_;
  Statistics overall_{.mean = limits::kInitialRequestCost, .quantile = limits::kInitialRequestCost};
};

}  // namespace lagoonwind::policy
