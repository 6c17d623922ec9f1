// One replica of a turn ledger group: the replicated log, the state machine, and the leader's
// tasks. Decision logic: no I/O, clock or threads.
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
#include "turn_ledger/admission/waiting_programs.h"
#include "turn_ledger/crashes/unsettled_tries.h"
#include "turn_ledger/ledger_queries.h"
#include "turn_ledger/membership_planner.h"
#include "turn_ledger/messages.h"
#include "turn_ledger/transfer/snapshot_transfer.h"
#include "turn_ledger/turn_state.h"

namespace martenyard::turn_ledger {

/// Tuning parameters of a replica.
struct ReplicaOptions {
  consensus::RaftOptions raft;
  PlannerOptions planner;
  std::size_t max_pending = 4000;  ///< Limit of pending proposals; further requests are refused.
  /// Reservations are refused while the oldest pending proposal is older than this.
  absl::Duration overload_after = absl::Milliseconds(350);
  /// Transfer leadership to the first healthy voter, so that different machines lead different
  /// groups.
  bool preferred_leaders = false;
  tenancy::quota_bounds quota;       ///< Accuracy of the tenants' rate limits.
  tenancy::quota_bounds slow_start;  ///< Accuracy of the rate limits of cold runners.
  /// Log size at which a snapshot is taken; the last snapshot's size if that is larger.
  std::uint64_t snapshot_log_bytes = std::uint64_t{2} << 20;
};

/// The origin of a request, to which its reply is sent.
struct Requester {
  wire::Endpoint gateway;
  std::uint64_t request = 0;
  wire::Layout layout = wire::kNewestLayout;  ///< Layout of the request and of its reply.
  friend auto operator<=>(const Requester&, const Requester&) = default;
};

/// One step of taking a snapshot: the part to store next.
struct SnapshotStep {
  bool first = false;  ///< Parts stored earlier belong to an abandoned snapshot.
  std::string part;    ///< To be appended to the parts of the previous steps.
  /// Set with the last part: the snapshot without its data. Store it, then call `FinishSnapshot`.
  std::optional<consensus::Snapshot> finished;
  /// Set with the last part: the entries before the snapshot that must stay readable.
  std::vector<consensus::LogIndex> kept;
};

struct OutgoingLedgerReply {
  wire::Endpoint gateway;
  LedgerReply reply;
  wire::Layout layout = wire::kNewestLayout;
};

class TurnReplica {
 public:
  /// @param read_stored_entry reads entries from this machine's disk: applied entries that are
  /// still referenced, and staged entries.
  TurnReplica(const Machine& self, const ReplicaOptions& options, consensus::RestoredState restored,
              EntryReader read_stored_entry, std::uint64_t seed, absl::Time now);
  TurnReplica(const TurnReplica&) = delete;
  TurnReplica& operator=(const TurnReplica&) = delete;

  void Tick(absl::Time now);
  void OnLogMessage(absl::Time now, NodeId from, const consensus::RaftMessage& message);
  void OnRequest(absl::Time now, const wire::Endpoint& gateway, const LedgerRequest& request,
                 wire::Layout layout = wire::kNewestLayout);
  /// Updates what is known of `machine`. Reports by other machines may be outdated and are used
  /// only while no machine of that name is known.
  /// @param self_reported the machine itself sent this, with its current identity.
  void UpdateMachine(absl::Time now, const Machine& machine, bool self_reported = true);
  /// The process of `identity` has terminated.
  void OnMachineDown(absl::Time now, NodeId identity);
  /// Sets the machines that the operator is retiring.
  void SetRetiring(std::vector<std::string> names) { retiring_ = std::move(names); }
  /// While the machine's memory is full, a leader refuses reservations. It accepts settlements,
  /// which release reserved tokens.
  void SetMemoryFull(bool memory_full) { memory_full_ = memory_full; }
  /// Before a planned stop: transfers leadership to the most up-to-date reachable voter, if this
  /// replica leads.
  void TransferLeadership();
  /// The process stops: transfers of leadership to it are declined.
  void DeclineLeadership() { raft_.DeclineLeadership(); }

  bool HasWork() const { return raft_.HasReady() || !replies_.empty(); }
  /// Its messages exclude snapshots, which `NextTransferParts` returns.
  consensus::Ready TakeReady();
  /// @return the entries that must stay readable once `snapshot` is installed.
  static std::vector<consensus::LogIndex> EntriesReferencedBy(const consensus::Snapshot& snapshot);
  /// @param ready whether a member's connection accepts more data.
  /// @return the next part of each snapshot transfer in progress.
  std::vector<consensus::Outbound> NextTransferParts(std::size_t max_bytes,
                                                     const std::function<bool(NodeId)>& ready);
  /// Called at startup with the entries kept on disk; marks the unreferenced ones for deletion.
  void OnStoredEntries(const std::vector<consensus::LogIndex>& kept);
  /// @return stored entries before the snapshot that are no longer referenced.
  std::vector<consensus::LogIndex> TakeUnreferencedEntries();
  /// Applies the committed entries of `ready`, after it was stored. Starts a snapshot if one is
  /// due.
  void Apply(const consensus::Ready& ready);
  /// @return the next part, of about `max_bytes`, of the snapshot being taken, if any. The replica
  /// serves requests between the steps.
  std::optional<SnapshotStep> NextSnapshotStep(std::size_t max_bytes);
  bool IsTakingSnapshot() const { return snapshot_in_progress_.has_value(); }
  /// Truncates the log up to the snapshot, whose last step was stored.
  void FinishSnapshot();
  std::vector<OutgoingLedgerReply> TakeReplies();

