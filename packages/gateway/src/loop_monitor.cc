#include "loop_monitor.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "clock.h"

namespace lagoonwind::gateway {
namespace {

namespace asio = boost::asio;

/// Sampling interval of the lag, and batch interval of stream events under lag. Well below the
/// delay that callers notice in a stream.
constexpr Duration kSampleInterval = std::chrono::milliseconds(40);
/// Weight of a sample in the moving average.
constexpr double kSampleWeight = 0.2;
// In 99 of 100 samples the lag of a loop that keeps up is below 3 ms; a loop that falls behind lags
// by 16 to 65 ms (docs/CAPACITY.md).

/// Lag above which stream events are forwarded in batches of one interval, and of two.
constexpr Duration kBatchLag = std::chrono::milliseconds(2);
constexpr Duration kLongBatchLag = std::chrono::milliseconds(6);
/// The gateway is overloaded once the lag stayed above kOverloadLag for kOverloadTime or exceeds
/// kSaturationLag, until it stayed below kRecoveryLag for kRecoveryTime. Meanwhile new connections
/// are diverted to other gateways.
constexpr Duration kOverloadLag = std::chrono::milliseconds(10);
constexpr Duration kRecoveryLag = std::chrono::milliseconds(2);
constexpr Duration kOverloadTime = std::chrono::milliseconds(300);
constexpr Duration kRecoveryTime = std::chrono::milliseconds(2500);
/// Lag above which new requests are refused: each needs several iterations of the loop, so their
/// delay would consume a large part of any objective.
constexpr Duration kSaturationLag = std::chrono::milliseconds(25);
/// Lag up to which the time at which an event is handled counts as that of its arrival.
constexpr Duration kNegligibleLag = std::chrono::milliseconds(100);

}  // namespace

LoopMonitor::LoopMonitor(asio::io_context& io, EventLog& log)
    : log_(log),
      timer_(io),
      batch_timer_(io),
      sample_began_(Now()),
      previous_sample_began_(sample_began_) {}

Time LoopMonitor::EarliestArrival(Time now) const {
  constexpr Duration kMaxInterval = kSampleInterval + kNegligibleLag;
  if (now - sample_began_ > kMaxInterval) {
    return sample_began_;
  }
  return sample_began_ - previous_sample_began_ > kMaxInterval ? previous_sample_began_ : now;
}

bool LoopMonitor::saturated() const { return lag_ > kSaturationLag; }

void LoopMonitor::AddSample(Duration sample, Time now) {
  const double smoothed = static_cast<double>(lag_.count()) * (1 - kSampleWeight) +
                          static_cast<double>(sample.count()) * kSampleWeight;
  lag_ = Duration{static_cast<Duration::rep>(smoothed)};
  const bool above_overload_lag = lag_ > kOverloadLag;
  const bool below_recovery_lag = lag_ < kRecoveryLag;
  above_overload_since_ =
      above_overload_lag ? (above_overload_since_ == Time{} ? now : above_overload_since_) : Time{};
  below_recovery_since_ =
      below_recovery_lag ? (below_recovery_since_ == Time{} ? now : below_recovery_since_) : Time{};
  const bool begins =
      !overloaded_ &&
      (saturated() || (above_overload_lag && now - above_overload_since_ > kOverloadTime));
  const bool ends =
      overloaded_ && below_recovery_lag && now - below_recovery_since_ > kRecoveryTime;
  if (begins || ends) {
    overloaded_ = begins;
    log_.Write(Severity::kState, begins ? "overloaded" : "overload_over",
               {{"loop_late_ms", Milliseconds(lag_)}});
  }
}

asio::awaitable<void> LoopMonitor::Run() {
  for (;;) {
    previous_sample_began_ = sample_began_;
    sample_began_ = Now();
    const Time due = sample_began_ + kSampleInterval;
    timer_.expires_after(kSampleInterval);
    batch_timer_.expires_after(kSampleInterval);
    co_await timer_.async_wait(asio::use_awaitable);
    const Time now = Now();
    AddSample(now - due, now);
  }
}

asio::awaitable<void> LoopMonitor::WaitForBatch() {
  if (lag_ < kBatchLag) {
    co_return;
  }
  boost::system::error_code ignored;
  if (lag_ > kLongBatchLag) {
    co_await batch_timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_await batch_timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace lagoonwind::gateway
