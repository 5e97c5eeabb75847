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
  Time heard;
  Time cold_until{};
  /// When its entry vanished from the store; it is dropped if it isn't back soon.
  std::optional<Time> lapsed;
};

/// What this process believes of configuration, zones and backend servers, from records of the
/// store or of peers. Configurations never go back. Not thread safe.
class FleetFacts {
 public:
  /// Called when a backend server is gone or has restarted.
  using ServerGone = std::function<void(const BackendServer&)>;

  /// \param codec, log  Must outlive it.
  FleetFacts(const RecordCodec& codec, EventLog& log) : codec_(codec), log_(log) {}

  void OnServerGone(ServerGone callback) { server_gone_ = std::move(callback); }

  /// Takes in records. An offset below the known one is ignored.
  /// \param complete  True if keys that aren't among the records are gone.
  /// \param source    Where they came from, for the log.
  void Apply(Topic topic, const RecordPage& page, bool complete, std::string_view source, Time now);
  /// Drops entries that vanished while the store was away and didn't come back.
  void DropLapsed(Time now);
  /// A call to the store failed.
  void StoreFailed() { store_lost_ = true; }
  /// A call succeeded after one that failed.
  void StoreAnswered(Time now);
  /// Time for which the store has answered all calls; zero while it doesn't.
  [[nodiscard]] Duration StoreSteady(Time now) const;
  /// A peer's calls to the store have all been answered for `steady`.
  void PeerSawStore(Duration steady, Time now);
  /// The backend server broke connections as if it had restarted, so it may be cold.
  void SuspectRestart(ServerId server, Time now);

  /// Null until a configuration is known.
  [[nodiscard]] std::shared_ptr<const Configuration> configuration() const {
    return configuration_;
  }
  /// Offset from which on a topic is to be read; 0 until it was read.
  [[nodiscard]] std::int64_t offset(Topic topic) const;
  /// Newest records of a topic, for peers that can't reach the store.
  [[nodiscard]] const std::map<std::string, std::string>& records(Topic topic) const;

  /// Backend servers of a service that may be sent to.
  [[nodiscard]] std::vector<const KnownServer*> Usable(std::string_view service) const;
  /// Null if unknown.
  [[nodiscard]] const KnownServer* Find(ServerId id) const;
  [[nodiscard]] std::size_t server_count() const { return servers_.size(); }

 private:
  /// True if entries may have vanished because the store was away, and not only out of reach.
  [[nodiscard]] bool StoreWasAway(Time now) const;
  void ApplyOperatorRecord(const Record& record, std::string_view source, Time now);
  void ApplyServerRecord(const Record& record, Time now);
  void LapseServer(const std::string& key, Time now);
  void DropServer(const std::string& key, std::string_view reason);
  static std::vector<Record> Vanished(const std::map<std::string, std::string>& known,
                                      const RecordPage& page);

  const RecordCodec& codec_;
  EventLog& log_;
  ServerGone server_gone_;
  std::shared_ptr<const Configuration> configuration_;
  absl::flat_hash_set<std::string> evacuated_;
  /// By the key of their record.
  absl::flat_hash_map<std::string, KnownServer> servers_;
  std::map<Topic, std::map<std::string, std::string>> records_;
  std::map<Topic, std::int64_t> offsets_;
  bool store_lost_ = false;
  Time regained_{};
  /// When a peer last said that the store had been there all the time.
  Time steady_elsewhere_{};
};

}  // namespace lagoonwind::gateway
