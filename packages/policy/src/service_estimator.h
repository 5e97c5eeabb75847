#pragma once

#include "blackboard.h"

namespace lagoonwind::policy {

/// Estimates the fleet-wide service of customers as an agent sees it now. Lives for one decision.
class ServiceEstimator {
 public:
  explicit ServiceEstimator(const Blackboard& board);
  /// Service per share, by the view that the options name; see docs/FAIRNESS.md.
  [[nodiscard]] double ServicePerShare(CustomerId customer) const;

 private:
  /// Own service and rest in flight that the ledger doesn't include yet, as if every agent that
  /// sees the customer's demand had given as much.
  [[nodiscard]] double UnreportedUsage(double own, const CustomerAccount& account) const;
  /// Differs between agents, evenly in [0, 1), and with each round of reports.
  [[nodiscard]] double Dither(CustomerId customer) const;

  const Blackboard& board_;
  /// Least service per share of a customer that the ledger knows.
  double least_ = 0;
};

}  // namespace lagoonwind::policy
