// File system that refuses all writes from a given one on, as a full disk does.
#pragma once

#include <rocksdb/file_system.h>

#include <cstdint>
#include <limits>
#include <memory>
#include <mutex>
#include <string>

namespace martenyard::storage {

class FullDiskFiles : public rocksdb::FileSystemWrapper {
 public:
  /// @param refuses_syncs whether syncs fail too once the disk is full.
  explicit FullDiskFiles(bool refuses_syncs)
      : rocksdb::FileSystemWrapper(rocksdb::FileSystem::Default()), refuses_syncs_(refuses_syncs) {}
  const char* Name() const override { return "FullDiskFiles"; }

  /// Refuses the change after the next `count` ones, and all later ones.
  void RefuseAfter(std::uint64_t count);
  void Refuse() { RefuseAfter(0); }
  void AcceptAll();
  /// @return changes so far, refused ones included.
  std::uint64_t changes() const;

  rocksdb::IOStatus NewWritableFile(const std::string& path, const rocksdb::FileOptions& options,
                                    std::unique_ptr<rocksdb::FSWritableFile>* file,
                                    rocksdb::IODebugContext* debug) override;
  rocksdb::IOStatus ReopenWritableFile(const std::string& path, const rocksdb::FileOptions& options,
                                       std::unique_ptr<rocksdb::FSWritableFile>* file,
                                       rocksdb::IODebugContext* debug) override;
  rocksdb::IOStatus RenameFile(const std::string& from, const std::string& to,
                               const rocksdb::IOOptions& options,
                               rocksdb::IODebugContext* debug) override;
  /// Writes the log of RocksDB itself to this file system too.
  rocksdb::IOStatus NewLogger(const std::string& path, const rocksdb::IOOptions& options,
                              std::shared_ptr<rocksdb::Logger>* logger,
                              rocksdb::IODebugContext* debug) override;

 private:
  friend class FullDiskFile;
  /// Counts a change. @return whether it is accepted.
  bool Accept();
  bool AcceptSync() const;

  mutable std::mutex mutex_;  // RocksDB flushes on its own threads.
  const bool refuses_syncs_;
  std::uint64_t changes_ = 0;
  std::uint64_t accepted_changes_ = std::numeric_limits<std::uint64_t>::max();
};

}  // namespace martenyard::storage
