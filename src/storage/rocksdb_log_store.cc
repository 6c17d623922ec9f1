// Key layout (numbers are big-endian, so that RocksDB's key order is the log order):
//   "identity"                       -> NodeId
//   'h' group                        -> HardState
//   's' group                        -> SnapshotRecord: snapshot metadata
//   'p' group generation part        -> one part of the snapshot's data
//   'e' group index                  -> Entry: in the log, or retained from before the snapshot
//   't' group index                  -> Entry that the leader sent ahead of its snapshot
//   'x' group                        -> "" (this node left the group)
#include <rocksdb/cache.h>
#include <rocksdb/db.h>
#include <rocksdb/filter_policy.h>
#include <rocksdb/listener.h>
#include <rocksdb/options.h>
#include <rocksdb/rate_limiter.h>
#include <rocksdb/table.h>
#include <rocksdb/write_batch.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdarg>
#include <cstdlib>
#include <exception>
#include <latch>
#include <map>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/big_endian.h"
#include "storage/durable_mark.h"
#include "storage/log_store.h"
#include "wire/sealed.h"

namespace martenyard::storage {
namespace {

using wire::Seal;
using wire::Unseal;

constexpr char kIdentityKey[] = "identity";
constexpr std::size_t kWriteBufferBytes = std::size_t{1} << 20;
/// Small: recent entries are read from the write buffer, and older ones rarely.
constexpr std::size_t kBlockCacheBytes = std::size_t{512} << 10;
/// Compactions compete with the replica for CPU: without a limit, a compaction can saturate a small
/// machine for longer than the election timeout. Flushes are not limited, since writes wait for
/// them.
constexpr std::int64_t kBackgroundBytesPerSecond = std::int64_t{5} << 20;
constexpr std::int64_t kOpeningBytesPerSecond = std::int64_t{1} << 30;
/// High, since most of the log is dropped before a compaction would pay off.
constexpr int kFilesBeforeCompaction = 10;
/// By default RocksDB slows writes down at 20 level-0 files and stops them at 36 until a
/// rate-limited compaction is done, which blocks the replica for seconds. More files only make
/// reads slower, which the Bloom filter limits; their number is bounded because the write rate is
/// far below the compaction rate.
constexpr int kNoFileLimit = 1 << 30;
/// Bloom filter size, for a false positive rate of 1%.
constexpr double kFilterBitsPerKey = 10;
/// Gaps between retained entries up to this length are deleted by key: each range tombstone slows
/// down later reads.
constexpr consensus::LogIndex kMaxSingleDeletes = 64;
/// For flushes, compactions, periodic tasks, and one more that an opening may use.
constexpr std::size_t kRocksDbThreads = 4;
/// Size of the parts of a snapshot. Writing it at once would hold several copies in memory.
constexpr std::size_t kPartBytes = std::size_t{256} << 10;

/// Metadata of a snapshot. Its parts become valid when this record refers to their generation.
struct SnapshotRecord {
  consensus::Snapshot snapshot;  ///< Without its data.
  std::uint64_t generation = 0;
  std::uint64_t parts = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(snapshot, generation, parts);
  }
};

std::string GroupKey(char kind, GroupId group) {
  return std::string(1, kind) + BigEndian(group.value, 4);
}

std::string EntryKey(GroupId group, consensus::LogIndex index) {
  return GroupKey('e', group) + BigEndian(index, 8);
}

std::string StagedKey(GroupId group, consensus::LogIndex index) {
  return GroupKey('t', group) + BigEndian(index, 8);
}

std::string PartKey(GroupId group, std::uint64_t generation, std::uint64_t part) {
  return GroupKey('p', group) + BigEndian(generation, 8) + BigEndian(part, 8);
}

leaf::error_id Damaged(const std::string& detail) {
  return leaf::new_error(StorageError{StorageError::Code::kDamaged, detail});
}

/// Counts how often RocksDB slowed or stopped writes. Called on RocksDB's threads.
class StallCounter : public rocksdb::EventListener {
 public:
  void OnStallConditionsChanged(const rocksdb::WriteStallInfo& info) override {
    if (info.condition.cur == rocksdb::WriteStallCondition::kDelayed) {
      ++slowed_;
    } else if (info.condition.cur == rocksdb::WriteStallCondition::kStopped) {
      ++stopped_;
    }
  }
  std::uint64_t slowed() const { return slowed_; }
  std::uint64_t stopped() const { return stopped_; }

