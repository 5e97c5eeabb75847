#include "report_filter.h"

#include <vector>

namespace lagoonwind::gateway {
namespace {

/// Number of reports after which an unchanged item is repeated: about two seconds.
constexpr std::uint64_t kRefreshReports = 24;

/// Keeps the keys of customers distinct from those of engines.
constexpr std::uint64_t kCustomerKeySalt = 1;

}  // namespace

bool ReportFilter::IsDue(std::uint64_t key, std::uint64_t fingerprint) {
  const auto [it, inserted] = last_sent_.try_emplace(key);
  LastSent& previous = it->second;
  if (!inserted && previous.fingerprint == fingerprint &&
      report_number_ - previous.report < kRefreshReports) {
    return false;
  }
  previous = {.fingerprint = fingerprint, .report = report_number_};
  return true;
}

void ReportFilter::Apply(wire::GatewayReport& report) {
  ++report_number_;
  std::erase_if(report.engines, [this](const policy::EngineReport& engine) {
    const std::uint64_t fingerprint = CombineHashes(
        CombineHashes(engine.prefill_tokens, static_cast<std::uint64_t>(engine.running)),
        CombineHashes(static_cast<std::uint64_t>(engine.running_tokens), engine.measured_tokens));
    return !IsDue(engine.server.value, fingerprint);
  });
  std::erase_if(report.customers, [this](const policy::CustomerReport& customer) {
    const std::uint64_t fingerprint =
        CombineHashes(customer.requested_tokens, customer.admitted_tokens);
    return !IsDue(CombineHashes(customer.customer.value, kCustomerKeySalt), fingerprint);
  });
}

}  // namespace lagoonwind::gateway
