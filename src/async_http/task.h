// Coroutines over Asio: the types that all asynchronous HTTP code uses.
//
// Uses Boost.Beast and Asio, since libmicrohttpd and libcurl can't report the disconnect of a
// waiting client, abort a response so that it is seen as truncated, or expose the bytes after a
// complete response. See docs/design/0004-users-platform.md.
#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <exception>
#include <functional>
#include <memory>
#include <set>

#include "absl/time/time.h"

namespace martenyard::async_http {

namespace asio = boost::asio;
using boost::system::error_code;
using Socket = asio::ip::tcp::socket;

template <typename Value>
using Task = asio::awaitable<Value>;

/// Completion token: the coroutine receives the error code with the result.
inline constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

/// Completion handler of a coroutine that must not end by an exception: the event loop throws it.
/// `asio::detached` would discard it, and the process would go on without the coroutine.
inline constexpr auto kRethrow = [](const std::exception_ptr& error) {
  if (error) {
    std::rethrow_exception(error);
  }
};

/// Timer that runs `on_expiry` on the loop's thread unless stopped or destroyed before.
class Alarm {
 public:
  Alarm(asio::io_context& context, absl::Duration delay, std::function<void()> on_expiry);
  ~Alarm() { Stop(); }
  Alarm(const Alarm&) = delete;
  Alarm& operator=(const Alarm&) = delete;
  void Stop();

 private:
  std::shared_ptr<asio::steady_timer> timer_;
};

/// Waits for `delay` of the steady clock.
Task<void> Sleep(asio::io_context& context, absl::Duration delay);

/// Condition variable for coroutines of one event loop.
class Signal {
 public:
  explicit Signal(asio::io_context& context) : context_(context) {}
  /// Wakes all waiting coroutines.
  void Notify();
  /// @return whether `Notify` was called within `timeout`.
  Task<bool> Wait(absl::Duration timeout);

 private:
  asio::io_context& context_;
  std::set<asio::steady_timer*> waiting_;
};

}  // namespace martenyard::async_http
