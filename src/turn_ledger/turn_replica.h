// One replica of the turn ledger: the replicated log, the state it yields, and the leader's duties.
// Decision code only: no I/O, clock or threads.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "consensus/raft.h"
#include "consensus/snapshot_schedule.h"
#include "tenancy/rate_limiter.h"
#include "turn_ledger/membership_planner.h"
#include "turn_ledger/messages.h"
#include "turn_ledger/transfer/snapshot_transfer.h"
#include "turn_ledger/turn_state.h"

namespace martenyard::turn_ledger {

/// Tunables of a replica.
struct ReplicaOptions {
  consensus::RaftOptions raft;
  PlannerOptions planner;
  std::size_t max_pending = 4000;  ///< Requests under way at one leader; more are refused.
  /// Reservations are refused while the oldest request under way is older than this.
  absl::Duration overload_after = absl::Milliseconds(350);
  /// Leadership goes to the first sound voter: several groups are then led by different machines.
  bool preferred_leaders = false;
  tenancy::quota_bounds quota;                                ///< How exactly tenants' limits hold.
  std::uint64_t snapshot_log_bytes = std::uint64_t{2} << 20;  ///< Or the last snapshot's size.
};

/// Where a request came from, and so where its reply goes.
struct Requester {
  wire::Endpoint gateway;
  std::uint64_t request = 0;
  wire::Layout layout = wire::kNewestLayout;  ///< Of the request, and so of its reply.
  friend auto operator<=>(const Requester&, const Requester&) = default;
};

/// One step of a snapshot: what to store of it next.
struct SnapshotStep {
  bool first = false;  ///< Parts stored before are of a snapshot that was given up.
  std::string part;    ///< Goes behind the parts of the steps before.
  /// With the last part: the snapshot's place, without its data. Store it, then call
  /// `FinishSnapshot`.
  std::optional<consensus::Snapshot> finished;
  /// With the last part: the entries before the snapshot that must stay readable.
  std::vector<consensus::LogIndex> kept;
};

struct OutgoingLedgerReply {
  wire::Endpoint gateway;
  LedgerReply reply;
  wire::Layout layout = wire::kNewestLayout;
};

class TurnReplica {
 public:
  /// @param read_stored reads what is on this machine's disk: all entries that were applied and
  /// not forgotten, and staged ones.
  TurnReplica(const Machine& self, const ReplicaOptions& options, consensus::RestoredState restored,
              EntryReader read_stored, std::uint64_t seed, absl::Time now);
  TurnReplica(const TurnReplica&) = delete;
  TurnReplica& operator=(const TurnReplica&) = delete;

  void Tick(absl::Time now);
  void OnLogMessage(absl::Time now, NodeId from, const consensus::RaftMessage& message);
  void OnRequest(absl::Time now, const wire::Endpoint& gateway, const LedgerRequest& request,
                 wire::Layout layout = wire::kNewestLayout);
  /// Something was heard of `machine`. @param self_reported it said so itself: then this is its
  /// present identity. What others tell may be old; it counts only while nothing is known of that
  /// name.
  void UpdateMachine(absl::Time now, const Machine& machine, bool self_reported = true);
  /// The process behind `identity` is known to be dead.
  void OnMachineDown(absl::Time now, NodeId identity);
  /// Machines that the operator wants emptied.
  void SetRetiring(std::vector<std::string> names) { retiring_ = std::move(names); }
  /// A full machine's leader takes no new reservations; settlements free what is reserved.
  void SetDiskFull(bool disk_full) { disk_full_ = disk_full; }
  /// A planned stop: hands leadership on, if it leads.
  void TransferLeadership();

  bool HasWork() const { return raft_.HasReady() || !replies_.empty(); }
  /// Snapshots are not among its messages: they go by `NextTransferParts`.
  consensus::Ready TakeReady();
  /// @return for a snapshot to be installed, the entries before it that must stay readable.
  static std::vector<consensus::LogIndex> EntriesReferencedBy(const consensus::Snapshot& snapshot);
  /// @param ready whether a member's connection takes more now.
  /// @return the next part of every snapshot under way to another member.
  std::vector<consensus::Outbound> NextTransferParts(std::size_t max_bytes,
                                                     const std::function<bool(NodeId)>& ready);
  /// What the disk was found to keep at the start: what nothing refers to is forgotten.
  void OnStoredEntries(const std::vector<consensus::LogIndex>& kept);
  /// @return stored entries that nothing refers to any more; all lie before the snapshot.
  std::vector<consensus::LogIndex> TakeUnreferencedEntries();
  /// Applies what `ready` committed, after it was stored. Begins a snapshot when one is due.
  void Apply(const consensus::Ready& ready);
  /// While a snapshot is under way. @return its next part, of about `max_bytes`. Between the
  /// steps the replica goes on as ever.
  std::optional<SnapshotStep> NextSnapshotStep(std::size_t max_bytes);
  bool IsTakingSnapshot() const { return snapshot_in_progress_.has_value(); }
  /// The last step is stored: the log up to the snapshot is dropped.
  void FinishSnapshot();
  std::vector<OutgoingLedgerReply> TakeReplies();

