#include "storage/log_store.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <rocksdb/db.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <string>

#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace martenyard::storage {
namespace {

using consensus::Entry;
using consensus::EntryKind;

class Folder {
 public:
  Folder() {
    std::string pattern = ::testing::TempDir() + "store-XXXXXX";
    path_ = mkdtemp(pattern.data());
  }
  ~Folder() { std::filesystem::remove_all(path_); }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

Entry MakeEntry(std::uint64_t index, std::uint64_t term) {
  return {term, index, EntryKind::kCommand, "payload-" + std::to_string(index)};
}

GroupWrite Entries(std::uint64_t first, std::uint64_t last, std::uint64_t term) {
  GroupWrite write;
  write.group = GroupId(1);
  write.hard_state = consensus::HardState{term, NodeId(2)};
  for (std::uint64_t index = first; index <= last; ++index) {
    write.entries.push_back(MakeEntry(index, term));
  }
  return write;
}

StorageError::Code CodeOf(const std::function<Result<void>()>& attempt) {
  return Recover<StorageError>(
      [&]() -> Result<StorageError::Code> {
        BOOST_LEAF_CHECK(attempt());
        ADD_FAILURE() << "no error";
        return StorageError::Code::kWriteFailed;
      },
      [](const StorageError& error) { return error.code; });
}

std::unique_ptr<LogStore> OpenStore(const std::string& folder) {
  return ValueOrThrow<StorageError>([&] { return OpenRocksDbLogStore(folder); });
}

/// Contract of every durable store: written data is read back after the store is reopened.
class LogStoreContract : public ::testing::TestWithParam<bool> {
 protected:
  void SetUp() override { Open(); }
  void Open() {
    if (GetParam()) {
      store_.reset();
      store_ = OpenStore(folder_.path());
    } else if (store_ == nullptr) {
      store_ = CreateMemoryLogStore(/*durable_for_tests=*/true);
    }
  }
  StoredGroup Reopened() {
    Open();
    return store_->Load()->groups[GroupId(1)];
  }
  Folder folder_;
  std::unique_ptr<LogStore> store_;
};

TEST_P(LogStoreContract, KeepsIdentityAndRejectsAnother) {
  ASSERT_TRUE(store_->SetIdentity(NodeId(5)));
  ASSERT_TRUE(store_->SetIdentity(NodeId(5)));
  EXPECT_EQ(CodeOf([&] { return store_->SetIdentity(NodeId(6)); }),
            StorageError::Code::kForeignIdentity);
  Open();
  EXPECT_EQ(store_->Load()->identity, NodeId(5));
}

TEST_P(LogStoreContract, KeepsEntriesAndReplacesASuffix) {
  ASSERT_TRUE(store_->Write({Entries(1, 10, 1)}));
  ASSERT_TRUE(store_->Write({Entries(6, 7, 2)}));
  StoredGroup group = Reopened();
  ASSERT_EQ(group.entries.size(), 7U);
  EXPECT_EQ(group.entries[4].term, 1U);
  EXPECT_EQ(group.entries[5].term, 2U);
  EXPECT_EQ(group.hard_state.term, 2U);
}

TEST_P(LogStoreContract, SnapshotDropsTheLogUpToItsIndex) {
  ASSERT_TRUE(store_->Write({Entries(1, 10, 1)}));
  GroupWrite write;
  write.group = GroupId(1);
  write.snapshot = consensus::Snapshot{6, 1, {{NodeId(1)}, {}}, "state"};
  ASSERT_TRUE(store_->Write({write}));
  StoredGroup group = Reopened();
  EXPECT_EQ(group.snapshot.data, "state");
  ASSERT_EQ(group.entries.size(), 4U);
  EXPECT_EQ(group.entries[0].index, 7U);
}

TEST_P(LogStoreContract, SnapshotFromTheLeaderReplacesTheWholeLog) {
  ASSERT_TRUE(store_->Write({Entries(1, 10, 1)}));
  GroupWrite write;
  write.group = GroupId(1);
  write.snapshot = consensus::Snapshot{6, 1, {}, "state"};
  write.snapshot_replaces_log = true;
  ASSERT_TRUE(store_->Write({write}));
  EXPECT_TRUE(Reopened().entries.empty());
}

TEST_P(LogStoreContract, RemovedGroupStaysRemoved) {
  ASSERT_TRUE(store_->Write({Entries(1, 3, 1)}));
  GroupWrite write;
  write.group = GroupId(1);
  write.removed = true;
  ASSERT_TRUE(store_->Write({write}));
  StoredGroup group = Reopened();
  EXPECT_TRUE(group.removed);
  EXPECT_TRUE(group.entries.empty());
}

GroupWrite SnapshotAt(std::uint64_t index, std::vector<consensus::LogIndex> retained) {
  GroupWrite write;
  write.group = GroupId(1);
  write.snapshot = consensus::Snapshot{index, 1, {}, "image"};
  write.retained = std::move(retained);
  return write;
}

/// True when the store returns the entry as it was written.
bool CanRead(LogStore& store, std::uint64_t index, std::uint64_t term) {
  auto found = *store.ReadEntry(GroupId(1), {index, term});
  return found && *found == MakeEntry(index, term);
}

TEST_P(LogStoreContract, RetainedEntriesStayReadableBeforeTheSnapshotAndOthersAreDropped) {
  store_->Write({Entries(1, 8, 1)});
  EXPECT_TRUE(CanRead(*store_, 7, 1)) << "entries of the log are readable too";
  store_->Write({SnapshotAt(6, {2, 5})});
  for (int reopening = 0; reopening < 2; ++reopening) {
    StoredGroup group = Reopened();
    ASSERT_EQ(group.entries.size(), 2U);
    EXPECT_EQ(group.entries.front().index, 7U) << "retained entries are not part of the log";
    EXPECT_EQ(group.retained, (std::vector<consensus::LogIndex>{2, 5}));
    for (std::uint64_t index = 1; index <= 8; ++index) {
      bool there = index == 2 || index == 5 || index > 6;
      EXPECT_EQ(CanRead(*store_, index, 1), there) << index;
    }
    EXPECT_FALSE(CanRead(*store_, 2, 9)) << "an entry with another term is a different entry";
  }
  store_->Write({Entries(9, 12, 1)});
  store_->Write({SnapshotAt(11, {5, 8, 10})});
  GroupWrite removal;
  removal.group = GroupId(1);
  removal.unreferenced = {5};
  store_->Write({removal});
  StoredGroup group = Reopened();
  EXPECT_FALSE(CanRead(*store_, 5, 1));
  EXPECT_TRUE(CanRead(*store_, 8, 1));
  EXPECT_TRUE(CanRead(*store_, 10, 1));
  EXPECT_FALSE(CanRead(*store_, 9, 1));
  ASSERT_EQ(group.entries.size(), 1U);
  EXPECT_EQ(group.entries.front().index, 12U);
}

TEST_P(LogStoreContract, StagedEntriesAreReadableAndNeverPartOfTheLog) {
  store_->Write({Entries(1, 3, 1)});
  store_->StageEntry(GroupId(1), MakeEntry(2, 4));
  store_->StageEntry(GroupId(1), MakeEntry(9, 4));
  StoredGroup before = Reopened();
  EXPECT_EQ(before.entries.size(), 3U);
  EXPECT_EQ(before.entries[1].term, 1U);
  EXPECT_TRUE(CanRead(*store_, 2, 1)) << "entry of the log";
  EXPECT_TRUE(CanRead(*store_, 2, 4)) << "entry staged by the leader";
  GroupWrite install = SnapshotAt(20, {2, 9});
  install.snapshot_replaces_log = true;
  store_->Write({install});
  StoredGroup after = Reopened();
  EXPECT_TRUE(after.entries.empty());
  EXPECT_TRUE(CanRead(*store_, 2, 4));
  EXPECT_TRUE(CanRead(*store_, 9, 4));
  store_->Write({Entries(21, 22, 4)});
  EXPECT_EQ(Reopened().entries.size(), 2U);
  EXPECT_FALSE(CanRead(*store_, 3, 1));
}

INSTANTIATE_TEST_SUITE_P(Stores, LogStoreContract, ::testing::Values(false, true),
                         [](const auto& info) { return info.param ? "RocksDb" : "Memory"; });

/// Applies the history of one group to both kinds of store.
class StorePair {
 public:
  StorePair() { Reopen(); }

