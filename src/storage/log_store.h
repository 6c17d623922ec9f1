// Where replicas keep their logs: RocksDB in the data folder, or nowhere (memory replicas).
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

/// Why stored state can't be read or written. `detail` names the folder.
struct StorageError {
  enum class Code { kCannotOpen, kWriteFailed, kDamaged, kForeignIdentity, kLaterFormat };
  Code code = Code::kCannotOpen;
  std::string detail;
};

/// What one group's replica wants stored; all parts take effect together.
struct GroupWrite {
  GroupId group;
  std::optional<consensus::HardState> hard_state;
  /// Replaces the stored snapshot; entries up to its index are dropped.
  std::optional<consensus::Snapshot> snapshot;
  /// True when the snapshot's data was stored before, by `WriteSnapshotPart`.
  bool snapshot_in_parts = false;
  /// True when the snapshot came from the leader: the whole stored log is dropped.
  bool snapshot_replaces_log = false;
  /// With a snapshot: entries up to its index that stay readable by `ReadEntry`, in rising order.
  /// All others up to that index are dropped.
  std::vector<consensus::LogIndex> retained;
  /// Kept entries that nobody needs any more.
  std::vector<consensus::LogIndex> unreferenced;
  /// Replace the stored log from the first entry's index on.
  std::vector<consensus::Entry> entries;
  /// Forgets the group but for a mark that this node left it.
  bool removed = false;
};

/// What was stored of one group.
struct StoredGroup {
  consensus::HardState hard_state;
  consensus::Snapshot snapshot;
  std::vector<consensus::Entry> entries;  ///< After the snapshot.
  /// Entries that `ReadEntry` knows beside those: kept ones, staged ones, and what a crash left.
  std::vector<consensus::LogIndex> retained;
  bool removed = false;
};

/// Everything a node had stored.
struct StoredNode {
  NodeId identity;  ///< kNoNode when nothing was stored yet.
  std::map<GroupId, StoredGroup> groups;
};

/// What is written and not yet brought into its final order, and whether writes wait for that.
struct WriteBacklog {
  std::uint64_t unflushed_tables = 0;    ///< In memory, full.
  std::uint64_t unmerged_files = 0;      ///< On the disk.
  std::uint64_t slowed_bytes_per_s = 0;  ///< Writes are held to this now; 0: to nothing.
  std::uint64_t times_slowed = 0;        ///< In the store's life.
  std::uint64_t times_stopped = 0;
};

/// Not thread-safe. A write that returned is durable, as far as the kind of store can.
class LogStore {
 public:
  virtual ~LogStore() = default;
  /// Reads all that is stored. Errors: StorageError::kDamaged, kLaterFormat: a later build has
  /// written records of a kind that this one doesn't know; they must stay as they are.
  virtual Result<StoredNode> Load() = 0;
  /// Stores the node's identity, once. Errors: StorageError::kForeignIdentity, kWriteFailed.
  virtual Result<void> SetIdentity(NodeId identity) = 0;
  /// Stores all writes with one sync. Errors: StorageError::kWriteFailed; the store must then not
  /// be used further, since what is on the disk is unknown.
  virtual Result<void> Write(const std::vector<GroupWrite>& writes) = 0;
  /// Stores one part of a snapshot that a later `Write` names. A crash before that leaves the
  /// snapshot before in force. @param first drops the parts of one that was given up.
  /// Errors: StorageError::kWriteFailed.
  virtual Result<void> WriteSnapshotPart(GroupId group, bool first, const std::string& part) = 0;
  /// Stores an entry that a snapshot from the leader needs, before that snapshot comes. Such an
  /// entry never becomes part of the log; it is durable once a later `Write` is.
  /// Errors: StorageError::kWriteFailed.
  virtual Result<void> StageEntry(GroupId group, const consensus::Entry& entry) = 0;
  /// @return the entry with this index and term, if the log has it or it was kept or staged.
  /// Errors: StorageError::kDamaged.
  virtual Result<std::optional<consensus::Entry>> ReadEntry(GroupId group,
                                                            consensus::EntryId entry) = 0;
  virtual WriteBacklog Backlog() const { return {}; }
  /// @return true when the end of what was written was torn and dropped at the opening. It had not
  /// been synced, so nobody was told of it.
  virtual bool DroppedTornTail() const { return false; }
  /// @return true when stored state outlives the process.
  virtual bool IsDurable() const = 0;
};

/// Keeps state in memory for the life of the object (a crash test's "disk", or a replica that has
/// no data folder and takes a new identity at every start).
std::unique_ptr<LogStore> CreateMemoryLogStore(bool durable_for_tests);

/// Opens or creates the store in `folder`. What was synced is there, or the store is refused as
/// damaged; what was not synced may be missing or torn. Errors: StorageError::kCannotOpen,
/// kDamaged.
/// @param files where the folder is; null: the system's files. It must outlive the store.
Result<std::unique_ptr<LogStore>> OpenRocksDbLogStore(const std::string& folder,
                                                      rocksdb::Env* files = nullptr);

/// Applies one write to the in-memory picture of a group (shared by the stores and their tests).
void ApplyWrite(const GroupWrite& write, StoredGroup& group);

}  // namespace martenyard::storage
