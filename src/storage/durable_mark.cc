#include "storage/durable_mark.h"

#include <rocksdb/file_system.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "absl/strings/match.h"
#include "base/hash.h"

namespace martenyard::storage {
namespace {

/// No text of the log's entries has it but by chance: one in 2^64, and the checksum is another.
constexpr char kMagic[] = "\xd5\x1c\x9e\x07\xb3\x62\xf8\x4a";
constexpr std::size_t kMagicBytes = sizeof(kMagic) - 1;
constexpr std::size_t kNumberBytes = 8;
/// A file that is there once every write carries a mark. Folders of earlier versions lack it.
constexpr char kMarkedFile[] = "/DURABLE_MARKS";
constexpr std::size_t kMarkBytes = kMagicBytes + 2 * kNumberBytes;

std::string NumberText(std::uint64_t value) {
  std::string text;
  for (int shift = 56; shift >= 0; shift -= 8) {
    text.push_back(static_cast<char>((value >> static_cast<unsigned>(shift)) & 0xFFU));
  }
  return text;
}

std::uint64_t ReadNumber(const std::string& text, std::size_t at) {
  std::uint64_t value = 0;
  for (std::size_t index = at; index < at + kNumberBytes; ++index) {
    value = (value << 8U) | static_cast<unsigned char>(text[index]);
  }
  return value;
}

/// @return the paths of the write-ahead logs; none if the folder can't be listed.
std::vector<std::string> WriteAheadLogs(rocksdb::Env& files, const std::string& folder) {
  std::vector<std::string> names;
  std::vector<std::string> logs;
  if (!files.GetChildren(folder, &names).ok()) {
    return logs;  // It doesn't exist yet; opening it tells anything else.
  }
  for (const std::string& name : names) {
    if (absl::EndsWith(name, ".log")) {
      logs.push_back(folder + "/" + name);
    }
  }
  return logs;
}

rocksdb::Status SyncFolder(rocksdb::Env& files, const std::string& folder) {
  std::unique_ptr<rocksdb::FSDirectory> directory;
  rocksdb::IOStatus status =
      files.GetFileSystem()->NewDirectory(folder, rocksdb::IOOptions(), &directory, nullptr);
  return status.ok() ? directory->Fsync(rocksdb::IOOptions(), nullptr) : status;
}

}  // namespace

std::string WriteDurableMark(std::uint64_t durable) {
  std::string number = NumberText(durable);
  return std::string(kMagic, kMagicBytes) + number + NumberText(StableHash(number));
}

std::optional<std::uint64_t> LastDurableMark(rocksdb::Env& files, const std::string& folder) {
  const std::string magic(kMagic, kMagicBytes);
  if (!files.FileExists(folder + kMarkedFile).ok()) {
    return std::nullopt;
  }
  std::uint64_t last = 0;
  for (const std::string& path : WriteAheadLogs(files, folder)) {
    std::string text;
    if (!rocksdb::ReadFileToString(&files, path, &text).ok()) {
      continue;  // Opening the store reads it, too, and tells.
    }
    for (std::size_t at = text.find(magic); at != std::string::npos;
         at = text.find(magic, at + 1)) {
      bool whole = text.size() - at >= kMarkBytes;
      std::string number = text.substr(at + kMagicBytes, kNumberBytes);
      // One that the log's blocks cut in two is passed over: the next one says as much and more.
      if (whole && ReadNumber(text, at + kMagicBytes + kNumberBytes) == StableHash(number)) {
        last = std::max(last, ReadNumber(text, at + kMagicBytes));
      }
    }
  }
  return last;
}

rocksdb::Status NoteMarksAreWritten(rocksdb::Env& files, const std::string& folder) {
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
