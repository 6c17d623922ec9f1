// One replica of a replicated log. Decision logic: no I/O, clock or threads.
//
// The owner passes in messages, ticks and proposals, then takes a `Ready` and processes its fields
// in the order of their declaration: store, send, apply.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/random.h"
#include "consensus/types.h"

namespace martenyard::consensus {

/// Tuning parameters of one replica.
struct RaftOptions {
  absl::Duration heartbeat_interval = absl::Milliseconds(60);
  absl::Duration election_timeout = absl::Milliseconds(300);  ///< Drawn from [1, 2) times this.
  /// Scales the first election timeout after a start. Below 1, a group whose replicas all restarted
  /// elects a leader sooner; an existing leader is protected by pre-vote and its lease.
  double first_election_timeout_factor = 1.0;
  std::size_t max_entries_per_append = 256;
  std::size_t max_bytes_per_append = std::size_t{1} << 20;
  std::size_t max_inflight_appends = 16;  ///< Unacknowledged appends per follower.
};

enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };

/// State that a replica loads at its start.
struct RestoredState {
  HardState hard_state;
  Snapshot snapshot;  ///< Index 0: none; `configuration` is then the initial one.
  std::vector<Entry> entries;
};

/// A read that the leader may serve: its leadership was confirmed after the read was requested.
struct ReadyRead {
  std::uint64_t read_id = 0;
  LogIndex index = 0;  ///< Serve once this index has been applied.
};

/// Work for the owner, to be done in the order of the fields.
struct Ready {
  std::vector<Outbound> messages_before_store;  ///< May be sent at once.
  std::optional<Snapshot> snapshot_to_install;  ///< Replaces the log and the state machine.
  std::optional<HardState> hard_state;          ///< Store with the entries in one synced write.
  std::vector<Entry> entries_to_store;          ///< Replace the stored log from the first index.
  std::vector<Outbound> messages_after_store;   ///< Send only once the above is stored.
  std::vector<Entry> committed;                 ///< Apply in order.
  std::vector<ReadyRead> reads;
  std::vector<std::uint64_t> failed_reads;  ///< Leadership was lost: retry elsewhere.
};

class Raft {
 public:
  Raft(NodeId self, const RaftOptions& options, RestoredState restored, std::uint64_t seed,
       absl::Time now);

  void Tick(absl::Time now);
  void Step(absl::Time now, NodeId from, const RaftMessage& message);
  /// `member`'s process is reported down: if it was the leader, an election starts without waiting
  /// for its lease. A false report costs an election but does not affect safety.
  void OnMemberDown(absl::Time now, NodeId member);

  /// @return the entry's index, or nothing when this replica is not leader or is transferring
  /// leadership.
  std::optional<LogIndex> Propose(EntryKind kind, std::string payload);
  /// Proposes a configuration that differs from the current one in at most one voter.
  /// @return false when not leader, another change is in progress, or more than one voter differs.
  bool ProposeConfiguration(const Configuration& next);
  /// Requests a linearizable read from this leader. @return false when not leader.
  bool RequestRead(std::uint64_t read_id);
  /// Transfers leadership to `to` once it has the whole log. Proposals are rejected until it leads,
  /// or for a few election timeouts; a repeated call resends the message but does not extend the
  /// deadline.
  void TransferLeadership(NodeId to);
  /// Ends a transfer to `target`, so that proposals are accepted again at once.
  void CancelTransferTo(NodeId target);
  /// This replica declines transfers of leadership from now on, as its process stops. It still
  /// votes, and may be elected when the leader fails.
  void DeclineLeadership() { declines_leadership_ = true; }
  /// @return whether `member` declined a transfer from this leader in its current term.
  bool DeclinedLeadership(NodeId member) const { return declined_.contains(member); }
  /// True while a leadership transfer is in progress and proposals are rejected.
  bool IsTransferringLeadership() const { return transfer_target_ != kNoNode; }
  /// Drops the log up to `snapshot.index`, where the state machine was captured.
  void Compact(Snapshot snapshot);

  bool HasReady() const;
  /// Takes the pending work. The owner must have stored it before the next `TakeReady`.
  Ready TakeReady();

  Role role() const { return role_; }
  bool IsLeader() const { return role_ == Role::kLeader; }
  /// True once an entry of the leader's own term is committed, which makes its state current.
  bool LeaderIsCurrent() const;
  /// True while no other replica can be leader: a quorum acknowledged a message that this leader
  /// sent less than an election timeout ago, and followers do not vote for that long.
  bool HoldsLease(absl::Time now) const;
  Term term() const { return hard_state_.term; }
  NodeId leader() const { return leader_; }
  LogIndex commit_index() const { return commit_; }
  LogIndex last_index() const { return snapshot_.index + log_.size(); }
  LogIndex snapshot_index() const { return snapshot_.index; }
  std::size_t log_size() const { return log_.size(); }
  const Configuration& configuration() const { return configuration_; }
  bool ConfigurationIsCommitted() const { return configuration_index_ <= commit_; }
  /// @return the last index that `member` is known to have stored; 0 when not leader.
  LogIndex MatchIndex(NodeId member) const;
  /// @return when `member` last replied to this leader; the infinite past when not leader.
  absl::Time LastContact(NodeId member) const;
  /// @return the entry if it is in the log, or null.
  const Entry* Find(EntryId entry) const;
  /// @return the term at `index`, if that is in the log or the snapshot's last index.
  std::optional<Term> TermAt(LogIndex index) const;

