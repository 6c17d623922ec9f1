#include "storage/support/full_disk_files.h"

#include <utility>

namespace martenyard::storage {

using rocksdb::FileOptions;
using rocksdb::FSWritableFile;
using rocksdb::IODebugContext;
using rocksdb::IOOptions;
using rocksdb::IOStatus;

namespace {

IOStatus DiskFull() { return IOStatus::NoSpace("No space left on device"); }

}  // namespace

/// A file on the full disk.
class FullDiskFile : public rocksdb::FSWritableFileOwnerWrapper {
 public:
  FullDiskFile(std::unique_ptr<FSWritableFile>&& file, FullDiskFiles& files)
      : FSWritableFileOwnerWrapper(std::move(file)), files_(files) {}

  IOStatus Append(const rocksdb::Slice& data, const IOOptions& options,
                  IODebugContext* debug) override {
    return files_.Accept() ? target()->Append(data, options, debug) : DiskFull();
  }
  IOStatus Append(const rocksdb::Slice& data, const IOOptions& options,
                  const rocksdb::DataVerificationInfo& /*info*/, IODebugContext* debug) override {
    return Append(data, options, debug);
  }
  IOStatus Sync(const IOOptions& options, IODebugContext* debug) override {
    return files_.AcceptSync() ? target()->Sync(options, debug) : DiskFull();
  }
  IOStatus Fsync(const IOOptions& options, IODebugContext* debug) override {
    return Sync(options, debug);
  }

 private:
  FullDiskFiles& files_;
};

bool FullDiskFiles::Accept() {
  std::lock_guard lock(mutex_);
  return changes_++ < accepted_changes_;
}

bool FullDiskFiles::AcceptSync() const {
  std::lock_guard lock(mutex_);
  return !refuses_syncs_ || changes_ <= accepted_changes_;
}

void FullDiskFiles::RefuseAfter(std::uint64_t count) {
  std::lock_guard lock(mutex_);
  accepted_changes_ = changes_ + count;
}

void FullDiskFiles::AcceptAll() {
  std::lock_guard lock(mutex_);
  accepted_changes_ = std::numeric_limits<std::uint64_t>::max();
}

std::uint64_t FullDiskFiles::changes() const {
  std::lock_guard lock(mutex_);
  return changes_;
}

IOStatus FullDiskFiles::NewWritableFile(const std::string& path, const FileOptions& options,
                                        std::unique_ptr<FSWritableFile>* file,
                                        IODebugContext* debug) {
  if (!Accept()) {
    return DiskFull();
  }
  IOStatus status = target()->NewWritableFile(path, options, file, debug);
  if (status.ok()) {
    *file = std::make_unique<FullDiskFile>(std::move(*file), *this);
  }
  return status;
}

IOStatus FullDiskFiles::ReopenWritableFile(const std::string& path, const FileOptions& options,
                                           std::unique_ptr<FSWritableFile>* file,
                                           IODebugContext* debug) {
  IOStatus status = target()->ReopenWritableFile(path, options, file, debug);
  if (status.ok()) {
    *file = std::make_unique<FullDiskFile>(std::move(*file), *this);
  }
  return status;
}

IOStatus FullDiskFiles::RenameFile(const std::string& from, const std::string& to,
                                   const IOOptions& options, IODebugContext* debug) {
  return Accept() ? target()->RenameFile(from, to, options, debug) : DiskFull();
}

IOStatus FullDiskFiles::NewLogger(const std::string& path, const IOOptions& options,
                                  std::shared_ptr<rocksdb::Logger>* logger, IODebugContext* debug) {
  return FileSystem::NewLogger(path, options, logger, debug);
}

}  // namespace martenyard::storage
