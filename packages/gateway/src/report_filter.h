#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>

#include "lagoonwind/gateway_report.h"

namespace lagoonwind::gateway {

/// Removes items from a report that have not changed since they were last sent. Each unchanged item
/// is still repeated periodically, for the sake of lost datagrams and new peers. Not thread safe.
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
