#include "wire/event_loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <utility>

#include "absl/time/clock.h"

namespace martenyard::wire {
namespace {
constexpr int kEventsPerRound = 128;
constexpr int kLongestWaitMilliseconds = 1000;
}  // namespace

EventLoop::EventLoop() {
  epoll_ = epoll_create1(EPOLL_CLOEXEC);
  wakeup_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  Watch(wakeup_, EPOLLIN, [this](std::uint32_t) {
    std::uint64_t count = 0;
    ssize_t ignored = read(wakeup_, &count, sizeof(count));
    (void)ignored;
  });
}

EventLoop::~EventLoop() {
  close(wakeup_);
  close(epoll_);
}

void EventLoop::Post(std::function<void()> task) {
  {
    std::lock_guard lock(mutex_);
    posted_.push_back(std::move(task));
  }
  std::uint64_t one = 1;
  ssize_t ignored = write(wakeup_, &one, sizeof(one));
  (void)ignored;
}

void EventLoop::Stop() {
  stopping_ = true;
  Post([] {});
}

void EventLoop::After(absl::Duration delay, std::function<void()> task) {
  timers_.emplace(absl::Now() + delay, std::move(task));
}

void EventLoop::Watch(int file, std::uint32_t events, std::function<void(std::uint32_t)> on_ready) {
  epoll_event event{};
  event.events = events;
  event.data.fd = file;
  bool known = watches_.contains(file);
  watches_[file] = std::move(on_ready);
  epoll_ctl(epoll_, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, file, &event);
}

void EventLoop::Unwatch(int file) {
  watches_.erase(file);
  epoll_ctl(epoll_, EPOLL_CTL_DEL, file, nullptr);
}

void EventLoop::RunPosted() {
  std::vector<std::function<void()>> tasks;
  {
    std::lock_guard lock(mutex_);
    tasks.swap(posted_);
  }
  for (auto& task : tasks) {
    task();
  }
}

void EventLoop::RunTimers() {
  absl::Time now = absl::Now();
  while (!timers_.empty() && timers_.begin()->first <= now) {
    std::function<void()> task = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    task();
  }
}

int EventLoop::WaitMilliseconds() const {
  if (timers_.empty()) {
    return kLongestWaitMilliseconds;
  }
  absl::Duration left = timers_.begin()->first - absl::Now();
  std::int64_t milliseconds = absl::ToInt64Milliseconds(left + absl::Microseconds(999));
  return static_cast<int>(std::clamp<std::int64_t>(milliseconds, 0, kLongestWaitMilliseconds));
}

void EventLoop::Run() {
  std::array<epoll_event, kEventsPerRound> events{};
  while (!stopping_) {
    int count = epoll_wait(epoll_, events.data(), kEventsPerRound, WaitMilliseconds());
    for (int i = 0; i < count; ++i) {
      auto found = watches_.find(events[i].data.fd);
      if (found != watches_.end()) {
        std::function<void(std::uint32_t)> on_ready = found->second;
        on_ready(events[i].events);
      }
    }
    RunPosted();
    RunTimers();
    if (round_hook_) {
      round_hook_();
    }
  }
}

}  // namespace martenyard::wire
