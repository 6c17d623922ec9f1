// One thread's event loop over Asio: socket readiness, timers, and tasks posted by other threads.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

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
  /// Runs one round: waits up to `timeout` for an event and handles it. For tests and tools.
  void RunRound(absl::Duration timeout);
  /// Runs `task` on the loop's thread, in the order posted.
  void Post(std::function<void()> task);
  /// Runs `task` once after `delay`, counted by the steady clock.
  void After(absl::Duration delay, std::function<void()> task);
  /// Calls `on_ready` with epoll event bits while `file` is watched. Replaces an earlier watch.
  /// @return false if the system can't watch more files.
  bool Watch(int file, std::uint32_t events, std::function<void(std::uint32_t)> on_ready);
  void Unwatch(int file);
  /// `hook` runs after every round of callbacks, before the loop waits again.
  void SetRoundHook(std::function<void()> hook) { round_hook_ = std::move(hook); }
  /// For code that uses Asio directly; its handlers run on the loop's thread too.
  boost::asio::io_context& context() { return context_; }

 private:
  /// A watched file. Handlers hold a weak reference, so no callback runs after `Unwatch`.
  struct FileWatch {
    explicit FileWatch(boost::asio::io_context& context) : descriptor(context) {}
    boost::asio::posix::stream_descriptor descriptor;
    std::uint32_t events = 0;
    std::function<void(std::uint32_t)> on_ready;
    bool waits_to_read = false;
    bool waits_to_write = false;
  };

  void RunReadyHandlers();
  void Arm(const std::shared_ptr<FileWatch>& watch);
  void OnReady(const std::shared_ptr<FileWatch>& watch, std::uint32_t event);

  boost::asio::io_context context_{1};
  std::atomic<bool> stopping_{false};
  std::unordered_map<int, std::shared_ptr<FileWatch>> watches_;
  std::function<void()> round_hook_;
};

}  // namespace martenyard::wire
