#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <random>
#include <string>

#include "backend_pool.h"
#include "crash_detector.h"
#include "event_log.h"
#include "fleet_state.h"
#include "gateway_metrics.h"
#include "lagoonwind/crash_suspects.h"
#include "lagoonwind/dispatch.h"
#include "lagoonwind/drain_admission.h"
#include "lagoonwind/gateway.h"
#include "lagoonwind/request_memory.h"
#include "lagoonwind/response_memory.h"
#include "lagoonwind/server_pace.h"
#include "loop_monitor.h"
#include "peers.h"
#include "quarantine_records.h"
#include "report_filter.h"
#include "report_window.h"
#include "rollout_manager.h"

namespace lagoonwind::gateway {

class CallerSession;
class Exchange;
using SessionSet = absl::flat_hash_set<CallerSession*>;
using ExchangeSet = absl::flat_hash_set<Exchange*>;

/// State shared by all requests of a gateway. Everything runs on one thread.
struct GatewayContext {
  GatewayContext(asio::io_context& io, const Settings& own_settings, const Adapter& own_adapter);

  /// Starts communication with peers.
  /// \return Unavailable if a port is in use.
  absl::Status Start();
  /// Retry budget of a service.
  policy::FleetRetryBudget& RetryBudgetFor(const std::string& service);
  /// Largest number of idle connections that this gateway keeps to one backend server of a service.
  [[nodiscard]] std::size_t MaxIdleConnections(const std::string& service) const;
  /// Finds out whether the backend server has crashed, after a connection to it broke: its host
  /// then refuses connections.
  void ProbeAfterBreak(const BackendServer& server);
  /// Records a refused or broken connection, a malformed response or a request without progress.
  void RecordServerFailure(const BackendServer& server, Time now);
  /// Records whether a complete response reports a failure of the backend server.
  void RecordServerResponse(const BackendServer& server, bool failed, Time now);
  /// Records the first byte of a response, or a failure, for the backend server's pace.
  void RecordPace(const BackendServer& server, const policy::PaceOutcome& outcome, Time now);
  /// Uniformly distributed in [0, 1).
  double RandomFraction() { return std::uniform_real_distribution<double>(0, 1)(random); }

  asio::io_context& io;
  const Settings& settings;
  const HeaderCodec& headers;
  RecordStore& store;
  std::mt19937_64 random;
  EventLog log;
  GatewayMetrics metrics;
  FleetState fleet;
  BackendPool pool;
  LoopMonitor monitor;
  policy::EngineLoad load;
  policy::CustomerShare share;
  policy::ServerHealth health;
  policy::ColdStartLimiter cold_start_limiter;
  policy::ServerPace pace;
  policy::CrashSuspects suspects;
  policy::SegmentQuarantine segments;
  CrashDetector crash_detector;
  policy::Dispatcher dispatcher;
  Peers peers;
  QuarantineRecords quarantine_records;
  RolloutManager rollouts;
  /// Open connections of callers. Shared with them, as some are only destroyed with `io`.
  std::shared_ptr<SessionSet> sessions = std::make_shared<SessionSet>();
  /// Number of requests from this gateway that are outstanding at each backend server.
  absl::flat_hash_map<ServerId, int> outstanding;
  absl::flat_hash_map<std::string, policy::FleetRetryBudget> budgets;
  policy::RequestMemory request_memory;
  /// Callers' connections whose requests occupy memory, by the number of the request.
  absl::flat_hash_map<policy::UploadNumber, CallerSession*> uploads;
  /// Requests that were refused as all bodies together would have taken too much memory.
  std::uint64_t refused_uploads = 0;
  /// Connections that were closed inside a request to make room for others.
  std::uint64_t closed_stalled_connections = 0;
  policy::ResponseMemory response_memory;
  /// Requests whose responses are being received, by the number of the response.
  absl::flat_hash_map<policy::ResponseNumber, Exchange*> receiving;
  Time started = Time{};
  policy::DrainAdmission drain;
  /// Requests that are being served. Shared with them, as some are only destroyed with `io`.
  std::shared_ptr<ExchangeSet> exchanges = std::make_shared<ExchangeSet>();

 private:
  void FillReport(wire::GatewayReport& report);
  void ApplyReport(const wire::GatewayReport& report);
  /// Adds what this gateway knows of requests that crash backend servers.
  void FillSuspectsReport(wire::GatewayReport& report, Time now) const;
  void ApplySuspectsReport(const wire::GatewayReport& report, Time now);
  void ClearServerState(const BackendServer& server);
  /// Begins the slow start of a backend server, unless this gateway itself has just started and may
  /// learn only now of servers that run for long.
  void BeginSlowStart(const BackendServer& server, std::string_view cause, Time now);
  /// Begins the slow start of a backend server that is ejected now.
  void SlowStartIfEjected(const BackendServer& server, Time now);
  void LogPace(const BackendServer& server, const policy::PaceChange& change,
               std::string_view cause);
  asio::awaitable<void> Probe(BackendServer server);
  /// Draws conclusions about segments that crash engines.
  void UpdateQuarantine(Time now);
  void FillQuarantineReport(wire::GatewayReport& report, Time now) const;
  void ApplyQuarantineReport(const wire::GatewayReport& report, Time now);
  /// Logs that a segment is now quarantined, and aborts the attempts at requests with it.
  void OnQuarantined(policy::SegmentId segment, std::string_view source);

  absl::flat_hash_set<ServerId> probed_servers_;
  std::uint64_t report_count_ = 0;
  ReportWindow report_window_;
  ReportFilter report_filter_;
};

}  // namespace lagoonwind::gateway
