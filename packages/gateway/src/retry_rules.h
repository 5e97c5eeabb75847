#pragma once

#include <chrono>

#include "lagoonwind/base.h"

namespace lagoonwind::gateway {

/// Time that must be left for a send to be of use.
inline constexpr Duration kMinAttemptTime = std::chrono::milliseconds(20);

/// True for statuses that state that a request hasn't run and never will.
inline bool StatusImpliesNotExecuted(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace lagoonwind::gateway
