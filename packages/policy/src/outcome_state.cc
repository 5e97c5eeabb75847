#include "outcome_state.h"

namespace lagoonwind::policy {

bool IsValidTransition(RequestPhase from, RequestPhase to) {
  switch (from) {
    case RequestPhase::kWaiting:
      return to == RequestPhase::kOffered;
    case RequestPhase::kOffered:
      return to != RequestPhase::kOffered;
    case RequestPhase::kRunning:
      return to == RequestPhase::kWaiting || to == RequestPhase::kBackingOff;
    case RequestPhase::kBackingOff:
      return to == RequestPhase::kWaiting;
  }
  return false;
}

bool IsValidOutcome(const OutcomeFacts& facts, Outcome outcome) {
  switch (outcome) {
    case Outcome::kComplete:
      return facts.phase == RequestPhase::kOffered || facts.phase == RequestPhase::kRunning;
    case Outcome::kNotRun:
      return !facts.may_have_run && !facts.response_started;
    case Outcome::kUnknown:
      return facts.may_have_run || facts.response_started;
  }
  return false;
}

Outcome OutcomeWithoutResponse(const OutcomeFacts& facts) {
  return IsValidOutcome(facts, Outcome::kNotRun) ? Outcome::kNotRun : Outcome::kUnknown;
}

}  // namespace lagoonwind::policy
