// Replica of one group: the replicated log, its ledger and the leader's tasks (call queue, grant
// leases, expiry). Decision logic: no I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "consensus/raft.h"
#include "consensus/snapshot_schedule.h"
#include "ledger/ledger.h"
#include "ledger/messages.h"
#include "storage/log_store.h"

namespace martenyard::ledger {

/// Tuning parameters of a group replica.
struct GroupOptions {
  consensus::RaftOptions raft;
  absl::Duration grant_lease = absl::Seconds(3);  ///< Unless renewed, the call lapses.
  std::size_t max_waiting_calls = 16;             ///< Queued calls per program.
  std::size_t max_pending = 20000;                ///< Pending commands and reads per leader.
  std::uint64_t snapshot_log_bytes = std::uint64_t{4} << 20;  ///< Or the last snapshot's size.
};

/// A reply to be sent to one requester.
struct OutgoingLedgerReply {
  NodeId to;
  LedgerReply reply;
};

class GroupReplica {
 public:
  GroupReplica(GroupId group, NodeId self, const GroupOptions& options,
               consensus::RestoredState restored, std::uint64_t seed, absl::Time now);

  void Tick(absl::Time now);
  void OnRaftMessage(absl::Time now, NodeId from, const consensus::RaftMessage& message);
  /// `member`'s process is known to have ended before `died_before`: calls that it began until then
  /// lapse at once. Calls of a restarted process are not affected.
  void OnMemberDown(absl::Time now, NodeId member, absl::Time died_before);
  void OnRequest(absl::Time now, NodeId from, const LedgerRequest& request);
  /// Proposes an operation without a requester, such as acknowledged releases. Does nothing while
  /// the group is drained.
  void ProposeInternal(Operation operation);

  /// Leader only: while draining, requests that start new work are rejected and calls that wait for
  /// their turn end. Ends with the leadership.
  void SetDraining(bool draining);
  bool IsDraining() const { return draining_; }
  /// True when the results of all admitted calls are committed and no request is being committed.
  bool IsDrained() const;

  /// True when there is something to store, send or apply.
  bool HasWork() const;
  /// The owner stores the result, sends its messages and calls `Apply`.
  consensus::Ready TakeReady() { return raft_.TakeReady(); }
  /// Applies the committed entries of `ready`. @return a snapshot to store, if one is due.
  std::optional<consensus::Snapshot> Apply(const consensus::Ready& ready);
  std::vector<OutgoingLedgerReply> TakeReplies();

  consensus::Raft& raft() { return raft_; }
  const consensus::Raft& raft() const { return raft_; }
  const Ledger& ledger() const { return ledger_; }
  GroupId group() const { return group_; }
  /// Leader only: contexts to release, to be acknowledged by `ProposeInternal(AcknowledgeRelease)`.
  std::vector<ReleaseOrder> DueReleases(std::size_t limit) const;

 private:
  struct Requester {
    NodeId node;
    std::uint64_t request_id = 0;
    friend auto operator<=>(const Requester&, const Requester&) = default;
  };
  struct Proposal {
    consensus::Term term = 0;
    Requester requester;
    std::uint64_t arrival = 0;
  };
  struct WaitingCall {
    std::uint64_t arrival = 0;  // Calls of one program run in this order.
    Requester requester;
    BeginCall command;
  };

  void OnOperation(const Requester& requester, const Operation& operation);
  bool MustWait(const BeginCall& command) const;
  /// @return whether the operation finishes admitted work.
  bool MayProposeWhileDraining(const Operation& operation) const;
  bool IsBeingCommitted(const Requester& requester) const;
  void EnqueueCall(WaitingCall call);
  /// @return false when nothing was proposed; a reply to the requester is then queued.
  bool Propose(const Requester& requester, Operation operation, std::uint64_t arrival = 0);
  /// A linearizable query: served after a quorum has confirmed the leadership.
  using LeaderQuery = std::variant<ReadProgram, RenewGrants>;
  void OnQuery(const Requester& requester, LeaderQuery query);
  LedgerReply Evaluate(const ReadProgram& read) const;
  /// Renews the leases of grants that are still held.
  LedgerReply Evaluate(const RenewGrants& renew);
  void OnCheckPrograms(const Requester& requester, const CheckPrograms& check);
  void ApplyEntry(const consensus::Entry& entry);
  /// True when another call was running when a begin command was applied; the call is queued.
  static bool LostRaceToBegin(const ApplyResult& result);
  void AfterCommand(const Command& command, const ApplyResult& result);
  void ProposeNextWaiting(const ProgramId& program);
  void ServeQueries();
  void FailPendingRequests();
  void RejectWaitingCalls(ReplyStatus status);
  void UpdateLeadership();
  /// True when this leader has applied all committed entries.
  bool LedgerIsCurrent() const;
  void LapseExpiredGrants();
  /// @return when the grant of the program's running call expires unless it is renewed.
  absl::Time InitialLeaseExpiry(const ProgramId& program) const;
  void EndExpiredPrograms();
  std::optional<consensus::Snapshot> SnapshotIfDue();
  void SendReply(const Requester& requester, LedgerReply reply);
  void SendStatus(const Requester& requester, ReplyStatus status);
  UnixMillis NowMillis() const { return absl::ToUnixMillis(now_); }

  GroupId group_;
  NodeId self_;
  GroupOptions options_;
  consensus::Raft raft_;
  Ledger ledger_;
  absl::Time now_;

  consensus::SnapshotSchedule snapshots_;

  bool was_leader_ = false;
  bool draining_ = false;
  absl::Time next_expiry_check_;
  std::uint64_t last_arrival_ = 0;
  std::map<consensus::LogIndex, Proposal> proposals_;
  std::map<ProgramId, std::deque<WaitingCall>> waiting_;
  std::map<ProgramId, absl::Time> leases_;     // Expiry of each running call's grant.
  std::map<NodeId, absl::Time> down_members_;  // Latest time at which each can have gone down.
  std::set<ProgramId> lapsing_;                // Lapse proposed but not applied.
  std::uint64_t last_query_id_ = 0;
  struct PendingQuery {
    Requester requester;
    LeaderQuery query;
    std::optional<consensus::LogIndex> serve_at;
  };
  std::map<std::uint64_t, PendingQuery> queries_;
  std::vector<OutgoingLedgerReply> replies_;
};

}  // namespace martenyard::ledger
