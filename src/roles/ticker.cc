#include "roles/ticker.h"

#include <utility>

#include "base/clock.h"

namespace martenyard::roles {
namespace {

/// A longer time between two ticks is logged as a stall of the process.
constexpr absl::Duration kStallThreshold = absl::Milliseconds(500);

}  // namespace

Ticker::Ticker(wire::EventLoop& loop, absl::Duration period, event_log::EventLog& log,
               std::function<void(absl::Time now)> on_tick)
    : loop_(loop), period_(period), log_(log), on_tick_(std::move(on_tick)) {}

void Ticker::Start() {
  last_tick_ = SteadyNow();
  Schedule();
}

void Ticker::Schedule() {
  loop_.After(period_, [this] {
    absl::Time now = SteadyNow();
    if (now - last_tick_ > kStallThreshold) {
      event_log::Line line("standstill");
      log_.Write(line.Number("ms", absl::ToInt64Milliseconds(now - last_tick_)));
    }
    last_tick_ = now;
    on_tick_(now);
    Schedule();
  });
}

}  // namespace martenyard::roles
