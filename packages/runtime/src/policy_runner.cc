#include "policy_runner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "lagoonwind/limits.h"

namespace lagoonwind::runtime {
namespace {

namespace asio = http::asio;

Time Now() { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }

}  // namespace

PolicyRunner::PolicyRunner(asio::io_context& io, std::unique_ptr<policy::Policy> policy)
    : strand_(asio::make_strand(io)), policy_(std::move(policy)) {}

void PolicyRunner::Start(ActionHandler handler, Metrics& metrics) {
  handler_ = std::move(handler);
  metrics_ = &metrics;
  asio::co_spawn(strand_, RunTimer(), asio::detached);
}

void PolicyRunner::Post(policy::Event event) {
  {
    const std::scoped_lock lock(pending_mutex_);
    pending_events_.push_back(std::move(event));
    if (std::exchange(step_scheduled_, true)) {
      return;
    }
  }
  asio::post(strand_, [this] { RunStep(); });
}

policy::Stats PolicyRunner::stats() const {
  const std::scoped_lock lock(step_mutex_);
  return policy_->stats();
}

std::vector<policy::Decision> PolicyRunner::FindDecisions(RequestId request, CustomerId customer,
                                                          MemberId member) const {
  const std::scoped_lock lock(step_mutex_);
  return policy_->FindDecisions(request, customer, member);
}

asio::awaitable<void> PolicyRunner::RunTimer() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  for (;;) {
    timer.expires_after(limits::kStepInterval);
    co_await timer.async_wait(asio::use_awaitable);
    RunStep();
  }
}

void PolicyRunner::RunStep() {
  std::vector<policy::Event> events;
  {
    const std::scoped_lock lock(pending_mutex_);
    events.swap(pending_events_);
    step_scheduled_ = false;
  }
  std::vector<policy::Action> actions;
  const auto started_at = std::chrono::steady_clock::now();
  {
    const std::scoped_lock lock(step_mutex_);
    actions = policy_->Step(Now(), events);
  }
  metrics_->StepFinished(
      std::chrono::duration<double>(std::chrono::steady_clock::now() - started_at).count());
  for (const auto& action : actions) {
    handler_(action);
  }
}

}  // namespace lagoonwind::runtime