 private:
  /// The leader's view of a follower.
  struct Progress {
    LogIndex match = 0;
    LogIndex next = 1;
    /// The matching index is not known yet: one append at a time, and `next` waits for its reply.
    /// Pipelining here would let rejections and appends cross and multiply.
    bool probing = true;
    bool probe_sent = false;  ///< Until its reply; a heartbeat repeats the probe.
    std::size_t inflight = 0;
    bool snapshot_sent = false;
    std::uint64_t acknowledged_round = 0;
    absl::Time last_contact = absl::InfinitePast();
    absl::Time last_progress = absl::InfinitePast();
  };
  struct PendingRead {
    std::uint64_t read_id = 0;
    std::uint64_t round = 0;
    LogIndex index = 0;
  };

  void BecomeFollower(Term term, NodeId leader);
  void BecomeLeader();
  void StartElection(bool pre_vote, bool transfer);
  void CountVote(NodeId from, bool granted);
  bool VoteWins() const;
  void ResetElectionTimer();
  bool LogIsUpToDate(LogIndex last_index, Term last_term) const;
  bool InLeaderLease() const;

  void OnVoteRequest(NodeId from, const VoteRequest& request);
  void OnVoteReply(NodeId from, const VoteReply& reply);
  void OnAppendRequest(NodeId from, const AppendRequest& request);
  void OnAppendReply(NodeId from, const AppendReply& reply);
  void OnAppendRejected(NodeId from, Progress& progress, const AppendReply& reply);
  void OnSnapshotRequest(NodeId from, const SnapshotRequest& request);
  void OnTimeoutNow(NodeId from, const TimeoutNow& request);

  void LeaderTick();
  void CheckQuorum();
  void SendAppend(NodeId to, bool even_if_empty);
  void SendSnapshot(NodeId to, Progress& progress, bool heartbeat_due);
  void BroadcastAppend(bool even_if_empty);
  void AdvanceCommit();
  void AdvanceReads();
  /// @return the latest round acknowledged by a quorum.
  std::uint64_t ConfirmedRound() const;
  void BeginRound();
  void MaybeFinishTransfer(NodeId to);

  LogIndex AppendToLog(EntryKind kind, std::string payload);
  /// @return where the leader should retry after a rejection at `previous`: before all entries of
  /// the conflicting term, or at the end of the log.
  LogIndex ConflictHint(LogIndex previous) const;
  void AppendReceived(const std::vector<Entry>& entries);
  void TruncateFrom(LogIndex index);
  const Entry& EntryAt(LogIndex index) const { return log_[index - snapshot_.index - 1]; }
  void AdoptConfiguration(const Configuration& configuration, LogIndex index);
  void RecomputeConfiguration();
  void SyncProgress();

  void Reply(NodeId to, RaftMessage message);
  template <typename Message>
  void SendToVoters(const Message& message);

  NodeId self_;
  RaftOptions options_;
  Random random_;
  absl::Time now_;

  HardState hard_state_;
  HardState stored_hard_state_;
  Snapshot snapshot_;          // `data` is kept only for sending.
  std::vector<Entry> log_;     // Entries after the snapshot.
  LogIndex stored_index_ = 0;  // Entries up to here have been stored by the owner.
  LogIndex commit_ = 0;
  LogIndex applied_ = 0;
  Configuration configuration_;
  LogIndex configuration_index_ = 0;

  Role role_ = Role::kFollower;
  NodeId leader_;
  absl::Time last_leader_contact_ = absl::InfinitePast();
  absl::Time election_deadline_;
  bool transfer_election_ = false;
  std::map<NodeId, bool> votes_;

  std::map<NodeId, Progress> progress_;
  LogIndex leader_first_index_ = 0;  // First entry of this leader's term.
  absl::Time next_heartbeat_;
  absl::Time quorum_check_at_;
  bool declines_leadership_ = false;
  std::set<NodeId> declined_;  // Members that declined a transfer from this leader.
  NodeId transfer_target_;
  absl::Time transfer_deadline_;
  std::uint64_t round_ = 0;
  std::map<std::uint64_t, absl::Time> round_started_;  // Confirmed and later rounds.
  std::vector<PendingRead> pending_reads_;

  Ready ready_;
};

}  // namespace martenyard::consensus
