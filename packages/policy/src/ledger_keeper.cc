#include "ledger_keeper.h"

#include <algorithm>

namespace lagoonwind::policy {

LedgerTotals LedgerKeeper::Take(MemberId agent, const LedgerReport& report,
                                const Configuration& configuration, Time now) {
  for (const auto& entry : report.entries) {
    Row& row = rows_[entry.customer];
    AgentPart& part = row.agents[agent];
    TakeService(entry, report.agent, row);
    TakeDemand(entry, part, row, report.lift * configuration.Share(entry.customer), now);
  }
  LedgerTotals answer{.number = report.number};
  for (auto& [customer, row] : rows_) {
    const auto part = row.agents.find(agent);
    if (part == row.agents.end() || !part->second.backlogged) {
      continue;
    }
    Raise(row, report.floor * configuration.Share(customer));
    const LedgerTotal total{.customer = customer,
                            .service = row.total,
                            .in_flight = row.in_flight,
                            .reach = std::max(row.reach, 1U)};
    if (part->second.told != total) {
      part->second.told = total;
      answer.totals.push_back(total);
    }
  }
  return answer;
}

void LedgerKeeper::TakeService(const LedgerEntry& entry, Incarnation agent, Row& row) {
  double& counter = row.counters[agent];
  const double given = std::max(entry.service - counter, 0.0);
  counter += given;
  row.sum += given;
  if (!entry.first) {
    row.total += given;
  }
  row.total = std::max({row.total, row.sum, entry.first ? entry.known : 0.0});
}

void LedgerKeeper::TakeDemand(const LedgerEntry& entry, AgentPart& part, Row& row, double lift,
                              Time now) {
  row.in_flight += entry.in_flight - part.in_flight;
  part.in_flight = entry.in_flight;
  if (entry.first) {
    part.told = {};
  }
  if (entry.backlogged == part.backlogged) {
    return;
  }
  part.backlogged = entry.backlogged;
  if (!entry.backlogged) {
    --row.reach;
    row.idle_since = now;
    return;
  }
  const bool idle =
      row.idle_since == Time::min() || now - row.idle_since >= limits::kLedgerIdleTime;
  if (row.reach == 0 && idle) {
    Raise(row, lift);
  }
  ++row.reach;
}

void LedgerKeeper::Raise(Row& row, double total) {
  const double missing = total - row.total;
  if (missing > 0) {
    row.total += missing;
    row.sum += missing;
  }
}

void LedgerKeeper::Forget(MemberId agent, Time now) {
  for (auto& [customer, row] : rows_) {
    const auto part = row.agents.find(agent);
    if (part == row.agents.end()) {
      continue;
    }
    row.in_flight -= part->second.in_flight;
    if (part->second.backlogged) {
      --row.reach;
      row.idle_since = now;
    }
    row.agents.erase(part);
  }
}

}  // namespace lagoonwind::policy
