#include "rollout_manager.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "clock.h"

namespace lagoonwind::gateway {
namespace {

/// Pause between two reads of the status records while an order is in force.
constexpr milliseconds kStatusInterval{500};

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

void RolloutManager::Update(Time /*now*/) {
  const auto& orders = options_.fleet.rollouts();
  std::erase_if(rollouts_, [&](const auto& item) {
    const auto order = orders.find(item.first);
    return order == orders.end() || order->second.id != item.second.order.id;
  });
  for (const auto& [service, order] : orders) {
    const auto [it, inserted] = rollouts_.try_emplace(service, OngoingRollout{.order = order});
    if (inserted) {
      options_.log.Write(Severity::kState, options_.limits ? "rollout_begun" : "rollout_ignored",
                         {{"service", service},
                          {"target", order.request.target},
                          {"order", order.id},
                          {"reason", options_.limits ? "" : "the settings have no canary_share"}});
    }
    const auto servers = options_.fleet.EligibleServers(service);
    it->second.had_old_servers |= std::ranges::any_of(servers, [&](const KnownServer* known) {
      return known->server.version != order.request.target;
    });
  }
}

bool RolloutManager::MaySendTo(const std::string& service, std::string_view version) const {
  if (!options_.limits) {
    return true;
  }
  // The order itself counts, not the last update, so that no request precedes its effect.
  const auto& orders = options_.fleet.rollouts();
  const auto order = orders.find(service);
  if (order == orders.end()) {
    return true;
  }
  const bool is_target = version == order->second.request.target;
  const auto rollout = rollouts_.find(service);
  if (rollout == rollouts_.end() || rollout->second.order.id != order->second.id) {
    return !is_target;
  }
  if (rollout->second.stored == policy::RolloutState::kComplete) {
    return is_target;
  }
  return !is_target || !rollout->second.had_old_servers;
}

bool RolloutManager::HasPendingWrite() const {
  return std::ranges::any_of(rollouts_, [&](const auto& item) {
    return !item.second.stored && options_.is_writer(item.second.order.id);
  });
}

void RolloutManager::ApplyStatusPage(const RecordPage& page) {
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
    if (rollout == rollouts_.end() || rollout->second.order.id != status->order_id ||
        rollout->second.stored == status->state) {
      continue;
    }
    rollout->second.stored = status->state;
    options_.log.Write(Severity::kState, "rollout_status_read",
                       {{"service", status->service},
                        {"target", status->target},
                        {"order", status->order_id},
                        {"state", Name(status->state)},
                        {"reason", status->reason}});
  }
}

asio::awaitable<absl::Status> RolloutManager::SynchronizeStatus() {
  ++calls_;
  const auto page = co_await options_.store.ReadNewest(Topic::kStatus);
  if (!page.ok()) {
    co_return page.status();
  }
  Update(Now());
  ApplyStatusPage(*page);
  for (const auto& [service, rollout] : rollouts_) {
    if (rollout.stored || !options_.is_writer(rollout.order.id)) {
      continue;
    }
    const RolloutStatusRecord status{.service = service,
                                     .target = rollout.order.request.target,
                                     .state = policy::RolloutState::kTrial,
                                     .order_id = rollout.order.id,
                                     .reason = "the order was read"};
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
