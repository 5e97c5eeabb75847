#pragma once

#include "lagoonwind/rollout_types.h"
#include "lagoonwind_types.h"

namespace lagoonwind::wire {

/// Encodes what a gateway has seen of a roll-out. Thread safe.
gen::RolloutReport RolloutToWire(const policy::RolloutReport& report);

/// Precondition: IsPlausibleRollout(report). Thread safe.
policy::RolloutReport RolloutFromWire(const gen::RolloutReport& report);

/// True if no count is negative or too large, and no list too long. Thread safe.
bool IsPlausibleRollout(const gen::RolloutReport& report);

}  // namespace lagoonwind::wire
