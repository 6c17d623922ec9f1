// Event queue in virtual time: runs tasks by time, and in insertion order at equal times.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "absl/time/time.h"

namespace martenyard::sim {

class EventQueue {
 public:
  /// Virtual time starts at a fixed, plausible date.
  EventQueue() : now_(absl::FromUnixSeconds(1800000000)) {}

  absl::Time now() const { return now_; }
  void At(absl::Time when, std::function<void()> task) {
    tasks_.emplace(std::pair(std::max(when, now_), ++last_number_), std::move(task));
  }
  void After(absl::Duration delay, std::function<void()> task) {
    At(now_ + delay, std::move(task));
  }
  /// Runs all tasks due up to `end` and advances the time to `end`.
  void RunUntil(absl::Time end) {
    while (!tasks_.empty() && tasks_.begin()->first.first <= end) {
      auto first = tasks_.extract(tasks_.begin());
      now_ = first.key().first;
      first.mapped()();
    }
    now_ = end;
  }

 private:
  absl::Time now_;
  std::uint64_t last_number_ = 0;
  std::map<std::pair<absl::Time, std::uint64_t>, std::function<void()>> tasks_;
};

}  // namespace martenyard::sim
