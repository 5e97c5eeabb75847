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

#include "departed_servers.h"
#include "event_log.h"
#include "lagoonwind/gateway.h"
#include "store_position.h"

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

/// Roll-out order of a service that is in force.
struct KnownRollout {
  RolloutRequest request;
  /// Identity of the order: its content and the position of its record.
  std::uint64_t id = 0;
  Time learned_at;
  /// True if the order was received as a change of the store's records, so that it was written
  /// about that time.
  bool is_change = false;
};

/// Origin of pages that were read from the store, in the order of the calls.
inline constexpr std::string_view kStoreSource = "store";

/// This gateway's view of the configuration, zones and backend servers, built from records of the
/// store or copied from peers. A configuration is only replaced by a newer version. Not thread
/// safe.
class FleetState {
 public:
  /// Called when a backend server was removed or has restarted.
  using ServerRemovedCallback = std::function<void(const BackendServer&)>;

  /// Called when a backend server is new, has restarted, or may have been idle or down.
  using ServerStartedCallback =
      std::function<void(const BackendServer&, std::string_view reason, Time now)>;

  /// \param codec, log  Must outlive this object.
  FleetState(const RecordCodec& codec, EventLog& log) : codec_(codec), log_(log) {}

  void SetServerRemovedCallback(ServerRemovedCallback callback) {
    on_server_removed_ = std::move(callback);
  }
  void SetServerStartedCallback(ServerStartedCallback callback) {
    on_server_started_ = std::move(callback);
  }

  /// Applies records. All records of a new generation are older evidence than what is known: the
  /// newest configuration and records of servers stay, and so do evacuations, until a record of the
  /// new generation ends them.
  /// \param complete  True if the page holds all records: keys that it does not list are removed.
  /// \param source    Origin of the records, for the log; `kStoreSource` for pages of the store.
  /// \return False if the page was ignored, as it is below the topic's position, or holds changes
  /// of a later generation.
  bool Apply(Topic topic, const RecordPage& page, bool complete, std::string_view source, Time now);
  /// Applies the configuration of the operator's records, whatever their position, if it is newer.
  void ApplyNewerConfiguration(const RecordPage& page, std::string_view source, Time now);
  /// Takes over evacuations that a peer holds, unless they have ended here.
  /// \param page       The evacuations' records.
  /// \param remaining  Time for which the peer still holds them, by key.
  void HoldEvacuations(const RecordPage& page, const std::map<std::string, milliseconds>& remaining,
                       std::string_view source, Time now);
  /// Notes that the store has replaced the history of a topic without stating a new generation. The
  /// next complete page is applied as that of a new generation.
  void HistoryReplaced(Topic topic, Time now);
  /// Removes backend servers whose records disappeared during an outage and did not reappear.
  void RemoveMissingServers(Time now);
  /// Ends evacuations that the restored store still lacks, and adds servers that it still lists,
  /// once the store was reachable for the whole time and has been read after it.
  void ExpireHeldRecords(Time now);
  /// Notes that a call to the store failed.
  void StoreFailed() { store_unreachable_ = true; }
  /// Notes that a call to the store succeeded after a failed one.
  void StoreRecovered(Time now);
  /// Time for which all calls to the store have succeeded; zero while the store is unreachable.
  [[nodiscard]] Duration StoreReachableFor(Time now) const;
  /// Notes that a peer's calls to the store have all succeeded for `reachable_for`.
  /// \param generation  Generation of the servers' records that the peer has read.
  void PeerReachedStore(Duration reachable_for, std::int64_t generation, Time now);
  /// Backend servers that were removed lately or that drain, for gateways that saw none of it.
  [[nodiscard]] std::vector<Departure> Departures() const;
  /// Applies a departure that a peer has seen: records that are not newer are not used at first.
  void MergeDeparture(const Departure& departure, Time now);
  /// Number of complete pages of backend servers that were applied. Changes that preceded such a
  /// page may have been missed.
  [[nodiscard]] std::uint64_t complete_pages() const { return complete_pages_; }
  /// True if records of backend servers wait until the store confirms them.
  [[nodiscard]] bool AwaitsConfirmation(Topic topic) const {
    return topic == Topic::kServers && !doubtful_records_.empty();
  }
  /// Treats the backend server as cold after a failed connection attempt, since it may be
  /// restarting.
  void AssumeRestarted(ServerId server, Time now);

