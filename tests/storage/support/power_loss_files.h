// File system that simulates power failures on real files: each unsynced write may be kept, lost or
// torn. Creations, renames and deletions of files are always durable.
#pragma once

#include <rocksdb/file_system.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/random.h"

namespace martenyard::storage {

class PowerLossFiles : public rocksdb::FileSystemWrapper {
 public:
  PowerLossFiles() : rocksdb::FileSystemWrapper(rocksdb::FileSystem::Default()) {}
  const char* Name() const override { return "PowerLossFiles"; }

  /// Simulates a kill at the next sync: it and all later operations fail without effect.
  void KillAtNextSync();
  /// Simulates a restart of the process; the files are unchanged.
  void Restart();
  /// Tears unsynced writes at random.
  void LosePower(std::uint64_t seed);
  /// Drops all unsynced writes.
  void LoseAllUnsynced();

  rocksdb::IOStatus NewWritableFile(const std::string& path, const rocksdb::FileOptions& options,
                                    std::unique_ptr<rocksdb::FSWritableFile>* file,
                                    rocksdb::IODebugContext* debug) override;
  rocksdb::IOStatus ReopenWritableFile(const std::string& path, const rocksdb::FileOptions& options,
                                       std::unique_ptr<rocksdb::FSWritableFile>* file,
                                       rocksdb::IODebugContext* debug) override;
  rocksdb::IOStatus RenameFile(const std::string& from, const std::string& to,
                               const rocksdb::IOOptions& options,
                               rocksdb::IODebugContext* debug) override;
  rocksdb::IOStatus DeleteFile(const std::string& path, const rocksdb::IOOptions& options,
                               rocksdb::IODebugContext* debug) override;

 private:
  friend class PowerLossFile;

  struct WriteRange {
    std::uint64_t offset = 0;
    std::uint64_t size = 0;
  };
  /// Writes since the last sync, in order.
  using Unsynced = std::vector<WriteRange>;

  bool RecordAppend(const std::string& path, std::uint64_t offset, std::uint64_t size);
  bool RecordSync(const std::string& path);
  static void Tear(const std::string& path, const Unsynced& writes, Random& random);

  std::mutex mutex_;  // RocksDB flushes on its own threads.
  std::map<std::string, Unsynced> unsynced_;
  bool kill_at_next_sync_ = false;
  bool killed_ = false;
};

}  // namespace martenyard::storage
