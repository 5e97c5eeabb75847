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
// A loop that keeps up is late by less than 3 ms in 99 of 100 measurements, one that falls behind
// by 16 to 65 ms (docs/CAPACITY.md).

/// Lateness from which on stream events are passed on in batches, and in longer ones.
constexpr Duration kBatchLateness = std::chrono::milliseconds(2);
constexpr Duration kLongBatchLateness = std::chrono::milliseconds(6);
/// Lateness from which on new callers had better go elsewhere, if it lasts; and the one that ends
/// it.
constexpr Duration kOverloadLateness = std::chrono::milliseconds(10);
constexpr Duration kRelaxedLateness = std::chrono::milliseconds(2);
constexpr Duration kOverloadTime = std::chrono::milliseconds(300);
constexpr Duration kRelaxedTime = std::chrono::milliseconds(2500);
/// Lateness from which on new requests are refused: each needs several turns of the loop, so that
/// it would wait for a good part of any objective.
constexpr Duration kSaturatedLateness = std::chrono::milliseconds(25);

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