 private:
  std::atomic<std::uint64_t> slowed_{0};
  std::atomic<std::uint64_t> stopped_{0};
};

/// Limits the rate of compactions but not of flushes.
class CompactionRateLimiter : public rocksdb::RateLimiter {
 public:
  explicit CompactionRateLimiter(std::int64_t bytes_per_second)
      : limiter_(rocksdb::NewGenericRateLimiter(bytes_per_second)) {}

  using rocksdb::RateLimiter::Request;
  void Request(const std::int64_t bytes, const rocksdb::Env::IOPriority priority,
               rocksdb::Statistics* statistics) override {
    // Flushes have high priority; both have user priority while writes are stalled.
    if (priority == rocksdb::Env::IO_LOW) {
      limiter_->Request(bytes, priority, statistics);
    }
  }
  void SetBytesPerSecond(std::int64_t bytes_per_second) override {
    limiter_->SetBytesPerSecond(bytes_per_second);
  }
  std::int64_t GetSingleBurstBytes() const override { return limiter_->GetSingleBurstBytes(); }
  std::int64_t GetTotalBytesThrough(const rocksdb::Env::IOPriority priority) const override {
    return limiter_->GetTotalBytesThrough(priority);
  }
  std::int64_t GetTotalRequests(const rocksdb::Env::IOPriority priority) const override {
    return limiter_->GetTotalRequests(priority);
  }
  std::int64_t GetBytesPerSecond() const override { return limiter_->GetBytesPerSecond(); }

 private:
  std::unique_ptr<rocksdb::RateLimiter> limiter_;
};

/// Discards RocksDB's own log. On a full disk a log file ends the process: RocksDB asserts that it
/// does not write to a file again after an error.
class NoLog : public rocksdb::Logger {
 public:
  using rocksdb::Logger::Logv;
  void Logv(const char* /*format*/, va_list /*arguments*/) override {}
};

class RocksDbLogStore : public LogStore {
 public:
  RocksDbLogStore(std::unique_ptr<rocksdb::DB> db, std::string folder,
                  std::shared_ptr<const StallCounter> stalls, bool dropped_torn_tail)
      : db_(std::move(db)),
        folder_(std::move(folder)),
        stalls_(std::move(stalls)),
        dropped_torn_tail_(dropped_torn_tail),
        durable_(db_->GetLatestSequenceNumber()) {}

  Result<StoredNode> Load() override {
    StoredNode node;
    std::unique_ptr<rocksdb::Iterator> cursor(db_->NewIterator(rocksdb::ReadOptions()));
    cursor->SeekToFirst();
    while (cursor->Valid()) {
      std::string key = cursor->key().ToString();
      if (IsReadPerGroup(key)) {
        GroupId group = GroupOf(key);
        node.groups[group];
        cursor->Seek(GroupKey(key.front(), GroupId(group.value + 1)));
        continue;
      }
      if (!IsKnownRecordType(key)) {
        return leaf::new_error(
            StorageError{StorageError::Code::kLaterFormat,
                         "data folder " + folder_ + " contains records of a later build"});
      }
      if (!LoadRecord(key, cursor->value().ToString(), node)) {
        return Damaged("data folder " + folder_ + " contains a damaged record");
      }
      cursor->Next();
    }
    for (auto& [group, stored] : node.groups) {
      if (!LoadEntries(group, *cursor, stored) || !LoadSnapshotParts(group, stored)) {
        return Damaged("data folder " + folder_ +
                       " is missing a part of a snapshot or contains a damaged entry");
      }
      if (!LogIsContiguous(stored)) {
        return Damaged("data folder " + folder_ + " is missing entries of group " +
                       std::to_string(group.value));
      }
    }
    if (!cursor->status().ok()) {
      return Damaged("data folder " + folder_ + ": " + cursor->status().ToString());
    }
    return node;
  }

