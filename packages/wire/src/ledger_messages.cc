#include <algorithm>
#include <cmath>
#include <iterator>

#include "lagoonwind/wire.h"

namespace lagoonwind::wire {
namespace {

/// Sanitizes an amount of service from the wire: negative, infinite and NaN values become 0.
double ServiceFromWire(double value) { return std::isfinite(value) ? std::max(value, 0.0) : 0.0; }

gen::LedgerEntry LedgerRecordToWire(const policy::LedgerRecord& record) {
  gen::LedgerEntry out;
  out.customer = static_cast<std::int64_t>(record.customer.value);
  out.given = record.service;
  out.in_flight = record.in_flight;
  out.known = record.estimated_total;
  out.backlogged = record.backlogged;
  out.first = record.is_first;
  return out;
}

policy::LedgerRecord LedgerRecordFromWire(const gen::LedgerEntry& record) {
  return policy::LedgerRecord{.customer = {static_cast<std::uint64_t>(record.customer)},
                              .service = ServiceFromWire(record.given),
                              .in_flight = ServiceFromWire(record.in_flight),
                              .estimated_total = ServiceFromWire(record.known),
                              .backlogged = record.backlogged,
                              .is_first = record.first};
}

gen::LedgerTotal TotalToWire(const policy::LedgerTotal& total) {
  gen::LedgerTotal out;
  out.customer = static_cast<std::int64_t>(total.customer.value);
  out.given = total.service;
  out.in_flight = total.in_flight;
  out.reach = static_cast<std::int32_t>(total.agent_count);
  return out;
}

policy::LedgerTotal TotalFromWire(const gen::LedgerTotal& total) {
  return policy::LedgerTotal{.customer = {static_cast<std::uint64_t>(total.customer)},
                             .service = ServiceFromWire(total.given),
                             .in_flight = ServiceFromWire(total.in_flight),
                             .agent_count = static_cast<std::uint32_t>(std::max(total.reach, 1))};
}

}  // namespace

gen::LedgerReport ToWire(const policy::LedgerReport& report) {
  gen::LedgerReport out;
  out.agent_incarnation = static_cast<std::int64_t>(report.agent.value);
  out.number = static_cast<std::int64_t>(report.number);
  out.lift = report.activation_floor;
  out.floor = report.floor;
  std::ranges::transform(report.records, std::back_inserter(out.entries), LedgerRecordToWire);
  return out;
}

policy::LedgerReport FromWire(const gen::LedgerReport& report) {
  policy::LedgerReport out{.agent = {static_cast<std::uint64_t>(report.agent_incarnation)},
                           .number = static_cast<std::uint64_t>(report.number),
                           .activation_floor = ServiceFromWire(report.lift),
                           .floor = ServiceFromWire(report.floor)};
  std::ranges::transform(report.entries, std::back_inserter(out.records), LedgerRecordFromWire);
  return out;
}

gen::LedgerTotals ToWire(const policy::LedgerTotals& totals) {
  gen::LedgerTotals out;
  out.number = static_cast<std::int64_t>(totals.number);
  std::ranges::transform(totals.totals, std::back_inserter(out.totals), TotalToWire);
  return out;
}

policy::LedgerTotals FromWire(const gen::LedgerTotals& totals) {
  policy::LedgerTotals out{.number = static_cast<std::uint64_t>(totals.number)};
  std::ranges::transform(totals.totals, std::back_inserter(out.totals), TotalFromWire);
  return out;
}

}  // namespace lagoonwind::wire
