#include "base/clock.h"

#include <chrono>

#include "absl/time/clock.h"

namespace martenyard {

absl::Time SteadyNow() {
  using Clock = std::chrono::steady_clock;
  static const Clock::time_point kSteadyStart = Clock::now();
  static const absl::Time kWallStart = absl::Now();
  return kWallStart + absl::FromChrono(Clock::now() - kSteadyStart);
}

}  // namespace martenyard
