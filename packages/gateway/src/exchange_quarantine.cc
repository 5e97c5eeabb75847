// Quarantine of a request and of its segments, and trials of both.
#include <absl/strings/str_format.h>

#include <algorithm>

#include "exchange.h"

namespace lagoonwind::gateway {
namespace {

/// Limits of Retry-After of a quarantined request, which is the time until the next trial.
constexpr Duration kMinQuarantineRetryAfter = std::chrono::seconds(1);
constexpr Duration kMaxQuarantineRetryAfter = std::chrono::seconds(10);
/// Gateways that may try a quarantined segment, or a request as soon as a trial is due.
constexpr int kTrialOwners = 1;
/// Time after which other gateways may try a request, and the steps by which they differ.
constexpr Duration kOtherTrialDelay = std::chrono::seconds(5);
constexpr Duration kOtherTrialStep = std::chrono::milliseconds(250);
constexpr std::uint64_t kOtherTrialSteps = 40;

}  // namespace

void Exchange::AbortIfQuarantined() {
  const bool responded = stream_begun_ || event_reads_ > 0;
  if (!responded && !is_trial() && !context_.segments.QuarantinedAmong(shared_segments_).empty()) {
    AbortAttempt(AbortReason::kQuarantined);
    watchdog_.cancel();
  }
}

bool Exchange::IsQuarantined(Time now) const {
  return !is_trial() && (context_.suspects.IsQuarantined(digest_, now) ||
                         !context_.segments.QuarantinedAmong(shared_segments_).empty());
}

bool Exchange::MayBeTrial(Time now) const {
  if (now - context_.started <= kPeerDiscoveryTime || context_.drain.draining()) {
    return false;
  }
  const auto quarantined = context_.segments.QuarantinedAmong(shared_segments_);
  if (context_.suspects.IsQuarantined(digest_, now)) {
    return quarantined.empty() && TimeUntilRequestTrial(now) == Duration{0};
  }
  return !quarantined.empty() &&
         context_.peers.IsOwner(std::ranges::min(quarantined).value, kTrialOwners) &&
         context_.segments.TimeUntilTrial(shared_segments_, now) == Duration{0};
}

Duration Exchange::TimeUntilRequestTrial(Time now) const {
  // The caller may reach only some of the gateways. The others wait, each for another time, so that
  // the outcome of one trial reaches them before they begin the next one.
  if (context_.peers.IsOwner(digest_.value, kTrialOwners)) {
    return context_.suspects.TimeUntilTrial(digest_, now);
  }
  const std::uint64_t rank = CombineHashes(digest_.value, StableHash(context_.settings.ip));
  const Duration delay = kOtherTrialDelay + kOtherTrialStep * (rank % kOtherTrialSteps);
  return context_.suspects.TimeUntilTrial(digest_, now - delay);
}

void Exchange::BeginTrial(Time now) {
  if (context_.suspects.IsQuarantined(digest_, now)) {
    is_request_trial_ = true;
    context_.suspects.BeginTrial(digest_, now);
    context_.log.Write(
        Severity::kState, "request_trial",
        {{"request", accepted_.request.id}, {"digest", absl::StrFormat("%x", digest_.value)}});
    return;
  }
  trial_segments_ = context_.segments.QuarantinedAmong(shared_segments_);
  context_.segments.BeginTrial(trial_segments_, now);
  context_.log.Write(Severity::kState, "segment_trial",
                     {{"request", accepted_.request.id},
                      {"segment", absl::StrFormat("%x", trial_segments_.front().value)}});
}

Duration Exchange::QuarantineRetryAfter(Time now) const {
  const Duration until_trial = context_.suspects.IsQuarantined(digest_, now)
                                   ? TimeUntilRequestTrial(now)
                                   : context_.segments.TimeUntilTrial(shared_segments_, now);
  return WithJitter(
      std::clamp<Duration>(until_trial, kMinQuarantineRetryAfter, kMaxQuarantineRetryAfter));
}

}  // namespace lagoonwind::gateway
