// One thread's event loop over epoll: socket readiness, timers, and tasks posted by other threads.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "absl/time/time.h"

namespace martenyard::wire {

/// Runs callbacks on the thread that calls `Run`. Only `Post` and `Stop` may be called elsewhere.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  void Run();
  void Stop();
  /// Runs `task` on the loop's thread, in the order posted.
  void Post(std::function<void()> task);
  /// Runs `task` once after `delay`.
  void After(absl::Duration delay, std::function<void()> task);
  /// Calls `on_ready` with epoll's event bits while `file` is watched. Replaces an earlier watch.
  void Watch(int file, std::uint32_t events, std::function<void(std::uint32_t)> on_ready);
  void Unwatch(int file);
  /// `hook` runs after every round of callbacks, before the loop waits again.
  void SetRoundHook(std::function<void()> hook) { round_hook_ = std::move(hook); }

 private:
  void RunPosted();
  void RunTimers();
  int WaitMilliseconds() const;

  int epoll_ = -1;
  int wakeup_ = -1;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::vector<std::function<void()>> posted_;
  std::multimap<absl::Time, std::function<void()>> timers_;
  std::unordered_map<int, std::function<void(std::uint32_t)>> watches_;
  std::function<void()> round_hook_;
};

}  // namespace martenyard::wire