  /// @return true when this leader knows that `machine` may be taken away.
  bool CanRemoveMachine(const std::string& machine) const;
  bool IsCurrentLeader() const { return raft_.LeaderIsCurrent() && !unreadable_index_; }
  /// @return the index of an entry or a snapshot that this build can't read: the replica is then as
  /// good as down, and neither leads nor answers. Nothing, as long as it has read all.
  std::optional<consensus::LogIndex> unreadable_index() const { return unreadable_index_; }
  const consensus::Raft& raft() const { return raft_; }
  const TurnState& state() const { return state_; }
  /// Snapshots from a leader that were passed over, since entries that they name were missing.
  std::uint64_t incomplete_snapshots() const { return incomplete_snapshots_; }
  std::size_t transfers() const { return transfers_.size(); }
  const std::map<NodeId, Machine>& machines() const { return machines_; }
  const Machine& self() const { return self_; }

 private:
  struct Proposal {
    consensus::Term term = 0;
    Requester requester;
    absl::Time proposed_at;
  };

  LedgerMillis LedgerNow() const;
  /// Answers what needs no entry in the log. @return false when it does.
  bool ReplyWithoutLog(const Requester& requester, const LedgerRequest& request);
  /// True when a new reservation would wait so long that its requester gives it up.
  bool Overloaded() const;
  void UpdateLeadership();
  void PlanConfiguration();
  GroupView MakeGroupView() const;
  void ApplyEntry(const consensus::Entry& entry);
  std::optional<consensus::Entry> ReadEntry(consensus::EntryId entry) const;
  /// True when every entry that the snapshot names is on this machine's disk.
  bool HasReferencedEntries(const consensus::Snapshot& snapshot) const;
  void BeginSnapshotIfDue();
  /// Ends the replica's part in its group: its state would differ from the others'.
  void Halt(consensus::LogIndex unreadable);
  void RestoreState(const consensus::Snapshot& snapshot);
  /// Tells whoever waits for a proposal of this replica to ask elsewhere.
  void AbandonProposals();
  void Reply(const Requester& requester, ReplyStatus status, OperationResult result = {});

  Machine self_;
  ReplicaOptions options_;
  EntryReader read_stored_;
  consensus::Raft raft_;
  TurnState state_;
  absl::Time now_;

  bool was_leader_ = false;
  absl::Time leader_since_;
  LedgerMillis ledger_time_at_election_ = 0;
  absl::Time next_plan_;
  absl::Time next_leadership_transfer_;

  /// A snapshot being encoded.
  struct SnapshotInProgress {
    consensus::Snapshot snapshot;  ///< Its data grows with each step.
    state_image_encoder encoder;
    bool started = false;
  };

  consensus::SnapshotSchedule snapshot_schedule_;
  std::optional<SnapshotInProgress> snapshot_in_progress_;

  std::map<NodeId, snapshot_transfer> transfers_;          // Of a leader, to other members.
  std::vector<consensus::LogIndex> unreferenced_entries_;  // To be told to the disk.
  std::uint64_t incomplete_snapshots_ = 0;
  bool disk_full_ = false;
  std::optional<consensus::LogIndex> unreadable_index_;  ///< See `unreadable_index`.

  std::map<NodeId, Machine> machines_;
  std::map<NodeId, absl::Time> last_heard_;
  std::set<NodeId> superseded_;  ///< Identities whose disk is known to be gone.
  std::vector<std::string> retiring_;
  std::map<consensus::LogIndex, Proposal> proposals_;
  std::set<Requester> in_flight_;  ///< Of `proposals_`.
  std::vector<OutgoingLedgerReply> replies_;
  tenancy::rate_limiter quotas_;  ///< Of the tenants hashed to this group, while it leads.
};

}  // namespace martenyard::turn_ledger
