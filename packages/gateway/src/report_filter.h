#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>

#include "lagoonwind/gateway_report.h"

namespace lagoonwind::gateway {

/// Leaves out of a report what hasn't changed since it was sent last, but for a part of it that is
/// repeated in turn, so that a lost datagram or a new peer misses nothing for long. Not thread
/// safe.
class ReportFilter {
 public:
  void Apply(wire::GatewayReport& report);

 private:
  struct LastSent {
    std::uint64_t fingerprint = 0;
    std::uint64_t report = 0;
  };
  [[nodiscard]] bool IsDue(std::uint64_t key, std::uint64_t fingerprint);

  absl::flat_hash_map<std::uint64_t, LastSent> last_sent_;
  std::uint64_t report_number_ = 0;
};

}  // namespace lagoonwind::gateway
