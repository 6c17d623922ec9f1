#include "turn_ledger/ledger_client.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "turn_ledger/groups/group_layout.h"

namespace martenyard::turn_ledger {

using async_http::Task;

namespace {

/// Limit of leader hints followed without a delay: replicas may point at each other while there is
/// no leader.
constexpr std::size_t kMaxHints = 3;

}  // namespace

Programs ProgramsOf(const LedgerRequest& request) {
  if (!request.known_programs_only) {
    return Programs::kAll;
  }
  return request.admit_waiting ? Programs::kKnownOrWaiting : Programs::kKnownOnly;
}

LedgerClient::LedgerClient(async_http::asio::io_context& context, Send send,
                           const LedgerClientOptions& options, std::uint64_t first_request)
    : context_(context),
      send_(std::move(send)),
      options_(options),
      last_request_(first_request),
      probe_offset_(first_request) {}

void LedgerClient::SetGroups(std::vector<std::vector<wire::Endpoint>> groups) {
  groups_.resize(groups.size());
  for (std::size_t index = 0; index < groups.size(); ++index) {
    groups_[index].machines = std::move(groups[index]);
    groups_[index].next_machine = 0;
    if (groups_[index].last_answer == absl::InfinitePast()) {
      groups_[index].last_answer = SteadyNow();
    }
  }
}

GroupId LedgerClient::GroupOf(const ProgramId& program) const {
  return group_of(program, groups_.size());
}

LedgerClient::Group* LedgerClient::FindGroup(GroupId group) {
  bool known = group.value >= 1 && group.value <= groups_.size();
  return known ? &groups_[group.value - 1] : nullptr;
}

bool LedgerClient::RefusedRecently(const wire::Endpoint& machine) const {
  auto refusal = last_refusal_.find(machine);
  return refusal != last_refusal_.end() &&
         SteadyNow() < refusal->second + options_.refusal_cooldown;
}

wire::Endpoint LedgerClient::NextMachine(Group& group) const {
  // A try sent to a dead machine costs its whole timeout.
  for (std::size_t passed = 0; passed < group.machines.size(); ++passed) {
    const wire::Endpoint& machine = group.machines[group.next_machine++ % group.machines.size()];
    if (!RefusedRecently(machine)) {
      return machine;
    }
  }
  return group.machines[group.next_machine++ % group.machines.size()];
}

void LedgerClient::OnReplicaDown(const wire::Endpoint& replica) {
  std::erase_if(last_refusal_, [this](const auto& entry) { return !RefusedRecently(entry.first); });
  last_refusal_[replica] = SteadyNow();
  for (Group& group : groups_) {
    if (group.leader == replica) {
      group.leader.reset();
    }
  }
  for (auto& [request, call] : pending_calls_) {
    if (!call->attempts.empty() && call->attempts.back().target == replica) {
      call->wakeup.Notify();
    }
  }
}

void LedgerClient::OnUnsupported(const wire::Endpoint& peer, std::uint64_t request) {
  auto found = pending_calls_.find(request);
  if (found == pending_calls_.end()) {
    return;
  }
  PendingCall& call = *found->second;
  if (!call.attempts.empty() && call.attempts.back().target == peer) {
    call.unsupported = true;
    call.wakeup.Notify();
  }
}

void LedgerClient::SetRelays(std::vector<wire::Endpoint> relays, bool ledger_unreachable) {
  relays_ = std::move(relays);
  ledger_unreachable_ = ledger_unreachable;
}

bool LedgerClient::IsUnresponsive(const Group& group, absl::Duration limit) const {
  return group.last_answer + limit < SteadyNow();
}

bool LedgerClient::IsRelay(const wire::Endpoint& target) const {
  return std::find(relays_.begin(), relays_.end(), target) != relays_.end();
}

std::optional<wire::Endpoint> LedgerClient::NextTarget(Group& group,
                                                       const std::optional<wire::Endpoint>& failed,
                                                       Relaying relaying) {
  bool relay = relaying == Relaying::kAllowed && !relays_.empty() &&
               IsUnresponsive(group, options_.relay_after);
  if (relay) {
    ++relayed_;
    return relays_[next_relay_++ % relays_.size()];
  }
  if (group.leader && group.leader != failed) {
    return group.leader;
  }
  if (group.leader == failed) {
    group.leader.reset();
  }
  if (group.machines.empty()) {
    return std::nullopt;
  }
  return NextMachine(group);
}

bool LedgerClient::IsSaturated(const Group& group) const {
  return group.waiting_reservations >= options_.max_waiting &&
         group.last_progress + options_.unresponsive_after < SteadyNow();
}

Task<CallResult> LedgerClient::Call(GroupId group_id, Operation operation, absl::Time deadline,
                                    Relaying relaying, Programs programs, LedgerQueries queries) {
  bool limited = !std::holds_alternative<SettleTurn>(operation) &&
                 !std::holds_alternative<Probe>(operation) &&
                 !std::holds_alternative<TakeQuota>(operation);
  // A named variable, since GCC 12 destroys a braced temporary among a co_await's arguments twice.
  LedgerRequest request;
  request.request = ++last_request_;
  request.operation = std::move(operation);
  request.group = group_id;
  request.known_programs_only = programs != Programs::kAll;
  request.admit_waiting = programs == Programs::kKnownOrWaiting;
  request.origin = std::move(queries.origin);
  request.crash_account = std::move(queries.crash_account);
  Group* group = FindGroup(group_id);
  if (!limited || group == nullptr) {
    co_return co_await RunCall(std::move(request), deadline, relaying);
  }
  bool unreachable =
      ledger_unreachable_ && relays_.empty() && IsUnresponsive(*group, options_.unresponsive_after);
  if (unreachable || IsSaturated(*group)) {
    CallResult refused;
    refused.status = CallStatus::kOverloaded;
    co_return refused;
  }
  if (group->waiting_reservations == 0) {
    group->last_progress = SteadyNow();  // Time without reservations does not count.
  }
  ++group->waiting_reservations;
  CallResult result = co_await RunCall(std::move(request), deadline, relaying);
  if (Group* after = FindGroup(group_id)) {
    --after->waiting_reservations;
  }
  co_return result;
}

Task<CallResult> LedgerClient::RunCall(LedgerRequest request, absl::Time deadline,
                                       Relaying relaying) {
  bool settlement = std::holds_alternative<SettleTurn>(request.operation);
  GroupId group_id = request.group;
  absl::Duration max_try_timeout =
      settlement ? options_.max_settle_try_timeout : options_.max_try_timeout;
  PendingCall call(context_);
  pending_calls_[request.request] = &call;
  std::optional<wire::Endpoint> failed;
  CallResult result;
  absl::Duration try_timeout = options_.try_timeout;
  std::size_t replies_without_leader = 0;  // Replies without a leader's address.
  std::size_t hints = 0;                   // Replies with one, since the last delay.
  std::size_t unsupported = 0;             // Machines that don't support the operation.
  bool first = true;
  bool may_be_committed = false;
  while (SteadyNow() < deadline) {
    retries_ += first ? 0 : 1;
    first = false;
    call.reply.reset();
    Group* group = FindGroup(group_id);
    std::optional<wire::Endpoint> target;
    if (group != nullptr) {
      target = NextTarget(*group, failed, relaying);
    }
    failed.reset();
    if (!target) {
      co_await async_http::Sleep(context_, std::min(options_.retry_delay, deadline - SteadyNow()));
      continue;
    }
    call.attempts.push_back({*target, IsRelay(*target)});
    send_(*target, request);
    if (!call.unsupported) {
      co_await call.wakeup.Wait(std::min(try_timeout, deadline - SteadyNow()));
    }
    if (std::exchange(call.unsupported, false)) {
      // Another machine may lead and support the operation.
      group = FindGroup(group_id);
      bool last =
          group == nullptr || group->leader == target || ++unsupported >= group->machines.size();
      if (last) {
        result.status = CallStatus::kUnsupported;
        break;
      }
      failed = target;
      continue;
    }
    if (!call.reply) {
      may_be_committed = true;
      failed = target;
      try_timeout = std::min(try_timeout * 2, max_try_timeout);
      continue;
    }
    const LedgerReply& reply = *call.reply;
    group = FindGroup(group_id);  // The groups may have been replaced meanwhile.
    if (group == nullptr) {
      continue;
    }
    const Attempt answered_attempt = call.answered_attempt;
    if (reply.status == ReplyStatus::kDone) {
      group->last_progress = SteadyNow();
      if (!answered_attempt.through_relay) {
        group->leader = answered_attempt.target;
        group->last_answer = group->last_progress;
      }
      result = {CallStatus::kDone, std::move(call.reply->result)};
      break;
    }
    may_be_committed = may_be_committed || reply.status == ReplyStatus::kUncertain;
    if (reply.status == ReplyStatus::kOverloaded) {
      if (!answered_attempt.through_relay) {
        group->leader = answered_attempt.target;
        group->last_answer = SteadyNow();
      }
      if (!settlement && !may_be_committed) {
        result.status = CallStatus::kOverloaded;
        break;
      }
      co_await async_http::Sleep(context_, std::min(try_timeout, deadline - SteadyNow()));
      continue;
    }
    bool hint = reply.leader.port != 0 && reply.leader != answered_attempt.target &&
                !RefusedRecently(reply.leader);
    if (hint && ++hints <= kMaxHints) {
      group->leader = reply.leader;
      continue;
    }
    group->leader.reset();
    if (hints > kMaxHints || ++replies_without_leader >= group->machines.size()) {
      replies_without_leader = 0;
      hints = 0;
      co_await async_http::Sleep(context_, std::min(options_.retry_delay, deadline - SteadyNow()));
    }
  }
  pending_calls_.erase(request.request);
  co_return result;
}

std::size_t LedgerClient::probed_groups() const {
  return std::min(groups_.size(), options_.max_probed_groups);
}

std::size_t LedgerClient::ProbedGroupIndex(std::size_t ordinal) const {
  // Neighboring groups share machines, so the probed groups are spaced apart.
  std::size_t stride = groups_.size() / probed_groups();
  return (probe_offset_ + ordinal * stride) % groups_.size();
}

void LedgerClient::ProbeIdleGroups(absl::Duration idle_time) {
  for (std::size_t ordinal = 0; ordinal < probed_groups(); ++ordinal) {
    std::size_t index = ProbedGroupIndex(ordinal);
    Group& group = groups_[index];
    if (!group.probing && group.last_answer + idle_time < SteadyNow()) {
      group.probing = true;
      async_http::asio::co_spawn(context_, ProbeGroup(group_at(index)), async_http::asio::detached);
    }
  }
}

Task<void> LedgerClient::ProbeGroup(GroupId group_id) {
  // A named variable, since GCC 12 destroys a braced temporary among a co_await's arguments twice.
  Operation probe = Probe{};
  co_await Call(group_id, std::move(probe), SteadyNow() + options_.probe_timeout,
                Relaying::kDirectOnly);
  if (Group* group = FindGroup(group_id)) {
    group->probing = false;
  }
}

std::size_t LedgerClient::UnresponsiveGroups(absl::Duration limit) const {
  std::size_t unresponsive = 0;
  for (std::size_t ordinal = 0; ordinal < probed_groups(); ++ordinal) {
    unresponsive += IsUnresponsive(groups_[ProbedGroupIndex(ordinal)], limit) ? 1 : 0;
  }
  return unresponsive;
}

void LedgerClient::OnReply(const wire::Endpoint& from, const LedgerReply& reply) {
  last_refusal_.erase(from);
  auto found = pending_calls_.find(reply.request);
  if (found == pending_calls_.end() || found->second->attempts.empty()) {
    return;  // The call has completed: this is a late reply to another try.
  }
  PendingCall& call = *found->second;
  auto answered_attempt =
      std::find_if(call.attempts.rbegin(), call.attempts.rend(),
                   [&](const Attempt& attempt) { return attempt.target == from; });
  bool current =
      answered_attempt == call.attempts.rbegin() || answered_attempt == call.attempts.rend();
  if (!current && reply.status != ReplyStatus::kDone) {
    return;  // A refusal of an abandoned try says nothing about the current one.
  }
  call.reply = reply;
  call.answered_attempt = current ? call.attempts.back() : *answered_attempt;
  call.wakeup.Notify();
}

}  // namespace martenyard::turn_ledger
