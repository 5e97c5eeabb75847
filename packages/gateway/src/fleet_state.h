#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "event_log.h"
#include "lagoonwind/gateway.h"

namespace lagoonwind::gateway {

/// A backend server with the time and the state of its record.
struct KnownServer {
  BackendServer server;
  /// When its description was last received.
  Time last_received;
  Time cold_until{};
  /// When its record disappeared from the store during an outage. It is removed unless the record
  /// reappears soon.
  std::optional<Time> missing_since;
};

/// This gateway's view of the configuration, zones and backend servers, built from records of the
/// store or copied from peers. A configuration is only replaced by a newer version. Not thread
/// safe.
class FleetState {
 public:
  /// Called when a backend server was removed or has restarted.
  using ServerRemovedCallback = std::function<void(const BackendServer&)>;

  /// \param codec, log  Must outlive this object.
  FleetState(const RecordCodec& codec, EventLog& log) : codec_(codec), log_(log) {}

  void SetServerRemovedCallback(ServerRemovedCallback callback) {
    on_server_removed_ = std::move(callback);
  }

  /// Applies records. Ignored if the page's offset is below the last applied one.
  /// \param complete  True if the page holds all records: keys that it does not list are removed.
  /// \param source    Origin of the records, for the log.
  void Apply(Topic topic, const RecordPage& page, bool complete, std::string_view source, Time now);
  /// Removes backend servers whose records disappeared during an outage and did not reappear.
  void RemoveMissingServers(Time now);
  /// Notes that a call to the store failed.
  void StoreFailed() { store_unreachable_ = true; }
  /// Notes that a call to the store succeeded after a failed one.
  void StoreRecovered(Time now);
  /// Time for which all calls to the store have succeeded; zero while the store is unreachable.
  [[nodiscard]] Duration StoreReachableFor(Time now) const;
  /// Notes that a peer's calls to the store have all succeeded for `reachable_for`.
  void PeerReachedStore(Duration reachable_for, Time now);
  /// Treats the backend server as cold after a failed connection attempt, since it may be
  /// restarting.
  void AssumeRestarted(ServerId server, Time now);

  /// Null before the first configuration.
  [[nodiscard]] std::shared_ptr<const Configuration> configuration() const {
    return configuration_;
  }
  /// Offset at which the next read of the topic continues; 0 before the first read.
  [[nodiscard]] std::int64_t offset(Topic topic) const;
  /// Changes of a topic from an offset on, to bring a peer up to date that has read that far.
  /// Absent if they are no longer known; then the peer needs all records.
  [[nodiscard]] std::optional<RecordPage> ChangesSince(Topic topic, std::int64_t offset) const;
  /// Latest records of a topic, served to peers that cannot reach the store.
  [[nodiscard]] const std::map<std::string, std::string>& records(Topic topic) const;

  /// Backend servers of a service that are neither draining nor in an evacuated zone. Valid until
  /// records are next applied or removed.
  [[nodiscard]] std::span<const KnownServer* const> EligibleServers(std::string_view service) const;
  /// Returns null if the backend server is unknown. Valid as long as those of EligibleServers().
  [[nodiscard]] const KnownServer* Find(ServerId id) const;
  [[nodiscard]] std::size_t server_count() const { return servers_.size(); }

 private:
  /// True if records may have disappeared because of an outage of the store, as opposed to a
  /// network fault between this gateway and the store.
  [[nodiscard]] bool StoreMayHaveBeenDown(Time now) const;
  void ApplyOperatorRecord(const Record& record, std::string_view source, Time now);
  void ApplyServerRecord(const Record& record, Time now);
  void MarkMissing(const std::string& key, Time now);
  void RemoveServer(const std::string& key, std::string_view reason);
  /// Builds the indexes of backend servers unless they are up to date.
  void UpdateIndexes() const;
  void UpdateRecentChanges(Topic topic, const RecordPage& page, bool complete,
                           std::int64_t previous_offset);
  static std::vector<Record> MissingRecords(const std::map<std::string, std::string>& known,
                                            const RecordPage& page);

  const RecordCodec& codec_;
  EventLog& log_;
  ServerRemovedCallback on_server_removed_;
  std::shared_ptr<const Configuration> configuration_;
  absl::flat_hash_set<std::string> evacuated_zones_;
  /// By record key.
  absl::flat_hash_map<std::string, KnownServer> servers_;
  /// Indexes of `servers_`, so that a request does not search all of them; empty and marked as
  /// outdated by each change.
  mutable absl::flat_hash_map<std::string, std::vector<const KnownServer*>> eligible_by_service_;
  mutable absl::flat_hash_map<ServerId, const KnownServer*> servers_by_id_;
  mutable bool indexes_outdated_ = true;
  std::map<Topic, std::map<std::string, std::string>> records_;
  std::map<Topic, std::int64_t> offsets_;
  /// The last changes of each topic, the newest of which led to the topic's offset.
  std::map<Topic, std::deque<Record>> recent_changes_;
  bool store_unreachable_ = false;
  Time store_reachable_since_{};
  /// When a peer last reported that it had continuously reached the store.
  Time peer_reached_store_at_{};
};

}  // namespace lagoonwind::gateway
