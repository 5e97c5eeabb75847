#include <algorithm>
#include <cmath>
#include <iterator>

#include "lagoonwind/wire.h"

namespace lagoonwind::wire {
namespace {

/// Service from the wire: finite and not negative.
double Service(double value) { return std::isfinite(value) ? std::max(value, 0.0) : 0.0; }

gen::LedgerEntry EntryToWire(const policy::LedgerRecord& entry) {
  gen::LedgerEntry out;
  out.customer = static_cast<std::int64_t>(entry.customer.value);
  out.given = entry.service;
  out.in_flight = entry.in_flight;
  out.known = entry.estimated_total;
  out.backlogged = entry.backlogged;
  out.first = entry.is_first;
  return out;
}

policy::LedgerRecord EntryFromWire(const gen::LedgerEntry& entry) {
  return policy::LedgerRecord{.customer = {static_cast<std::uint64_t>(entry.customer)},
                              .service = Service(entry.given),
                              .in_flight = Service(entry.in_flight),
                              .estimated_total = Service(entry.known),
                              .backlogged = entry.backlogged,
                              .is_first = entry.first};
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
                             .service = Service(total.given),
                             .in_flight = Service(total.in_flight),
                             .agent_count = static_cast<std::uint32_t>(std::max(total.reach, 1))};
}

}  // namespace

gen::LedgerReport ToWire(const policy::LedgerReport& report) {
  gen::LedgerReport out;
  out.agent_incarnation = static_cast<std::int64_t>(report.agent.value);
  out.number = static_cast<std::int64_t>(report.number);
  out.lift = report.activation_floor;
  out.floor = report.floor;
  std::ranges::transform(report.records, std::back_inserter(out.entries), EntryToWire);
  return out;
}

policy::LedgerReport FromWire(const gen::LedgerReport& report) {
  policy::LedgerReport out{.agent = {static_cast<std::uint64_t>(report.agent_incarnation)},
                           .number = static_cast<std::uint64_t>(report.number),
                           .activation_floor = Service(report.lift),
                           .floor = Service(report.floor)};
  std::ranges::transform(report.entries, std::back_inserter(out.records), EntryFromWire);
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
