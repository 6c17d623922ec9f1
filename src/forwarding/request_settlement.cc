// Settlement part of RequestHandler: reports the tokens used by a turn to the ledger and commits
// stored turns.
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "forwarding/request_handler.h"

namespace martenyard::forwarding {

using async_http::Task;
using event_log::Line;

std::uint32_t RequestHandler::RetentionMilliseconds() const {
  return static_cast<std::uint32_t>(absl::ToInt64Milliseconds(route_->turn_retention));
}

turn_ledger::SettleTurn RequestHandler::Settlement(std::uint64_t tokens) const {
  turn_ledger::SettleTurn settle;
  settle.program = program_;
  settle.turn = reservation_id_;
  settle.tokens = tokens;
  settle.retention_ms = RetentionMilliseconds();
  return settle;
}

Task<bool> RequestHandler::CommitTurn() {
  turn_ledger::SettleTurn settle = Settlement(TokensDelivered());
  turn_ledger::CompletedTurn completed;
  bool extends_chain = history_ != nullptr && other_group_history_ == nullptr;
  std::size_t history_size = extends_chain ? history_->size() : 0;
  if (extends_chain) {
    completed.previous = turn_ledger::TurnId(previous_turn_->value);
  }
  completed.input = body_->substr(history_size);
  completed.output = delivered_.data();
  auto output_tokens = static_cast<std::uint32_t>(TokensDelivered());
  completed.place = {last_runner_, info_.prompt_tokens + output_tokens};
  settle.completed = std::move(completed);
  settled_ = true;
  absl::Time start = SteadyNow();
  // The response is aborted only after the request's deadline: a commit during a leader change of
  // the ledger is confirmed a moment later.
  absl::Time end = std::max(deadline_ - state_->options.response_margin,
                            start + state_->options.min_commit_timeout);
  auto result = co_await state_->ledger->Call(group_, settle, end);
  state_->log.Write(Line("turn_committed")
                        .Text("request", info_.id.value)
                        .Number("events", static_cast<std::int64_t>(delivered_.count()))
                        .Flag("known", static_cast<bool>(result))
                        .Real("ms", absl::ToDoubleMilliseconds(SteadyNow() - start)));
  if (!result) {
    co_return false;
  }
  state_->turns.Put(program_, RequestId(turn_.value),
                    std::make_shared<std::string>(absl::StrCat(*body_, delivered_.data())));
  co_return true;
}

std::uint64_t RequestHandler::TokensDelivered() const {
  bool engine = service_ != nullptr && service_->engine;
  return delivered_.count() * (engine ? service_->engine->tokens_per_event : 1);
}

void RequestHandler::SettleInBackground(std::uint64_t tokens) {
  if (!reserved_ || settled_) {
    return;
  }
  settled_ = true;
  turn_ledger::SettleTurn settle = Settlement(tokens);
  async_http::asio::co_spawn(
      state_->context,
      [state = state_, group = group_, settle = std::move(settle)]() -> Task<void> {
        co_await state->ledger->Call(group, settle, SteadyNow() + state->options.settle_timeout);
      },
      async_http::asio::detached);
}

}  // namespace martenyard::forwarding
