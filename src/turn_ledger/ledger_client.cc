#include "turn_ledger/ledger_client.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"

namespace martenyard::turn_ledger {

using async_http::Task;

LedgerClient::LedgerClient(async_http::asio::io_context& context, Send send,
                           const LedgerClientOptions& options, std::uint64_t first_request)
    : context_(context), send_(std::move(send)), options_(options), last_request_(first_request) {}

void LedgerClient::SetReplicas(std::vector<wire::Endpoint> replicas) {
  replicas_ = std::move(replicas);
}

void LedgerClient::OnDead(const wire::Endpoint& replica) {
  if (leader_ == replica) {
    leader_.reset();
  }
  for (auto& [request, waiting] : waiting_) {
    if (waiting->target == replica) {
      waiting->arrived.Notify();
    }
  }
}

std::optional<wire::Endpoint> LedgerClient::NextTarget(
    const std::optional<wire::Endpoint>& failed) {
  if (leader_ && leader_ != failed) {
    return leader_;
  }
  if (leader_ == failed) {
    leader_.reset();
  }
  if (replicas_.empty()) {
    return std::nullopt;
  }
  return replicas_[next_replica_++ % replicas_.size()];
}

Task<CallResult> LedgerClient::Call(Operation operation, absl::Time deadline) {
  bool reservation = std::holds_alternative<ReserveTurn>(operation);
  LedgerRequest request{++last_request_, std::move(operation)};
  Waiting waiting(context_);
  waiting_[request.request] = &waiting;
  std::optional<wire::Endpoint> failed;
  CallResult result;
  absl::Duration try_timeout = options_.try_timeout;
  bool first = true;
  bool may_be_committed = false;
  while (SteadyNow() < deadline) {
    retries_ += first ? 0 : 1;
    first = false;
    waiting.reply.reset();
    std::optional<wire::Endpoint> target = NextTarget(failed);
    failed.reset();
    if (!target) {
      co_await async_http::Sleep(context_, std::min(options_.pause, deadline - SteadyNow()));
      continue;
    }
    waiting.target = *target;
    send_(*target, request);
    co_await waiting.arrived.Wait(std::min(try_timeout, deadline - SteadyNow()));
    if (!waiting.reply) {
      may_be_committed = true;
      failed = target;
      try_timeout = std::min(try_timeout * 2, options_.longest_try);
      continue;
    }
    const LedgerReply& reply = *waiting.reply;
    if (reply.status == ReplyStatus::kDone) {
      leader_ = target;
      result = {CallEnd::kDone, std::move(waiting.reply->result)};
      break;
    }
    may_be_committed = may_be_committed || reply.status == ReplyStatus::kUncertain;
    if (reply.status == ReplyStatus::kOverloaded) {
      leader_ = target;
      if (reservation && !may_be_committed) {
        result.end = CallEnd::kOverloaded;
        break;
      }
      co_await async_http::Sleep(context_, std::min(try_timeout, deadline - SteadyNow()));
      continue;
    }
    bool hint = reply.leader.port != 0 && reply.leader != *target;
    if (hint) {
      leader_ = reply.leader;
    } else {
      leader_.reset();
      co_await async_http::Sleep(context_, std::min(options_.pause, deadline - SteadyNow()));
    }
  }
  waiting_.erase(request.request);
  co_return result;
}

void LedgerClient::OnReply(const LedgerReply& reply) {
  auto found = waiting_.find(reply.request);
  if (found == waiting_.end()) {
    return;
  }
  found->second->reply = reply;
  found->second->arrived.Notify();
}

}  // namespace martenyard::turn_ledger
