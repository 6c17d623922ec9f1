#include "gateway/ledger_router.h"

#include <algorithm>
#include <utility>

namespace martenyard::gateway {

LedgerRouter::LedgerRouter(const RouterOptions& options, std::uint64_t seed, absl::Time now)
    : options_(options), random_(seed), now_(now), last_id_(random_.NextId() >> 8U) {}

void LedgerRouter::SetReplicas(GroupId group, std::vector<NodeId> replicas) {
  Group& known = groups_[group];
  if (known.replicas == replicas) {
    return;
  }
  known.replicas = std::move(replicas);
  bool leader_left =
      std::find(known.replicas.begin(), known.replicas.end(), known.leader) == known.replicas.end();
  if (leader_left) {
    known.leader = kNoNode;
  }
}

NodeId LedgerRouter::LeaderOf(GroupId group) const {
  auto found = groups_.find(group);
  return found == groups_.end() ? kNoNode : found->second.leader;
}

void LedgerRouter::Ask(GroupId group, ledger::RequestBody body, absl::Time deadline,
                       LedgerCallback on_answer) {
  std::uint64_t id = ++last_id_;
  Pending& pending = pending_[id];
  pending.request = {id, group, std::move(body)};
  pending.deadline = deadline;
  pending.on_answer = std::move(on_answer);
  Send(pending);
}

void LedgerRouter::Send(Pending& pending) {
  Group& group = groups_[pending.request.group];
  if (group.replicas.empty()) {
    RetryLater(pending);
    return;
  }
  NodeId target = group.leader;
  if (target == kNoNode) {
    target = group.replicas[group.next % group.replicas.size()];
    ++group.next;
  }
  pending.asked = target;
  pending.waiting_for_reply = true;
  pending.resend_at = now_ + options_.reply_timeout;
  outgoing_.push_back({target, pending.request});
}

void LedgerRouter::RetryLater(Pending& pending) {
  pending.waiting_for_reply = false;
  absl::Duration backoff = std::min(
      options_.backoff_cap, options_.backoff * (std::int64_t{1} << std::min(pending.tries, 8)));
  ++pending.tries;
  pending.resend_at = now_ + backoff * (0.5 + 0.5 * random_.Uniform());
}

void LedgerRouter::OnReply(absl::Time now, NodeId from, const ledger::LedgerReply& reply) {
  now_ = std::max(now_, now);
  auto found = pending_.find(reply.request_id);
  if (found == pending_.end()) {
    return;  // A repeated or late answer.
  }
  Pending& pending = found->second;
  Group& group = groups_[reply.group];
  if (reply.status == ledger::ReplyStatus::kAnswered) {
    group.leader = from;
    group.leader_heard = now_;
    LedgerCallback on_answer = std::move(pending.on_answer);
    pending_.erase(found);
    on_answer({LedgerAnswer::Status::kAnswered, reply});
    return;
  }
  if (reply.status == ledger::ReplyStatus::kUncertain) {
    pending.maybe_proposed = true;
  }
  if (pending.asked != from) {
    return;  // Another replica has been asked meanwhile.
  }
  if (reply.status == ledger::ReplyStatus::kOverloaded) {
    RetryLater(pending);
    return;
  }
  bool news = reply.leader != kNoNode && reply.leader != from && reply.leader != group.leader;
  group.leader = reply.leader == from ? kNoNode : reply.leader;
  if (news && pending.tries < 2) {
    ++pending.tries;
    Send(pending);
  } else {
    RetryLater(pending);
  }
}

void LedgerRouter::OnMemberGone(absl::Time now, NodeId member) {
  now_ = std::max(now_, now);
  for (auto& [id, group] : groups_) {
    if (group.leader == member) {
      group.leader = kNoNode;
    }
  }
  for (auto& [id, pending] : pending_) {
    if (pending.waiting_for_reply && pending.asked == member) {
      pending.maybe_proposed = true;
      RetryLater(pending);
    }
  }
}

void LedgerRouter::Tick(absl::Time now) {
  now_ = std::max(now_, now);
  std::vector<std::uint64_t> expired;
  for (auto& [id, pending] : pending_) {
    if (now_ >= pending.deadline) {
      expired.push_back(id);
      continue;
    }
    if (now_ < pending.resend_at) {
      continue;
    }
    if (pending.waiting_for_reply) {
      OnSilence(pending);
    }
    Send(pending);
  }
  for (std::uint64_t id : expired) {
    Expire(id);
  }
}

void LedgerRouter::OnSilence(Pending& pending) {
  pending.maybe_proposed = true;
  Group& group = groups_[pending.request.group];
  // A leader that answers others lets this call wait for its turn; it is asked again.
  bool alive = now_ - group.leader_heard < options_.reply_timeout * 2;
  if (group.leader == pending.asked && !alive) {
    group.leader = kNoNode;
  }
}

void LedgerRouter::Expire(std::uint64_t id) {
  auto node = pending_.extract(id);
  if (node.empty()) {
    return;
  }
  Pending& pending = node.mapped();
  bool uncertain = pending.maybe_proposed || pending.waiting_for_reply;
  LedgerAnswer answer;
  answer.status = uncertain ? LedgerAnswer::Status::kUncertain : LedgerAnswer::Status::kNotProposed;
  pending.on_answer(answer);
}

std::vector<LedgerRequestTo> LedgerRouter::TakeRequests() {
  std::vector<LedgerRequestTo> taken = std::move(outgoing_);
  outgoing_.clear();
  return taken;
}

}  // namespace martenyard::gateway
