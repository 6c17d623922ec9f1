// Data types of the replicated log: entries, persistent state and messages between replicas.
// The algorithm is Raft (Ongaro, Ousterhout) with pre-vote and check-quorum.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"

namespace martenyard::consensus {

using Term = std::uint64_t;
/// Position in the log; the first entry has index 1.
using LogIndex = std::uint64_t;

/// The members of a group. Learners receive the log but neither vote nor count for a quorum.
struct Configuration {
  std::vector<NodeId> voters;
  std::vector<NodeId> learners;

  bool IsVoter(NodeId node) const;
  bool IsLearner(NodeId node) const;
  /// @return voters and learners.
  std::vector<NodeId> Members() const;
  std::size_t QuorumSize() const { return voters.size() / 2 + 1; }
  friend bool operator==(const Configuration&, const Configuration&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(voters, learners);
  }
};

/// Identifies an entry: two entries with the same index and term are identical.
struct EntryId {
  LogIndex index = 0;
  Term term = 0;
  friend auto operator<=>(const EntryId&, const EntryId&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(index, term);
  }
};

enum class EntryKind : std::uint8_t { kNoOp, kCommand, kConfiguration };

struct Entry {
  Term term = 0;
  LogIndex index = 0;
  EntryKind kind = EntryKind::kNoOp;
  std::string payload;  ///< A command, or an encoded Configuration.

  friend bool operator==(const Entry&, const Entry&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, index, kind, payload);
  }
};

/// State that a replica must persist before it replies to a message.
struct HardState {
  Term term = 0;
  NodeId voted_for;
  friend bool operator==(const HardState&, const HardState&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, voted_for);
  }
};

/// The state machine at `index`; replaces the log up to and including that index.
struct Snapshot {
  LogIndex index = 0;
  Term term = 0;
  Configuration configuration;
  std::string data;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(index, term, configuration, data);
  }
};

struct VoteRequest {
  Term term = 0;
  bool pre_vote = false;
  bool leadership_transfer = false;  ///< Requested by the leader: ignores its lease.
  LogIndex last_index = 0;
  Term last_term = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, pre_vote, leadership_transfer, last_index, last_term);
  }
};

/// Also declines a transfer of leadership: not granted, in the leader's own term.
struct VoteReply {
  Term term = 0;
  bool pre_vote = false;
  bool granted = false;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, pre_vote, granted);
  }
};

struct AppendRequest {
  Term term = 0;
  LogIndex previous_index = 0;
  Term previous_term = 0;
  LogIndex commit = 0;
  std::uint64_t round = 0;  ///< Read round, echoed in the reply.
  std::vector<Entry> entries;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, previous_index, previous_term, commit, round, entries);
  }
};

struct AppendReply {
  Term term = 0;
  bool success = false;
  LogIndex match = 0;     ///< On success the last matching index; else a hint where to retry.
  LogIndex previous = 0;  ///< The request's `previous_index`; identifies stale rejections.
  std::uint64_t round = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, success, match, previous, round);
  }
};

struct SnapshotRequest {
  Term term = 0;
  std::uint64_t round = 0;
  Snapshot snapshot;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, round, snapshot);
  }
};

/// Sent by a leader that transfers leadership: the receiver starts an election at once, or declines
/// by a VoteReply.
struct TimeoutNow {
  Term term = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(term);
  }
};

/// Entries before a snapshot that its state refers to, sent ahead of it in small batches. The owner
/// of the replica stores them; `Raft::Step` ignores them.
struct StagedEntries {
  std::vector<Entry> entries;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(entries);
  }
};

using RaftMessage = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply,
                                 SnapshotRequest, TimeoutNow, StagedEntries>;

/// A message to send to a replica of the same group.
struct Outbound {
  NodeId to;
  RaftMessage message;
};

}  // namespace martenyard::consensus
