#include "gateway_context.h"

#include <algorithm>

#include "clock.h"

namespace lagoonwind::gateway {
namespace {

/// Time for which new facts are repeated in reports, so that a lost datagram loses none.
constexpr Duration kPartRepeatTime = std::chrono::milliseconds(170);
constexpr Duration kCrashRepeatTime = std::chrono::milliseconds(500);
/// Customers change slowly; only every so many reports name them.
constexpr std::uint64_t kCustomersEvery = 3;
/// Reports between looks for peers that no longer report.
constexpr std::uint64_t kSilentPeersEvery = 10;

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
      log(own_settings.name, own_settings.processor_share),
      facts(own_adapter.records, log),
      pool(own_io),
      monitor(own_io, log),
      load(policy::EngineLoadInit{}),
      share(std::chrono::duration_cast<Duration>(own_settings.share_window)),
      crashes(suspects, log),
      dispatch(load, share, health, cold),
      peers(own_io,
            {.settings = own_settings,
             .incarnation = Incarnation{random() | 1U},
             .store = own_adapter.store,
             .facts = facts,
             .log = log,
             .report_received = [this](const wire::GatewayReport& report) { TakeReport(report); },
             .report_wanted = [this](wire::GatewayReport& report) { FillReport(report); }}),
      started(Now()) {
  facts.OnServerGone([this](const BackendServer& server) { ForgetServer(server); });
}

absl::Status GatewayContext::Start() { return peers.Start(); }

policy::RetryBudget& GatewayContext::BudgetOf(const std::string& service) {
  const policy::RetryBudgetInit init{
      .ratio = settings.retry_ratio,
      .slack = settings.retry_slack,
      .window = std::chrono::duration_cast<Duration>(settings.retry_window)};
  return budgets.try_emplace(service, init).first->second;
}

void GatewayContext::FillReport(wire::GatewayReport& report) {
  const Time now = Now();
  if (reports_ % kSilentPeersEvery == 0) {
    load.DropSilentPeers(now);
  }
  report.engines = load.Reports();
  report.segments = load.PartsSince(now - kPartRepeatTime);
  report.crashes = suspects.CrashesSince(now - kCrashRepeatTime);
  if (reports_++ % kCustomersEvery == 0) {
    report.customers = share.Reports();
  }
  filter_.Apply(report);
}

void GatewayContext::TakeReport(const wire::GatewayReport& report) {
  const Time now = Now();
  load.PeerReported(report.sender, report.engines, report.segments, now);
  share.PeerReported(report.sender, report.customers, now);
  std::ranges::for_each(report.crashes, [&](const policy::CrashSuspects::Crash& crash) {
    suspects.PeerCrashed(crash, now);
  });
}

void GatewayContext::ForgetServer(const BackendServer& server) {
  crashes.Restarted(server.id, Now());
  pool.Drop(server.id);
  load.Forget(server.id);
  health.Forget(server.id);
}

}  // namespace lagoonwind::gateway
