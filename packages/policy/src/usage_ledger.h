#pragma once

#include <absl/container/btree_map.h>

#include <cstdint>

#include "lagoonwind/policy.h"

namespace lagoonwind::policy {

/// Sums up the service of customers over all agents. The sum is soft state: a new keeper starts
/// from the agents' own counters and from the totals that they last knew. Totals never shrink, and
/// doubled or late reports don't change them. Not thread safe.
class UsageLedger {
 public:
  /// Takes in a report and answers with the totals that are new to the agent.
  /// \param configuration  Gives the customers' shares.
  LedgerTotals ApplyReport(MemberId agent, const LedgerReport& report,
                           const Configuration& configuration, Time now);
  /// Forgets what runs and waits at an agent whose link was lost; its counters stay.
  void RemoveAgent(MemberId agent, Time now);

 private:
  /// What an agent reported of a customer on the current link.
  struct AgentContribution {
    double in_flight = 0;
    bool backlogged = false;
    LedgerTotal last_sent;
  };
  struct CustomerLedger {
    /// Fleet-wide service, lifts included.
    double total = 0;
    /// Sum of `counters` and of all lifts.
    double sum = 0;
    double in_flight = 0;
    std::uint32_t agent_count = 0;
    /// When the customer's last demand went; never for a new row.
    Time idle_since = Time::min();
    absl::btree_map<Incarnation, double> counters;
    absl::btree_map<MemberId, AgentContribution> agents;
  };

  static void AddService(const LedgerRecord& entry, Incarnation agent, CustomerLedger& row);
  static void UpdateDemand(const LedgerRecord& entry, AgentContribution& part, CustomerLedger& row,
                           double lift, Time now);
  static void RaiseTotal(CustomerLedger& row, double total);

  absl::btree_map<CustomerId, CustomerLedger> rows_;
};

}  // namespace lagoonwind::policy
