#include "rollout_manager.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iterator>
#include <utility>

#include "clock.h"

namespace lagoonwind::gateway {
namespace {

/// Pause between two reads of the status records while an order is in force.
constexpr milliseconds kStatusInterval{500};
/// Longest time between two updates of a process that was not suspended.
constexpr Duration kMaxUpdateInterval = std::chrono::seconds(1);

policy::RolloutVersion VersionOf(std::string_view version, const KnownRollout& order) {
  return version == order.request.target ? policy::RolloutVersion::kTarget
                                         : policy::RolloutVersion::kOld;
}

/// Name of a state in the log.
std::string_view Name(policy::RolloutState state) {
  switch (state) {
    case policy::RolloutState::kUnknown:
      return "unknown";
    case policy::RolloutState::kTrial:
      return "serving";
    case policy::RolloutState::kSwitching:
      return "switching";
    case policy::RolloutState::kComplete:
      return "complete";
    case policy::RolloutState::kReverted:
      return "reverted";
  }
  return "unknown";
}

}  // namespace

void RolloutManager::Begin(const std::string& service, const KnownRollout& order, Time now) {
  // After a suspension of the process the order may be older than it seems.
  const bool just_written =
      order.is_change && last_update_ && now - *last_update_ < kMaxUpdateInterval;
  const auto [it, inserted] = rollouts_.try_emplace(
      service, OngoingRollout{
                   .order = order,
                   .decision = policy::Rollout({.service = service,
                                                .target = order.request.target,
                                                .duration = order.request.duration,
                                                .id = order.id},
                                               *options_.limits, order.learned_at, just_written)});
  policy::Rollout& decision = it->second.decision;
  decision.SetSelf(options_.self);
  decision.SetMembers(options_.members(), now);
  for (const auto& [version, count] : running_[service]) {
    for (int i = 0; i < count; ++i) {
      decision.RecordSent(VersionOf(version, order), now);
    }
  }
  options_.log.Write(Severity::kState, "rollout_begun",
                     {{"service", service},
                      {"target", order.request.target},
                      {"order", order.id},
                      {"just_written", just_written}});
}

RolloutManager::OngoingRollout* RolloutManager::Find(const std::string& service, Time now) {
  if (!options_.limits) {
    return nullptr;
  }
  const auto& orders = options_.fleet.rollouts();
  const auto order = orders.find(service);
  const auto known = rollouts_.find(service);
  const bool is_current = order != orders.end() && known != rollouts_.end() &&
                          known->second.order.id == order->second.id;
  if (is_current) {
    return &known->second;
  }
  if (known != rollouts_.end()) {
    rollouts_.erase(known);
  }
  if (order == orders.end()) {
    return nullptr;
  }
  Begin(service, order->second, now);
  return &rollouts_.at(service);
}

void RolloutManager::Update(Time now) {
  const auto& orders = options_.fleet.rollouts();
  std::erase_if(rollouts_, [&](const auto& item) { return !orders.contains(item.first); });
  const std::vector<Incarnation> members =
      orders.empty() ? std::vector<Incarnation>() : options_.members();
  for (const auto& [service, order] : orders) {
    if (!options_.limits) {
      if (ignored_.insert(order.id).second) {
        options_.log.Write(Severity::kState, "rollout_ignored",
                           {{"service", service},
                            {"target", order.request.target},
                            {"order", order.id},
                            {"reason", "the settings have no canary_share"}});
      }
      continue;
    }
    OngoingRollout& rollout = *Find(service, now);
    const auto servers = options_.fleet.EligibleServers(service);
    const auto of_target =
        std::ranges::count_if(servers, [&order = order](const KnownServer* known) {
          return known->server.version == order.request.target;
        });
    rollout.decision.SetMembers(members, now);
    rollout.decision.SetServers(servers.size() - static_cast<std::size_t>(of_target),
                                static_cast<std::size_t>(of_target), now);
    rollout.decision.Update(now);
    LogState(service, rollout, now);
  }
  last_update_ = now;
}

void RolloutManager::LogState(const std::string& service, OngoingRollout& rollout, Time now) {
  const policy::Rollout& decision = rollout.decision;
  if (decision.state() == rollout.logged_state) {
    return;
  }
  rollout.logged_state = decision.state();
  const policy::RolloutEvidence evidence = decision.Evidence(now);
  options_.log.Write(Severity::kState, "rollout_state",
                     {{"service", service},
                      {"target", rollout.order.request.target},
                      {"order", rollout.order.id},
                      {"state", Name(decision.state())},
                      {"reason", decision.reason()},
                      {"elapsed_ms", Milliseconds(decision.Elapsed(now))},
                      {"requests", evidence.requests},
                      {"sent_old", evidence.sent[0]},
                      {"sent_target", evidence.sent[1]},
                      {"responses_old", evidence.responses[0]},
                      {"responses_target", evidence.responses[1]},
                      {"failures_old", evidence.failures[0]},
                      {"failures_target", evidence.failures[1]},
                      {"slow_old", evidence.slow[0]},
                      {"slow_target", evidence.slow[1]},
                      {"gateways", evidence.gateways},
                      {"oldest_report_ms", Milliseconds(evidence.oldest_report)}});
}

std::optional<policy::RolloutVersion> RolloutManager::Choose(const std::string& service,
                                                             policy::RouteId route, double random,
                                                             Time now) {
  OngoingRollout* const rollout = Find(service, now);
  return rollout == nullptr ? std::nullopt
                            : std::optional(rollout->decision.Choose(route, random, now));
}

void RolloutManager::CancelChoice(const std::string& service, Time now) {
  if (OngoingRollout* const rollout = Find(service, now); rollout != nullptr) {
    rollout->decision.CancelChoice(now);
  }
}

std::optional<policy::RolloutVersion> RolloutManager::RetryVersion(const std::string& service,
                                                                   Time now) {
  OngoingRollout* const rollout = Find(service, now);
  return rollout == nullptr ? std::nullopt : std::optional(rollout->decision.RetryVersion(now));
}

bool RolloutManager::IsOf(const std::string& service, std::string_view version,
                          std::optional<policy::RolloutVersion> chosen) const {
  const auto& orders = options_.fleet.rollouts();
  const auto order = orders.find(service);
  return !chosen || order == orders.end() || VersionOf(version, order->second) == *chosen;
}

void RolloutManager::RecordSent(const std::string& service, const std::string& version, Time now) {
  if (!options_.limits) {
    return;
  }
  OngoingRollout* const rollout = Find(service, now);
  ++running_[service][version];
  if (rollout != nullptr) {
    rollout->decision.RecordSent(VersionOf(version, rollout->order), now);
  }
}

void RolloutManager::RecordEnd(const std::string& service, const std::string& version,
                               const policy::RolloutOutcome& outcome, Time now) {
  if (!options_.limits) {
    return;
  }
  OngoingRollout* const rollout = Find(service, now);
  auto& versions = running_[service];
  if (--versions[version] <= 0) {
    versions.erase(version);
  }
  if (rollout != nullptr) {
    rollout->decision.RecordEnd(VersionOf(version, rollout->order), outcome, now);
  }
}

std::vector<policy::RolloutReport> RolloutManager::LocalReports(Time now) const {
  std::vector<policy::RolloutReport> reports;
  std::ranges::transform(rollouts_, std::back_inserter(reports),
                         [&](const auto& item) { return item.second.decision.LocalReport(now); });
  return reports;
}

void RolloutManager::MergePeerReports(Incarnation peer,
                                      const std::vector<policy::RolloutReport>& reports, Time now) {
  for (const policy::RolloutReport& report : reports) {
    for (auto& [service, rollout] : rollouts_) {
      if (rollout.order.id == report.order_id) {
        rollout.decision.MergePeerReport(peer, report, now);
      }
    }
  }
}

void RolloutManager::UpdateMetrics(GatewayMetrics& metrics, Time now) const {
  for (const auto& [service, rollout] : rollouts_) {
    const policy::RolloutEvidence evidence = rollout.decision.Evidence(now);
    metrics.Set("lagoonwind_gateway_rollout_state",
                "0 unknown, 1 trial, 2 switching, 3 complete, 4 reverted",
                static_cast<double>(rollout.decision.state()), service);
    const auto set = [&metrics, &service = service](const std::string& what,
                                                    const std::string& help, const auto& counts) {
      metrics.Set("lagoonwind_gateway_rollout_old_" + what, help + " old version, all gateways",
                  static_cast<double>(counts[0]), service);
      metrics.Set("lagoonwind_gateway_rollout_target_" + what, help + " target, all gateways",
                  static_cast<double>(counts[1]), service);
    };
    set("sent_total", "Attempts sent to the", evidence.sent);
    set("responses_total", "Responses of the", evidence.responses);
    set("failures_total", "Failures of the", evidence.failures);
    set("slow_total", "Slow responses of the", evidence.slow);
  }
}

std::optional<RolloutStatusRecord> RolloutManager::DueStatus(const std::string& service,
                                                             const OngoingRollout& rollout) const {
  if (!options_.is_writer(rollout.order.id)) {
    return std::nullopt;
  }
  RolloutStatusRecord status{.service = service,
                             .target = rollout.order.request.target,
                             .state = policy::RolloutState::kTrial,
                             .order_id = rollout.order.id,
                             .reason = "the order was read"};
  if (const auto conclusion = rollout.decision.Conclusion(Now())) {
    status.state = conclusion->state;
    status.reason = conclusion->reason;
    return status;
  }
  return rollout.stored ? std::nullopt : std::optional(status);
}

bool RolloutManager::HasPendingWrite() const {
  return std::ranges::any_of(
      rollouts_, [&](const auto& item) { return DueStatus(item.first, item.second).has_value(); });
}

void RolloutManager::ApplyStatusPage(const RecordPage& page,
                                     const std::vector<std::uint64_t>& unknown) {
  for (const Record& record : page.records) {
    const auto status = options_.codec.DecodeRolloutStatus(record);
    if (absl::IsNotFound(status.status())) {
      continue;
    }
    if (!status.ok()) {
      options_.log.Write(Severity::kFailure, "rollout_status_not_understood",
                         {{"key", record.key}, {"reason", status.status().ToString()}});
      continue;
    }
    const auto rollout = rollouts_.find(status->service);
    if (rollout == rollouts_.end() || rollout->second.order.id != status->order_id) {
      continue;
    }
    rollout->second.decision.ApplyStatus({.order_id = status->order_id, .state = status->state},
                                         Now());
    if (std::exchange(rollout->second.stored, status->state) == status->state) {
      continue;
    }
    options_.log.Write(Severity::kState, "rollout_status_read",
                       {{"service", status->service},
                        {"target", status->target},
                        {"order", status->order_id},
                        {"state", Name(status->state)},
                        {"reason", status->reason}});
  }
  for (auto& [service, rollout] : rollouts_) {
    if (!rollout.stored && std::ranges::find(unknown, rollout.order.id) != unknown.end()) {
      rollout.decision.ApplyStatus({.order_id = rollout.order.id}, Now());
    }
  }
}

asio::awaitable<absl::Status> RolloutManager::SynchronizeStatus() {
  ++calls_;
  std::vector<std::uint64_t> unknown;
  for (const auto& [service, rollout] : rollouts_) {
    if (rollout.decision.state() == policy::RolloutState::kUnknown) {
      unknown.push_back(rollout.order.id);
    }
  }
  const auto page = co_await options_.store.ReadNewest(Topic::kStatus);
  if (!page.ok()) {
    co_return page.status();
  }
  Update(Now());
  ApplyStatusPage(*page, unknown);
  for (const auto& [service, rollout] : rollouts_) {
    const auto due = DueStatus(service, rollout);
    if (!due) {
      continue;
    }
    const RolloutStatusRecord& status = *due;
    ++calls_;
    // One write for each read: its condition no longer holds for a second one. `rollouts_` may
    // change during the call.
    const absl::Status written = co_await options_.store.WriteAt(
        Topic::kStatus, options_.codec.EncodeRolloutStatus(status), page->next_offset);
    options_.log.Write(written.ok() ? Severity::kState : Severity::kFailure,
                       "rollout_status_written",
                       {{"service", status.service},
                        {"target", status.target},
                        {"order", status.order_id},
                        {"state", Name(status.state)},
                        {"at", page->next_offset},
                        {"outcome", written.ToString()}});
    co_return written;
  }
  co_return absl::OkStatus();
}

asio::awaitable<void> RolloutManager::MaintainStatus() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  for (;;) {
    Update(Now());
    if (options_.limits && !rollouts_.empty()) {
      // A write without a response is settled by the next read.
      const absl::Status status = co_await SynchronizeStatus();
      if (!status.ok()) {
        options_.log.Write(Severity::kFailure, "rollout_status_pending",
                           {{"pending_write", HasPendingWrite()}, {"reason", status.ToString()}});
      }
    }
    timer.expires_after(kStatusInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

}  // namespace lagoonwind::gateway
