// Decides when a replica takes a snapshot and compacts its log.
#pragma once

#include <cstdint>
#include <string>

#include "consensus/raft.h"

namespace martenyard::consensus {

/// Counts the log bytes applied since the last snapshot. A snapshot is due once they reach the size
/// of the previous one, which keeps the amortized cost per command constant.
class SnapshotSchedule {
 public:
  /// @param restored the snapshot that the replica started from; index 0 when there was none.
  SnapshotSchedule(std::uint64_t log_bytes, const Snapshot& restored);

  void RecordApplied(const Entry& entry);
  void RecordInstalled(const Snapshot& snapshot);
  /// True when enough was applied since the last snapshot and the configuration is committed.
  bool Due(const Raft& raft) const;
  /// Takes a snapshot and compacts `raft`'s log. @param data the state at the applied index.
  Snapshot Take(Raft& raft, std::string data);
  /// Starts a snapshot whose data follows later. @return its position in the log, without data.
  Snapshot Begin(const Raft& raft);
  /// Compacts `raft`'s log up to the snapshot, once that is stored.
  void Finish(Raft& raft, Snapshot snapshot);
  LogIndex applied() const { return applied_; }

 private:
  std::uint64_t min_log_bytes_;
  LogIndex applied_ = 0;
  Term applied_term_ = 0;
  std::uint64_t log_bytes_ = 0;       // Applied since the last snapshot.
  std::uint64_t snapshot_bytes_ = 0;  // Size of the last snapshot.
};

}  // namespace martenyard::consensus
