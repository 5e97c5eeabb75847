#pragma once

#include "blackboard.h"

namespace lagoonwind::policy {

/// Estimates the current fleet-wide service of customers from the state of one agent. Refers to the
/// blackboard and is valid until that changes. Not thread safe.
class ServiceEstimator {
 public:
  explicit ServiceEstimator(const Blackboard& board);
  /// Service per share, in the mode given by the options; see docs/FAIRNESS.md.
  [[nodiscard]] double ServicePerShare(CustomerId customer) const;

 private:
  /// Service, given and in flight, that the ledger does not include yet. Scaled modes assume that
  /// every agent that knows of the customer's demand has given as much.
  [[nodiscard]] double UnreportedUsage(double own_service, const CustomerAccount& account) const;
  /// Offset in [0, 1) that is evenly distributed over agents and changes with each ledger response.
  [[nodiscard]] double Dither(CustomerId customer) const;

  const Blackboard& board_;
  /// Lowest service per share of a backlogged customer with a ledger total.
  double min_service_per_share_ = 0;
};

}  // namespace lagoonwind::policy
