// Power failures must not be mistaken for damage: torn unsynced writes are dropped, and what a
// killed process left unsynced is durable once the store was reopened.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <rocksdb/env.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>

#include "storage/log_store.h"
#include "storage/support/power_loss_files.h"

namespace martenyard::storage {
namespace {

const NodeId kIdentity(7);
const GroupId kGroup(1);
constexpr std::uint64_t kSeeds = 60;

/// A machine's disk and the store opened on it.
class Disk {
 public:
  Disk() {
    std::string pattern = ::testing::TempDir() + "power-XXXXXX";
    folder_ = mkdtemp(pattern.data());
    Open();
    EXPECT_TRUE(store_->SetIdentity(kIdentity));
  }
  ~Disk() {
    store_.reset();
    std::filesystem::remove_all(folder_);
  }

  /// Reopens the store. @return the error's detail; empty on success.
  std::string Open() {
    store_.reset();
    files_->Restart();
    return Recover<StorageError>(
        [&]() -> Result<std::string> {
          BOOST_LEAF_AUTO(opened, OpenRocksDbLogStore(folder_, env_.get()));
          store_ = std::move(opened);
          BOOST_LEAF_AUTO(node, store_->Load());
          stored_ = std::move(node);
          return std::string();
        },
        [](const StorageError& error) { return error.detail; });
  }

  /// Adds entries up to `last`. @return whether they were stored.
  bool Append(consensus::LogIndex last) {
    GroupWrite write;
    write.group = kGroup;
    write.hard_state = consensus::HardState{1, NodeId(2)};
    for (consensus::LogIndex index = end_ + 1; index <= last; ++index) {
      // Some entries are longer than a block of the write-ahead log.
      std::size_t size = index % 10 == 0 ? 70000 : 200;
      write.entries.push_back(
          {1, index, consensus::EntryKind::kCommand, std::string(size, 'x') + "."});
    }
    bool stored = Succeeds([&] { return store_->Write({write}); });
    end_ = stored ? last : end_;
    return stored;
  }
  /// Writes two unsynced parts of an incomplete snapshot.
  void StageSnapshot() {
    Succeeds([&] { return store_->WriteSnapshotPart(kGroup, true, std::string(3000, 's')); });
    Succeeds([&] { return store_->WriteSnapshotPart(kGroup, false, std::string(3000, 't')); });
  }
  /// Kills the process between a write and its sync.
  void KillDuringWrite() {
    files_->KillAtNextSync();
    EXPECT_FALSE(Append(end_ + 1));
    store_.reset();
  }
  void Close() { store_.reset(); }

  PowerLossFiles& files() { return *files_; }
  NodeId identity() const { return stored_.identity; }
  consensus::LogIndex last_acknowledged() const { return end_; }
  consensus::LogIndex last_stored() {
    const StoredGroup& group = stored_.groups[kGroup];
    return group.entries.empty() ? 0 : group.entries.back().index;
  }
  /// Continues after the last entry found.
  void ContinueFromStored() { end_ = last_stored(); }

 private:
  template <typename Attempt>
  static bool Succeeds(Attempt attempt) {
    return Recover<StorageError>(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(attempt());
          return true;
        },
        [](const StorageError&) { return false; });
  }

  std::string folder_;
  std::shared_ptr<PowerLossFiles> files_ = std::make_shared<PowerLossFiles>();
  std::unique_ptr<rocksdb::Env> env_ = rocksdb::NewCompositeEnv(files_);
  std::unique_ptr<LogStore> store_;
  StoredNode stored_;
  consensus::LogIndex end_ = 0;
};

TEST(PowerLossTest, TornWriteInProgressIsDropped) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Disk disk;
    ASSERT_TRUE(disk.Append(9) && disk.Append(12));
    disk.KillDuringWrite();
    disk.files().LosePower(seed);
    ASSERT_EQ(disk.Open(), "") << "seed " << seed;
    EXPECT_EQ(disk.identity(), kIdentity);
    EXPECT_GE(disk.last_stored(), disk.last_acknowledged()) << "seed " << seed;
  }
}

TEST(PowerLossTest, TornUnsyncedWritesAreDropped) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Disk disk;
    ASSERT_TRUE(disk.Append(12));
    disk.StageSnapshot();
    disk.KillDuringWrite();
    disk.files().LosePower(seed);
    ASSERT_EQ(disk.Open(), "") << "seed " << seed;
    EXPECT_GE(disk.last_stored(), disk.last_acknowledged()) << "seed " << seed;
  }
}

TEST(PowerLossTest, UnsyncedWritesOfAKilledProcessAreDurableAfterReopening) {
  Disk disk;
  ASSERT_TRUE(disk.Append(5));
  disk.KillDuringWrite();
  ASSERT_EQ(disk.Open(), "");
  ASSERT_EQ(disk.last_stored(), 6U) << "written but not acknowledged";
  disk.ContinueFromStored();
  ASSERT_TRUE(disk.Append(9));
  disk.Close();
  disk.files().LoseAllUnsynced();
  ASSERT_EQ(disk.Open(), "");
  EXPECT_EQ(disk.last_stored(), 9U);
}

TEST(PowerLossTest, TornTailOfAnEarlierProcessDoesNotHideLaterWrites) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Disk disk;
    ASSERT_TRUE(disk.Append(5));
    disk.KillDuringWrite();
    disk.files().LosePower(seed);
    ASSERT_EQ(disk.Open(), "") << "seed " << seed;
    disk.ContinueFromStored();
    ASSERT_TRUE(disk.Append(9));
    disk.Close();
    ASSERT_EQ(disk.Open(), "") << "seed " << seed;
    EXPECT_EQ(disk.last_stored(), 9U) << "seed " << seed;
  }
}

// Random histories: acknowledged entries and the identity survive.
RC_GTEST_PROP(PowerLossProperty, AcknowledgedEntriesSurviveKillsAndPowerFailures, ()) {
  Disk disk;
  auto steps = *rc::gen::inRange(1, 12);
  for (int step = 0; step < steps; ++step) {
    int kind = *rc::gen::inRange(0, 5);
    if (kind <= 1) {
      RC_ASSERT(disk.Append(disk.last_acknowledged() + *rc::gen::inRange(1, 4)));
      continue;
    }
    if (kind == 2) {
      disk.StageSnapshot();
      continue;
    }
    if (*rc::gen::inRange(0, 2) == 0) {
      disk.KillDuringWrite();
    }
    disk.Close();
    if (kind == 4) {
      disk.files().LosePower(*rc::gen::inRange<std::uint64_t>(1, 1000000));
    }
    RC_ASSERT(disk.Open() == "");
    RC_ASSERT(disk.identity() == kIdentity);
    RC_ASSERT(disk.last_stored() >= disk.last_acknowledged());
    disk.ContinueFromStored();
  }
}

}  // namespace
}  // namespace martenyard::storage
