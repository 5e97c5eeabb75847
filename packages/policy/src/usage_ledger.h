#pragma once

#include <absl/container/btree_map.h>

#include <cstdint>

#include "lagoonwind/policy.h"

namespace lagoonwind::policy {

/// Fleet-wide usage of customers, aggregated from agents' reports. The totals are soft state: a new
/// owner rebuilds them from the agents' counters and the totals last known to them. Totals never
/// decrease, and duplicate or delayed reports do not change them. Not thread safe.
class UsageLedger {
 public:
  /// Applies a report and returns the totals that changed for the agent.
  /// \param configuration  Source of the customers' shares.
  LedgerTotals ApplyReport(MemberId agent, const LedgerReport& report,
                           const Configuration& configuration, Time now);
  /// Removes service in flight and demand of an agent whose link was lost; its counters remain.
  void RemoveAgent(MemberId agent, Time now);

 private:
  /// State of a customer at an agent, as reported on the current link.
  struct AgentContribution {
    double in_flight = 0;
    bool backlogged = false;
    LedgerTotal last_sent;
  };
  struct CustomerLedger {
    /// Fleet-wide service, including raises.
    double total = 0;
    /// Sum of `counters` and all raises.
    double sum = 0;
    double in_flight = 0;
    std::uint32_t agent_count = 0;
    /// Time at which the customer's last demand ended; Time::min() if it had none.
    Time idle_since = Time::min();
    absl::btree_map<Incarnation, double> counters;
    absl::btree_map<MemberId, AgentContribution> agents;
  };

  static void AddService(const LedgerRecord& record, Incarnation agent, CustomerLedger& row);
  static void UpdateDemand(const LedgerRecord& record, AgentContribution& contribution,
                           CustomerLedger& row, double min_total, Time now);
  static void RaiseTotal(CustomerLedger& row, double total);

  absl::btree_map<CustomerId, CustomerLedger> rows_;
};

}  // namespace lagoonwind::policy
