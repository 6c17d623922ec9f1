#include "daemon/planned_stop.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/logging.h"

namespace martenyard::daemon {
namespace {

constexpr char kLog[] = "node";
/// Minimum time between the starts of two leadership transfers of a group, in election timeouts:
/// twice the maximum duration of a transfer.
constexpr int kTransferPauseTimeouts = 6;

}  // namespace

bool QuorumIsDead(const consensus::Configuration& configuration,
                  const membership::Membership& membership) {
  auto is_running = [&](NodeId voter) {
    bool known = membership.FindIncludingDead(voter) != nullptr;
    return !known || membership.StatusOf(voter) != membership::MemberStatus::kDead;
  };
  auto running =
      std::count_if(configuration.voters.begin(), configuration.voters.end(), is_running);
  return static_cast<std::size_t>(running) < configuration.QuorumSize();
}

PlannedStop::PlannedStop(NodeId self, const PlannedStopOptions& options, ReplicaHost& replicas,
                         membership::Membership& membership, const gateway::CallCoordinator& calls,
                         const gateway::LedgerRouter& router, SendMessage send)
    : self_(self),
      options_(options),
      replicas_(replicas),
      membership_(membership),
      calls_(calls),
      router_(router),
      send_(std::move(send)) {}

void PlannedStop::Begin(absl::Time now) {
  if (begun_) {
    return;
  }
  now_ = std::max(now_, now);
  begun_ = true;
  begun_at_ = now_;
  next_exit_requests_ = now_;
  replicas_.DeclineLeadership();
  Tick(now);
}

void PlannedStop::Tick(absl::Time now) {
  now_ = std::max(now_, now);
  if (begun_ || !exit_queues_.empty()) {
    UpdateExitQueues();
  }
  if (!begun_) {
    return;
  }
  TransferLeaderships();
  if (now_ >= next_exit_requests_) {
    next_exit_requests_ = now_ + options_.exit_request_interval;
    SendExitRequests();
  }
}

// ---- Which voters stay ----

bool PlannedStop::IsStaying(const consensus::Raft& raft, NodeId voter) const {
  if (voter == self_) {
    return !begun_;
  }
  bool recent_contact = raft.LastContact(voter) + options_.election_timeout >= now_;
  return membership_.StatusOf(voter) == membership::MemberStatus::kAlive && recent_contact &&
         !raft.DeclinedLeadership(voter);
}

bool PlannedStop::QuorumStays(const consensus::Raft& raft, absl::Time replied_after) const {
  const std::vector<NodeId>& voters = raft.configuration().voters;
  auto staying = std::count_if(voters.begin(), voters.end(), [&](NodeId voter) {
    bool replied = voter == self_ || raft.LastContact(voter) > replied_after;
    return replied && IsStaying(raft, voter);
  });
  return static_cast<std::size_t>(staying) >= raft.configuration().QuorumSize();
}

NodeId PlannedStop::SuccessorFor(GroupId group, const consensus::Raft& raft) const {
  auto last = transfers_.find(group);
  NodeId last_target = last == transfers_.end() ? kNoNode : last->second.target;
  auto rank = [&](NodeId voter) { return std::pair(voter != last_target, raft.MatchIndex(voter)); };
  NodeId best = kNoNode;
  for (NodeId voter : raft.configuration().voters) {
    bool usable = voter != self_ && IsStaying(raft, voter);
    if (usable && (best == kNoNode || rank(voter) > rank(best))) {
      best = voter;
    }
  }
  return best;
}

// ---- Leader: requests of other voters ----

void PlannedStop::OnExitRequest(absl::Time now, NodeId from, const ExitRequest& request) {
  now_ = std::max(now_, now);
  membership_.OnLeaving(from);
  std::set<GroupId> in_use(request.in_use.begin(), request.in_use.end());
  for (GroupId group : request.groups) {
    ledger::GroupReplica* replica = replicas_.Find(group);
    if (replica == nullptr || !replica->raft().IsLeader()) {
      continue;  // Sent again to the next leader.
    }
    replica->raft().CancelTransferTo(from);
    ExitQueue& queue = exit_queues_[group];
    if (!queue.requesters.contains(from)) {
      queue.last_joined = now_;
    }
    ExitQueue::Requester& requester = queue.requesters[from];
    requester.requested_at = now_;
    requester.reply_due = true;
    requester.in_use = in_use.contains(group);
  }
  UpdateExitQueues();
}

void PlannedStop::UpdateExitQueues() {
  std::map<NodeId, ExitReply> replies;
  std::set<GroupId> in_use = calls_.GroupsInUse();
  for (const auto& [group, replica] : replicas_.replicas()) {
    bool concerned = replica->raft().IsLeader() && (begun_ || exit_queues_.contains(group));
    if (!concerned) {
      exit_queues_.erase(group);
      continue;
    }
    ExitQueue& queue = exit_queues_[group];
    ExpireRequests(queue);
    UpdateExitQueue(group, *replica, in_use.contains(group));
    CollectReplies(group, queue, replies);
    if (!begun_ && queue.requesters.empty()) {
      replica->SetDraining(false);
      exit_queues_.erase(group);
    }
  }
  SendReplies(replies);
}

void PlannedStop::ExpireRequests(ExitQueue& queue) {
  std::erase_if(queue.requesters, [this](const auto& entry) {
    return entry.second.requested_at + options_.exit_request_lifetime < now_;
  });
}

bool PlannedStop::IsUsedByRequesters(const ExitQueue& queue) {
  return std::any_of(queue.requesters.begin(), queue.requesters.end(),
                     [](const auto& entry) { return entry.second.in_use; });
}

bool PlannedStop::AwaitsRequests(const ExitQueue& queue, const consensus::Raft& raft) const {
  const std::vector<NodeId>& voters = raft.configuration().voters;
  bool missing = std::any_of(voters.begin(), voters.end(), [&](NodeId voter) {
    bool leaving = membership_.StatusOf(voter) == membership::MemberStatus::kLeaving;
    return voter != self_ && leaving && !queue.requesters.contains(voter);
  });
  return missing && now_ < queue.draining_since + options_.exit_request_lifetime;
}

void PlannedStop::UpdateExitQueue(GroupId group, ledger::GroupReplica& replica, bool in_use) {
  const consensus::Raft& raft = replica.raft();
  ExitQueue& queue = exit_queues_[group];
  // After a transfer the next leader answers.
  bool transfers = begun_ && SuccessorFor(group, raft) != kNoNode;
  bool drain = !transfers && !QuorumStays(raft, absl::InfinitePast());
  if (drain != replica.IsDraining()) {
    MARTENYARD_LOG_INFO(kLog, "Group " << group.value
                                       << (drain ? " admits no new calls: too few voters stay."
                                                 : " admits calls again: enough voters stay."));
    replica.SetDraining(drain);
  }
  bool quorum_stays = QuorumStays(raft, queue.last_joined);
  queue.draining_since = drain ? std::min(queue.draining_since, now_) : absl::InfiniteFuture();
  // The reply to a stored result may have been lost with the previous leader; its repetition needs
  // a quorum again.
  bool unused =
      replica.IsDrained() && !in_use && !IsUsedByRequesters(queue) && !AwaitsRequests(queue, raft);
  bool allowed = drain ? unused : quorum_stays;
  if (!allowed) {
    queue.exits_allowed_since.reset();
  } else if (!queue.exits_allowed_since) {
    queue.exits_allowed_since = now_;
  }
}

void PlannedStop::CollectReplies(GroupId group, ExitQueue& queue,
                                 std::map<NodeId, ExitReply>& replies) {
  for (auto& [voter, requester] : queue.requesters) {
    bool allowed = queue.exits_allowed_since.has_value();
    if (allowed && (requester.reply_due || !requester.granted)) {
      replies[voter].granted.push_back(group);
    } else if (!allowed && requester.reply_due) {
      replies[voter].waiting.push_back(group);
    }
    requester.granted = allowed;
    requester.reply_due = false;
  }
}

void PlannedStop::SendReplies(std::map<NodeId, ExitReply>& replies) {
  for (auto& [voter, reply] : replies) {
    send_(voter, std::move(reply));
  }
}

// ---- Stopping voter ----

NodeId PlannedStop::LeaderToAsk(GroupId group) const {
  const ledger::GroupReplica* replica = replicas_.Find(group);
  return replica == nullptr ? router_.LeaderOf(group) : replica->raft().leader();
}

void PlannedStop::SendExitRequests() {
  std::set<GroupId> in_use = calls_.GroupsInUse();
  std::set<GroupId> groups = in_use;
  for (const auto& [group, replica] : replicas_.replicas()) {
    if (replica->raft().configuration().IsVoter(self_)) {
      groups.insert(group);
    }
  }
  std::map<NodeId, ExitRequest> requests;
  for (GroupId group : groups) {
    NodeId leader = LeaderToAsk(group);
    if (leader == kNoNode || leader == self_) {
      continue;
    }
    requests[leader].groups.push_back(group);
    if (in_use.contains(group)) {
      requests[leader].in_use.push_back(group);
    }
  }
  for (auto& [leader, request] : requests) {
    send_(leader, std::move(request));
  }
}

void PlannedStop::OnExitReply(absl::Time now, NodeId from, const ExitReply& reply) {
  now_ = std::max(now_, now);
  for (GroupId group : reply.granted) {
    permissions_[group] = {from, now_};
  }
  for (GroupId group : reply.waiting) {
    permissions_[group] = {kNoNode, now_};
  }
}

void PlannedStop::TransferLeaderships() {
  for (const auto& [group, replica] : replicas_.replicas()) {
    if (replica->raft().IsLeader()) {
      TransferLeadership(group, replica->raft());
    }
  }
}

void PlannedStop::TransferLeadership(GroupId group, consensus::Raft& raft) {
  Transfer& last = transfers_[group];
  if (raft.IsTransferringLeadership()) {
    if (now_ >= last.last_sent + options_.transfer_resend_interval) {
      last.last_sent = now_;
      raft.TransferLeadership(last.target);  // The previous message may have been lost.
    }
    return;
  }
  // Pause between transfers, so that calls can store their results if a target fails to take over.
  bool declined = raft.DeclinedLeadership(last.target);
  bool pausing = now_ < last.begun + options_.election_timeout * kTransferPauseTimeouts;
  NodeId successor = SuccessorFor(group, raft);
  if (successor == kNoNode || (pausing && !declined)) {
    return;
  }
  last = {successor, now_, now_};
  MARTENYARD_LOG_INFO(kLog, "Transferring leadership of group "
                                << group.value << " to "
                                << membership_.FindIncludingDead(successor)->peer.ToString()
                                << ", whose match index is " << raft.MatchIndex(successor) << " of "
                                << raft.last_index() << ".");
  raft.TransferLeadership(successor);
}

// ---- Exit ----

bool PlannedStop::IsPermitted(GroupId group, const consensus::Raft& raft) const {
  auto found = permissions_.find(group);
  absl::Time last_reply = found == permissions_.end() ? begun_at_ : found->second.last_reply;
  bool granted = found != permissions_.end() && found->second.granted_by != kNoNode;
  if (granted && (raft.leader() == kNoNode || raft.leader() == found->second.granted_by)) {
    return true;
  }
  return now_ >= std::max(begun_at_, last_reply) + options_.exit_reply_timeout;
}

const char* PlannedStop::BlockerOf(GroupId group, const consensus::Raft& raft) const {
  const consensus::Configuration& configuration = raft.configuration();
  if (!configuration.IsVoter(self_)) {
    return nullptr;
  }
  bool replacement_exists =
      membership_.Live().size() >= static_cast<std::size_t>(options_.replicas);
  if (!options_.durable && replacement_exists) {
    return "held in memory";
  }
  if (QuorumIsDead(configuration, membership_)) {
    return nullptr;
  }
  if (!raft.IsLeader()) {
    return IsPermitted(group, raft) ? nullptr : "still needs this voter";
  }
  if (SuccessorFor(group, raft) != kNoNode) {
    return "led";
  }
  auto queue = exit_queues_.find(group);
  bool allowed = queue != exit_queues_.end() && queue->second.exits_allowed_since;
  // The replies to other voters leave before the next tick.
  bool replied = allowed && *queue->second.exits_allowed_since < now_;
  return replied ? nullptr : "led and not drained";
}

bool PlannedStop::MayExit() const {
  const auto& replicas = replicas_.replicas();
  return std::all_of(replicas.begin(), replicas.end(), [this](const auto& entry) {
    return BlockerOf(entry.first, entry.second->raft()) == nullptr;
  });
}

std::vector<std::string> PlannedStop::Blockers() const {
  std::vector<std::string> blockers;
  for (const auto& [group, replica] : replicas_.replicas()) {
    if (const char* reason = BlockerOf(group, replica->raft())) {
      blockers.push_back(absl::StrCat("group ", group.value, " ", reason));
    }
  }
  return blockers;
}

}  // namespace martenyard::daemon
