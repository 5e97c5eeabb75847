#pragma once

#include "event_log.h"
#include "fleet_state.h"
#include "lagoonwind/gateway.h"

namespace lagoonwind::gateway {

/// Options for following a topic of the store.
struct FollowOptions {
  Topic topic = Topic::kOperator;
  /// Topic name in the log.
  std::string name;
  /// Long-poll time: how long the store holds a call if there are no new records.
  milliseconds wait{0};
  /// Pause between calls.
  milliseconds pause{0};
};

/// Keeps the fleet state up to date with one topic of the store. Starts with the latest records,
/// and starts over if the store no longer has the records at the current offset or was restored.
/// Not thread safe.
class StoreFollower {
 public:
  /// \param store, fleet, log  Must outlive this object.
  StoreFollower(RecordStore& store, FleetState& fleet, EventLog& log, FollowOptions options)
      : store_(store), fleet_(fleet), log_(log), options_(std::move(options)) {}

  /// Follows the topic until the process ends.
  asio::awaitable<void> Run();
  /// False if the last call failed.
  [[nodiscard]] bool connected() const { return connected_; }
  /// When the last successful call returned.
  [[nodiscard]] Time last_response() const { return last_response_; }
  [[nodiscard]] std::uint64_t calls() const { return calls_; }

 private:
  asio::awaitable<absl::Status> ReadOnce();
  asio::awaitable<absl::Status> ReadSnapshot();
  void UpdateConnectionState(const absl::Status& status);

  RecordStore& store_;
  FleetState& fleet_;
  EventLog& log_;
  FollowOptions options_;
  bool snapshot_read_ = false;
  /// True if the last call had to start over.
  bool started_over_ = false;
  bool connected_ = true;
  Time last_response_{};
  std::uint64_t calls_ = 0;
};

}  // namespace lagoonwind::gateway
