#pragma once

#include "event_log.h"
#include "fleet_state.h"
#include "lagoonwind/gateway.h"

namespace lagoonwind::gateway {

/// How one topic of the store is followed.
struct FollowOptions {
  Topic topic = Topic::kOperator;
  /// Name for the log.
  std::string name;
  /// Longest time that the store holds a call without news.
  milliseconds wait{0};
  /// Pause between calls.
  milliseconds pause{0};
};

/// Keeps the facts up to date with one topic of the store. Reads the newest records first, and
/// again whenever the log no longer reaches back far enough. Not thread safe.
class StoreFollower {
 public:
  /// \param store, facts, log  Must outlive it.
  StoreFollower(RecordStore& store, FleetState& fleet, EventLog& log, FollowOptions options)
      : store_(store), fleet_(fleet), log_(log), options_(std::move(options)) {}

  /// Follows until the process ends.
  asio::awaitable<void> Run();
  /// False while the store doesn't answer.
  [[nodiscard]] bool connected() const { return connected_; }
  /// When the store last answered.
  [[nodiscard]] Time last_response() const { return last_response_; }
  [[nodiscard]] std::uint64_t calls() const { return calls_; }

 private:
  asio::awaitable<absl::Status> ReadOnce();
  void UpdateConnectionState(const absl::Status& status);

  RecordStore& store_;
  FleetState& fleet_;
  EventLog& log_;
  FollowOptions options_;
  bool snapshot_read_ = false;
  bool connected_ = true;
  Time last_response_{};
  std::uint64_t calls_ = 0;
};

}  // namespace lagoonwind::gateway
