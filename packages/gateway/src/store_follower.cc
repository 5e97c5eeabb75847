#include "store_follower.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "clock.h"

namespace lagoonwind::gateway {
namespace {

/// Pause after a failed call.
constexpr milliseconds kRetryPause{250};

}  // namespace

asio::awaitable<absl::Status> StoreFollower::ReadOnce() {
  ++calls_;
  if (!snapshot_read_) {
    auto page = co_await store_.ReadNewest(options_.topic);
    if (!page.ok()) {
      co_return page.status();
    }
    snapshot_read_ = true;
    fleet_.Apply(options_.topic, *page, true, "store", Now());
    co_return absl::OkStatus();
  }
  const std::int64_t from = fleet_.offset(options_.topic);
  // After a failure the call does not wait for records, so that a recovery of the store is noticed
  // at once.
  const milliseconds wait = connected_ ? options_.wait : milliseconds(0);
  auto page = co_await store_.ReadFrom(options_.topic, from, wait);
  if (absl::IsOutOfRange(page.status())) {
    snapshot_read_ = false;
    log_.Write(Severity::kState, "store_history_gone", {{"topic", options_.name}, {"from", from}});
    co_return absl::OkStatus();
  }
  if (!page.ok()) {
    co_return page.status();
  }
  fleet_.Apply(options_.topic, *page, false, "store", Now());
  co_return absl::OkStatus();
}

void StoreFollower::UpdateConnectionState(const absl::Status& status) {
  if (status.ok()) {
    last_response_ = Now();
  }
  if (status.ok() == connected_) {
    return;
  }
  connected_ = status.ok();
  if (connected_) {
    fleet_.StoreRecovered(Now());
    log_.Write(Severity::kState, "store_regained", {{"topic", options_.name}});
  } else {
    fleet_.StoreFailed();
    log_.Write(Severity::kState, "store_lost",
               {{"topic", options_.name}, {"reason", status.ToString()}});
  }
}

asio::awaitable<void> StoreFollower::Run() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  for (;;) {
    const absl::Status status = co_await ReadOnce();
    UpdateConnectionState(status);
    timer.expires_after(status.ok() ? options_.pause : kRetryPause);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

}  // namespace lagoonwind::gateway