  /// @return true if this replica is the current leader and `machine` can be removed without data
  /// loss.
  bool CanRemoveMachine(const std::string& machine) const;
  bool IsCurrentLeader() const { return raft_.LeaderIsCurrent() && !unreadable_index_; }
  /// @return the index of an entry or snapshot that this build can't decode, if there is one. The
  /// replica then neither leads nor serves requests.
  std::optional<consensus::LogIndex> unreadable_index() const { return unreadable_index_; }
  const consensus::Raft& raft() const { return raft_; }
  const TurnState& state() const { return state_; }
  /// Number of received snapshots that were ignored, since entries that they reference were
  /// missing.
  std::uint64_t incomplete_snapshots() const { return incomplete_snapshots_; }
  std::size_t transfers() const { return transfers_.size(); }
  /// Number of refused programs that are expected to return.
  std::size_t waiting_programs_count() const { return waiting_programs_.size(); }
  /// Number of reservations refused because their program may not begin.
  std::uint64_t refused_programs() const { return refused_programs_; }
  /// Number of requests refused because their tenant exceeded its share under overload.
  std::uint64_t share_refusals() const { return quotas_.share_refusals(); }
  const std::map<NodeId, Machine>& machines() const { return machines_; }
  const Machine& self() const { return self_; }

 private:
  struct Proposal {
    consensus::Term term = 0;
    Requester requester;
    absl::Time proposed_at;
    LedgerQueries queries;
  };

  LedgerMillis LedgerNow() const;
  /// Replies to a request that needs no log entry.
  /// @return false if the request needs one.
  bool ReplyWithoutLog(const Requester& requester, const LedgerRequest& request);
  /// Refuses a reservation whose program may not begin.
  /// @return false if it may.
  bool RefuseNewProgram(const Requester& requester, const LedgerRequest& request,
                        const ProgramId& program);
  /// Whether a new reservation would wait longer than its requester does.
  bool Overloaded() const;
  void UpdateLeadership();
  void PlanConfiguration();
  GroupView MakeGroupView() const;
  void ApplyEntry(const consensus::Entry& entry);
  /// Answers the queries of an operation that was applied.
  void AnswerQueries(const LedgerQueries& queries, const Operation& operation,
                     OperationResult& result);
  std::optional<consensus::Entry> ReadEntry(consensus::EntryId entry) const;
  /// Whether every entry that the snapshot references is on this machine's disk.
  bool HasReferencedEntries(const consensus::Snapshot& snapshot) const;
  void BeginSnapshotIfDue();
  /// Stops the replica for good, since its state would diverge from the others'.
  void Halt(consensus::LogIndex unreadable);
  void RestoreState(const consensus::Snapshot& snapshot);
  /// Tells the requesters of all pending proposals to retry elsewhere.
  void AbandonProposals();
  void Reply(const Requester& requester, ReplyStatus status, OperationResult result = {});

  Machine self_;
  ReplicaOptions options_;
  EntryReader read_stored_entry_;
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
    consensus::Snapshot snapshot;  ///< The data grows with each step.
    state_image_encoder encoder;
    bool started = false;
  };

  consensus::SnapshotSchedule snapshot_schedule_;
  std::optional<SnapshotInProgress> snapshot_in_progress_;

  std::map<NodeId, snapshot_transfer> transfers_;          // To other members, while leading.
  std::vector<consensus::LogIndex> unreferenced_entries_;  // To be deleted from disk.
  std::uint64_t incomplete_snapshots_ = 0;
  bool memory_full_ = false;
  std::optional<consensus::LogIndex> unreadable_index_;

  std::map<NodeId, Machine> machines_;
  std::map<NodeId, absl::Time> last_contact_;
  std::set<NodeId> superseded_;  ///< Former identities of machines that lost their disk.
  std::vector<std::string> retiring_;
  std::map<consensus::LogIndex, Proposal> proposals_;
  std::set<Requester> in_flight_;  ///< The requesters of `proposals_`.
  std::vector<OutgoingLedgerReply> replies_;
  tenancy::rate_limiter slow_starts_;  ///< For the cold runners hashed to this group.
  tenancy::rate_limiter quotas_;       ///< For the tenants hashed to this group, while leading.
  waiting_programs waiting_programs_;  ///< Programs refused by this replica, while leading.
  unsettled_tries unsettled_tries_;    ///< Of the turns reserved by this replica, while leading.
  std::uint64_t refused_programs_ = 0;
};

}  // namespace martenyard::turn_ledger
