#include "report_filter.h"

#include <vector>

namespace lagoonwind::gateway {
namespace {

/// Reports after which an unchanged entry is repeated: about two seconds of them.
constexpr std::uint64_t kRepeatAfter = 24;

/// Separates customers' entries from engines'.
constexpr std::uint64_t kCustomerSalt = 1;

}  // namespace

bool ReportFilter::IsDue(std::uint64_t key, std::uint64_t fingerprint) {
  const auto [slot, added] = sent_.try_emplace(key);
  Sent& last = slot->second;
  if (!added && last.fingerprint == fingerprint && report_ - last.report < kRepeatAfter) {
    return false;
  }
  last = {.fingerprint = fingerprint, .report = report_};
  return true;
}

void ReportFilter::Apply(wire::GatewayReport& report) {
  ++report_;
  std::erase_if(report.engines, [this](const policy::EngineReport& engine) {
    const std::uint64_t fingerprint =
        CombineHashes(CombineHashes(engine.read_tokens, static_cast<std::uint64_t>(engine.running)),
                      static_cast<std::uint64_t>(engine.running_tokens));
    return !IsDue(engine.server.value, fingerprint);
  });
  std::erase_if(report.customers, [this](const policy::CustomerReport& customer) {
    const std::uint64_t fingerprint =
        CombineHashes(customer.asked_tokens, customer.admitted_tokens);
    return !IsDue(CombineHashes(customer.customer.value, kCustomerSalt), fingerprint);
  });
}

}  // namespace lagoonwind::gateway
