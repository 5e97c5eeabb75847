// Limits on the time of an attempt. An attempt that stalls is aborted only for another one.
#include <algorithm>

#include "clock.h"
#include "exchange.h"

namespace lagoonwind::gateway {
namespace {

using ErrorCode = boost::system::error_code;

/// Time beyond the deadline for which a response in transit is still awaited.
constexpr Duration kDeadlineGrace = std::chrono::milliseconds(60);
/// Lateness of the watchdog from which silence is attributed to this process.
constexpr Duration kMaxWatchdogLag = std::chrono::milliseconds(250);
/// Interval at which an attempt that has stalled is checked for an alternative.
constexpr Duration kStallCheckInterval = std::chrono::milliseconds(100);

}  // namespace

void Exchange::StartWatchdog(Duration stall_timeout) {
  stall_timeout_ = stall_timeout;
  stall_logged_ = false;
  watchdog_due_ = Time{};
  RecordProgress();
  ArmWatchdog();
}

void Exchange::ArmWatchdog() {
  const Time now = Now();
  if (watchdog_due_ != Time{} && now - watchdog_due_ > kMaxWatchdogLag) {
    // This process was suspended, so that a response may have arrived that it has not read yet.
    RecordProgress();
  }
  Duration wait = deadline_ + kDeadlineGrace - now;
  if (wait <= Duration{0}) {
    AbortAttempt(AbortReason::kTimeout);
    return;
  }
  if (MaySendAgain()) {
    Duration until_stalled = last_progress_ + stall_timeout_ - now;
    if (until_stalled <= Duration{0}) {
      if (ReserveRetry(now)) {
        AbortAttempt(AbortReason::kStalled);
        return;
      }
      until_stalled = kStallCheckInterval;
    }
    // Progress only updates a timestamp, which is compared when the timer fires.
    wait = std::min(wait, until_stalled);
  }
  watchdog_due_ = now + wait;
  watchdog_.expires_after(wait);
  watchdog_.async_wait([weak = weak_from_this()](const ErrorCode& error) {
    if (const auto self = weak.lock(); self != nullptr && !error) {
      self->ArmWatchdog();
    }
  });
}

bool Exchange::ReserveRetry(Time now) {
  if (abort_reason_ != AbortReason::kNone || RetriesAreBarred(now)) {
    return false;
  }
  const policy::DispatchDecision decision = Decide(now);
  const bool has_server = decision.verdict == policy::DispatchVerdict::kSend &&
                          !context_.health.IsEjected(decision.server, now);
  if (has_server &&
      context_.RetryBudgetFor(service_).TryConsume(context_.peers.fleet_size(), now)) {
    reserved_ = decision;
    context_.cold_start_limiter.RecordSent(decision.server, now);
    return true;
  }
  if (!stall_logged_) {
    stall_logged_ = true;
    context_.log.Write(Severity::kFailure, "stall_endured",
                       {{"request", accepted_.request.id},
                        {"server", last_server_},
                        {"verdict", policy::Name(decision.verdict)},
                        {"alternative", has_server},
                        {"last_event", events_.last_id()}});
  }
  return false;
}

policy::DispatchDecision Exchange::DecideNext(Time now) {
  // The reserved server may have become ineligible meanwhile.
  const bool usable =
      reserved_ && std::ranges::any_of(
                       context_.fleet.EligibleServers(service_), [this](const KnownServer* known) {
                         return known->server.id == reserved_->server &&
                                context_.rollouts.IsOf(service_, known->server.version, version_);
                       });
  policy::DispatchDecision decision = usable ? *reserved_ : Decide(now);
  reserved_.reset();
  if (decision.verdict != policy::DispatchVerdict::kSend && !stalled_servers_.empty()) {
    // Silence doesn't show that a server is dead.
    std::erase_if(tried_servers_, [this](ServerId tried) {
      return std::ranges::find(stalled_servers_, tried) != stalled_servers_.end();
    });
    stalled_servers_.clear();
    decision = Decide(now);
  }
  return decision;
}

}  // namespace lagoonwind::gateway
