#include "usage_ledger.h"

#include <algorithm>

namespace lagoonwind::policy {

LedgerTotals UsageLedger::ApplyReport(MemberId agent, const LedgerReport& report,
                                      const Configuration& configuration, Time now) {
  for (const auto& record : report.records) {
    CustomerLedger& row = rows_[record.customer];
    AgentContribution& contribution = row.agents[agent];
    AddService(record, report.agent, row);
    UpdateDemand(record, contribution, row,
                 report.activation_floor * configuration.Share(record.customer), now);
  }
  LedgerTotals response{.number = report.number};
  for (auto& [customer, row] : rows_) {
    const auto contribution = row.agents.find(agent);
    if (contribution == row.agents.end() || !contribution->second.backlogged) {
      continue;
    }
    RaiseTotal(row, report.floor * configuration.Share(customer));
    const LedgerTotal total{.customer = customer,
                            .service = row.total,
                            .in_flight = row.in_flight,
                            .agent_count = std::max(row.agent_count, 1U)};
    if (contribution->second.last_sent != total) {
      contribution->second.last_sent = total;
      response.totals.push_back(total);
    }
  }
  return response;
}

void UsageLedger::AddService(const LedgerRecord& record, Incarnation agent, CustomerLedger& row) {
  double& counter = row.counters[agent];
  const double increase = std::max(record.service - counter, 0.0);
  counter += increase;
  row.sum += increase;
  if (!record.is_first) {
    row.total += increase;
  }
  row.total = std::max({row.total, row.sum, record.is_first ? record.estimated_total : 0.0});
}

void UsageLedger::UpdateDemand(const LedgerRecord& record, AgentContribution& contribution,
                               CustomerLedger& row, double min_total, Time now) {
  row.in_flight += record.in_flight - contribution.in_flight;
  contribution.in_flight = record.in_flight;
  if (record.is_first) {
    contribution.last_sent = {};
  }
  if (record.backlogged == contribution.backlogged) {
    return;
  }
  contribution.backlogged = record.backlogged;
  if (!record.backlogged) {
    --row.agent_count;
    row.idle_since = now;
    return;
  }
  const bool idle =
      row.idle_since == Time::min() || now - row.idle_since >= limits::kLedgerIdleTime;
  if (row.agent_count == 0 && idle) {
    RaiseTotal(row, min_total);
  }
  ++row.agent_count;
}

void UsageLedger::RaiseTotal(CustomerLedger& row, double total) {
  const double increase = total - row.total;
  if (increase > 0) {
    row.total += increase;
    row.sum += increase;
  }
}

void UsageLedger::RemoveAgent(MemberId agent, Time now) {
  for (auto& [customer, row] : rows_) {
    const auto contribution = row.agents.find(agent);
    if (contribution == row.agents.end()) {
      continue;
    }
    row.in_flight -= contribution->second.in_flight;
    if (contribution->second.backlogged) {
      --row.agent_count;
      row.idle_since = now;
    }
    row.agents.erase(contribution);
  }
}

}  // namespace lagoonwind::policy