  Result<void> SetIdentity(NodeId identity) override {
    std::string present;
    rocksdb::Status found = db_->Get(rocksdb::ReadOptions(), kIdentityKey, &present);
    if (found.ok()) {
      std::optional<NodeId> stored = Unseal<NodeId>(present);
      if (stored != identity) {
        return leaf::new_error(StorageError{StorageError::Code::kForeignIdentity,
                                            "data folder " + folder_ + " belongs to another node"});
      }
      return {};
    }
    rocksdb::WriteBatch batch;
    batch.Put(kIdentityKey, Seal(identity));
    return Commit(batch);
  }

  Result<void> Write(const std::vector<GroupWrite>& writes) override {
    rocksdb::WriteBatch batch;
    for (const GroupWrite& write : writes) {
      if (write.snapshot && !write.snapshot_in_parts) {
        BOOST_LEAF_CHECK(WriteSnapshotParts(write.group, write.snapshot->data));
      }
      AddToBatch(write, batch);
    }
    return Commit(batch);
  }

  /// Writes under a generation that no record refers to yet; ignored after a crash.
  Result<void> WriteSnapshotPart(GroupId group, bool first, const std::string& part) override {
    SnapshotRecord& present = snapshots_[group];
    if (first) {
      ++present.generation;
      present.parts = 0;
    }
    return PutUnsynced(PartKey(group, present.generation, present.parts++), Seal(part));
  }

  Result<void> StageEntry(GroupId group, const consensus::Entry& entry) override {
    return PutUnsynced(StagedKey(group, entry.index), Seal(entry));
  }

  Result<std::optional<consensus::Entry>> ReadEntry(GroupId group,
                                                    consensus::EntryId wanted) override {
    for (const std::string& key : {EntryKey(group, wanted.index), StagedKey(group, wanted.index)}) {
      std::string sealed;
      rocksdb::Status status = db_->Get(rocksdb::ReadOptions(), key, &sealed);
      if (status.IsNotFound()) {
        continue;
      }
      auto entry = status.ok() ? Unseal<consensus::Entry>(sealed) : std::nullopt;
      if (!entry) {
        return Damaged("data folder " + folder_ + " contains a damaged entry");
      }
      if (entry->term == wanted.term) {
        return entry;
      }
    }
    return std::optional<consensus::Entry>();
  }

  WriteBacklog Backlog() const override {
    auto property = [this](const rocksdb::Slice& name) {
      std::uint64_t value = 0;
      db_->GetIntProperty(name, &value);
      return value;
    };
    std::string files;
    db_->GetProperty(rocksdb::DB::Properties::kNumFilesAtLevelPrefix + "0", &files);
    WriteBacklog backlog;
    backlog.unflushed_tables = property(rocksdb::DB::Properties::kNumImmutableMemTable);
    backlog.unmerged_files = std::strtoull(files.c_str(), nullptr, 10);
    backlog.slowed_bytes_per_s = property(rocksdb::DB::Properties::kActualDelayedWriteRate);
    backlog.times_slowed = stalls_->slowed();
    backlog.times_stopped = stalls_->stopped();
    return backlog;
  }

  bool IsDurable() const override { return true; }
  bool DroppedTornTail() const override { return dropped_torn_tail_; }

 private:
  static bool LogIsContiguous(const StoredGroup& group) {
    consensus::LogIndex expected = group.snapshot.index + 1;
    for (const consensus::Entry& entry : group.entries) {
      if (entry.index != expected) {
        return false;
      }
      ++expected;
    }
    return true;
  }

