#include "storage/small_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "absl/strings/str_cat.h"

namespace martenyard::storage {
namespace {

/// Syncs directory entries: without it a rename may be undone by a power failure.
/// @return an error message; empty on success.
std::string SyncFolder(const std::string& folder) {
  int file = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (file < 0) {
    return absl::StrCat("cannot open directory ", folder, ": ", std::strerror(errno));
  }
  bool synced = fsync(file) == 0;
  int failure = errno;
  close(file);
  return synced ? "" : absl::StrCat("cannot sync directory ", folder, ": ", std::strerror(failure));
}

std::string FolderOf(const std::string& path) {
  std::string folder = std::filesystem::path(path).parent_path().string();
  return folder.empty() ? "." : folder;
}

}  // namespace

std::string ReplaceFile(const std::string& path, const std::string& bytes) {
  std::string fresh = path + ".new";
  int file = open(fresh.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0644);
  if (file < 0) {
    return absl::StrCat("cannot create ", fresh, ": ", std::strerror(errno));
  }
  ssize_t count = write(file, bytes.data(), bytes.size());
  bool written = count == static_cast<ssize_t>(bytes.size()) && fdatasync(file) == 0;
  int failure = errno;
  close(file);
  if (!written) {
    return absl::StrCat("cannot write ", fresh, ": ", std::strerror(failure));
  }
  std::error_code error;
  std::filesystem::rename(fresh, path, error);
  if (error) {
    return absl::StrCat("cannot replace ", path, ": ", error.message());
  }
  return SyncFolder(FolderOf(path));
}

std::optional<std::string> ReadSmallFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  std::stringstream bytes;
  bytes << file.rdbuf();
  return bytes.str();
}

std::string CreateDirectories(const std::string& path) {
  std::error_code error;
  bool created = std::filesystem::create_directories(path, error);
  if (error) {
    return absl::StrCat("cannot create directory ", path, ": ", error.message());
  }
  return created ? SyncFolder(FolderOf(path)) : "";
}

}  // namespace martenyard::storage
