#include "turn_ledger/ledger_client.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "turn_ledger/groups/group_layout.h"

namespace martenyard::turn_ledger {

using async_http::Task;

namespace {

/// Replicas that point at each other while they have no leader are not asked without end.
constexpr std::size_t kMaxHints = 3;

}  // namespace

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
    groups_[index].next = 0;
    if (groups_[index].last_answer == absl::InfinitePast()) {
      groups_[index].last_answer = SteadyNow();
    }
  }
}

GroupId LedgerClient::GroupOf(const ProgramId& program) const {
  return group_of(program, groups_.size());
}

LedgerClient::Group* LedgerClient::Find(GroupId group) {
  bool known = group.value >= 1 && group.value <= groups_.size();
  return known ? &groups_[group.value - 1] : nullptr;
}

bool LedgerClient::RefusesNow(const wire::Endpoint& machine) const {
  auto refused = refused_.find(machine);
  return refused != refused_.end() && SteadyNow() < refused->second + options_.refusal_cooldown;
}

wire::Endpoint LedgerClient::NextMachine(Group& group) const {
  // A try that goes to a dead machine is lost, and costs its whole time.
  for (std::size_t passed = 0; passed < group.machines.size(); ++passed) {
    const wire::Endpoint& machine = group.machines[group.next++ % group.machines.size()];
    if (!RefusesNow(machine)) {
      return machine;
    }
  }
  return group.machines[group.next++ % group.machines.size()];
}

void LedgerClient::OnDead(const wire::Endpoint& replica) {
  std::erase_if(refused_, [this](const auto& entry) { return !RefusesNow(entry.first); });
  refused_[replica] = SteadyNow();
  for (Group& group : groups_) {
    if (group.leader == replica) {
      group.leader.reset();
    }
  }
  for (auto& [request, waiting] : waiting_) {
    if (!waiting->tries.empty() && waiting->tries.back().target == replica) {
      waiting->arrived.Notify();
    }
  }
}

void LedgerClient::OnUnsupported(const wire::Endpoint& peer, std::uint64_t request) {
  auto found = waiting_.find(request);
  if (found == waiting_.end()) {
    return;
  }
  Waiting& waiting = *found->second;
  if (!waiting.tries.empty() && waiting.tries.back().target == peer) {
    waiting.unsupported = true;
    waiting.arrived.Notify();
  }
}

void LedgerClient::SetRelays(std::vector<wire::Endpoint> relays, bool lost) {
  relays_ = std::move(relays);
  lost_ = lost;
}

bool LedgerClient::IsSilent(const Group& group, absl::Duration limit) const {
  return group.last_answer + limit < SteadyNow();
}

bool LedgerClient::IsRelay(const wire::Endpoint& target) const {
  return std::find(relays_.begin(), relays_.end(), target) != relays_.end();
}

