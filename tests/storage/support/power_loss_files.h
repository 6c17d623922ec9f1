// Files as a machine has them that may lose its power: what was written and not synced may be
// there, missing or torn afterwards, each write by itself. Below it are real files.
//
// Names are not covered: a file that was created, renamed or removed keeps that.
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

  /// The next sync, and all that follows it, fails and has no effect: the process is killed there.
  void DieAtNextSync();
  /// The process has been started again: the files are as it had written them.
  void StartAgain();
  /// Tears what was not synced, as the seed says.
  void LosePower(std::uint64_t seed);
  /// All that was not synced is gone.
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

  struct Piece {
    std::uint64_t offset = 0;
    std::uint64_t size = 0;
  };
  /// What was written since the last sync, in order.
  using Unsynced = std::vector<Piece>;

  bool Appended(const std::string& path, std::uint64_t offset, std::uint64_t size);
  bool Synced(const std::string& path);
  static void Tear(const std::string& path, const Unsynced& pieces, Random& random);

  std::mutex mutex_;  // RocksDB flushes on threads of its own.
  std::map<std::string, Unsynced> unsynced_;
  bool dies_ = false;
  bool dead_ = false;
};

}  // namespace martenyard::storage
