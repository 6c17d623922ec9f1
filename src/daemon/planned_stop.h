// Decides when a stopping daemon may exit without interrupting the calls of other daemons.
//
// Leaders move to voters that stay. A stopping voter asks each group's leader whether it may exit.
// The leader agrees while enough voters stay for a quorum. Otherwise the group is drained first: it
// admits no new calls, and the leader agrees once every admitted call has its result stored and no
// stopping daemon waits for a reply. Thus daemons may stop in any order, also all at once.
//
// Decision logic: no I/O.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "daemon/messages.h"
#include "daemon/replica_host.h"
#include "gateway/call_coordinator.h"
#include "gateway/ledger_router.h"
#include "ledger/group_replica.h"
#include "membership/membership.h"

namespace martenyard::daemon {

struct PlannedStopOptions {
  int replicas = 3;     ///< Voters a group should have.
  bool durable = true;  ///< This daemon's replicas survive its restart.
  absl::Duration election_timeout = absl::Milliseconds(300);
  absl::Duration exit_request_interval = absl::Milliseconds(100);
  /// A voter that has not repeated its request for this long is no longer waited for.
  absl::Duration exit_request_lifetime = absl::Seconds(1);
  /// A voter without a reply for this long exits: its group has no leader, or one of a build that
  /// does not know the request. Must exceed the time of an election.
  absl::Duration exit_reply_timeout = absl::Seconds(2);
  /// A leadership transfer in progress is sent again after this time.
  absl::Duration transfer_resend_interval = absl::Milliseconds(200);
};

/// @return whether too many voters have exited or died for a quorum.
bool QuorumIsDead(const consensus::Configuration& configuration,
                  const membership::Membership& membership);

class PlannedStop {
 public:
  using SendMessage = std::function<void(NodeId to, PeerMessage message)>;

  PlannedStop(NodeId self, const PlannedStopOptions& options, ReplicaHost& replicas,
              membership::Membership& membership, const gateway::CallCoordinator& calls,
              const gateway::LedgerRouter& router, SendMessage send);

  /// This daemon stops: its leaderships are transferred and its votes withdrawn.
  void Begin(absl::Time now);
  bool begun() const { return begun_; }
  void Tick(absl::Time now);
  void OnExitRequest(absl::Time now, NodeId from, const ExitRequest& request);
  void OnExitReply(absl::Time now, NodeId from, const ExitReply& reply);

  /// True when no group needs this daemon any more.
  bool MayExit() const;
  /// @return the groups that still need this daemon and why, for the log.
  std::vector<std::string> Blockers() const;

 private:
  /// Leader: the daemons that want to exit.
  struct ExitQueue {
    struct Requester {
      absl::Time requested_at;
      bool reply_due = false;
      bool granted = false;
      bool in_use = false;  ///< Its own calls still need the group.
    };
    std::map<NodeId, Requester> requesters;
    /// When the last requester joined. Voters that stay must have replied since then: one that was
    /// killed counts as alive until its death is noticed.
    absl::Time last_joined = absl::InfinitePast();
    /// Since when the group is drained here; the infinite future while it is not.
    absl::Time draining_since = absl::InfiniteFuture();
    /// Since when exits interrupt nothing; none while they would.
    std::optional<absl::Time> exits_allowed_since;
  };
  /// Voter: what the group's leader answered.
  struct ExitPermission {
    NodeId granted_by;
    absl::Time last_reply = absl::InfinitePast();
  };
  /// The last leadership transfer of a group.
  struct Transfer {
    NodeId target;
    absl::Time begun = absl::InfinitePast();
    absl::Time last_sent = absl::InfinitePast();
  };

  bool IsStaying(const consensus::Raft& raft, NodeId voter) const;
  /// @param replied_after when the other staying voters must have replied.
  bool QuorumStays(const consensus::Raft& raft, absl::Time replied_after) const;
  /// @return the voter to transfer leadership to: the one with the highest match index, preferring
  /// one other than the last target; kNoNode when no other voter stays.
  NodeId SuccessorFor(GroupId group, const consensus::Raft& raft) const;

  void UpdateExitQueues();
  /// @param in_use whether calls of this daemon need the group.
  void UpdateExitQueue(GroupId group, ledger::GroupReplica& replica, bool in_use);
  void ExpireRequests(ExitQueue& queue);
  /// @return whether a stopping daemon waits for a reply of the group.
  static bool IsUsedByRequesters(const ExitQueue& queue);
  /// @return whether a voter that stops has not said yet if it needs the group. Builds that do not
  /// know the request never say so, hence the wait is bounded.
  bool AwaitsRequests(const ExitQueue& queue, const consensus::Raft& raft) const;
  void SendReplies(std::map<NodeId, ExitReply>& replies);
  void CollectReplies(GroupId group, ExitQueue& queue, std::map<NodeId, ExitReply>& replies);

  void TransferLeaderships();
  void TransferLeadership(GroupId group, consensus::Raft& raft);
  void SendExitRequests();
  /// @return the leader to ask about a group that this daemon votes in or uses, or kNoNode.
  NodeId LeaderToAsk(GroupId group) const;
  /// @return why the group needs this daemon, or null.
  const char* BlockerOf(GroupId group, const consensus::Raft& raft) const;
  bool IsPermitted(GroupId group, const consensus::Raft& raft) const;

  NodeId self_;
  PlannedStopOptions options_;
  ReplicaHost& replicas_;
  membership::Membership& membership_;
  const gateway::CallCoordinator& calls_;
  const gateway::LedgerRouter& router_;
  SendMessage send_;

  absl::Time now_;
  bool begun_ = false;
  absl::Time begun_at_;
  absl::Time next_exit_requests_;
  std::map<GroupId, ExitQueue> exit_queues_;
  std::map<GroupId, ExitPermission> permissions_;
  std::map<GroupId, Transfer> transfers_;
};

}  // namespace martenyard::daemon
