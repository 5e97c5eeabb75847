#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include "lagoonwind/policy.h"

namespace lagoonwind::policy {
namespace {

std::string ReasonSuffix(Reason reason) {
  return reason == Reason::kNone ? "" : absl::StrCat(": ", std::string(Explain(reason)));
}

std::string OrDefault(const std::string& name, std::string_view fallback) {
  return name.empty() ? std::string(fallback) : name;
}

/// Formats a decision as a sentence.
class Sentence {
 public:
  Sentence(const Decision& decision, Role role, const DecisionNames& names)
      : decision_(decision),
        request_(absl::StrCat("request ", OrDefault(names.request, "?"), " of ",
                              OrDefault(names.customer, "an unknown customer"))),
        customer_(OrDefault(names.customer, "a customer")),
        member_(
            absl::StrCat(role == Role::kEntry ? "agent " : "entry ", OrDefault(names.member, "?"))),
        reason_suffix_(ReasonSuffix(decision.reason)) {}

  [[nodiscard]] std::string Text() const {
    switch (decision_.kind) {
      case DecisionKind::kRequestQueued:
        return absl::StrCat(request_, " is queued at this entry", reason_suffix_);
      case DecisionKind::kRequestOffered:
        return absl::StrCat(request_, " was offered to ", member_);
      case DecisionKind::kRequestStarted:
        return absl::StrCat(request_, " started at ", member_);
      case DecisionKind::kRequestRetried:
        return absl::StrCat(request_, " will be retried", reason_suffix_);
      case DecisionKind::kRequestFinished:
        return absl::StrCat(request_, " ended", reason_suffix_);
      case DecisionKind::kRequestRefused:
        return absl::StrCat(request_, " was refused and did not run", reason_suffix_);
      case DecisionKind::kGrantSent:
        return absl::StrFormat(
            "%s may start a request from %s: it had the least service of all waiting customers, "
            "%.1f units per share",
            customer_, member_, decision_.value);
      case DecisionKind::kGrantDeclined:
        return absl::StrCat(member_, " has no waiting request of ", customer_, " for the grant");
      case DecisionKind::kGrantExpired:
        return absl::StrCat(member_, " did not use the grant for ", customer_,
                            " before it expired");
      case DecisionKind::kAttemptAdmitted:
        return absl::StrCat(request_, " from ", member_, " was started on the backend server");
      case DecisionKind::kAttemptQueued:
        return absl::StrCat(request_, " was not started and stays queued at ", member_,
                            reason_suffix_);
      case DecisionKind::kAttemptRefused:
        return absl::StrCat(request_, " from ", member_, " was refused and did not run",
                            reason_suffix_);
      case DecisionKind::kAttemptFinished:
        return absl::StrFormat("%s ended on the backend server after %.1f units of service%s",
                               request_, decision_.value, reason_suffix_);
      case DecisionKind::kConcurrencyLimitChanged:
        return absl::StrFormat("the concurrency limit of the backend server is now %.0f requests%s",
                               decision_.value, reason_suffix_);
      case DecisionKind::kBackendRestarted:
        return "the backend server restarted; its concurrency limit was reset";
      case DecisionKind::kLinkUp:
        return absl::StrCat("the link to ", member_, " was opened");
      case DecisionKind::kLinkDown:
        return absl::StrCat("the link to ", member_, " was lost");
      default:
        return Describe(decision_);
    }
  }

 private:
  const Decision& decision_;
  std::string request_;
  std::string customer_;
  std::string member_;
  std::string reason_suffix_;
};

}  // namespace

std::string Explain(const Decision& decision, Role role, const DecisionNames& names) {
  return Sentence(decision, role, names).Text();
}

std::string_view Explain(Reason reason) {
  switch (reason) {
    case Reason::kNone:
      return "no reason";
    case Reason::kQueueFull:
      return "the customer's queue at this entry is full";
    case Reason::kNoCapacity:
      return "no agent that serves the target is linked";
    case Reason::kDraining:
      return "the process is draining and accepts no new requests";
    case Reason::kZoneOut:
      return "operators have taken its availability zone out of service";
    case Reason::kNotServed:
      return "the backend server does not serve the target under the current rules";
    case Reason::kWaitExpired:
      return "it exceeded the maximum queueing time";
    case Reason::kGrantExpired:
      return "its grant expired before the offer arrived";
    case Reason::kNoRoom:
      return "the backend server has no free slot, or other requests are already waiting";
    case Reason::kBackendRefused:
      return "the backend server refused it before starting it";
    case Reason::kBackendFailed:
      return "the backend server's response was interrupted, so the result is unknown";
    case Reason::kBackendCrashed:
      return "the backend server crashed while the request was running";
    case Reason::kLinkLost:
      return "the link to the agent was lost";
    case Reason::kCallerLeft:
      return "the caller disconnected";
    case Reason::kTimeout:
      return "it timed out";
    case Reason::kQuarantined:
      return "this request has crashed backend servers and is quarantined";
    case Reason::kLogUnavailable:
      return "the platform's log is unavailable, and an at-most-once request requires it";
    case Reason::kKeyConflict:
      return "its idempotency key was already used for a different request";
    case Reason::kKeyRunning:
      return "the first request with its idempotency key has not completed";
    case Reason::kKeyExpired:
      return "its idempotency key is older than the target's key window";
    default:
      return Name(reason);
  }
}

}  // namespace lagoonwind::policy
