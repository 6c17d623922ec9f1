// Queueing policies: which of an engine's waiting calls is started next. Pure functions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace martenyard::scheduling {

enum class OrderPolicy {
  kArrival,          ///< First come, first served within a priority.
  kAttainedService,  ///< Least attained service first, with aging.
};

std::optional<OrderPolicy> ParseOrderPolicy(const std::string& name);

/// A call that waits for a slot of an engine.
struct QueuedCall {
  int priority = 5;                  ///< Of the program, 0 to 9; the highest goes first.
  std::int64_t attained_tokens = 0;  ///< Service attained by the whole program.
  double waited_seconds = 0.0;
  bool from_owner = true;  ///< Calls of the engine's owner go before those of borrowers.
};

struct OrderOptions {
  /// Attained tokens that one second of waiting offsets, so that long programs don't starve.
  double aging_tokens_per_second = 400.0;
  /// Seconds of waiting that raise a call by one priority.
  double seconds_per_priority = 20.0;
};

/// @return the index of the call to start next, or nothing if none waits.
std::optional<std::size_t> ChooseNext(OrderPolicy policy, const std::vector<QueuedCall>& waiting,
                                      const OrderOptions& options);

}  // namespace martenyard::scheduling
