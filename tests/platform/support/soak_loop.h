// What a soak's coroutines run on: one loop, a count of those under way, and pauses drawn from a
// seed.
#pragma once

#include <cstdint>
#include <exception>
#include <utility>

#include "absl/time/time.h"
#include "async_http/task.h"
#include "base/random.h"
#include "wire/event_loop.h"

namespace martenyard::testing {

class SoakLoop {
 protected:
  /// Starts a coroutine; what it throws ends the soak.
  void Spawn(async_http::Task<void> task) {
    ++tasks_;
    async_http::asio::co_spawn(loop_.context(), std::move(task),
                               [this](const std::exception_ptr& error) {
                                 --tasks_;
                                 if (error) {
                                   std::rethrow_exception(error);
                                 }
                               });
  }

  async_http::Task<void> Pause(absl::Duration time) {
    return async_http::Sleep(loop_.context(), time);
  }

  static absl::Duration Draw(Random& random, int least_ms, int most_ms) {
    return absl::Milliseconds(least_ms +
                              random.Below(static_cast<std::uint64_t>(most_ms - least_ms)));
  }

  wire::EventLoop loop_;
  int tasks_ = 0;  ///< Under way.
};

}  // namespace martenyard::testing
