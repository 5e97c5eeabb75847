#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "event_log.h"
#include "lagoonwind/gateway.h"

namespace lagoonwind::gateway {

/// A backend server and how current what is known of it is.
struct KnownServer {
  BackendServer server;
  /// When the description arrived.
  Time last_received;
  Time cold_until{};
  /// When its entry vanished from the store; it is dropped if it isn't back soon.
  std::optional<Time> missing_since;
};

/// What this process believes of configuration, zones and backend servers, from records of the
/// store or of peers. Configurations never go back. Not thread safe.
class FleetState {
 public:
  /// Called when a backend server is gone or has restarted.
  using ServerRemovedCallback = std::function<void(const BackendServer&)>;

  /// \param codec, log  Must outlive it.
  FleetState(const RecordCodec& codec, EventLog& log) : codec_(codec), log_(log) {}

  void SetServerRemovedCallback(ServerRemovedCallback callback) {
    on_server_removed_ = std::move(callback);
  }

  /// Takes in records. An offset below the known one is ignored.
  /// \param complete  True if keys that aren't among the records are gone.
  /// \param source    Where they came from, for the log.
  void Apply(Topic topic, const RecordPage& page, bool complete, std::string_view source, Time now);
  /// Drops entries that vanished while the store was away and didn't come back.
  void RemoveMissingServers(Time now);
  /// A call to the store failed.
  void StoreFailed() { store_unreachable_ = true; }
  /// A call succeeded after one that failed.
  void StoreRecovered(Time now);
  /// Time for which the store has answered all calls; zero while it doesn't.
  [[nodiscard]] Duration StoreReachableFor(Time now) const;
  /// A peer's calls to the store have all been answered for `steady`.
  void PeerReachedStore(Duration reachable_for, Time now);
  /// The backend server broke connections as if it had restarted, so it may be cold.
  void AssumeRestarted(ServerId server, Time now);

  /// Null until a configuration is known.
  [[nodiscard]] std::shared_ptr<const Configuration> configuration() const {
    return configuration_;
  }
  /// Offset from which on a topic is to be read; 0 until it was read.
  [[nodiscard]] std::int64_t offset(Topic topic) const;
  /// Newest records of a topic, for peers that can't reach the store.
  [[nodiscard]] const std::map<std::string, std::string>& records(Topic topic) const;

  /// Backend servers of a service that may be sent to.
  [[nodiscard]] std::vector<const KnownServer*> EligibleServers(std::string_view service) const;
  /// Null if unknown.
  [[nodiscard]] const KnownServer* Find(ServerId id) const;
  [[nodiscard]] std::size_t server_count() const { return servers_.size(); }

 private:
  /// True if entries may have vanished because the store was away, and not only out of reach.
  [[nodiscard]] bool StoreMayHaveBeenDown(Time now) const;
  void ApplyOperatorRecord(const Record& record, std::string_view source, Time now);
  void ApplyServerRecord(const Record& record, Time now);
  void MarkMissing(const std::string& key, Time now);
  void RemoveServer(const std::string& key, std::string_view reason);
  static std::vector<Record> MissingRecords(const std::map<std::string, std::string>& known,
                                            const RecordPage& page);

  const RecordCodec& codec_;
  EventLog& log_;
  ServerRemovedCallback on_server_removed_;
  std::shared_ptr<const Configuration> configuration_;
  absl::flat_hash_set<std::string> evacuated_zones_;
  /// By the key of their record.
  absl::flat_hash_map<std::string, KnownServer> servers_;
  std::map<Topic, std::map<std::string, std::string>> records_;
  std::map<Topic, std::int64_t> offsets_;
  bool store_unreachable_ = false;
  Time store_reachable_since_{};
  /// When a peer last said that the store had been there all the time.
  Time peer_reached_store_at_{};
};

}  // namespace lagoonwind::gateway
