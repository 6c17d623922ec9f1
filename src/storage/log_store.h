// Log storage of replicas: RocksDB in the data folder, or memory.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/errors.h"
#include "base/ids.h"
#include "consensus/types.h"

namespace rocksdb {
class Env;
}

namespace martenyard::storage {

/// Error of reading or writing stored state. `detail` names the data folder.
struct StorageError {
  enum class Code { kCannotOpen, kWriteFailed, kDamaged, kForeignIdentity, kLaterFormat };
  Code code = Code::kCannotOpen;
  std::string detail;
};

/// Changes to the stored state of one group's replica; applied atomically.
struct GroupWrite {
  GroupId group;
  std::optional<consensus::HardState> hard_state;
  /// Replaces the stored snapshot; entries up to its index are dropped.
  std::optional<consensus::Snapshot> snapshot;
  /// True when the snapshot's data was already stored by `WriteSnapshotPart`.
  bool snapshot_in_parts = false;
  /// True when the snapshot came from the leader: the whole stored log is dropped.
  bool snapshot_replaces_log = false;
  /// With a snapshot: entries up to its index that remain readable by `ReadEntry`, in ascending
  /// order. All others up to that index are dropped.
  std::vector<consensus::LogIndex> retained;
  /// Retained entries to delete.
  std::vector<consensus::LogIndex> unreferenced;
  /// Replace the stored log from the first entry's index on.
  std::vector<consensus::Entry> entries;
  /// Deletes the group except for a record that this node left it.
  bool removed = false;
};

/// Stored state of one group.
struct StoredGroup {
  consensus::HardState hard_state;
  consensus::Snapshot snapshot;
  std::vector<consensus::Entry> entries;  ///< After the snapshot.
  /// Other entries that `ReadEntry` finds: retained, staged, and left over from a crash.
  std::vector<consensus::LogIndex> retained;
  bool removed = false;
};

/// Stored state of a node.
struct StoredNode {
  NodeId identity;  ///< kNoNode when nothing was stored yet.
  std::map<GroupId, StoredGroup> groups;
};

/// Data that is not flushed or compacted yet, and the resulting write stalls.
struct WriteBacklog {
  std::uint64_t unflushed_tables = 0;    ///< Full memtables.
  std::uint64_t unmerged_files = 0;      ///< Level-0 files.
  std::uint64_t slowed_bytes_per_s = 0;  ///< Current write rate limit; 0: none.
  std::uint64_t times_slowed = 0;        ///< Since the store was opened.
  std::uint64_t times_stopped = 0;
};

/// Not thread-safe. A completed write is durable if `IsDurable()`.
class LogStore {
 public:
  virtual ~LogStore() = default;
  /// Reads the stored state. Errors: StorageError::kDamaged; kLaterFormat: there are records of a
  /// type that only a later build knows, and the data must be left unchanged.
  virtual Result<StoredNode> Load() = 0;
  /// Stores the node's identity, once. Errors: StorageError::kForeignIdentity, kWriteFailed.
  virtual Result<void> SetIdentity(NodeId identity) = 0;
  /// Stores all writes with one sync. Errors: StorageError::kWriteFailed; the store must not be
  /// used afterwards, since the state on disk is unknown.
  virtual Result<void> Write(const std::vector<GroupWrite>& writes) = 0;
  /// Stores one part of a snapshot that a later `Write` completes. After a crash before that, the
  /// previous snapshot is loaded. @param first discards the parts of an incomplete snapshot.
  /// Errors: StorageError::kWriteFailed.
  virtual Result<void> WriteSnapshotPart(GroupId group, bool first, const std::string& part) = 0;
  /// Stores an entry that a snapshot from the leader refers to, ahead of that snapshot. Such an
  /// entry never becomes part of the log; it is durable after the next `Write`.
  /// Errors: StorageError::kWriteFailed.
  virtual Result<void> StageEntry(GroupId group, const consensus::Entry& entry) = 0;
  /// @return the entry with this index and term, if it is in the log, retained or staged.
  /// Errors: StorageError::kDamaged.
  virtual Result<std::optional<consensus::Entry>> ReadEntry(GroupId group,
                                                            consensus::EntryId entry) = 0;
  virtual WriteBacklog Backlog() const { return {}; }
  /// @return true when a torn tail was dropped at the opening. It had not been synced, so it was
  /// never acknowledged.
  virtual bool DroppedTornTail() const { return false; }
  /// @return true when stored state survives the process.
  virtual bool IsDurable() const = 0;
};

/// Creates an in-memory store: the "disk" of a crash test, or the store of a replica without a data
/// folder, which takes a new identity at every start and stores nothing.
std::unique_ptr<LogStore> CreateMemoryLogStore(bool durable_for_tests);

/// Opens or creates the store in `folder`. If synced data is missing, the store is rejected as
/// damaged; unsynced data may be missing. Errors: StorageError::kCannotOpen, kDamaged.
/// @param files file system of the folder; null: the default one. It must outlive the store.
Result<std::unique_ptr<LogStore>> OpenRocksDbLogStore(const std::string& folder,
                                                      rocksdb::Env* files = nullptr);

/// Applies one write to the in-memory state of a group (shared by the stores and their tests).
void ApplyWrite(const GroupWrite& write, StoredGroup& group);

}  // namespace martenyard::storage