  void Reopen() {
    rocks_.reset();
    rocks_ = OpenStore(folder_.path());
    RC_ASSERT(rocks_->Load());
  }
  void Write(GroupWrite write) {
    write.group = GroupId(1);
    memory_->Write({write});
    rocks_->Write({write});
  }
  void Stage(const Entry& entry) {
    memory_->StageEntry(GroupId(1), entry);
    rocks_->StageEntry(GroupId(1), entry);
  }
  void AssertEqual(std::uint64_t last_index, std::uint64_t last_term) {
    StoredGroup left = memory_->Load()->groups[GroupId(1)];
    StoredGroup right = rocks_->Load()->groups[GroupId(1)];
    RC_ASSERT(left.entries == right.entries);
    RC_ASSERT(left.snapshot.index == right.snapshot.index);
    for (std::uint64_t index = 1; index <= last_index; ++index) {
      for (std::uint64_t term = 1; term <= last_term; ++term) {
        RC_ASSERT(CanRead(*memory_, index, term) == CanRead(*rocks_, index, term));
      }
    }
  }

 private:
  Folder folder_;
  std::unique_ptr<LogStore> memory_ = CreateMemoryLogStore(/*durable_for_tests=*/true);
  std::unique_ptr<LogStore> rocks_;
};

std::vector<consensus::LogIndex> RandomSubset(std::uint64_t first, std::uint64_t last) {
  std::vector<consensus::LogIndex> chosen;
  for (std::uint64_t index = first; index <= last; ++index) {
    if (*rc::gen::inRange(0, 3) == 0) {
      chosen.push_back(index);
    }
  }
  return chosen;
}

RC_GTEST_PROP(LogStorePropertyTest, BothStoresRetainAndDropTheSameEntries, ()) {
  StorePair stores;
  std::uint64_t last = 0;      // Last index of the log.
  std::uint64_t snapshot = 0;  // Index of the snapshot.
  std::uint64_t term = 1;
  std::vector<consensus::LogIndex> retained;
  auto steps = *rc::gen::inRange(1, 9);
  for (int step = 0; step < steps; ++step) {
    switch (*rc::gen::inRange(0, 5)) {
      case 0: {
        std::uint64_t more = *rc::gen::inRange<std::uint64_t>(1, 6);
        stores.Write(Entries(last + 1, last + more, term));
        last += more;
        break;
      }
      case 1: {
        // A new leader replaces uncommitted entries.
        std::uint64_t from = *rc::gen::inRange<std::uint64_t>(snapshot + 1, last + 2);
        ++term;
        stores.Write(Entries(from, from, term));
        last = from;
        break;
      }
      case 2: {
        std::uint64_t at = *rc::gen::inRange<std::uint64_t>(snapshot, last + 1);
        std::vector<consensus::LogIndex> wanted = RandomSubset(snapshot + 1, at);
        // Entries dropped by an earlier snapshot cannot be retained again.
        retained.insert(retained.end(), wanted.begin(), wanted.end());
        snapshot = at;
        stores.Write(SnapshotAt(at, retained));
        break;
      }
      case 3: {
        GroupWrite write;
        std::size_t count = *rc::gen::inRange<std::size_t>(0, retained.size() + 1);
        write.unreferenced.assign(retained.begin(),
                                  retained.begin() + static_cast<std::ptrdiff_t>(count));
        retained.erase(retained.begin(), retained.begin() + static_cast<std::ptrdiff_t>(count));
        stores.Write(write);
        break;
      }
      default: {
        // A snapshot from the leader, whose retained entries were staged before.
        ++term;
        snapshot = last + *rc::gen::inRange<std::uint64_t>(1, 5);
        retained = RandomSubset(last + 1, snapshot);
        for (consensus::LogIndex index : retained) {
          stores.Stage(MakeEntry(index, term));
        }
        GroupWrite install = SnapshotAt(snapshot, retained);
        install.snapshot_replaces_log = true;
        stores.Write(install);
        last = snapshot;
        break;
      }
    }
    if (*rc::gen::inRange(0, 3) == 0) {
      stores.Reopen();
    }
  }
  stores.AssertEqual(last, term);
}

TEST(RocksDbLogStoreTest, LogOfManySmallWritesIsReadBackCompletely) {
  // Guards against a range tombstone per append, which makes reading the log quadratic.
  constexpr std::uint64_t kWrites = 20000;
  Folder folder;
  {
    auto store = OpenStore(folder.path());
    std::vector<GroupWrite> batch;
    for (std::uint64_t index = 1; index <= kWrites; ++index) {
      batch.push_back(Entries(index, index, 1));
      if (batch.size() == 100) {
        ASSERT_TRUE(store->Write(batch));
        batch.clear();
      }
    }
  }
  auto store = OpenStore(folder.path());
  EXPECT_EQ(store->Load()->groups[GroupId(1)].entries.size(), kWrites);
}

TEST(RocksDbLogStoreTest, LargeSnapshotsReplaceEachOtherAndAreReadBackCompletely) {
  Folder folder;
  const GroupId kGroup(1);
  std::string last;
  for (std::size_t round = 1; round <= 3; ++round) {
    auto store = OpenStore(folder.path());
    StoredNode before = store->Load().value();
    EXPECT_EQ(before.groups[kGroup].snapshot.data, last);
    last.clear();
    while (last.size() < round * 700000) {
      last += "round " + std::to_string(round) + " byte " + std::to_string(last.size());
    }
    GroupWrite write;
    write.group = kGroup;
    write.snapshot = consensus::Snapshot{};
    write.snapshot->index = round;
    write.snapshot->data = last;
    ASSERT_TRUE(store->Write({write}));
  }
  auto store = OpenStore(folder.path());
  EXPECT_EQ(store->Load().value().groups[kGroup].snapshot.data, last);
}

TEST(RocksDbLogStoreTest, WritesDoNotStallOnCompactions) {
  // A machine that is refilled receives entries faster than rate-limited compactions merge them. A
  // write stall longer than the election timeout would cost the machine its leaderships.
  constexpr absl::Duration kShortestElectionTimeout = absl::Milliseconds(220);
  constexpr std::size_t kEntryBytes = std::size_t{16} << 10;
  constexpr std::uint64_t kEntries = 400;  // Per group.
  constexpr std::uint32_t kGroups = 8;     // Makes the key ranges of the files overlap.
  Folder folder;
  auto store = OpenStore(folder.path());
  ASSERT_TRUE(store->Load());
  std::minstd_rand bytes;  // Incompressible payloads.
  absl::Duration longest;
  for (std::uint64_t index = 1; index <= kEntries; ++index) {
    for (std::uint32_t group = 1; group <= kGroups; ++group) {
      consensus::Entry entry;
      entry.index = index;
      entry.term = 1;
      std::generate_n(std::back_inserter(entry.payload), kEntryBytes,
                      [&] { return static_cast<char>(bytes()); });
      absl::Time started = absl::Now();
      ASSERT_TRUE(store->StageEntry(GroupId(group), entry));
      longest = std::max(longest, absl::Now() - started);
    }
  }
  EXPECT_LT(longest, kShortestElectionTimeout);
  for (std::uint64_t index = 1; index <= kEntries; ++index) {
    EXPECT_EQ(store->ReadEntry(GroupId(kGroups), {index, 1}).value()->index, index);
  }
}

TEST(RocksDbLogStoreTest, FolderInUseIsRejected) {
  Folder folder;
  auto first = OpenStore(folder.path());
  EXPECT_EQ(CodeOf([&]() -> Result<void> {
              BOOST_LEAF_CHECK(OpenRocksDbLogStore(folder.path()));
              return {};
            }),
            StorageError::Code::kCannotOpen);
}

// Guards against a downgrade that treats records of a later build as damage and so discards the
// log with the machine's identity and vote.
TEST(RocksDbLogStoreTest, RecordOfALaterBuildIsNotDamage) {
  Folder folder;
  {
    auto store = OpenStore(folder.path());
    ASSERT_TRUE(store->SetIdentity(NodeId(5)));
    ASSERT_TRUE(store->Write({Entries(1, 20, 1)}));
  }
  {
    rocksdb::DB* opened = nullptr;
    ASSERT_TRUE(rocksdb::DB::Open(rocksdb::Options(), folder.path(), &opened).ok());
    std::unique_ptr<rocksdb::DB> later(opened);
    ASSERT_TRUE(later->Put(rocksdb::WriteOptions(), "y of a later build", "value").ok());
  }
  auto open_and_load = [&]() -> Result<void> {
    BOOST_LEAF_AUTO(store, OpenRocksDbLogStore(folder.path()));
    BOOST_LEAF_CHECK(store->Load());
    return {};
  };
  EXPECT_NE(CodeOf(open_and_load), StorageError::Code::kDamaged);
}

TEST(RocksDbLogStoreTest, DamagedLogIsRejected) {
  Folder folder;
  {
    auto store = OpenStore(folder.path());
    ASSERT_TRUE(store->SetIdentity(NodeId(5)));
    ASSERT_TRUE(store->Write({Entries(1, 200, 1)}));
    ASSERT_TRUE(store->Write({Entries(201, 400, 1)}));
  }
  bool damaged = false;
  for (const auto& file : std::filesystem::directory_iterator(folder.path())) {
    if (file.path().extension() == ".log" && file.file_size() > 1000) {
      std::fstream bytes(file.path(), std::ios::in | std::ios::out | std::ios::binary);
      bytes.seekp(500);
      bytes.write("XXXXXXXX", 8);
      damaged = true;
    }
  }
  ASSERT_TRUE(damaged);
  // Rejected when it is opened or, at the latest, when it is loaded.
  auto open_and_load = [&]() -> Result<void> {
    BOOST_LEAF_AUTO(store, OpenRocksDbLogStore(folder.path()));
    BOOST_LEAF_CHECK(store->Load());
    return {};
  };
  EXPECT_EQ(CodeOf(open_and_load), StorageError::Code::kDamaged);
}

}  // namespace
}  // namespace martenyard::storage
