#include "gateway_context.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <iterator>

#include "clock.h"
#include "exchange.h"
#include "quarantined_request_log.h"
#include "spawn.h"

namespace lagoonwind::gateway {
namespace {

/// Shortest time for which crashes and responses that clear segments are repeated in reports, so
/// that a short loss of all datagrams loses none.
constexpr Duration kMinCrashRepeatTime = std::chrono::milliseconds(500);
/// Customers' figures change slowly, so only every third report includes them.
constexpr std::uint64_t kReportsPerCustomerUpdate = 3;
/// Fraction of a backend server's connection limit that the idle connections of all gateways may
/// occupy.
constexpr double kIdleConnectionFraction = 0.5;
/// Largest number of idle connections to one backend server.
constexpr double kMaxIdleConnections = 64;
/// Reports between two that list the quarantined segments: for gateways that start, and for those
/// that lost the reports of the crashes.
constexpr std::uint64_t kReportsPerQuarantineList = 8;
/// Gateways that write the record of a quarantined segment. One may be cut off from the store.
constexpr int kQuarantineWriters = 2;
/// Reports between two that state the progress of roll-outs.
constexpr std::uint64_t kReportsPerRolloutUpdate = 2;
/// Gateways that write the status of a roll-out. Some may be cut off from the store.
constexpr int kRolloutWriters = 3;
/// Largest number of quarantined requests in one report.
constexpr std::size_t kMaxListedRequests = 64;
/// Fraction of the process memory that responses may occupy until they are passed on.
constexpr double kResponseMemoryFraction = 0.2;
/// Fraction of the process memory that requests' bodies may occupy.
constexpr double kRequestMemoryFraction = 0.2;
/// Further fraction that only small requests may occupy, so that large ones don't displace them.
constexpr double kSmallRequestMemoryFraction = 0.05;
/// Number of reports between cleanups of the load reported by peers that went silent.
constexpr std::uint64_t kReportsPerPeerCleanup = 10;

/// Time after the start in which this gateway learns which backend servers run.
constexpr Duration kStartupTime = std::chrono::milliseconds(2500);

std::uint64_t MemoryFraction(const Settings& settings, double fraction) {
  return static_cast<std::uint64_t>(static_cast<double>(settings.memory_bytes) * fraction);
}

std::uint64_t RandomSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

}  // namespace

GatewayContext::GatewayContext(asio::io_context& own_io, const Settings& own_settings,
                               const Adapter& own_adapter)
    : io(own_io),
      settings(own_settings),
      headers(own_adapter.headers),
      store(own_adapter.store),
      random(RandomSeed()),
      log(own_settings.name, own_settings.cpu_cores),
      fleet(own_adapter.records, log),
      pool(own_io),
      monitor(own_io, log),
      load(policy::EngineLoadOptions{}),
      share(std::chrono::duration_cast<Duration>(own_settings.share_window)),
      pace(random()),
      crash_detector(suspects, segments, log),
      dispatcher(load, share, health, cold_start_limiter, &pace),
      peers(own_io,
            {.settings = own_settings,
             .incarnation = Incarnation{random() | 1U},
             .store = own_adapter.store,
             .fleet = fleet,
             .suspects = suspects,
             .log = log,
             .on_report = [this](const wire::GatewayReport& report) { ApplyReport(report); },
             .fill_report = [this](wire::GatewayReport& report) { FillReport(report); }}),
      quarantine_records(
          {.store = own_adapter.store,
           .segments = segments,
           .suspects = suspects,
           .log = log,
           .on_segment_quarantined =
               [this](policy::SegmentId segment) { OnQuarantined(segment, "store"); },
           .is_writer =
               [this](std::uint64_t key) { return peers.IsOwner(key, kQuarantineWriters); },
           .fleet_size = [this] { return peers.fleet_size(); }}),
      rollouts(
          {.store = own_adapter.store,
           .codec = own_adapter.records,
           .fleet = fleet,
           .log = log,
           .limits = own_settings.rollout,
           .is_writer = [this](std::uint64_t key) { return peers.IsOwner(key, kRolloutWriters); },
           .self = peers.incarnation(),
           .members = [this] { return peers.Members(); }}),
      request_memory(MemoryFraction(own_settings, kRequestMemoryFraction),
                     MemoryFraction(own_settings, kSmallRequestMemoryFraction)),
      response_memory(MemoryFraction(own_settings, kResponseMemoryFraction)),
      started(Now()) {
  fleet.SetServerRemovedCallback([this](const BackendServer& server) { ClearServerState(server); });
  fleet.SetServerStartedCallback([this](const BackendServer& server, std::string_view reason,
                                        Time now) { BeginSlowStart(server, reason, now); });
}

absl::Status GatewayContext::Start() { return peers.Start(); }

policy::FleetRetryBudget& GatewayContext::RetryBudgetFor(const std::string& service) {
  const policy::FleetRetryBudgetOptions options{
      .ratio = settings.retry_ratio,
      .slack = settings.retry_slack,
      .window = std::chrono::duration_cast<Duration>(settings.retry_window)};
  return budgets.try_emplace(service, options).first->second;
}

std::size_t GatewayContext::MaxIdleConnections(const std::string& service) const {
  const auto configuration = fleet.configuration();
  const auto found = configuration->services.find(service);
  const bool limited = found != configuration->services.end() && found->second.max_connections > 0;
  const double limit =
      limited ? kIdleConnectionFraction * found->second.max_connections / peers.fleet_size()
              : kMaxIdleConnections;
  return static_cast<std::size_t>(std::clamp(limit, 1.0, kMaxIdleConnections));
}

void GatewayContext::FillReport(wire::GatewayReport& report) {
  const Time now = Now();
  if (report_count_ % kReportsPerPeerCleanup == 0) {
    load.DropSilentPeers(now);
  }
  report.engines = load.LocalReports();
  report.segments = load.SegmentsSince(report_window_.start());
  FillSuspectsReport(report, now);
  UpdateQuarantine(now);
  FillQuarantineReport(report, now);
  report_window_.RecordReport(now);
  if (report_count_++ % kReportsPerCustomerUpdate == 0) {
    report.customers = share.LocalReports();
  }
  if (report_count_ % kReportsPerRolloutUpdate == 0) {
    report.rollouts = rollouts.LocalReports(now);
  }
  report_filter_.Apply(report);
}

void GatewayContext::ApplyReport(const wire::GatewayReport& report) {
  const Time now = Now();
  load.MergePeerReport(report.sender, report.engines, report.segments, now);
  share.MergePeerReport(report.sender, report.customers, now);
  rollouts.MergePeerReports(report.sender, report.rollouts, now);
  ApplySuspectsReport(report, now);
  ApplyQuarantineReport(report, now);
}

void GatewayContext::FillSuspectsReport(wire::GatewayReport& report, Time now) const {
  const auto age = [now](Time at) { return std::chrono::duration_cast<milliseconds>(now - at); };
  const Time since = report_window_.StartFor(kMinCrashRepeatTime, now);
  for (const policy::CrashSuspects::Crash& crash : suspects.CrashesSince(since)) {
    report.crashes.push_back(
        {.digest = crash.digest, .server = crash.server, .age = age(crash.at)});
  }
  for (const policy::CrashSuspects::Response& response : suspects.ResponsesSince(since)) {
    report.request_responses.push_back({.digest = response.digest, .age = age(response.at)});
  }
  if (report_count_ % kReportsPerQuarantineList == 0 || suspects.last_change() >= since) {
    for (const policy::SuspectRequest& request : suspects.Quarantined(kMaxListedRequests, now)) {
      report.quarantined_requests.push_back(
          {.digest = request.digest, .age = age(request.last_crash), .trials = request.trials});
    }
  }
}

void GatewayContext::ApplySuspectsReport(const wire::GatewayReport& report, Time now) {
  for (const wire::RequestResponseReport& response : report.request_responses) {
    suspects.MergePeerResponse({.digest = response.digest, .at = now - response.age});
  }
  for (const wire::CrashReport& crash : report.crashes) {
    if (suspects.MergePeerCrash(
            {.digest = crash.digest, .server = crash.server, .at = now - crash.age}, now)) {
      LogQuarantinedRequest(log, crash.digest, "crashes");
    }
  }
  for (const wire::QuarantinedRequestReport& request : report.quarantined_requests) {
    if (suspects.Merge({.digest = request.digest,
                        .last_crash = now - request.age,
                        .trials = request.trials,
                        .quarantined = true},
                       now)) {
      LogQuarantinedRequest(log, request.digest, "peer");
    }
  }
}

void GatewayContext::UpdateQuarantine(Time now) {
  for (const policy::SegmentId segment : segments.Update(now)) {
    OnQuarantined(segment, "crashes");
  }
}

void GatewayContext::OnQuarantined(policy::SegmentId segment, std::string_view source) {
  log.Write(Severity::kState, "segment_quarantined",
            {{"segment", absl::StrFormat("%x", segment.value)}, {"source", source}});
  std::ranges::for_each(*exchanges, &Exchange::AbortIfQuarantined);
}

void GatewayContext::FillQuarantineReport(wire::GatewayReport& report, Time now) const {
  const auto age = [now](Time at) { return std::chrono::duration_cast<milliseconds>(now - at); };
  const Time since = report_window_.StartFor(kMinCrashRepeatTime, now);
  for (policy::CrashVictim& victim : segments.LocalVictimsSince(since)) {
    report.crash_victims.push_back({.server = victim.server,
                                    .request = victim.request,
                                    .segments = std::move(victim.segments),
                                    .sent_age = age(victim.sent_at),
                                    .crash_age = age(victim.crashed_at)});
  }
  for (const policy::SegmentTime& response : segments.LocalResponsesSince(since)) {
    report.segment_responses.push_back({.segment = response.segment, .age = age(response.at)});
  }
  if (report_count_ % kReportsPerQuarantineList == 0) {
    const auto quarantined = segments.Quarantined();
    auto& listed = report.quarantined_segments.emplace();
    listed.reserve(quarantined.size());
    std::ranges::transform(quarantined, std::back_inserter(listed), [&](const auto& entry) {
      return wire::QuarantinedSegmentReport{
          .segment = entry.segment, .age = age(entry.last_crash), .trials = entry.trials};
    });
  }
}

void GatewayContext::ApplyQuarantineReport(const wire::GatewayReport& report, Time now) {
  // Responses first: they may clear segments of the crashes that follow.
  for (const wire::SegmentEventReport& response : report.segment_responses) {
    segments.MergePeerResponse({.segment = response.segment, .at = now - response.age});
  }
  for (const wire::CrashVictimReport& victim : report.crash_victims) {
    segments.MergePeerVictim(victim.ToVictim(now), now);
  }
  if (!report.quarantined_segments) {
    return;
  }
  quarantine_records.RecordPeerList();
  for (const wire::QuarantinedSegmentReport& entry : *report.quarantined_segments) {
    const policy::QuarantinedSegment quarantine{
        .segment = entry.segment, .last_crash = now - entry.age, .trials = entry.trials};
    if (segments.MergeQuarantine(quarantine, now)) {
      OnQuarantined(entry.segment, "peer");
    }
  }
}

void GatewayContext::ProbeAfterBreak(const BackendServer& server) {
  if (probed_servers_.insert(server.id).second) {
    Spawn(io, log, "probe", Probe(server));
  }
}

asio::awaitable<void> GatewayContext::Probe(BackendServer server) {
  const auto connection = co_await pool.Open(server.address);
  probed_servers_.erase(server.id);
  if (absl::IsUnavailable(connection.status())) {
    crash_detector.OnConnectionRefused(server.id, Now());
    fleet.AssumeRestarted(server.id, Now());
  }
}

void GatewayContext::ClearServerState(const BackendServer& server) {
  crash_detector.OnServerRestarted(server.id, Now());
  pool.CloseIdle(server.id);
  load.Remove(server.id);
  health.Remove(server.id);
  pace.Remove(server.id);
}

void GatewayContext::RecordServerFailure(const BackendServer& server, Time now) {
  health.RecordFailure(server.id, now);
  RecordPace(server, {.failed = true}, now);
  SlowStartIfEjected(server, now);
}

void GatewayContext::RecordServerResponse(const BackendServer& server, bool failed, Time now) {
  health.RecordResponse(server.id, failed, now);
  SlowStartIfEjected(server, now);
}

void GatewayContext::RecordPace(const BackendServer& server, const policy::PaceOutcome& outcome,
                                Time now) {
  if (!settings.slow_start) {
    return;
  }
  if (const auto change = pace.RecordOutcome(server.service, server.id, outcome, now)) {
    LogPace(server, *change, "responses");
  }
}

void GatewayContext::BeginSlowStart(const BackendServer& server, std::string_view cause, Time now) {
  if (!settings.slow_start || now - started < kStartupTime) {
    return;
  }
  if (const auto change = pace.Begin(server.id, now)) {
    LogPace(server, *change, cause);
  }
}

void GatewayContext::SlowStartIfEjected(const BackendServer& server, Time now) {
  if (health.IsEjected(server.id, now)) {
    BeginSlowStart(server, "ejected", now);
  }
}

void GatewayContext::LogPace(const BackendServer& server, const policy::PaceChange& change,
                             std::string_view cause) {
  const bool is_step = change.reason != policy::PaceReason::kStarted && change.fraction < 1;
  const bool is_step_up = change.fraction > change.previous;
  // Steps down count as failures, whose rate in the log is limited.
  const Severity severity = !is_step     ? Severity::kState
                            : is_step_up ? Severity::kRoutine
                                         : Severity::kFailure;
  log.Write(severity, "server_pace",
            {{"server", server.name},
             {"service", server.service},
             {"reason", policy::Name(change.reason)},
             {"cause", cause},
             {"fraction", change.fraction},
             {"previous", change.previous},
             {"responses", change.responses},
             {"slowdown", change.slowdown},
             {"failure_ratio", change.failure_ratio},
             {"peer_slowdown", change.peer_slowdown},
             {"peer_failure_ratio", change.peer_failure_ratio},
             {"peers", change.peers}});
}

}  // namespace lagoonwind::gateway
