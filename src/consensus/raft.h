// One replica of one replicated log: decision code only, no I/O, clock or threads.
//
// The owner feeds messages, ticks and proposals in, then takes a `Ready`, stores what it says,
// sends its messages and applies its committed entries, in the order of the struct's fields.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/random.h"
#include "consensus/types.h"

namespace martenyard::consensus {

/// Tunables of one replica.
struct RaftOptions {
  absl::Duration heartbeat_interval = absl::Milliseconds(60);
  absl::Duration election_timeout = absl::Milliseconds(300);  ///< Drawn from [1, 2) times this.
  /// A replica that just started stands for election after this share of the usual wait: when all
  /// were killed together nobody leads, and a leader that lives keeps the others from voting.
  double first_election_timeout_factor = 1.0;
  std::size_t max_entries_per_append = 256;
  std::size_t max_bytes_per_append = std::size_t{1} << 20;
  std::size_t max_inflight_appends = 16;  ///< Appends sent to one follower but not acknowledged.
};

enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };

/// What a replica had stored when it last stopped.
struct RestoredState {
  HardState hard_state;
  Snapshot snapshot;  ///< index 0 when there is none; its configuration is then the initial one.
  std::vector<Entry> entries;
};

/// A read the leader may serve: it was still leader after the read was asked for.
struct ReadyRead {
  std::uint64_t read_id = 0;
  LogIndex index = 0;  ///< Serve once the state machine has applied up to here.
};

/// What the owner must do now, top to bottom.
struct Ready {
  std::vector<Outbound> messages_before_store;  ///< May be sent at once.
  std::optional<Snapshot> snapshot_to_install;  ///< Replaces log and state machine.
  std::optional<HardState> hard_state;          ///< Store with the entries, in one synced write.
  std::vector<Entry> entries_to_store;          ///< Replace the stored log from the first's index.
  std::vector<Outbound> messages_after_store;   ///< Send only once the above is stored.
  std::vector<Entry> committed;                 ///< Apply in order.
  std::vector<ReadyRead> reads;
  std::vector<std::uint64_t> failed_reads;  ///< Leadership was lost: ask elsewhere.
};

class Raft {
 public:
  Raft(NodeId self, const RaftOptions& options, RestoredState restored, std::uint64_t seed,
       absl::Time now);

  void Tick(absl::Time now);
  void Step(absl::Time now, NodeId from, const RaftMessage& message);
  /// `member`'s process is known to be dead: if it led, an election starts soon, not after its
  /// lease. Being wrong costs an election, never safety.
  void OnMemberDown(absl::Time now, NodeId member);

  /// @return the entry's index, or nothing when this replica does not lead (or hands over).
  std::optional<LogIndex> Propose(EntryKind kind, std::string payload);
  /// Proposes a configuration differing from the present one in one voter at most.
  /// @return false when not leader, another change is under way, or more than a voter differs.
  bool ProposeConfiguration(const Configuration& next);
  /// Asks that a read be served by this leader, linearizably. @return false when not leader.
  bool RequestRead(std::uint64_t read_id);
  /// Hands leadership to `to` once it has the whole log. Proposals are refused until it leads, or
  /// for a few election timeouts; asking again meanwhile repeats the message, not the time.
  void TransferLeadership(NodeId to);
  /// True while a hand-over is under way, so that proposals are refused.
  bool IsTransferringLeadership() const { return transfer_target_ != kNoNode; }
  /// The state machine was captured at `snapshot.index`; drops the log up to it.
  void Compact(Snapshot snapshot);

  bool HasReady() const;
  /// Moves out what is to be done. The owner must have stored it before the next `TakeReady`.
  Ready TakeReady();

  Role role() const { return role_; }
  bool IsLeader() const { return role_ == Role::kLeader; }
  /// True once an entry of the leader's own term is committed: its state is then current.
  bool LeaderIsCurrent() const;
  /// True while no other replica can lead: a quorum acknowledged, less than an election timeout
  /// ago, a message of this leader's, and followers keep from voting for that long after each.
  bool HoldsLease(absl::Time now) const;
  Term term() const { return hard_state_.term; }
  NodeId leader() const { return leader_; }
  LogIndex commit_index() const { return commit_; }
  LogIndex last_index() const { return snapshot_.index + log_.size(); }
  LogIndex snapshot_index() const { return snapshot_.index; }
  std::size_t log_size() const { return log_.size(); }
  const Configuration& configuration() const { return configuration_; }
  bool ConfigurationIsCommitted() const { return configuration_index_ <= commit_; }
  /// @return how far `member` is known to have the log; 0 when not leading.
  LogIndex MatchIndex(NodeId member) const;
  /// @return when `member` last answered this leader; the infinite past when not leading.
  absl::Time LastContact(NodeId member) const;
  /// @return the entry if it is in the log, or null.
  const Entry* Find(EntryId entry) const;
  /// @return the term of the entry at `index`, if it is in the log or the snapshot's end.
  std::optional<Term> TermAt(LogIndex index) const;

 private:
  /// What the leader knows of a follower.
  struct Progress {
    LogIndex match = 0;
    LogIndex next = 1;
    /// Where the logs part is not known yet: one append at a time, and `next` waits for its reply.
    /// Sending ahead here makes refusals and appends cross and multiply without end.
    bool probing = true;
    bool probe_sent = false;  ///< Until its reply, or until the next heartbeat repeats it.
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
  void OnTimeoutNow(const TimeoutNow& request);

  void LeaderTick();
  void CheckQuorum();
  void SendAppend(NodeId to, bool even_if_empty);
  void SendSnapshot(NodeId to, Progress& progress, bool heartbeat_due);
  void BroadcastAppend(bool even_if_empty);
  void AdvanceCommit();
  void AdvanceReads();
  /// @return the newest round that a quorum has acknowledged.
  std::uint64_t ConfirmedRound() const;
  void BeginRound();
  void MaybeFinishTransfer(NodeId to);

  LogIndex AppendToLog(EntryKind kind, std::string payload);
  /// @return where a leader should try next after a refusal at `previous`: before the whole term
  /// that conflicts there, or at the log's end.
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
  Snapshot snapshot_;          // Its data is kept only for sending.
  std::vector<Entry> log_;     // Entries after the snapshot.
  LogIndex stored_index_ = 0;  // Entries up to here have been handed out for storing.
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
  LogIndex leader_first_index_ = 0;  // The first entry of this leader's term.
  absl::Time next_heartbeat_;
  absl::Time quorum_check_at_;
  NodeId transfer_target_;
  absl::Time transfer_deadline_;
  std::uint64_t round_ = 0;
  std::map<std::uint64_t, absl::Time> round_started_;  // Rounds not older than the confirmed one.
  std::vector<PendingRead> pending_reads_;

  Ready ready_;
};

}  // namespace martenyard::consensus
