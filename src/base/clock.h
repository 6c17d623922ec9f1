// The process's monotonic clock: adjustments of the system time do not move deadlines.
#pragma once

#include <chrono>

#include "absl/time/time.h"

namespace martenyard {

/// @return the system time at the first call plus the steady clock's time since. Never decreases;
/// keeps any error that the system time had at the first call.
absl::Time SteadyNow();

/// @return the steady clock's time as a standard library time point.
inline std::chrono::steady_clock::time_point SteadyInstant() {
  return std::chrono::steady_clock::now();
}

}  // namespace martenyard
