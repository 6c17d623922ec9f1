#include "wire/event_loop.h"

#include <poll.h>
#include <sys/epoll.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

namespace martenyard::wire {
namespace {

namespace asio = boost::asio;

constexpr int kMaxHandlersPerRound = 1024;

/// @return the current event bits; distinguishes a failed connection from a writable one.
std::uint32_t PresentEvents(int file, std::uint32_t event) {
  pollfd query{file, POLLIN | POLLOUT | POLLRDHUP, 0};
  if (poll(&query, 1, 0) <= 0) {
    return event;
  }
  auto bits = static_cast<std::uint32_t>(query.revents);
  std::uint32_t present = event;
  present |= (bits & POLLERR) != 0 ? EPOLLERR : 0U;
  present |= (bits & POLLHUP) != 0 ? EPOLLHUP : 0U;
  present |= (bits & POLLRDHUP) != 0 ? EPOLLRDHUP : 0U;
  return present;
}

}  // namespace

EventLoop::EventLoop() = default;

EventLoop::~EventLoop() {
  for (auto& [file, watch] : watches_) {
    watch->descriptor.release();
  }
}

void EventLoop::Post(std::function<void()> task) { asio::post(context_, std::move(task)); }

void EventLoop::Stop() {
  stopping_ = true;
  context_.stop();
}

void EventLoop::After(absl::Duration delay, std::function<void()> task) {
  auto timer = std::make_shared<asio::steady_timer>(context_, absl::ToChronoNanoseconds(delay));
  timer->async_wait([timer, task = std::move(task)](const boost::system::error_code& error) {
    if (!error) {
      task();
    }
  });
}

bool EventLoop::Watch(int file, std::uint32_t events, std::function<void(std::uint32_t)> on_ready) {
  auto& watch = watches_[file];
  if (!watch) {
    watch = std::make_shared<FileWatch>(context_);
    boost::system::error_code error;
    watch->descriptor.assign(file, error);
    if (error) {
      watches_.erase(file);
      return false;
    }
  }
  watch->events = events;
  watch->on_ready = std::move(on_ready);
  Arm(watch);
  return true;
}

void EventLoop::Arm(const std::shared_ptr<FileWatch>& watch) {
  std::weak_ptr<FileWatch> weak = watch;
  auto wait_for = [this, weak](bool FileWatch::*waits, std::uint32_t event) {
    return [this, weak, waits, event](const boost::system::error_code& error) {
      auto present = weak.lock();
      if (error || !present) {
        return;
      }
      (*present).*waits = false;
      OnReady(present, event);
    };
  };
  bool wants_read = (watch->events & (EPOLLIN | EPOLLRDHUP)) != 0;
  if (wants_read && !watch->waits_to_read) {
    watch->waits_to_read = true;
    watch->descriptor.async_wait(asio::posix::descriptor_base::wait_read,
                                 wait_for(&FileWatch::waits_to_read, EPOLLIN));
  }
  bool wants_write = (watch->events & EPOLLOUT) != 0;
  if (wants_write && !watch->waits_to_write) {
    watch->waits_to_write = true;
    watch->descriptor.async_wait(asio::posix::descriptor_base::wait_write,
                                 wait_for(&FileWatch::waits_to_write, EPOLLOUT));
  }
}

void EventLoop::OnReady(const std::shared_ptr<FileWatch>& watch, std::uint32_t event) {
  if ((watch->events & event) == 0) {
    return;  // Stale: the watched events have changed since.
  }
  std::uint32_t present = (watch->events & EPOLLOUT) != 0
                              ? PresentEvents(watch->descriptor.native_handle(), event)
                              : event;
  std::function<void(std::uint32_t)> on_ready = watch->on_ready;
  on_ready(present);
  if (watch->descriptor.is_open()) {
    Arm(watch);
  }
}

void EventLoop::Unwatch(int file) {
  auto found = watches_.find(file);
  if (found == watches_.end()) {
    return;
  }
  found->second->descriptor.release();  // Cancels pending waits without closing the file.
  watches_.erase(found);
}

void EventLoop::RunRound(absl::Duration timeout) {
  context_.run_one_for(absl::ToChronoNanoseconds(timeout));
  RunReadyHandlers();
  if (round_hook_) {
    round_hook_();
  }
}

void EventLoop::RunReadyHandlers() {
  // Without the limit, handlers that keep becoming ready would hold up the round's hook.
  for (int count = 0; count < kMaxHandlersPerRound && context_.poll_one() > 0; ++count) {
  }
}

void EventLoop::Run() {
  auto guard = asio::make_work_guard(context_);
  while (!stopping_) {
    context_.run_one();
    RunReadyHandlers();
    if (round_hook_) {
      round_hook_();
    }
  }
}

}  // namespace martenyard::wire
