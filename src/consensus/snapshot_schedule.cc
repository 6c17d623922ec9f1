#include "consensus/snapshot_schedule.h"

#include <algorithm>
#include <utility>

namespace martenyard::consensus {

SnapshotSchedule::SnapshotSchedule(std::uint64_t log_bytes, const Snapshot& restored)
    : min_log_bytes_(log_bytes) {
  RecordInstalled(restored);
}

void SnapshotSchedule::RecordApplied(const Entry& entry) {
  applied_ = entry.index;
  applied_term_ = entry.term;
  log_bytes_ += entry.payload.size();
}

void SnapshotSchedule::RecordInstalled(const Snapshot& snapshot) {
  applied_ = snapshot.index;
  applied_term_ = snapshot.term;
  log_bytes_ = 0;
  snapshot_bytes_ = snapshot.data.size();
}

bool SnapshotSchedule::Due(const Raft& raft) const {
  return log_bytes_ >= std::max(min_log_bytes_, snapshot_bytes_) && raft.ConfigurationIsCommitted();
}

Snapshot SnapshotSchedule::Take(Raft& raft, std::string data) {
  Snapshot snapshot = Begin(raft);
  snapshot.data = std::move(data);
  Finish(raft, snapshot);
  return snapshot;
}

Snapshot SnapshotSchedule::Begin(const Raft& raft) {
  Snapshot snapshot;
  snapshot.index = applied_;
  snapshot.term = applied_term_;
  snapshot.configuration = raft.configuration();
  log_bytes_ = 0;
  return snapshot;
}

void SnapshotSchedule::Finish(Raft& raft, Snapshot snapshot) {
  snapshot_bytes_ = snapshot.data.size();
  raft.Compact(std::move(snapshot));
}

}  // namespace martenyard::consensus
