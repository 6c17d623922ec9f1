// The process's clock: steady, so that a jump of the machine's time of day moves no deadline.
#pragma once

#include <chrono>

#include "absl/time/time.h"

namespace martenyard {

/// @return the time of day at the process's start plus what the steady clock has run since. It
/// never goes back; it is off by as much as the time of day was at the start.
absl::Time SteadyNow();

/// @return the same clock's time for code that takes the standard library's.
inline std::chrono::steady_clock::time_point SteadyInstant() {
  return std::chrono::steady_clock::now();
}

}  // namespace martenyard
