#include "daemon/replica_host.h"

#include <iterator>
#include <utility>

namespace martenyard::daemon {
namespace {

template <typename Item>
void MoveAll(std::vector<Item>& from, std::vector<Item>& to) {
  to.insert(to.end(), std::make_move_iterator(from.begin()), std::make_move_iterator(from.end()));
  from.clear();
}

void AddMessages(GroupId group, std::vector<consensus::Outbound>& from,
                 std::vector<OutgoingGroupMessage>& to) {
  for (consensus::Outbound& outbound : from) {
    to.push_back({outbound.to, GroupMessage{group, std::move(outbound.message)}});
  }
}

}  // namespace

ReplicaHost::ReplicaHost(NodeId self, const ledger::GroupOptions& options, storage::LogStore& store,
                         std::uint64_t seed)
    : self_(self), options_(options), store_(store), random_(seed) {}

Result<void> ReplicaHost::Restore(absl::Time now, const storage::StoredNode& stored) {
  for (const auto& [group, state] : stored.groups) {
    if (state.removed) {
      removed_.insert(group);
      continue;
    }
    Add(now, group, {state.hard_state, state.snapshot, state.entries});
  }
  return {};
}

void ReplicaHost::Add(absl::Time now, GroupId group, consensus::RestoredState restored) {
  replicas_[group] = std::make_unique<ledger::GroupReplica>(
      group, self_, options_, std::move(restored), random_.NextId(), now);
  if (declines_leadership_) {
    replicas_[group]->raft().DeclineLeadership();
  }
}

void ReplicaHost::DeclineLeadership() {
  declines_leadership_ = true;
  for (auto& [group, replica] : replicas_) {
    replica->raft().DeclineLeadership();
  }
}

void ReplicaHost::CreateInitialReplica(absl::Time now, GroupId group,
                                       const consensus::Configuration& configuration) {
  if (replicas_.contains(group) || removed_.contains(group)) {
    return;
  }
  consensus::RestoredState restored;
  restored.snapshot.configuration = configuration;
  storage::GroupWrite write;
  write.group = group;
  write.snapshot = restored.snapshot;
  pending_writes_.push_back(std::move(write));
  Add(now, group, std::move(restored));
}

void ReplicaHost::OnMessage(absl::Time now, NodeId from, const GroupMessage& message) {
  if (removed_.contains(message.group)) {
    return;
  }
  if (!replicas_.contains(message.group)) {
    // Only a leader adds a replica; it starts as a non-voter and receives the log.
    bool from_leader = std::holds_alternative<consensus::AppendRequest>(message.message) ||
                       std::holds_alternative<consensus::SnapshotRequest>(message.message);
    if (!from_leader) {
      return;
    }
    Add(now, message.group, consensus::RestoredState{});
  }
  replicas_[message.group]->OnRaftMessage(now, from, message.message);
}

bool ReplicaHost::OnRequest(absl::Time now, NodeId from, const ledger::LedgerRequest& request) {
  ledger::GroupReplica* replica = Find(request.group);
  if (replica == nullptr) {
    return false;
  }
  replica->OnRequest(now, from, request);
  return true;
}

void ReplicaHost::OnMemberDown(absl::Time now, NodeId member, absl::Time died_before) {
  for (auto& [group, replica] : replicas_) {
    replica->OnMemberDown(now, member, died_before);
  }
}

void ReplicaHost::Tick(absl::Time now) {
  for (auto& [group, replica] : replicas_) {
    replica->Tick(now);
  }
}

void ReplicaHost::Remove(GroupId group) {
  if (replicas_.erase(group) == 0) {
    return;
  }
  removed_.insert(group);
  storage::GroupWrite write;
  write.group = group;
  write.removed = true;
  pending_writes_.push_back(std::move(write));
}

ledger::GroupReplica* ReplicaHost::Find(GroupId group) {
  auto found = replicas_.find(group);
  return found == replicas_.end() ? nullptr : found->second.get();
}

Result<HostEffects> ReplicaHost::Pump(const std::function<void(OutgoingGroupMessage)>& send_early) {
  HostEffects effects;
  bool busy = true;
  while (busy) {
    BOOST_LEAF_CHECK(PumpRound(send_early, effects));
    busy = false;
    for (const auto& [group, replica] : replicas_) {
      busy = busy || replica->HasWork();
    }
  }
  return effects;
}

Result<void> ReplicaHost::PumpRound(const std::function<void(OutgoingGroupMessage)>& send_early,
                                    HostEffects& effects) {
  std::vector<std::pair<ledger::GroupReplica*, consensus::Ready>> readies;
  std::vector<storage::GroupWrite> writes = std::move(pending_writes_);
  pending_writes_.clear();
  for (auto& [group, replica] : replicas_) {
    if (!replica->HasWork()) {
      continue;
    }
    consensus::Ready ready = replica->TakeReady();
    for (consensus::Outbound& outbound : ready.messages_before_store) {
      send_early({outbound.to, GroupMessage{group, std::move(outbound.message)}});
    }
    bool stores = ready.hard_state || !ready.entries_to_store.empty() || ready.snapshot_to_install;
    if (stores) {
      storage::GroupWrite write;
      write.group = group;
      write.hard_state = ready.hard_state;
      write.snapshot = ready.snapshot_to_install;
      write.snapshot_replaces_log = ready.snapshot_to_install.has_value();
      write.entries = std::move(ready.entries_to_store);
      writes.push_back(std::move(write));
    }
    readies.emplace_back(replica.get(), std::move(ready));
  }
  if (!writes.empty()) {
    BOOST_LEAF_CHECK(store_.Write(writes));
    ++synced_writes_;
  }
  for (auto& [replica, ready] : readies) {
    AddMessages(replica->group(), ready.messages_after_store, effects.messages);
    if (auto snapshot = replica->Apply(ready)) {
      storage::GroupWrite write;
      write.group = replica->group();
      write.snapshot = std::move(*snapshot);
      pending_writes_.push_back(std::move(write));
    }
    std::vector<ledger::OutgoingLedgerReply> replies = replica->TakeReplies();
    MoveAll(replies, effects.replies);
  }
  return {};
}

}  // namespace martenyard::daemon
