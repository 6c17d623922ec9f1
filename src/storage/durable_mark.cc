#include "storage/durable_mark.h"

#include <rocksdb/file_system.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

#include "absl/strings/match.h"
#include "base/big_endian.h"
#include "base/hash.h"

namespace martenyard::storage {
namespace {

/// Random, so that log entries do not contain it; false matches fail the checksum.
constexpr char kMagic[] = "\xd5\x1c\x9e\x07\xb3\x62\xf8\x4a";
constexpr std::size_t kMagicBytes = sizeof(kMagic) - 1;
constexpr std::size_t kNumberBytes = 8;
/// Exists once every write carries a mark. Absent in directories of earlier builds.
constexpr char kMarkedFile[] = "/DURABLE_MARKS";
constexpr std::size_t kMarkBytes = kMagicBytes + 2 * kNumberBytes;

/// @return the paths of the write-ahead logs; none if the directory cannot be listed.
std::vector<std::string> WriteAheadLogs(rocksdb::Env& files, const std::string& folder) {
  std::vector<std::string> names;
  std::vector<std::string> logs;
  if (!files.GetChildren(folder, &names).ok()) {
    return logs;  // Does not exist yet; other errors are reported when it is opened.
  }
  for (const std::string& name : names) {
    if (absl::EndsWith(name, ".log")) {
      logs.push_back(folder + "/" + name);
    }
  }
  return logs;
}

std::optional<std::uint64_t> DecodeDurableMark(const std::string& mark) {
  if (mark.size() < kMarkBytes) {
    return std::nullopt;
  }
  std::string number = mark.substr(kMagicBytes, kNumberBytes);
  std::string checksum = BigEndian(StableHash(number), kNumberBytes);
  bool valid = mark.compare(kMagicBytes + kNumberBytes, kNumberBytes, checksum) == 0;
  return valid ? std::make_optional(FromBigEndian(number)) : std::nullopt;
}

rocksdb::Status SyncFolder(rocksdb::Env& files, const std::string& folder) {
  std::unique_ptr<rocksdb::FSDirectory> directory;
  rocksdb::IOStatus status =
      files.GetFileSystem()->NewDirectory(folder, rocksdb::IOOptions(), &directory, nullptr);
  return status.ok() ? directory->Fsync(rocksdb::IOOptions(), nullptr) : status;
}

}  // namespace

std::string EncodeDurableMark(std::uint64_t durable) {
  std::string number = BigEndian(durable, kNumberBytes);
  return std::string(kMagic, kMagicBytes) + number + BigEndian(StableHash(number), kNumberBytes);
}

std::uint64_t LastDurableMark(rocksdb::Env& files, const std::string& folder) {
  const std::string magic(kMagic, kMagicBytes);
  std::uint64_t last = 0;
  for (const std::string& path : WriteAheadLogs(files, folder)) {
    std::string text;
    if (!rocksdb::ReadFileToString(&files, path, &text).ok()) {
      continue;  // Reported when the store is opened.
    }
    for (std::size_t at = text.find(magic); at != std::string::npos;
         at = text.find(magic, at + 1)) {
      std::string mark = text.substr(at, kMarkBytes);
      // A mark split by a block boundary is skipped: the next one is at least as high.
      if (std::optional<std::uint64_t> durable = DecodeDurableMark(mark)) {
        last = std::max(last, *durable);
      }
    }
  }
  return last;
}

bool MarksAreWritten(rocksdb::Env& files, const std::string& folder) {
  return files.FileExists(folder + kMarkedFile).ok();
}

rocksdb::Status RecordMarksAreWritten(rocksdb::Env& files, const std::string& folder) {
  rocksdb::Status status =
      rocksdb::WriteStringToFile(&files, "1\n", folder + kMarkedFile, /*should_sync=*/true);
  return status.ok() ? SyncFolder(files, folder) : status;
}

rocksdb::Status SyncWriteAheadLogs(rocksdb::Env& files, const std::string& folder) {
  const std::shared_ptr<rocksdb::FileSystem>& system = files.GetFileSystem();
  std::vector<std::string> logs = WriteAheadLogs(files, folder);
  for (const std::string& path : logs) {
    std::unique_ptr<rocksdb::FSWritableFile> file;
    rocksdb::IOStatus status =
        system->ReopenWritableFile(path, rocksdb::FileOptions(), &file, nullptr);
    if (status.ok()) {
      status = file->Sync(rocksdb::IOOptions(), nullptr);
    }
    if (!status.ok()) {
      return status;
    }
  }
  return logs.empty() ? rocksdb::Status::OK() : SyncFolder(files, folder);
}

}  // namespace martenyard::storage
