#pragma once

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <string>
#include <utility>

#include "lagoonwind/gateway.h"

namespace lagoonwind::gateway {

/// Age of a backend server's record, in the order in which the server writes them.
using RecordAge = std::pair<std::int64_t, std::int64_t>;

inline RecordAge AgeOf(const BackendServer& server) {
  return {server.start_time_ms, server.sequence};
}

/// Remembers the last records of backend servers that were removed, so that records of a restored
/// store that are not newer do not bring them back. Bounded in time and number. Not thread safe.
class DepartedServers {
 public:
  /// Records that the backend server of the record key was removed.
  void Add(const std::string& key, const BackendServer& server, Time now) {
    absl::erase_if(servers_,
                   [&](const auto& item) { return now - item.second.removed_at > kMaxAge; });
    if (servers_.size() >= kMaxServers) {
      servers_.erase(std::ranges::min_element(
          servers_, {}, [](const auto& item) { return item.second.removed_at; }));
    }
    servers_[key] = {.age = AgeOf(server), .removed_at = now};
  }
  void Erase(const std::string& key) { servers_.erase(key); }
  /// True if the backend server was removed and the record is not newer than its last one.
  [[nodiscard]] bool Includes(const std::string& key, const BackendServer& record) const {
    const auto found = servers_.find(key);
    return found != servers_.end() && AgeOf(record) <= found->second.age;
  }

 private:
  /// Many times the span of writes that a restored store lacks.
  static constexpr Duration kMaxAge = std::chrono::minutes(10);
  static constexpr std::size_t kMaxServers = 4096;

  struct Departure {
    RecordAge age;
    Time removed_at;
  };

  absl::flat_hash_map<std::string, Departure> servers_;
};

}  // namespace lagoonwind::gateway
