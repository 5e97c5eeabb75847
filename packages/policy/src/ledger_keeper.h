#pragma once

#include <absl/container/btree_map.h>

#include <cstdint>

#include "lagoonwind/policy.h"

namespace lagoonwind::policy {

/// Sums up the service of customers over all agents. The sum is soft state: a new keeper starts
/// from the agents' own counters and from the totals that they last knew. Totals never shrink, and
/// doubled or late reports don't change them. Not thread safe.
class LedgerKeeper {
 public:
  /// Takes in a report and answers with the totals that are new to the agent.
  /// \param configuration  Gives the customers' shares.
  LedgerTotals Take(MemberId agent, const LedgerReport& report, const Configuration& configuration,
                    Time now);
  /// Forgets what runs and waits at an agent whose link was lost; its counters stay.
  void Forget(MemberId agent, Time now);

 private:
  /// What an agent reported of a customer on the current link.
  struct AgentPart {
    double in_flight = 0;
    bool backlogged = false;
    LedgerTotal told;
  };
  struct Row {
    /// Fleet-wide service, lifts included.
    double total = 0;
    /// Sum of `counters` and of all lifts.
    double sum = 0;
    double in_flight = 0;
    std::uint32_t reach = 0;
    /// When the customer's last demand went; never for a new row.
    Time idle_since = Time::min();
    absl::btree_map<Incarnation, double> counters;
    absl::btree_map<MemberId, AgentPart> agents;
  };

  static void TakeService(const LedgerEntry& entry, Incarnation agent, Row& row);
  static void TakeDemand(const LedgerEntry& entry, AgentPart& part, Row& row, double lift,
                         Time now);
  static void Raise(Row& row, double total);

  absl::btree_map<CustomerId, Row> rows_;
};

}  // namespace lagoonwind::policy
