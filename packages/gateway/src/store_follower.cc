#include "store_follower.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "clock.h"

namespace lagoonwind::gateway {
namespace {

/// Long-poll time while records wait to be confirmed by the store.
constexpr milliseconds kConfirmationWait{1000};
/// Pause after a failed call.
constexpr milliseconds kRetryPause{250};

absl::Status OlderGeneration(std::int64_t stated, std::int64_t known) {
  return absl::AbortedError(absl::StrCat("the store states generation ", stated,
                                         " of its history, after generation ", known));
}

}  // namespace

asio::awaitable<absl::Status> StoreFollower::ReadSnapshot() {
  ++calls_;
  const StorePosition before = fleet_.position(options_.topic);
  auto page = co_await store_.ReadNewest(options_.topic);
  if (!page.ok()) {
    co_return page.status();
  }
  page->generation = page->generation == 0 ? before.generation : page->generation;
  if (page->generation < before.generation) {
    co_return OlderGeneration(page->generation, before.generation);
  }
  if (page->generation == before.generation && page->next_offset < before.offset) {
    fleet_.HistoryReplaced(options_.topic, Now());
  }
  snapshot_read_ = true;
  fleet_.Apply(options_.topic, *page, true, kStoreSource, Now());
  co_return absl::OkStatus();
}

asio::awaitable<absl::Status> StoreFollower::ReadOnce() {
  started_over_ = false;
  if (!snapshot_read_) {
    co_return co_await ReadSnapshot();
  }
  ++calls_;
  const StorePosition from = fleet_.position(options_.topic);
  // After a failure the call does not wait for records, so that a recovery of the store is noticed
  // at once.
  const milliseconds longest_wait = connected_ ? options_.wait : milliseconds(0);
  const milliseconds wait = fleet_.AwaitsConfirmation(options_.topic)
                                ? std::min(longest_wait, kConfirmationWait)
                                : longest_wait;
  auto page = co_await store_.ReadFrom(options_.topic, from.offset, wait);
  if (absl::IsOutOfRange(page.status())) {
    log_.Write(Severity::kState, "store_history_gone",
               {{"topic", options_.name},
                {"from", from.offset},
                {"generation", from.generation},
                {"reason", page.status().ToString()}});
  } else if (!page.ok()) {
    co_return page.status();
  }
  if (!page.ok() || page->generation > from.generation) {
    // The store may have given out the offset again, after records that were not read.
    snapshot_read_ = false;
    started_over_ = true;
    co_return co_await ReadSnapshot();
  }
  page->generation = page->generation == 0 ? from.generation : page->generation;
  if (page->generation < from.generation) {
    co_return OlderGeneration(page->generation, from.generation);
  }
  fleet_.Apply(options_.topic, *page, false, kStoreSource, Now());
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
    timer.expires_after(status.ok() && !started_over_ ? options_.pause : kRetryPause);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

}  // namespace lagoonwind::gateway
