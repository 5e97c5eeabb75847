#include <absl/strings/str_format.h>

#include "lagoonwind/policy.h"

namespace lagoonwind::policy {

std::string_view Name(Role role) { return role == Role::kEntry ? "entry" : "agent"; }

std::string_view Name(Outcome outcome) {
  switch (outcome) {
    case Outcome::kComplete:
      return "complete";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view Name(Reason reason) {
  switch (reason) {
    case Reason::kNone:
      return "none";
    case Reason::kQueueFull:
      return "queue-full";
    case Reason::kNoCapacity:
      return "no-capacity";
    case Reason::kDraining:
      return "draining";
    case Reason::kZoneOut:
      return "zone-out";
    case Reason::kNotServed:
      return "not-served";
    case Reason::kWaitExpired:
      return "wait-expired";
    case Reason::kGrantExpired:
      return "grant-expired";
    case Reason::kNoRoom:
      return "no-room";
    case Reason::kBackendRefused:
      return "backend-refused";
    case Reason::kBackendFailed:
      return "backend-failed";
    case Reason::kBackendCrashed:
      return "backend-crashed";
    case Reason::kLinkLost:
      return "link-lost";
    case Reason::kCallerLeft:
      return "caller-left";
    case Reason::kTimeout:
      return "timeout";
    case Reason::kQuarantined:
      return "quarantined";
    case Reason::kLogUnavailable:
      return "log-unavailable";
    case Reason::kKeyConflict:
      return "key-conflict";
    case Reason::kKeyRunning:
      return "key-running";
    case Reason::kKeyExpired:
      return "key-expired";
    case Reason::kCutOff:
      return "cut-off";
    case Reason::kUnframedEnd:
      return "unframed-end";
  }
  return "none";
}

namespace {

std::string_view KindText(DecisionKind kind) {
  switch (kind) {
    case DecisionKind::kRequestQueued:
      return "request waits for a grant";
    case DecisionKind::kRequestOffered:
      return "request was offered to an agent";
    case DecisionKind::kRequestStarted:
      return "request started at an agent";
    case DecisionKind::kRequestRetried:
      return "request is tried again";
    case DecisionKind::kRequestFinished:
      return "request is over";
    case DecisionKind::kRequestRefused:
      return "request was refused";
    case DecisionKind::kGrantSent:
      return "grant sent to the least served customer";
    case DecisionKind::kGrantDeclined:
      return "grant declined";
    case DecisionKind::kGrantExpired:
      return "grant expired";
    case DecisionKind::kAttemptAdmitted:
      return "attempt admitted to the backend server";
    case DecisionKind::kAttemptQueued:
      return "attempt not started, counted as demand";
    case DecisionKind::kAttemptRefused:
      return "attempt refused";
    case DecisionKind::kAttemptFinished:
      return "attempt ended";
    case DecisionKind::kConcurrencyLimitChanged:
      return "concurrency window changed";
    case DecisionKind::kBackendRestarted:
      return "backend server restarted";
    case DecisionKind::kLinkUp:
      return "link opened";
    case DecisionKind::kLinkDown:
      return "link lost";
    case DecisionKind::kConfigurationAccepted:
      return "configuration in force";
    case DecisionKind::kClaimHeld:
      return "claim is the first for its key";
    case DecisionKind::kClaimLost:
      return "key was claimed before";
    case DecisionKind::kClaimReleased:
      return "claim released, the call never ran";
    case DecisionKind::kResponseReplayed:
      return "kept answer given again";
    case DecisionKind::kDigestSuspected:
      return "request may crash backend servers, runs alone among such";
    case DecisionKind::kDigestQuarantined:
      return "request crashes backend servers, quarantined";
  }
  return "decision";
}

}  // namespace

std::string Describe(const Decision& decision) {
  std::string text(KindText(decision.kind));
  if (decision.reason != Reason::kNone) {
    text += absl::StrFormat(" (%s)", Name(decision.reason));
  }
  if (decision.value != 0) {
    text += absl::StrFormat(", value %g", decision.value);
  }
  return text;
}

}  // namespace lagoonwind::policy
