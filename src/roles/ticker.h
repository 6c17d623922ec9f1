// Runs a role's housekeeping periodically and logs stalls of the process.
#pragma once

#include <functional>

#include "absl/time/time.h"
#include "event_log/event_log.h"
#include "wire/event_loop.h"

namespace martenyard::roles {

class Ticker {
 public:
  /// @param on_tick receives the steady clock's time.
  Ticker(wire::EventLoop& loop, absl::Duration period, event_log::EventLog& log,
         std::function<void(absl::Time now)> on_tick);
  /// Runs until the loop ends.
  void Start();

 private:
  void Schedule();

  wire::EventLoop& loop_;
  absl::Duration period_;
  event_log::EventLog& log_;
  std::function<void(absl::Time now)> on_tick_;
  absl::Time last_tick_;
};

}  // namespace martenyard::roles
