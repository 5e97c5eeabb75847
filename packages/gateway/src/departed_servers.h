#pragma once

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "lagoonwind/gateway.h"

namespace lagoonwind::gateway {

/// Age of a backend server's record, in the order in which the server writes them.
using RecordAge = std::pair<std::int64_t, std::int64_t>;

inline RecordAge AgeOf(const BackendServer& server) {
  return {server.start_time_ms, server.sequence};
}

/// The end of a backend server, or the beginning of its drain.
struct Departure {
  /// Key of its record.
  std::string key;
  /// Age of the newest record that is known.
  RecordAge age;
  Time at;
  /// True if the store deleted the record while it was stable. A record that expired in an outage
  /// says nothing about the server.
  bool stated = false;
  /// True if the backend server still has a record, which shows that it drains.
  bool draining = false;
};

/// Period for which a record that may be outdated is not used.
struct Doubt {
  Time until;
  /// Time for which the store must have answered all calls by then.
  Duration period;
  /// True if the record is newer than the last known one, so that it may show that the server runs.
  bool may_be_newer = false;
};

/// Remembers backend servers that were removed, so that records that are not newer do not bring
/// them back: those of a restored store, and those of writes that the store has carried out late.
/// Bounded in time and number. Not thread safe.
class DepartedServers {
 public:
  /// Records a departure, unless a newer one of the key is known.
  void Add(const Departure& departure, Time now) {
    absl::erase_if(servers_, [&](const auto& item) { return now - item.second.at > kMaxAge; });
    if (servers_.size() >= kMaxServers) {
      servers_.erase(
          std::ranges::min_element(servers_, {}, [](const auto& item) { return item.second.at; }));
    }
    const auto [it, inserted] = servers_.try_emplace(departure.key, departure);
    if (!inserted && departure.age >= it->second.age) {
      it->second = departure;
    }
  }
  void Erase(const std::string& key) { servers_.erase(key); }
  /// Records that the store was restored: servers whose records were lost register again, so that
  /// records that are newer than a departure are used.
  void StoreRestored() {
    for (auto& [key, departure] : servers_) {
      departure.stated = false;
    }
  }
  /// Returns the period for which the record is not used; absent if it is evidence that the backend
  /// server runs.
  /// \param is_change  True if the record was written about now; otherwise it may be older.
  [[nodiscard]] std::optional<Doubt> DoubtAbout(const std::string& key, const BackendServer& record,
                                                bool is_change, Time now) const {
    const auto found = servers_.find(key);
    if (found == servers_.end()) {
      return std::nullopt;
    }
    const Departure& departure = found->second;
    if (AgeOf(record) <= departure.age) {
      return Doubt{.until = now + kRestoreDoubtTime, .period = kRestoreDoubtTime};
    }
    // The last write before the departure may be carried out after it.
    const Duration doubtful_time = is_change ? kLateWriteTime : kLateRecordTime;
    const bool may_be_late = departure.stated && record.start_time_ms == departure.age.first &&
                             now < departure.at + doubtful_time;
    return may_be_late ? std::optional(Doubt{.until = departure.at + kLateRecordTime,
                                             .period = kLateRecordTime,
                                             .may_be_newer = true})
                       : std::nullopt;
  }
  [[nodiscard]] std::vector<Departure> All() const {
    std::vector<Departure> all;
    all.reserve(servers_.size());
    for (const auto& [key, departure] : servers_) {
      all.push_back(departure);
    }
    return all;
  }

 private:
  /// Many times the span of writes that a restored store lacks.
  static constexpr Duration kMaxAge = std::chrono::minutes(10);
  static constexpr std::size_t kMaxServers = 4096;
  /// Time after which a removed server is used again if a restored store still lists it. The store
  /// deletes the record of a server that no longer runs before that.
  static constexpr Duration kRestoreDoubtTime = std::chrono::seconds(20);
  /// Longest time after a departure until the store has carried out the last write of the server,
  /// and until it has deleted that record again unless others followed.
  static constexpr Duration kLateWriteTime = std::chrono::seconds(7);
  static constexpr Duration kLateRecordTime = std::chrono::seconds(12);

  /// By record key.
  absl::flat_hash_map<std::string, Departure> servers_;
};

}  // namespace lagoonwind::gateway