  Result<void> WriteSnapshotParts(GroupId group, const std::string& data) {
    bool first = true;
    for (std::size_t at = 0; at < data.size() || first; at += kPartBytes) {
      BOOST_LEAF_CHECK(WriteSnapshotPart(group, first, data.substr(at, kPartBytes)));
      first = false;
    }
    return {};
  }

  bool LoadSnapshotParts(GroupId group, StoredGroup& stored) {
    const SnapshotRecord& record = snapshots_[group];
    for (std::uint64_t part = 0; part < record.parts; ++part) {
      std::string sealed;
      std::string key = PartKey(group, record.generation, part);
      if (!db_->Get(rocksdb::ReadOptions(), key, &sealed).ok()) {
        return false;
      }
      std::optional<std::string> data = Unseal<std::string>(sealed);
      if (!data) {
        return false;
      }
      stored.snapshot.data += *data;
    }
    return true;
  }

  /// Reads the group's log after the snapshot, and only the keys of retained and staged entries.
  bool LoadEntries(GroupId group, rocksdb::Iterator& cursor, StoredGroup& stored) {
    std::string prefix = GroupKey('e', group);
    for (cursor.Seek(prefix); cursor.Valid() && cursor.key().starts_with(prefix); cursor.Next()) {
      consensus::LogIndex index = IndexOf(cursor.key(), prefix);
      if (index <= stored.snapshot.index) {
        stored.retained.push_back(index);
        continue;
      }
      auto entry = Unseal<consensus::Entry>(cursor.value().ToStringView());
      if (!entry) {
        return false;
      }
      stored.entries.push_back(std::move(*entry));
    }
    std::string staged = GroupKey('t', group);
    for (cursor.Seek(staged); cursor.Valid() && cursor.key().starts_with(staged); cursor.Next()) {
      stored.retained.push_back(IndexOf(cursor.key(), staged));
    }
    return cursor.status().ok();
  }

  static consensus::LogIndex IndexOf(const rocksdb::Slice& key, const std::string& prefix) {
    return FromBigEndian(key.ToStringView().substr(prefix.size()));
  }

  /// True for record types that are read per group, once its snapshot index is known.
  static bool IsReadPerGroup(const std::string& key) {
    return key != kIdentityKey && (key.front() == 'e' || key.front() == 't' || key.front() == 'p');
  }

  static bool IsKnownRecordType(const std::string& key) {
    constexpr std::string_view kSingleRecordTypes = "hsx";
    return key == kIdentityKey || kSingleRecordTypes.find(key.front()) != std::string_view::npos;
  }

  static GroupId GroupOf(std::string_view key) {
    return GroupId(static_cast<std::uint32_t>(FromBigEndian(key.substr(1, 4))));
  }

  bool LoadRecord(const std::string& key, const std::string& value, StoredNode& node) {
    if (key == kIdentityKey) {
      auto identity = Unseal<NodeId>(value);
      node.identity = identity.value_or(kNoNode);
      return identity.has_value();
    }
    GroupId group = GroupOf(key);
    StoredGroup& stored = node.groups[group];
    switch (key.front()) {
      case 'h': {
        auto state = Unseal<consensus::HardState>(value);
        stored.hard_state = state.value_or(consensus::HardState{});
        return state.has_value();
      }
      case 's': {
        auto record = Unseal<SnapshotRecord>(value);
        snapshots_[group] = record.value_or(SnapshotRecord{});
        stored.snapshot = snapshots_[group].snapshot;
        return record.has_value();
      }
      case 'x':
        stored.removed = true;
        return true;
      default:
        return false;
    }
  }

  /// Index range of a group's stored log: [first, end).
  struct StoredRange {
    consensus::LogIndex first = 0;
    consensus::LogIndex end = 0;
  };

