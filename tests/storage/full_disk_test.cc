// A disk that becomes full at any write must not end the process, lose what was acknowledged, or be
// mistaken for a damaged one.
#include <gtest/gtest.h>
#include <rocksdb/env.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>

#include "storage/log_store.h"
#include "storage/support/full_disk_files.h"

namespace martenyard::storage {
namespace {

const NodeId kIdentity(7);
const GroupId kGroup(1);
/// Enough of these fill a write buffer several times, so that tables are flushed and merged.
constexpr std::size_t kEntryBytes = 60000;
constexpr consensus::LogIndex kEntries = 60;
constexpr consensus::LogIndex kSnapshotAt = 25;

class FullDisk {
 public:
  explicit FullDisk(bool refuses_syncs)
      : files_(std::make_shared<FullDiskFiles>(refuses_syncs)),
        env_(rocksdb::NewCompositeEnv(files_)) {
    std::string pattern = ::testing::TempDir() + "full-XXXXXX";
    folder_ = mkdtemp(pattern.data());
  }
  ~FullDisk() {
    store_.reset();
    std::filesystem::remove_all(folder_);
  }
  FullDisk(const FullDisk&) = delete;
  FullDisk& operator=(const FullDisk&) = delete;

  FullDiskFiles& files() { return *files_; }
  consensus::LogIndex acknowledged() const { return acknowledged_; }

  /// Opens the store and loads it. @return the error, if any.
  std::optional<StorageError> Open() {
    store_.reset();
    return ErrorOf([&]() -> Result<void> {
      BOOST_LEAF_ASSIGN(store_, OpenRocksDbLogStore(folder_, env_.get()));
      BOOST_LEAF_ASSIGN(stored_, store_->Load());
      if (stored_.identity == kNoNode) {
        BOOST_LEAF_CHECK(store_->SetIdentity(kIdentity));
      }
      return {};
    });
  }

  /// Appends entries and takes a snapshot in between until a write fails.
  std::optional<StorageError> Fill() {
    for (consensus::LogIndex index = 1; index <= kEntries; ++index) {
      GroupWrite write;
      write.group = kGroup;
      write.hard_state = consensus::HardState{1, kIdentity};
      write.entries.push_back(
          {1, index, consensus::EntryKind::kCommand, std::string(kEntryBytes, 'x')});
      if (index == kSnapshotAt) {
        write.snapshot = consensus::Snapshot{index - 1, 1, {}, std::string(kEntryBytes, 's')};
      }
      auto failure = ErrorOf([&] { return store_->Write({write}); });
      if (failure) {
        return failure;
      }
      acknowledged_ = index;
    }
    return std::nullopt;
  }

  /// @return the index of the last stored entry, as loaded by `Open`.
  consensus::LogIndex LastStored() const {
    auto found = stored_.groups.find(kGroup);
    if (found == stored_.groups.end()) {
      return 0;
    }
    const StoredGroup& group = found->second;
    return group.entries.empty() ? group.snapshot.index : group.entries.back().index;
  }

 private:
  template <typename Step>
  static std::optional<StorageError> ErrorOf(const Step& step) {
    return Recover<StorageError>(
        [&]() -> Result<std::optional<StorageError>> {
          BOOST_LEAF_CHECK(step());
          return std::optional<StorageError>();
        },
        [](const StorageError& error) { return std::make_optional(error); });
  }

  std::string folder_;
  std::shared_ptr<FullDiskFiles> files_;
  std::unique_ptr<rocksdb::Env> env_;
  std::unique_ptr<LogStore> store_;
  StoredNode stored_;
  consensus::LogIndex acknowledged_ = 0;
};

/// @return the number of changes to the disk of a run without a failure.
std::uint64_t ChangesOfAWholeRun() {
  FullDisk disk(/*refuses_syncs=*/false);
  EXPECT_FALSE(disk.Open());
  EXPECT_FALSE(disk.Fill());
  return disk.files().changes();
}

class FullDiskTest : public ::testing::TestWithParam<bool> {};

TEST_P(FullDiskTest, DiskThatFillsUpAtAnyWriteKeepsWhatWasAcknowledged) {
  constexpr std::uint64_t kTrials = 40;
  std::uint64_t changes = ChangesOfAWholeRun();
  for (std::uint64_t trial = 0; trial < kTrials; ++trial) {
    std::uint64_t accepted = changes * trial / kTrials;
    SCOPED_TRACE(accepted);
    FullDisk disk(/*refuses_syncs=*/GetParam());
    disk.files().RefuseAfter(accepted);
    std::optional<StorageError> failure = disk.Open();
    if (!failure) {
      failure = disk.Fill();
    }
    // Flushes and merges in the background differ between runs: the last trials may not fail.
    if (failure) {
      EXPECT_NE(failure->code, StorageError::Code::kDamaged) << failure->detail;
      EXPECT_NE(failure->detail.find("No space left"), std::string::npos) << failure->detail;
      auto still_full = disk.Open();
      ASSERT_TRUE(still_full);
      EXPECT_EQ(still_full->code, StorageError::Code::kCannotOpen) << still_full->detail;
    }
    disk.files().AcceptAll();
    auto reopened = disk.Open();
    ASSERT_FALSE(reopened) << reopened->detail;
    EXPECT_GE(disk.LastStored(), disk.acknowledged());
    EXPECT_LE(disk.LastStored(), disk.acknowledged() + 1);
  }
}

INSTANTIATE_TEST_SUITE_P(Syncs, FullDiskTest, ::testing::Bool());

}  // namespace
}  // namespace martenyard::storage
