#pragma once

#include "lagoonwind/policy.h"

namespace lagoonwind::policy {

/// State of a request until it has an outcome. docs/OUTCOMES.md shows the transitions.
enum class RequestPhase {
  kWaiting,
  kOffered,
  kRunning,
  /// Waiting for a retry; not counted as demand.
  kBackingOff,
};

/// Facts that determine the possible outcomes of a request.
struct OutcomeFacts {
  RequestPhase phase = RequestPhase::kWaiting;
  /// True if the result of an attempt is unknown.
  bool may_have_run = false;
  /// True if a part of a response was received.
  bool response_started = false;
};

/// True if a request may change from one phase to the other. Thread safe.
bool IsValidTransition(RequestPhase from, RequestPhase to);

/// True if the facts permit the outcome. Thread safe.
bool IsValidOutcome(const OutcomeFacts& facts, Outcome outcome);

/// Outcome of a request without a complete response: kNotRun if the facts prove it, otherwise
/// kUnknown. Thread safe.
Outcome OutcomeWithoutResponse(const OutcomeFacts& facts);

}  // namespace lagoonwind::policy
