#include "usage_ledger.h"

#include <algorithm>

namespace lagoonwind::policy {

LedgerTotals UsageLedger::ApplyReport(MemberId agent, const LedgerReport& report,
                                      const Configuration& configuration, Time now) {
  for (const auto& entry : report.records) {
    CustomerLedger& row = rows_[entry.customer];
    AgentContribution& part = row.agents[agent];
    AddService(entry, report.agent, row);
    UpdateDemand(entry, part, row, report.activation_floor * configuration.Share(entry.customer),
                 now);
  }
  LedgerTotals answer{.number = report.number};
  for (auto& [customer, row] : rows_) {
    const auto part = row.agents.find(agent);
    if (part == row.agents.end() || !part->second.backlogged) {
      continue;
    }
    RaiseTotal(row, report.floor * configuration.Share(customer));
    const LedgerTotal total{.customer = customer,
                            .service = row.total,
                            .in_flight = row.in_flight,
                            .agent_count = std::max(row.agent_count, 1U)};
    if (part->second.last_sent != total) {
      part->second.last_sent = total;
      answer.totals.push_back(total);
    }
  }
  return answer;
}

void UsageLedger::AddService(const LedgerRecord& entry, Incarnation agent, CustomerLedger& row) {
  double& counter = row.counters[agent];
  const double given = std::max(entry.service - counter, 0.0);
  counter += given;
  row.sum += given;
  if (!entry.is_first) {
    row.total += given;
  }
  row.total = std::max({row.total, row.sum, entry.is_first ? entry.estimated_total : 0.0});
}

void UsageLedger::UpdateDemand(const LedgerRecord& entry, AgentContribution& part,
                               CustomerLedger& row, double lift, Time now) {
  row.in_flight += entry.in_flight - part.in_flight;
  part.in_flight = entry.in_flight;
  if (entry.is_first) {
    part.last_sent = {};
  }
  if (entry.backlogged == part.backlogged) {
    return;
  }
  part.backlogged = entry.backlogged;
  if (!entry.backlogged) {
    --row.agent_count;
    row.idle_since = now;
    return;
  }
  const bool idle =
      row.idle_since == Time::min() || now - row.idle_since >= limits::kLedgerIdleTime;
  if (row.agent_count == 0 && idle) {
    RaiseTotal(row, lift);
  }
  ++row.agent_count;
}

void UsageLedger::RaiseTotal(CustomerLedger& row, double total) {
  const double missing = total - row.total;
  if (missing > 0) {
    row.total += missing;
    row.sum += missing;
  }
}

void UsageLedger::RemoveAgent(MemberId agent, Time now) {
  for (auto& [customer, row] : rows_) {
    const auto part = row.agents.find(agent);
    if (part == row.agents.end()) {
      continue;
    }
    row.in_flight -= part->second.in_flight;
    if (part->second.backlogged) {
      --row.agent_count;
      row.idle_since = now;
    }
    row.agents.erase(part);
  }
}

}  // namespace lagoonwind::policy