std::optional<wire::Endpoint> LedgerClient::NextTarget(Group& group,
                                                       const std::optional<wire::Endpoint>& failed,
                                                       Relaying relaying) {
  bool relay =
      relaying == Relaying::kAllowed && !relays_.empty() && IsSilent(group, options_.relay_after);
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

bool LedgerClient::IsBuried(const Group& group) const {
  return group.waiting >= options_.max_waiting &&
         group.last_sign + options_.unresponsive_after < SteadyNow();
}

Task<CallResult> LedgerClient::Call(GroupId group_id, Operation operation, absl::Time deadline,
                                    Relaying relaying, Programs programs) {
  bool counted = !std::holds_alternative<SettleTurn>(operation) &&
                 !std::holds_alternative<Probe>(operation) &&
                 !std::holds_alternative<TakeQuota>(operation);
  // Named, since GCC 12 destroys a braced temporary among a co_await's arguments twice.
  LedgerRequest request;
  request.request = ++last_request_;
  request.operation = std::move(operation);
  request.group = group_id;
  request.known_programs_only = programs == Programs::kKnownOnly;
  Group* group = Find(group_id);
  if (!counted || group == nullptr) {
    co_return co_await Try(std::move(request), deadline, relaying);
  }
  bool lost = lost_ && relays_.empty() && IsSilent(*group, options_.unresponsive_after);
  if (lost || IsBuried(*group)) {
    CallResult refused;
    refused.status = CallStatus::kOverloaded;
    co_return refused;
  }
  if (group->waiting == 0) {
    group->last_sign = SteadyNow();  // A quiet time is no silence.
  }
  ++group->waiting;
  CallResult result = co_await Try(std::move(request), deadline, relaying);
  if (Group* after = Find(group_id)) {
    --after->waiting;
  }
  co_return result;
}

Task<CallResult> LedgerClient::Try(LedgerRequest request, absl::Time deadline, Relaying relaying) {
  bool settlement = std::holds_alternative<SettleTurn>(request.operation);
  GroupId group_id = request.group;
  absl::Duration max_try_timeout =
      settlement ? options_.max_settle_try_timeout : options_.max_try_timeout;
  Waiting waiting(context_);
  waiting_[request.request] = &waiting;
  std::optional<wire::Endpoint> failed;
  CallResult result;
  absl::Duration try_timeout = options_.try_timeout;
  std::size_t unhelpful = 0;    // Replies without a leader's address.
  std::size_t hints = 0;        // Replies with one, since the last pause.
  std::size_t unsupported = 0;  // Machines that don't know the operation.
  bool first = true;
  bool may_be_committed = false;
  while (SteadyNow() < deadline) {
    retries_ += first ? 0 : 1;
    first = false;
    waiting.reply.reset();
    Group* group = Find(group_id);
    std::optional<wire::Endpoint> target;
    if (group != nullptr) {
      target = NextTarget(*group, failed, relaying);
    }
    failed.reset();
    if (!target) {
      co_await async_http::Sleep(context_, std::min(options_.retry_delay, deadline - SteadyNow()));
      continue;
    }
    waiting.tries.push_back({*target, IsRelay(*target)});
    send_(*target, request);
    if (!waiting.unsupported) {
      co_await waiting.arrived.Wait(std::min(try_timeout, deadline - SteadyNow()));
    }
    if (std::exchange(waiting.unsupported, false)) {
      // Another machine may lead, and know the operation.
      group = Find(group_id);
      bool last =
          group == nullptr || group->leader == target || ++unsupported >= group->machines.size();
      if (last) {
        result.status = CallStatus::kUnsupported;
        break;
      }
      failed = target;
      continue;
    }
    if (!waiting.reply) {
      may_be_committed = true;
      failed = target;
      try_timeout = std::min(try_timeout * 2, max_try_timeout);
      continue;
    }
    const LedgerReply& reply = *waiting.reply;
    group = Find(group_id);  // The groups may have been replaced meanwhile.
    if (group == nullptr) {
      continue;
    }
    const Asked answered = waiting.answered;
    if (reply.status == ReplyStatus::kDone) {
      group->last_sign = SteadyNow();
      if (!answered.through_peer) {
        group->leader = answered.target;
        group->last_answer = group->last_sign;
      }
      result = {CallStatus::kDone, std::move(waiting.reply->result)};
      break;
    }
    may_be_committed = may_be_committed || reply.status == ReplyStatus::kUncertain;
    if (reply.status == ReplyStatus::kOverloaded) {
      if (!answered.through_peer) {
        group->leader = answered.target;
        group->last_answer = SteadyNow();
      }
      if (!settlement && !may_be_committed) {
        result.status = CallStatus::kOverloaded;
        break;
      }
      co_await async_http::Sleep(context_, std::min(try_timeout, deadline - SteadyNow()));
      continue;
    }
    bool hint =
        reply.leader.port != 0 && reply.leader != answered.target && !RefusesNow(reply.leader);
    if (hint && ++hints <= kMaxHints) {
      group->leader = reply.leader;
      continue;
    }
    group->leader.reset();
    if (hints > kMaxHints || ++unhelpful >= group->machines.size()) {
      unhelpful = 0;
      hints = 0;
      co_await async_http::Sleep(context_, std::min(options_.retry_delay, deadline - SteadyNow()));
    }
  }
  waiting_.erase(request.request);
  co_return result;
}

std::size_t LedgerClient::probed_groups() const {
  return std::min(groups_.size(), options_.max_probed_groups);
}

std::size_t LedgerClient::ProbedGroup(std::size_t place) const {
  // Neighbouring groups share machines: the probed ones lie apart.
  std::size_t stride = groups_.size() / probed_groups();
  return (probe_offset_ + place * stride) % groups_.size();
}

void LedgerClient::ProbeQuietGroups(absl::Duration quiet) {
  for (std::size_t place = 0; place < probed_groups(); ++place) {
    std::size_t index = ProbedGroup(place);
    Group& group = groups_[index];
    if (!group.probing && group.last_answer + quiet < SteadyNow()) {
      group.probing = true;
      async_http::asio::co_spawn(context_, ProbeGroup(group_at(index)), async_http::asio::detached);
    }
  }
}

Task<void> LedgerClient::ProbeGroup(GroupId group_id) {
  // Named, since GCC 12 destroys a braced temporary among a co_await's arguments twice.
  Operation probe = Probe{};
  co_await Call(group_id, std::move(probe), SteadyNow() + options_.probe_timeout,
                Relaying::kDirectOnly);
  if (Group* group = Find(group_id)) {
    group->probing = false;
  }
}

std::size_t LedgerClient::SilentGroups(absl::Duration limit) const {
  std::size_t silent = 0;
  for (std::size_t place = 0; place < probed_groups(); ++place) {
    silent += IsSilent(groups_[ProbedGroup(place)], limit) ? 1 : 0;
  }
  return silent;
}

void LedgerClient::OnReply(const wire::Endpoint& from, const LedgerReply& reply) {
  refused_.erase(from);
  auto found = waiting_.find(reply.request);
  if (found == waiting_.end() || found->second->tries.empty()) {
    return;  // Its call has ended: a late answer to a call that another try has answered.
  }
  Waiting& waiting = *found->second;
  auto answered = std::find_if(waiting.tries.rbegin(), waiting.tries.rend(),
                               [&](const Asked& asked) { return asked.target == from; });
  bool present = answered == waiting.tries.rbegin() || answered == waiting.tries.rend();
  if (!present && reply.status != ReplyStatus::kDone) {
    return;  // A try that counts as lost already: what it says is nothing of the present one.
  }
  waiting.reply = reply;
  waiting.answered = present ? waiting.tries.back() : *answered;
  waiting.arrived.Notify();
}

}  // namespace martenyard::turn_ledger
