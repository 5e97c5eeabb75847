#pragma once

#include <chrono>

#include "lagoonwind/base.h"

namespace lagoonwind::gateway {

/// Minimum time left for an attempt to be worthwhile.
inline constexpr Duration kMinAttemptTime = std::chrono::milliseconds(20);

/// True for response statuses that tell the caller that the request was not and will not be
/// executed.
inline bool StatusImpliesNotExecuted(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace lagoonwind::gateway
