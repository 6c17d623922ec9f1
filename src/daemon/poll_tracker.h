// Polls of a service whose answers may overtake each other or stay out. Decision code: no I/O, no
// clock.
#pragma once

#include <cstdint>
#include <optional>

#include "absl/time/time.h"

namespace martenyard::daemon {

/// What a poll's end means.
struct PollEnd {
  /// The answer is newer than any taken before.
  bool take = false;
  /// The service was lost (false) or answers again (true); nothing: as before.
  std::optional<bool> contact;
  /// Since the last poll that was answered began; nothing before the first.
  std::optional<absl::Duration> age;
};

class PollTracker {
 public:
  /// @return the poll's number, for `Ended`.
  std::uint64_t Begin() { return ++begun_; }
  /// @param answered the service answered what was asked.
  PollEnd Ended(absl::Time now, std::uint64_t poll, bool answered);

 private:
  std::uint64_t begun_ = 0;
  std::uint64_t taken_ = 0;   // The newest poll that was answered.
  std::uint64_t failed_ = 0;  // The newest poll that was not.
  std::optional<bool> answers_;
  std::optional<absl::Time> answered_at_;
};

}  // namespace martenyard::daemon
