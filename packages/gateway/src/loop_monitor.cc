#include "loop_monitor.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "clock.h"

namespace lagoonwind::gateway {
namespace {

namespace asio = boost::asio;

/// Interval of the measurements, and of batches while the loop is late. Well below the lag that
/// callers notice in a stream.
constexpr Duration kInterval = std::chrono::milliseconds(40);
/// Weight of one measurement.
constexpr double kWeight = 0.2;
/// Lateness from which on stream events are passed on in batches.
constexpr Duration kBatchLateness = std::chrono::milliseconds(4);
/// Lateness from which on batches are twice as long.
constexpr Duration kLongBatchLateness = std::chrono::milliseconds(15);
/// Lateness from which on new callers had better go elsewhere, if it lasts; and the one that ends
/// it.
constexpr Duration kOverloadLateness = std::chrono::milliseconds(80);
constexpr Duration kRelaxedLateness = std::chrono::milliseconds(20);
constexpr Duration kOverloadTime = std::chrono::milliseconds(300);
constexpr Duration kRelaxedTime = std::chrono::milliseconds(2500);
/// Lateness from which on new requests are refused: a good part of any objective, since each
/// request needs several turns of the loop.
constexpr Duration kSaturatedLateness = std::chrono::milliseconds(150);

}  // namespace

LoopMonitor::LoopMonitor(asio::io_context& io, EventLog& log) : log_(log), timer_(io), batch_(io) {}

bool LoopMonitor::saturated() const { return lateness_ > kSaturatedLateness; }

void LoopMonitor::Note(Duration late, Time now) {
  const double smoothed = static_cast<double>(lateness_.count()) * (1 - kWeight) +
                          static_cast<double>(late.count()) * kWeight;
  lateness_ = Duration{static_cast<Duration::rep>(smoothed)};
  const bool late_now = lateness_ > kOverloadLateness;
  const bool relaxed_now = lateness_ < kRelaxedLateness;
  overloaded_since_ = late_now ? (overloaded_since_ == Time{} ? now : overloaded_since_) : Time{};
  relaxed_since_ = relaxed_now ? (relaxed_since_ == Time{} ? now : relaxed_since_) : Time{};
  const bool begins =
      !overloaded_ && (saturated() || (late_now && now - overloaded_since_ > kOverloadTime));
  const bool ends = overloaded_ && relaxed_now && now - relaxed_since_ > kRelaxedTime;
  if (begins || ends) {
    overloaded_ = begins;
    log_.Write(Severity::kState, begins ? "overloaded" : "overload_over",
               {{"loop_late_ms", Milliseconds(lateness_)}});
  }
}

asio::awaitable<void> LoopMonitor::Run() {
  for (;;) {
    const Time due = Now() + kInterval;
    timer_.expires_after(kInterval);
    batch_.expires_after(kInterval);
    co_await timer_.async_wait(asio::use_awaitable);
    const Time now = Now();
    Note(now - due, now);
  }
}

asio::awaitable<void> LoopMonitor::Coalesce() {
  if (lateness_ < kBatchLateness) {
    co_return;
  }
  boost::system::error_code ignored;
  if (lateness_ > kLongBatchLateness) {
    co_await batch_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_await batch_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace lagoonwind::gateway
