#pragma once

#include <ctime>

#include "lagoonwind/base.h"

namespace lagoonwind::gateway {

/// Time since the start of the machine. Unlike the steady clock it counts time for which the
/// machine was suspended, so that what is known ages meanwhile. Thread safe.
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
