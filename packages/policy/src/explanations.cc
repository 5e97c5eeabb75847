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
        return absl::StrCat(request_, " waits here", reason_suffix_);
      case DecisionKind::kRequestOffered:
        return absl::StrCat(request_, " was sent to ", member_);
      case DecisionKind::kRequestStarted:
        return absl::StrCat(request_, " started at ", member_);
      case DecisionKind::kRequestRetried:
        return absl::StrCat(request_, " is tried again", reason_suffix_);
      case DecisionKind::kRequestFinished:
        return absl::StrCat(request_, " is over", reason_suffix_);
      case DecisionKind::kRequestRefused:
        return absl::StrCat(request_, " was refused and didn't run", reason_suffix_);
      case DecisionKind::kGrantSent:
        return absl::StrFormat(
            "%s may start a request from %s: of all that wait it had the least service, %.1f units "
            "per share",
            customer_, member_, decision_.value);
      case DecisionKind::kGrantDeclined:
        return absl::StrCat(member_, " had no more requests of ", customer_, " for its turn");
      case DecisionKind::kGrantExpired:
        return absl::StrCat(member_, " didn't use the turn of ", customer_, " in time");
      case DecisionKind::kAttemptAdmitted:
        return absl::StrCat(request_, " from ", member_, " starts on the backend server");
      case DecisionKind::kAttemptQueued:
        return absl::StrCat(request_, " has to wait at ", member_, reason_suffix_);
      case DecisionKind::kAttemptRefused:
        return absl::StrCat(request_, " from ", member_, " was refused and didn't run",
                            reason_suffix_);
      case DecisionKind::kAttemptFinished:
        return absl::StrFormat("%s ended on the backend server after %.1f units of service%s",
                               request_, decision_.value, reason_suffix_);
      case DecisionKind::kConcurrencyLimitChanged:
        return absl::StrFormat("the backend server may now run %.0f requests at a time%s",
                               decision_.value, reason_suffix_);
      case DecisionKind::kBackendRestarted:
        return "the backend server has restarted, its window starts small";
      case DecisionKind::kLinkUp:
        return absl::StrCat("the link to ", member_, " is open");
      case DecisionKind::kLinkDown:
        return absl::StrCat("the link to ", member_, " is lost");
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
      return "the customer's own queue at this entry is full";
    case Reason::kNoCapacity:
      return "no agent that serves the target is linked";
    case Reason::kDraining:
      return "the process is leaving and takes no new work";
    case Reason::kZoneOut:
      return "operators have taken its availability zone out of service";
    case Reason::kNotServed:
      return "the backend server doesn't serve the target under the rules in force";
    case Reason::kWaitExpired:
      return "it has waited as long as a request may";
    case Reason::kGrantExpired:
      return "its turn had expired when it came";
    case Reason::kNoRoom:
      return "the backend server has no room, or others wait already";
    case Reason::kBackendRefused:
      return "the backend server refused it before it started";
    case Reason::kBackendFailed:
      return "the backend server's answer broke off, so nobody knows how it ended";
    case Reason::kBackendCrashed:
      return "the backend server crashed while it ran";
    case Reason::kLinkLost:
      return "the link to the agent was lost";
    case Reason::kCallerLeft:
      return "the caller went away";
    case Reason::kTimeout:
      return "it took too long";
    case Reason::kQuarantined:
      return "this request has crashed backend servers and is quarantined";
    case Reason::kLogUnavailable:
      return "the platform's log can't be reached, and this call needs it";
    case Reason::kKeyConflict:
      return "its idempotency key was used with another body";
    case Reason::kKeyRunning:
      return "the first run of its idempotency key isn't over";
    case Reason::kKeyExpired:
      return "its idempotency key is older than the target's window";
    default:
      return Name(reason);
  }
}

}  // namespace lagoonwind::policy
