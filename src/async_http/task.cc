#include "async_http/task.h"

#include <utility>

namespace martenyard::async_http {

Alarm::Alarm(asio::io_context& context, absl::Duration delay, std::function<void()> on_expiry)
    : timer_(std::make_shared<asio::steady_timer>(context, absl::ToChronoNanoseconds(delay))) {
  std::weak_ptr<asio::steady_timer> alive = timer_;
  timer_->async_wait([alive, on_expiry = std::move(on_expiry)](const error_code& error) {
    if (!error && !alive.expired()) {
      on_expiry();
    }
  });
}

void Alarm::Stop() { timer_.reset(); }

Task<void> Sleep(asio::io_context& context, absl::Duration delay) {
  asio::steady_timer timer(context, absl::ToChronoNanoseconds(delay));
  co_await timer.async_wait(kAwait);
}

void Signal::Notify() {
  for (asio::steady_timer* timer : waiting_) {
    timer->cancel();
  }
}

Task<bool> Signal::Wait(absl::Duration timeout) {
  asio::steady_timer timer(context_, absl::ToChronoNanoseconds(timeout));
  waiting_.insert(&timer);
  auto [error] = co_await timer.async_wait(kAwait);
  waiting_.erase(&timer);
  co_return error == asio::error::operation_aborted;
}

}  // namespace martenyard::async_http
