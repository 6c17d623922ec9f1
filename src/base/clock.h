// The process's clock: steady, so that a jump of the machine's time of day moves no deadline.
#pragma once

#include "absl/time/time.h"

namespace martenyard {

/// @return the time of day at the process's start plus what the steady clock has run since. It
/// never goes back; it is off by as much as the time of day was at the start.
absl::Time SteadyNow();

}  // namespace martenyard
