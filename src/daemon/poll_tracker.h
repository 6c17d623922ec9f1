// Tracks polls of a service whose replies can arrive out of order or not at all. Decision logic: no
// I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>

#include "absl/time/time.h"

namespace martenyard::daemon {

/// Result of a completed poll.
struct PollEnd {
  /// The reply is newer than any used before.
  bool is_newest = false;
  /// Whether the service became reachable (true) or unreachable (false); empty if unchanged.
  std::optional<bool> reachable;
  /// Time since the last reply; empty before the first.
  std::optional<absl::Duration> age;
};

class PollTracker {
 public:
  /// @return the poll's number, for `Ended`.
  std::uint64_t Begin() { return ++begun_; }
  /// @param answered whether the service replied to the poll.
  PollEnd Ended(absl::Time now, std::uint64_t poll, bool answered);

 private:
  std::uint64_t begun_ = 0;
  std::uint64_t taken_ = 0;   // Number of the newest successful poll.
  std::uint64_t failed_ = 0;  // Number of the newest failed poll.
  std::optional<bool> reachable_;
  std::optional<absl::Time> answered_at_;
};

}  // namespace martenyard::daemon