  /// @return the group's range, looked up at its first write and cached.
  StoredRange& RangeOf(GroupId group) {
    auto known = ranges_.find(group);
    if (known != ranges_.end()) {
      return known->second;
    }
    StoredRange range;
    std::string prefix = GroupKey('e', group);
    std::unique_ptr<rocksdb::Iterator> cursor(db_->NewIterator(rocksdb::ReadOptions()));
    // Entries before this index are retained ones and not part of the log.
    cursor->Seek(EntryKey(group, snapshots_[group].snapshot.index + 1));
    if (cursor->Valid() && cursor->key().starts_with(prefix)) {
      range.first = FromBigEndian(cursor->key().ToString().substr(prefix.size()));
      cursor->SeekForPrev(EntryKey(group, UINT64_MAX));
      range.end = FromBigEndian(cursor->key().ToString().substr(prefix.size())) + 1;
    }
    return ranges_[group] = range;
  }

  /// Deletes the stored log below `end` except for retained entries. The deleted ranges never
  /// overlap: overlapping tombstones make reads quadratic.
  static void DropBelow(GroupId group, consensus::LogIndex end, StoredRange& range,
                        const std::vector<consensus::LogIndex>& retained,
                        rocksdb::WriteBatch& batch) {
    end = std::min(end, range.end);
    auto drop = [&](consensus::LogIndex from, consensus::LogIndex to) {
      if (to - from > kMaxSingleDeletes) {
        batch.DeleteRange(EntryKey(group, from), EntryKey(group, to));
        return;
      }
      for (consensus::LogIndex index = from; index < to; ++index) {
        batch.Delete(EntryKey(group, index));
      }
    };
    auto next = std::lower_bound(retained.begin(), retained.end(), range.first);
    for (; next != retained.end() && *next < end; ++next) {
      drop(range.first, *next);
      range.first = *next + 1;
    }
    if (range.first < end) {
      drop(range.first, end);
    }
    range.first = std::max(range.first, end);
  }

  /// Deletes all entries of the group except `retained`. Scans every key of the group, so it is
  /// used only for a snapshot from the leader.
  void DropAllExcept(GroupId group, const std::vector<consensus::LogIndex>& retained,
                     rocksdb::WriteBatch& batch) {
    std::unique_ptr<rocksdb::Iterator> cursor(db_->NewIterator(rocksdb::ReadOptions()));
    for (char kind : {'e', 't'}) {
      std::string prefix = GroupKey(kind, group);
      for (cursor->Seek(prefix); cursor->Valid() && cursor->key().starts_with(prefix);
           cursor->Next()) {
        if (!std::binary_search(retained.begin(), retained.end(), IndexOf(cursor->key(), prefix))) {
          batch.Delete(cursor->key());
        }
      }
    }
  }

  void AddEntries(const GroupWrite& write, StoredRange& range, rocksdb::WriteBatch& batch) {
    consensus::LogIndex first = write.entries.front().index;
    for (consensus::LogIndex index = first; index < range.end; ++index) {
      batch.Delete(EntryKey(write.group, index));  // Conflicting suffix: rare and short.
    }
    for (const consensus::Entry& entry : write.entries) {
      batch.Put(EntryKey(write.group, entry.index), Seal(entry));
    }
    if (range.first == range.end) {
      range.first = first;
    }
    range.end = write.entries.back().index + 1;
  }

  void AddToBatch(const GroupWrite& write, rocksdb::WriteBatch& batch) {
    GroupId group = write.group;
    StoredRange& range = RangeOf(group);
    if (write.removed) {
      DropBelow(group, range.end, range, {}, batch);
      // Includes retained entries. Overlapping ranges are acceptable, since a group is removed
      // once.
      batch.DeleteRange(EntryKey(group, 0), EntryKey(group, UINT64_MAX));
      batch.DeleteRange(StagedKey(group, 0), StagedKey(group, UINT64_MAX));
      batch.Delete(GroupKey('h', group));
      batch.Delete(GroupKey('s', group));
      batch.DeleteRange(PartKey(group, dropped_below_[group], 0), PartKey(group, UINT64_MAX, 0));
      batch.Put(GroupKey('x', group), "");
      return;
    }
    if (write.hard_state) {
      batch.Put(GroupKey('h', group), Seal(*write.hard_state));
    }
    if (write.snapshot) {
      if (write.snapshot_replaces_log) {
        DropAllExcept(group, write.retained, batch);
        range.first = range.end;
      } else {
        DropBelow(group, write.snapshot->index + 1, range, write.retained, batch);
      }
      SnapshotRecord& record = snapshots_[group];
      const consensus::Snapshot& snapshot = *write.snapshot;
      record.snapshot = {snapshot.index, snapshot.term, snapshot.configuration, ""};
      batch.Put(GroupKey('s', group), Seal(record));
      // Generations only increase: the range contains no part of the new snapshot.
      batch.DeleteRange(PartKey(group, dropped_below_[group], 0),
                        PartKey(group, record.generation, 0));
      dropped_below_[group] = record.generation;
    }
    for (consensus::LogIndex index : write.unreferenced) {
      batch.Delete(EntryKey(group, index));
      batch.Delete(StagedKey(group, index));
    }
    if (!write.entries.empty()) {
      AddEntries(write, range, batch);
    }
  }

