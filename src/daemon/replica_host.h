// All group replicas of one daemon on one log store, with one synced write per round.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "absl/time/time.h"
#include "base/errors.h"
#include "base/random.h"
#include "daemon/messages.h"
#include "ledger/group_replica.h"
#include "storage/log_store.h"

namespace martenyard::daemon {

struct OutgoingGroupMessage {
  NodeId to;
  GroupMessage message;
};

struct HostEffects {
  std::vector<OutgoingGroupMessage> messages;
  std::vector<ledger::OutgoingLedgerReply> replies;
};

class ReplicaHost {
 public:
  ReplicaHost(NodeId self, const ledger::GroupOptions& options, storage::LogStore& store,
              std::uint64_t seed);

  /// Starts the stored replicas. Errors: the store's.
  Result<void> Restore(absl::Time now, const storage::StoredNode& stored);
  /// Creates a replica as an initial voter of a new group. Does nothing if the group is known.
  void CreateInitialReplica(absl::Time now, GroupId group,
                            const consensus::Configuration& configuration);
  void OnMessage(absl::Time now, NodeId from, const GroupMessage& message);
  /// @return false when this daemon has no replica of the group.
  bool OnRequest(absl::Time now, NodeId from, const ledger::LedgerRequest& request);
  void OnMemberDown(absl::Time now, NodeId member, absl::Time died_before);
  void Tick(absl::Time now);
  /// No replica accepts a transfer of leadership from now on.
  void DeclineLeadership();
  /// Removes a group whose committed configuration no longer contains this daemon.
  void Remove(GroupId group);
  /// Stores, sends and applies until no replica has work left.
  /// @param send_early sends messages that need not wait for the synced write, so that followers
  /// write in parallel with this daemon.
  /// Errors: the store's; then this host must not be used further.
  Result<HostEffects> Pump(const std::function<void(OutgoingGroupMessage)>& send_early);

  const std::map<GroupId, std::unique_ptr<ledger::GroupReplica>>& replicas() const {
    return replicas_;
  }
  ledger::GroupReplica* Find(GroupId group);
  std::uint64_t synced_writes() const { return synced_writes_; }

 private:
  void Add(absl::Time now, GroupId group, consensus::RestoredState restored);
  Result<void> PumpRound(const std::function<void(OutgoingGroupMessage)>& send_early,
                         HostEffects& effects);

  NodeId self_;
  ledger::GroupOptions options_;
  storage::LogStore& store_;
  Random random_;
  std::map<GroupId, std::unique_ptr<ledger::GroupReplica>> replicas_;
  std::set<GroupId> removed_;
  bool declines_leadership_ = false;
  std::vector<storage::GroupWrite> pending_writes_;
  std::uint64_t synced_writes_ = 0;
};

}  // namespace martenyard::daemon
