// Which of an engine's waiting calls goes next: pure policies.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace martenyard::scheduling {

enum class OrderPolicy {
  kArrival,
  kAttainedService,  ///< Least service attained by the whole program first, with aging.
};

std::optional<OrderPolicy> ParseOrderPolicy(const std::string& name);

/// One waiting call.
struct WaitingView {
  int priority = 5;  ///< Of the program, 0 to 9; a higher class goes first.
  std::int64_t attained_tokens = 0;
  double waited_seconds = 0.0;
  bool own = true;  ///< The engine's owner's call; borrowers go behind.
};

/// Tunables of the order.
struct OrderModel {
  /// Tokens of attained service that a second of waiting makes up for: the guard against starving
  /// long programs.
  double aging_tokens_per_second = 400.0;
  /// Seconds of waiting that lift a call by one priority class.
  double seconds_per_class = 20.0;
};

/// @return the index of the call to run next, or nothing when none waits.
std::optional<std::size_t> ChooseNext(OrderPolicy policy, const std::vector<WaitingView>& waiting,
                                      const OrderModel& model);

}  // namespace martenyard::scheduling