  Result<void> Commit(rocksdb::WriteBatch& batch) {
    rocksdb::WriteOptions options;
    options.sync = true;
    BOOST_LEAF_CHECK(WriteMarked(options, batch));
    durable_ = db_->GetLatestSequenceNumber();
    return {};
  }

  /// Writes without a sync; durable after the next commit.
  Result<void> PutUnsynced(const std::string& key, const std::string& value) {
    rocksdb::WriteBatch batch;
    batch.Put(key, value);
    return WriteMarked(rocksdb::WriteOptions(), batch);
  }

  Result<void> WriteMarked(const rocksdb::WriteOptions& options, rocksdb::WriteBatch& batch) {
    batch.PutLogData(EncodeDurableMark(durable_));
    rocksdb::Status status = db_->Write(options, &batch);
    if (!status.ok()) {
      return leaf::new_error(StorageError{StorageError::Code::kWriteFailed,
                                          "data folder " + folder_ + ": " + status.ToString()});
    }
    return {};
  }

  std::unique_ptr<rocksdb::DB> db_;
  std::string folder_;
  std::shared_ptr<const StallCounter> stalls_;
  bool dropped_torn_tail_;
  rocksdb::SequenceNumber durable_;  ///< Last synced change.
  std::map<GroupId, StoredRange> ranges_;
  std::map<GroupId, SnapshotRecord> snapshots_;
  std::map<GroupId, std::uint64_t> dropped_below_;  // Parts of earlier generations are deleted.
};

leaf::error_id CannotOpen(const std::string& folder, const rocksdb::Status& status) {
  auto code =
      status.IsCorruption() ? StorageError::Code::kDamaged : StorageError::Code::kCannotOpen;
  return leaf::new_error(StorageError{code, "data folder " + folder + ": " + status.ToString()});
}

/// RocksDB can't recover from a thread that does not start while it opens a database: it ends the
/// process, or keeps the folder locked. @return why the threads that it needs can't be started;
/// empty if they can.
std::string WhyThreadsCantStart() {
  std::latch all_tried(1);
  std::vector<std::thread> threads;
  std::string failure;
  try {
    threads.reserve(kRocksDbThreads);
    while (threads.size() < kRocksDbThreads) {
      threads.emplace_back([&all_tried] { all_tried.wait(); });
    }
  } catch (const std::exception& error) {
    failure = absl::StrCat("cannot start ", kRocksDbThreads, " threads: ", error.what());
  }
  all_tried.count_down();
  for (std::thread& thread : threads) {
    thread.join();
  }
  return failure;
}

/// An open database, and whether a torn tail of its write-ahead log was dropped.
struct Opened {
  std::unique_ptr<rocksdb::DB> db;
  bool dropped_torn_tail = false;
};

/// Errors: StorageError::kCannotOpen, kDamaged.
Result<Opened> OpenDatabase(rocksdb::Options& options, const std::string& folder) {
  Opened opened;
  bool marked = MarksAreWritten(*options.env, folder);
  rocksdb::DB* db = nullptr;
  // A truncated record at the end is an unsynced write; any other corruption is an error.
  options.wal_recovery_mode = rocksdb::WALRecoveryMode::kTolerateCorruptedTailRecords;
  rocksdb::Status status = rocksdb::DB::Open(options, folder, &db);
  // A power failure may also leave holes and zeros in unsynced data: then the log is recovered up
  // to the first of them and compared with its marks. The marks are read only in this case, so that
  // a normal opening reads the logs once.
  if (status.IsCorruption() && marked) {
    std::uint64_t durable = LastDurableMark(*options.env, folder);
    options.wal_recovery_mode = rocksdb::WALRecoveryMode::kPointInTimeRecovery;
    opened.dropped_torn_tail = true;
    status = rocksdb::DB::Open(options, folder, &db);
    if (status.ok() && db->GetLatestSequenceNumber() < durable) {
      opened.db.reset(db);
      return Damaged("data folder " + folder + " is missing changes that had been synced");
    }
  }
  if (!status.ok()) {
    return CannotOpen(folder, status);
  }
  opened.db.reset(db);
  if (opened.dropped_torn_tail || !marked) {
    // After a flush, logs with a torn tail or without marks are not read again.
    status = db->Flush(rocksdb::FlushOptions());
  }
  if (status.ok() && !marked) {
    status = RecordMarksAreWritten(*options.env, folder);
  }
  if (!status.ok()) {
    return CannotOpen(folder, status);
  }
  return opened;
}

}  // namespace

