#pragma once

#include "lagoonwind/policy.h"

namespace lagoonwind::policy {

/// Where a request is, until it has an outcome; docs/OUTCOMES.md draws the moves.
enum class RequestPhase {
  kWaiting,
  kOffered,
  kRunning,
  /// Waits for its next attempt and isn't counted as demand.
  kBackingOff,
};

/// What the outcome of a request depends on.
struct OutcomeFacts {
  RequestPhase phase = RequestPhase::kWaiting;
  /// An attempt's end is unknown.
  bool may_have_run = false;
  /// A part of an answer came.
  bool response_started = false;
};

/// True if a request may go from one phase to another. Thread safe.
bool IsValidTransition(RequestPhase from, RequestPhase to);

/// True if the outcome may be told, as far as the facts say. Thread safe.
bool IsValidOutcome(const OutcomeFacts& facts, Outcome outcome);

/// Outcome of a request that gets no whole answer: not run if the facts prove it, else unknown.
/// Thread safe.
Outcome OutcomeWithoutResponse(const OutcomeFacts& facts);

}  // namespace lagoonwind::policy