  /// Null before the first configuration.
  [[nodiscard]] std::shared_ptr<const Configuration> configuration() const {
    return configuration_;
  }
  /// Version of the configuration, -1 before the first one.
  [[nodiscard]] std::int64_t configuration_version() const {
    return configuration_ == nullptr ? -1 : configuration_->version;
  }
  /// Position at which the next read of the topic continues; zero before the first read.
  [[nodiscard]] StorePosition position(Topic topic) const;
  /// Offset of that position.
  [[nodiscard]] std::int64_t offset(Topic topic) const { return position(topic).offset; }
  /// True if records of a peer that has read to this position are newer than the known ones.
  [[nodiscard]] bool IsNewer(Topic topic, const StorePosition& position, Time now) const;
  /// Generation of a peer's records; one that states none is of an older version.
  [[nodiscard]] std::int64_t ResolveGeneration(Topic topic, std::int64_t stated) const;
  /// Identifies the evacuations that this gateway holds; 0 if there are none.
  [[nodiscard]] std::int64_t held_digest() const;
  /// True if a peer holds evacuations that were not copied from any peer yet.
  [[nodiscard]] bool MissesEvacuations(std::int64_t generation, std::int64_t held_by_peer) const;
  /// Evacuations in force that the restored store lacks, with the time for which they still are.
  [[nodiscard]] std::map<std::string, milliseconds> HeldEvacuations(Time now) const;
  /// Changes of a topic from an offset of the known generation on, to bring a peer up to date that
  /// has read that far. Absent if they are no longer known; then the peer needs all records.
  [[nodiscard]] std::optional<RecordPage> ChangesSince(Topic topic, std::int64_t offset) const;
  /// Latest records of a topic, served to peers that cannot reach the store.
  [[nodiscard]] const std::map<std::string, std::string>& records(Topic topic) const;

  /// Backend servers of a service that are neither draining nor in an evacuated zone. Valid until
  /// records are next applied or removed.
  [[nodiscard]] std::span<const KnownServer* const> EligibleServers(std::string_view service) const;
  /// Returns null if the backend server is unknown. Valid as long as those of EligibleServers().
  [[nodiscard]] const KnownServer* Find(ServerId id) const;
  /// Roll-out orders in force, by service.
  [[nodiscard]] const std::map<std::string, KnownRollout>& rollouts() const { return rollouts_; }
  /// Offsets of the records of roll-out orders, by record key.
  [[nodiscard]] const std::map<std::string, std::int64_t>& rollout_offsets() const {
    return rollout_offsets_;
  }
  [[nodiscard]] std::size_t server_count() const { return servers_.size(); }

 private:
  /// True if records may have disappeared because of an outage of the store, as opposed to a
  /// network fault between this gateway and the store.
  [[nodiscard]] bool StoreMayHaveBeenDown(Time now) const;
  /// True if the store has been reachable for `period` and a read of the topic that began at
  /// `until` or later has ended.
  [[nodiscard]] bool StoreConfirms(Topic topic, Time until, Duration period, Time now) const;
  /// Applies the absence of a known record from a complete page.
  /// \param restored  True if the page is the first one of a generation.
  void ApplyAbsence(Topic topic, const std::string& key, bool restored, std::string_view source,
                    Time now);
  /// \param is_change  True if the record was written about now; otherwise it may be older.
  void ApplyOperatorRecord(const Record& record, std::int64_t generation, std::string_view source,
                           Time now, bool is_change = false);
  /// True if the record repeats a roll-out order at another position, which makes it a new order.
  [[nodiscard]] bool RepeatsRollout(const Record& record) const;
  void ApplyRollout(const Record& record, const OperatorChange& change, std::string_view source,
                    bool is_change, Time now);
  /// \return False if the configuration is not newer than the known one.
  bool ApplyConfiguration(const std::shared_ptr<const Configuration>& configuration,
                          std::int64_t generation, std::string_view source);
  void ApplyEvacuation(const std::string& zone, bool ended, std::string_view source, Time now);
  /// Applies a record of a backend server, unless an older one than is known. One that may precede
  /// the server's departure is not used at first.
  /// \param is_change  True if the record was written about now; otherwise it may be older.
  void ApplyServerRecord(const Record& record, bool is_change, std::string_view source, Time now);
  void AddDoubtfulRecord(const Record& record, const BackendServer& server, const Doubt& doubt,
                         std::string_view source, Time now);
  /// Uses the servers of the service that seem to run, if there is no other.
  void EndDoubtsOfService(const std::string& service, Time now);
  void MarkMissing(const std::string& key, Time now);
  void NotifyStarted(const BackendServer& server, std::string_view reason, Time now) const {
    if (on_server_started_) {
      on_server_started_(server, reason, now);
    }
  }
  /// \param stated  True if the store deleted the record while it was stable.
  void RemoveServer(const std::string& key, std::string_view reason, bool stated, Time now);
  /// Builds the indexes of backend servers unless they are up to date.
  void UpdateIndexes() const;
  void UpdateRecentChanges(Topic topic, const RecordPage& page, bool complete,
                           std::int64_t previous_offset);
  static std::vector<std::string> AbsentKeys(const std::map<std::string, std::string>& known,
                                             const RecordPage& page);

