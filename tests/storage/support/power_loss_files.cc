#include "storage/support/power_loss_files.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <utility>

namespace martenyard::storage {

using rocksdb::FileOptions;
using rocksdb::FSWritableFile;
using rocksdb::IODebugContext;
using rocksdb::IOOptions;
using rocksdb::IOStatus;

namespace {

IOStatus ProcessKilledError() { return IOStatus::IOError("the process was killed"); }

void Zero(const std::string& path, std::uint64_t from, std::uint64_t to) {
  std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
  file.seekp(static_cast<std::streamoff>(from));
  std::string zeros(to - from, '\0');
  file.write(zeros.data(), static_cast<std::streamsize>(zeros.size()));
}

}  // namespace

/// A file that reports its writes and syncs to `PowerLossFiles`.
class PowerLossFile : public rocksdb::FSWritableFileOwnerWrapper {
 public:
  PowerLossFile(std::unique_ptr<FSWritableFile>&& file, PowerLossFiles& files, std::string path)
      : FSWritableFileOwnerWrapper(std::move(file)), files_(files), path_(std::move(path)) {}

  IOStatus Append(const rocksdb::Slice& data, const IOOptions& options,
                  IODebugContext* debug) override {
    std::uint64_t offset = target()->GetFileSize(options, debug);
    return files_.RecordAppend(path_, offset, data.size()) ? target()->Append(data, options, debug)
                                                           : ProcessKilledError();
  }
  IOStatus Append(const rocksdb::Slice& data, const IOOptions& options,
                  const rocksdb::DataVerificationInfo& /*info*/, IODebugContext* debug) override {
    return Append(data, options, debug);
  }
  IOStatus Sync(const IOOptions& options, IODebugContext* debug) override {
    return files_.RecordSync(path_) ? target()->Sync(options, debug) : ProcessKilledError();
  }
  IOStatus Fsync(const IOOptions& options, IODebugContext* debug) override {
    return Sync(options, debug);
  }

 private:
  PowerLossFiles& files_;
  std::string path_;
};

bool PowerLossFiles::RecordAppend(const std::string& path, std::uint64_t offset,
                                  std::uint64_t size) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (!killed_) {
    unsynced_[path].push_back({offset, size});
  }
  return !killed_;
}

bool PowerLossFiles::RecordSync(const std::string& path) {
  std::lock_guard<std::mutex> lock(mutex_);
  killed_ = killed_ || kill_at_next_sync_;
  if (!killed_) {
    unsynced_.erase(path);
  }
  return !killed_;
}

void PowerLossFiles::KillAtNextSync() {
  std::lock_guard<std::mutex> lock(mutex_);
  kill_at_next_sync_ = true;
}

void PowerLossFiles::Restart() {
  std::lock_guard<std::mutex> lock(mutex_);
  kill_at_next_sync_ = false;
  killed_ = false;
}

void PowerLossFiles::Tear(const std::string& path, const Unsynced& writes, Random& random) {
  std::uint64_t end = writes.front().offset;  // New end of the file.
  for (const WriteRange& write : writes) {
    std::uint64_t write_end = write.offset + write.size;
    std::uint64_t kind = random.Below(3);
    if (kind == 0) {  // Lost: a hole if a later write is kept.
      Zero(path, write.offset, write_end);
      continue;
    }
    std::uint64_t torn_at = write.offset + random.Below(write.size + 1);
    bool truncated = random.Below(2) == 0;
    if (kind == 1) {
      Zero(path, torn_at, write_end);
    }
    end = kind == 1 && truncated ? torn_at : write_end;
  }
  std::filesystem::resize_file(path, end);
}

void PowerLossFiles::LosePower(std::uint64_t seed) {
  std::lock_guard<std::mutex> lock(mutex_);
  Random random(seed);
  for (const auto& [path, writes] : unsynced_) {
    if (!writes.empty() && std::filesystem::exists(path)) {
      Tear(path, writes, random);
    }
  }
  unsynced_.clear();
}

void PowerLossFiles::LoseAllUnsynced() {
  std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& [path, writes] : unsynced_) {
    if (!writes.empty() && std::filesystem::exists(path)) {
      std::filesystem::resize_file(path, writes.front().offset);
    }
  }
  unsynced_.clear();
}

IOStatus PowerLossFiles::NewWritableFile(const std::string& path, const FileOptions& options,
                                         std::unique_ptr<FSWritableFile>* file,
                                         IODebugContext* debug) {
  IOStatus status = target()->NewWritableFile(path, options, file, debug);
  if (status.ok()) {
    std::lock_guard<std::mutex> lock(mutex_);
    unsynced_.erase(path);
    *file = std::make_unique<PowerLossFile>(std::move(*file), *this, path);
  }
  return status;
}

IOStatus PowerLossFiles::ReopenWritableFile(const std::string& path, const FileOptions& options,
                                            std::unique_ptr<FSWritableFile>* file,
                                            IODebugContext* debug) {
  IOStatus status = target()->ReopenWritableFile(path, options, file, debug);
  if (status.ok()) {
    *file = std::make_unique<PowerLossFile>(std::move(*file), *this, path);
  }
  return status;
}

IOStatus PowerLossFiles::RenameFile(const std::string& from, const std::string& to,
                                    const IOOptions& options, IODebugContext* debug) {
  IOStatus status = target()->RenameFile(from, to, options, debug);
  if (status.ok()) {
    std::lock_guard<std::mutex> lock(mutex_);
    unsynced_[to] = std::move(unsynced_[from]);
    unsynced_.erase(from);
  }
  return status;
}

IOStatus PowerLossFiles::DeleteFile(const std::string& path, const IOOptions& options,
                                    IODebugContext* debug) {
  std::lock_guard<std::mutex> lock(mutex_);
  unsynced_.erase(path);
  return target()->DeleteFile(path, options, debug);
}

}  // namespace martenyard::storage
