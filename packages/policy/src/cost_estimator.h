#pragma once

#include <absl/container/btree_map.h>

#include "lagoonwind/limits.h"
#include "lagoonwind/policy.h"

namespace lagoonwind::policy {

/// Expects the cost of a customer's next request from its last ones. Hints of callers aren't used.
/// Not thread safe.
class CostEstimator {
 public:
  /// Takes in the cost of a request that ended, in units of service.
  void AddSample(CustomerId customer, double cost);
  /// Expected cost of the customer's next request, in units of service; that of all customers for
  /// one without history, and limits::kInitialRequestCost before any request ended.
  [[nodiscard]] double MeanCost(CustomerId customer) const;
  /// Cost that a new request is charged at its start.
  [[nodiscard]] double ExpectedCost(CustomerId customer, CostEstimate estimate) const;

 private:
  struct Row {
    double mean = 0;
    double quantile = 0;
  };
  static void Learn(Row& row, double cost);

  absl::btree_map<CustomerId, Row> rows_;
  Row all_{.mean = limits::kInitialRequestCost, .quantile = limits::kInitialRequestCost};
};

}  // namespace lagoonwind::policy