  /// Cold-start period assumed for a backend server that may have restarted or been evacuated.
  static constexpr Duration kDefaultColdTime = std::chrono::seconds(3);

  const RecordCodec& codec_;
  EventLog& log_;
  ServerRemovedCallback on_server_removed_;
  ServerStartedCallback on_server_started_;
  /// A record that names a backend server which was removed, and that may be older than its
  /// removal.
  struct DoubtfulRecord {
    Record record;
    std::string service;
    Doubt doubt;
  };

  /// When the last two pages of a topic were read from the store. The call for the last one began
  /// after the previous one was applied, so it shows what the store held then, also if this process
  /// was frozen in between.
  struct StoreReads {
    Time last;
    Time previous;
  };

  std::shared_ptr<const Configuration> configuration_;
  /// Key of its record, and the generation that the record was read in.
  std::string configuration_key_;
  std::int64_t configuration_generation_ = 0;
  absl::flat_hash_set<std::string> evacuated_zones_;
  /// Record keys of evacuations that the restored store lacks, with the time at which they end.
  std::map<std::string, Time> held_evacuations_;
  /// Record keys of evacuations that have ended in the present generation.
  absl::flat_hash_set<std::string> ended_evacuations_;
  /// Sets of evacuations that peers held and that were taken over in the present generation.
  absl::flat_hash_set<std::int64_t> known_held_digests_;
  std::map<std::string, KnownRollout> rollouts_;
  std::map<std::string, std::int64_t> rollout_offsets_;
  /// By record key.
  absl::flat_hash_map<std::string, KnownServer> servers_;
  /// Indexes of `servers_`, so that a request does not search all of them; empty and marked as
  /// outdated by each change.
  mutable absl::flat_hash_map<std::string, std::vector<const KnownServer*>> eligible_by_service_;
  mutable absl::flat_hash_map<ServerId, const KnownServer*> servers_by_id_;
  mutable bool indexes_outdated_ = true;
  DepartedServers departed_servers_;
  /// By record key.
  absl::flat_hash_map<std::string, DoubtfulRecord> doubtful_records_;
  std::map<Topic, std::map<std::string, std::string>> records_;
  std::map<Topic, StorePosition> positions_;
  std::uint64_t complete_pages_ = 0;
  std::map<Topic, StoreReads> store_reads_;
  /// Topics of which more than one generation was seen.
  absl::flat_hash_set<Topic> restored_topics_;
  /// Topics whose next complete page replaces their history.
  absl::flat_hash_set<Topic> replaced_topics_;
  /// When the history of a topic was last replaced without a new generation.
  std::map<Topic, Time> replaced_at_;
  /// The last changes of each topic, the newest of which led to the topic's offset.
  std::map<Topic, std::deque<Record>> recent_changes_;
  bool store_unreachable_ = false;
  Time store_reachable_since_{};
  /// When a peer last reported that it had continuously reached the store.
  Time peer_reached_store_at_{};
};

}  // namespace lagoonwind::gateway
