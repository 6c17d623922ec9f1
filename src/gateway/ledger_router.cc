#include "gateway/ledger_router.h"

#include <algorithm>
#include <utility>

namespace martenyard::gateway {

LedgerRouter::LedgerRouter(const RouterOptions& options, std::uint64_t seed, absl::Time now)
    : options_(options), random_(seed), now_(now), last_request_id_(random_.NextId() >> 8U) {}

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

void LedgerRouter::Submit(GroupId group, ledger::RequestBody body, absl::Time deadline,
                          LedgerCallback on_result) {
  std::uint64_t id = ++last_request_id_;
  PendingRequest& pending = pending_[id];
  pending.request = {id, group, std::move(body)};
  pending.deadline = deadline;
  pending.on_result = std::move(on_result);
  Send(pending);
}

void LedgerRouter::Send(PendingRequest& pending) {
  Group& group = groups_[pending.request.group];
  if (group.replicas.empty()) {
    RetryLater(pending);
    return;
  }
  NodeId target = group.leader;
  if (target == kNoNode) {
    target = group.replicas[group.next_replica % group.replicas.size()];
    ++group.next_replica;
  }
  pending.sent_to = target;
  pending.waiting_for_reply = true;
  pending.resend_at = now_ + options_.reply_timeout;
  outgoing_.push_back({target, pending.request});
}

void LedgerRouter::RetryLater(PendingRequest& pending) {
  pending.waiting_for_reply = false;
  absl::Duration backoff = std::min(
      options_.max_backoff, options_.backoff * (std::int64_t{1} << std::min(pending.attempts, 8)));
  ++pending.attempts;
  pending.resend_at = now_ + backoff * (0.5 + 0.5 * random_.Uniform());
}

void LedgerRouter::OnReply(absl::Time now, NodeId from, const ledger::LedgerReply& reply) {
  now_ = std::max(now_, now);
  auto found = pending_.find(reply.request_id);
  if (found == pending_.end()) {
    return;  // A duplicate or late reply.
  }
  PendingRequest& pending = found->second;
  Group& group = groups_[reply.group];
  if (reply.status == ledger::ReplyStatus::kAnswered) {
    group.leader = from;
    group.last_leader_reply = now_;
    LedgerCallback on_result = std::move(pending.on_result);
    pending_.erase(found);
    on_result({LedgerResult::Status::kAnswered, reply});
    return;
  }
  if (reply.status == ledger::ReplyStatus::kUncertain) {
    pending.maybe_proposed = true;
  }
  if (pending.sent_to != from) {
    return;  // The request was sent to another replica since.
  }
  if (reply.status == ledger::ReplyStatus::kDraining) {
    pending.waiting_for_reply = false;
    EndUnanswered(reply.request_id, reply);
    return;
  }
  if (reply.status == ledger::ReplyStatus::kOverloaded) {
    RetryLater(pending);
    return;
  }
  bool redirected = reply.leader != kNoNode && reply.leader != from && reply.leader != group.leader;
  group.leader = reply.leader == from ? kNoNode : reply.leader;
  if (redirected && pending.attempts < 2) {
    ++pending.attempts;
    Send(pending);
  } else {
    RetryLater(pending);
  }
}

void LedgerRouter::OnMemberRemoved(absl::Time now, NodeId member) {
  now_ = std::max(now_, now);
  for (auto& [id, group] : groups_) {
    if (group.leader == member) {
      group.leader = kNoNode;
    }
  }
  for (auto& [id, pending] : pending_) {
    if (pending.waiting_for_reply && pending.sent_to == member) {
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
      OnReplyTimeout(pending);
    }
    Send(pending);
  }
  for (std::uint64_t id : expired) {
    EndUnanswered(id);
  }
}

void LedgerRouter::EndRequests(absl::Time now, GroupId group) {
  now_ = std::max(now_, now);
  std::vector<std::uint64_t> ended;
  for (const auto& [id, pending] : pending_) {
    if (pending.request.group == group) {
      ended.push_back(id);
    }
  }
  for (std::uint64_t id : ended) {
    EndUnanswered(id);
  }
}

void LedgerRouter::OnReplyTimeout(PendingRequest& pending) {
  pending.maybe_proposed = true;
  Group& group = groups_[pending.request.group];
  // A leader that replies to other requests is alive and has queued this one; it is sent again.
  bool leader_alive = now_ - group.last_leader_reply < options_.reply_timeout * 2;
  if (group.leader == pending.sent_to && !leader_alive) {
    group.leader = kNoNode;
  }
}

void LedgerRouter::EndUnanswered(std::uint64_t id, const ledger::LedgerReply& reply) {
  auto node = pending_.extract(id);
  if (node.empty()) {
    return;
  }
  PendingRequest& pending = node.mapped();
  bool uncertain = pending.maybe_proposed || pending.waiting_for_reply;
  LedgerResult result;
  result.reply = reply;
  result.status = uncertain ? LedgerResult::Status::kUncertain : LedgerResult::Status::kNotProposed;
  pending.on_result(result);
}

std::vector<OutgoingLedgerRequest> LedgerRouter::TakeRequests() {
  std::vector<OutgoingLedgerRequest> taken = std::move(outgoing_);
  outgoing_.clear();
  return taken;
}

}  // namespace martenyard::gateway
