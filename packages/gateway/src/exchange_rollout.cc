// Versions of the backend servers that a request is sent to, and the evidence about them.
#include <algorithm>

#include "exchange.h"

namespace lagoonwind::gateway {

using policy::RolloutVersion;

void Exchange::ChooseVersion(Time now) {
  if (attempts_ > 0) {
    version_ = context_.rollouts.RetryVersion(service_, now);
    return;
  }
  version_ = context_.rollouts.Choose(service_, HandleOf<policy::RouteId>(accepted_.route->name),
                                      context_.RandomFraction(), now);
}

policy::DispatchDecision Exchange::DecideWithVersion(Time now) {
  const bool is_new = attempts_ == 0;
  ChooseVersion(now);
  policy::DispatchDecision decision = DecideNext(now);
  const bool reserved = is_new && version_ == RolloutVersion::kTarget;
  if (reserved && decision.verdict != policy::DispatchVerdict::kSend) {
    context_.rollouts.CancelChoice(service_, now);
    version_ = context_.rollouts.RetryVersion(service_, now);
    decision = DecideNext(now);
  }
  return decision;
}

void Exchange::RecordVersionOutcome(const BackendServer& server, AttemptResult result) {
  const Time now = Now();
  policy::RolloutOutcome outcome{.route = HandleOf<policy::RouteId>(accepted_.route->name),
                                 .first_byte = attempt_first_byte_};
  switch (result) {
    case AttemptResult::kCompleted:
      outcome.total = now - sent_at_;
      break;
    case AttemptResult::kServerFailed:
    case AttemptResult::kInterrupted:
    case AttemptResult::kUnknown:
    case AttemptResult::kTimeout:
      // A response that this gateway broke off for its own memory says nothing about the server.
      outcome.judged = abort_reason_ != AbortReason::kMemory;
      outcome.failed = true;
      break;
    case AttemptResult::kNotSent:
    case AttemptResult::kNotExecuted:
    case AttemptResult::kStopping:
    case AttemptResult::kQuarantined:
    case AttemptResult::kCallerDisconnected:
      outcome.judged = false;
      break;
  }
  context_.rollouts.RecordEnd(service_, server.version, outcome, now);
}

}  // namespace lagoonwind::gateway
