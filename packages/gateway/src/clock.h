#pragma once

#include <ctime>

#include "lagoonwind/base.h"

namespace lagoonwind::gateway {

/// Time since boot. Unlike the steady clock it includes time during which the machine was
/// suspended, so that received information ages meanwhile. Thread safe.
inline Time Now() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Time{std::chrono::duration_cast<Duration>(std::chrono::seconds(now.tv_sec) +
                                                   std::chrono::nanoseconds(now.tv_nsec))};
}

inline double Milliseconds(Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

}  // namespace lagoonwind::gateway
