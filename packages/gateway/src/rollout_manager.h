#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "event_log.h"
#include "fleet_state.h"
#include "lagoonwind/gateway.h"

namespace lagoonwind::gateway {

/// Roll-outs of services to other versions at this gateway: which versions may receive requests,
/// and the status records in the store. Not thread safe.
class RolloutManager {
 public:
  struct Options {
    RecordStore& store;
    const RecordCodec& codec;
    const FleetState& fleet;
    EventLog& log;
    /// Absent if the deployment has no roll-outs: orders then have no effect.
    std::optional<policy::RolloutLimits> limits;
    /// True if this gateway is among those that write the status of the order.
    std::function<bool(std::uint64_t)> is_writer;
  };

  explicit RolloutManager(Options options) : options_(std::move(options)) {}

  /// Takes over the orders in force. Call it at least every 200 ms.
  void Update(Time now);
  /// True if requests of the service may be sent to backend servers of this version.
  [[nodiscard]] bool MaySendTo(const std::string& service, std::string_view version) const;
  /// Reads the status of the roll-outs, and writes what is due, until the process ends.
  asio::awaitable<void> MaintainStatus();
  /// Reads the newest status and writes what is due, once.
  /// \return FailedPrecondition if another write came first; the errors of the store otherwise.
  asio::awaitable<absl::Status> SynchronizeStatus();
  [[nodiscard]] std::uint64_t calls() const { return calls_; }

 private:
  struct OngoingRollout {
    KnownRollout order;
    /// Status of this order in the store; absent if none was read.
    std::optional<policy::RolloutState> stored;
    /// True if backend servers of another version were seen since the order.
    bool had_old_servers = false;
  };

  void ApplyStatusPage(const RecordPage& page);
  [[nodiscard]] bool HasPendingWrite() const;

  Options options_;
  /// By service.
  std::map<std::string, OngoingRollout> rollouts_;
  std::uint64_t calls_ = 0;
};

}  // namespace lagoonwind::gateway
