#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "event_log.h"
#include "fleet_state.h"
#include "gateway_metrics.h"
#include "lagoonwind/gateway.h"
#include "lagoonwind/rollout.h"

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
    Incarnation self;
    /// Other gateways that are up or that the store lists.
    std::function<std::vector<Incarnation>()> members;
  };

  explicit RolloutManager(Options options) : options_(std::move(options)) {}

  /// Takes over the orders in force. Call it at least every 200 ms.
  void Update(Time now);
  /// Chooses the version for a new request of the service. Call it once per request, right before
  /// its first attempt.
  /// \return Absent if versions play no part.
  std::optional<policy::RolloutVersion> Choose(const std::string& service, policy::RouteId route,
                                               double random, Time now);
  /// Returns the reservation of a request for the target that was not sent there.
  void CancelChoice(const std::string& service, Time now);
  /// Version for a retry or a resumed stream.
  std::optional<policy::RolloutVersion> RetryVersion(const std::string& service, Time now);
  /// True if a server of this version may receive a request for which `chosen` was chosen.
  [[nodiscard]] bool IsOf(const std::string& service, std::string_view version,
                          std::optional<policy::RolloutVersion> chosen) const;
  /// Records every attempt that leaves this gateway, and its end, whether there is an order or not:
  /// a later one needs to know what still runs.
  void RecordSent(const std::string& service, const std::string& version, Time now);
  void RecordEnd(const std::string& service, const std::string& version,
                 const policy::RolloutOutcome& outcome, Time now);
  /// What this gateway has seen of the roll-outs in progress, for its peers.
  [[nodiscard]] std::vector<policy::RolloutReport> LocalReports(Time now) const;
  void MergePeerReports(Incarnation peer, const std::vector<policy::RolloutReport>& reports,
                        Time now);
  /// Sets the metrics of the roll-outs in progress.
  void UpdateMetrics(GatewayMetrics& metrics, Time now) const;
  /// Reads the status of the roll-outs, and writes what is due, until the process ends.
  asio::awaitable<void> MaintainStatus();
  /// Reads the newest status and writes what is due, once.
  /// \return FailedPrecondition if another write came first; the errors of the store otherwise.
  asio::awaitable<absl::Status> SynchronizeStatus();
  [[nodiscard]] std::uint64_t calls() const { return calls_; }

 private:
  struct OngoingRollout {
    KnownRollout order;
    policy::Rollout decision;
    policy::RolloutState logged_state = policy::RolloutState::kUnknown;
    /// Status of this order in the store; absent if none was read.
    std::optional<policy::RolloutState> stored;
  };

  /// The roll-out whose order is in force; null if there is none.
  OngoingRollout* Find(const std::string& service, Time now);
  void Begin(const std::string& service, const KnownRollout& order, Time now);
  void LogState(const std::string& service, OngoingRollout& rollout, Time now);
  /// \param unknown  Orders whose progress was unknown when the read began.
  void ApplyStatusPage(const RecordPage& page, const std::vector<std::uint64_t>& unknown);
  /// Status that is to be written; absent if there is none.
  [[nodiscard]] std::optional<RolloutStatusRecord> DueStatus(const std::string& service,
                                                             const OngoingRollout& rollout) const;
  [[nodiscard]] bool HasPendingWrite() const;

  Options options_;
  /// By service.
  std::map<std::string, OngoingRollout> rollouts_;
  /// Attempts of this gateway that have not ended, by service and version.
  std::map<std::string, std::map<std::string, int>> running_;
  /// Orders without effect that were logged.
  std::set<std::uint64_t> ignored_;
  /// When the roll-outs were last updated.
  std::optional<Time> last_update_;
  std::uint64_t calls_ = 0;
};

}  // namespace lagoonwind::gateway
