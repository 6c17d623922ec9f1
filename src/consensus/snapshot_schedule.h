// When a replica's state should take its log's place, and the snapshot that does it.
#pragma once

#include <cstdint>
#include <string>

#include "consensus/raft.h"

namespace martenyard::consensus {

/// Counts what was applied since the last snapshot. Waiting for as many log bytes as the state has
/// keeps the cost per command constant.
class SnapshotSchedule {
 public:
  /// @param restored the snapshot that the replica started from; index 0 when there was none.
  SnapshotSchedule(std::uint64_t log_bytes, const Snapshot& restored);

  void RecordApplied(const Entry& entry);
  void RecordInstalled(const Snapshot& snapshot);
  /// True when a snapshot is worth its cost and the configuration is settled.
  bool Due(const Raft& raft) const;
  /// Drops `raft`'s log up to what was applied. @param data the state at that point.
  Snapshot Take(Raft& raft, std::string data);
  /// Begins a snapshot whose data comes later. @return its place in the log, without data.
  Snapshot Begin(const Raft& raft);
  /// Drops `raft`'s log up to the snapshot's place, now that it is stored.
  void Finish(Raft& raft, Snapshot snapshot);
  LogIndex applied() const { return applied_; }

 private:
  std::uint64_t min_log_bytes_;
  LogIndex applied_ = 0;
  Term applied_term_ = 0;
  std::uint64_t log_bytes_ = 0;       // Applied since the last snapshot.
  std::uint64_t snapshot_bytes_ = 0;  // The last snapshot's size.
};

}  // namespace martenyard::consensus