Result<std::unique_ptr<LogStore>> OpenRocksDbLogStore(const std::string& folder,
                                                      rocksdb::Env* files) {
  std::string failure = WhyThreadsCantStart();
  if (!failure.empty()) {
    return leaf::new_error(
        StorageError{StorageError::Code::kCannotOpen, "data folder " + folder + ": " + failure});
  }
  rocksdb::Options options;
  options.env = files != nullptr ? files : rocksdb::Env::Default();
  options.create_if_missing = true;
  options.write_buffer_size = kWriteBufferBytes;
  options.info_log = std::make_shared<NoLog>();
  rocksdb::BlockBasedTableOptions table;
  table.block_cache = rocksdb::NewLRUCache(kBlockCacheBytes, /*num_shard_bits=*/0);
  table.filter_policy.reset(rocksdb::NewBloomFilterPolicy(kFilterBitsPerKey));
  options.table_factory.reset(rocksdb::NewBlockBasedTableFactory(table));
  // Compactions are not limited during the opening, when no requests are served.
  options.rate_limiter = std::make_shared<CompactionRateLimiter>(kOpeningBytesPerSecond);
  options.avoid_flush_during_recovery = true;
  options.level0_file_num_compaction_trigger = kFilesBeforeCompaction;
  options.level0_slowdown_writes_trigger = kNoFileLimit;
  options.level0_stop_writes_trigger = kNoFileLimit;
  options.paranoid_checks = true;
  // A thread that can't be started while others of the same opening run ends the process: RocksDB
  // destroys the running ones without joining them. The database has few files to open.
  options.max_file_opening_threads = 1;
  auto stalls = std::make_shared<StallCounter>();
  options.listeners.push_back(stalls);
  // Unsynced writes of a killed process are recovered below and treated as stored. Without a sync,
  // a power failure could remove them from the middle of the log, which is then refused: so did
  // the 97th generated history of kills and power failures, with it none of 5,000.
  rocksdb::Status synced = SyncWriteAheadLogs(*options.env, folder);
  if (!synced.ok()) {
    return CannotOpen(folder, synced);
  }
  BOOST_LEAF_AUTO(opened, OpenDatabase(options, folder));
  options.rate_limiter->SetBytesPerSecond(kBackgroundBytesPerSecond);
  return std::unique_ptr<LogStore>(std::make_unique<RocksDbLogStore>(
      std::move(opened.db), folder, std::move(stalls), opened.dropped_torn_tail));
}

}  // namespace martenyard::storage
