#include "gateway_context.h"

#include <algorithm>

#include "clock.h"

namespace lagoonwind::gateway {
namespace {

/// Time for which crashes are repeated in reports, so that a single lost datagram loses none.
constexpr Duration kCrashRepeatTime = std::chrono::milliseconds(500);
/// Customers' figures change slowly, so only every third report includes them.
constexpr std::uint64_t kReportsPerCustomerUpdate = 3;
/// Fraction of a backend server's connection limit that the idle connections of all gateways may
/// occupy.
constexpr double kIdleConnectionFraction = 0.5;
/// Largest number of idle connections to one backend server.
constexpr double kMaxIdleConnections = 64;
/// Number of reports between cleanups of the load reported by peers that went silent.
constexpr std::uint64_t kReportsPerPeerCleanup = 10;

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
      crash_detector(suspects, log),
      dispatcher(load, share, health, cold_start_limiter),
      peers(own_io,
            {.settings = own_settings,
             .incarnation = Incarnation{random() | 1U},
             .store = own_adapter.store,
             .fleet = fleet,
             .log = log,
             .on_report = [this](const wire::GatewayReport& report) { ApplyReport(report); },
             .fill_report = [this](wire::GatewayReport& report) { FillReport(report); }}),
      started(Now()) {
  fleet.SetServerRemovedCallback([this](const BackendServer& server) { ClearServerState(server); });
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
  // Each segment is in two reports, so that a single lost datagram loses none.
  report.segments = load.SegmentsSince(last_reports_at_[0]);
  last_reports_at_ = {last_reports_at_[1], now};
  report.crashes = suspects.CrashesSince(now - kCrashRepeatTime);
  if (report_count_++ % kReportsPerCustomerUpdate == 0) {
    report.customers = share.LocalReports();
  }
  report_filter_.Apply(report);
}

void GatewayContext::ApplyReport(const wire::GatewayReport& report) {
  const Time now = Now();
  load.MergePeerReport(report.sender, report.engines, report.segments, now);
  share.MergePeerReport(report.sender, report.customers, now);
  std::ranges::for_each(report.crashes, [&](const policy::CrashSuspects::Crash& crash) {
    suspects.MergePeerCrash(crash, now);
  });
}

void GatewayContext::ClearServerState(const BackendServer& server) {
  crash_detector.OnServerRestarted(server.id, Now());
  pool.CloseIdle(server.id);
  load.Remove(server.id);
  health.Remove(server.id);
}

}  // namespace lagoonwind::gateway
