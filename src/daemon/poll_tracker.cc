#include "daemon/poll_tracker.h"

#include <algorithm>

namespace martenyard::daemon {

PollEnd PollTracker::Ended(absl::Time now, std::uint64_t poll, bool answered) {
  PollEnd end;
  if (answered_at_) {
    end.age = now - *answered_at_;
  }
  end.is_newest = answered && poll > taken_;
  // A late failure of an earlier poll does not reflect the service's current state.
  bool newest = poll > std::max(taken_, failed_);
  if (answered) {
    taken_ = std::max(taken_, poll);
    answered_at_ = now;
  } else {
    failed_ = std::max(failed_, poll);
  }
  if (newest && reachable_ != answered) {
    bool initially_reachable = !reachable_ && answered;
    reachable_ = answered;
    end.reachable = initially_reachable ? std::nullopt : std::make_optional(answered);
  }
  return end;
}

}  // namespace martenyard::daemon
