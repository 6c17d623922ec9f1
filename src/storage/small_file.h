// Atomic, durable replacement of small files.
#pragma once

#include <optional>
#include <string>

namespace martenyard::storage {

/// Replaces a file atomically: after a power failure it has either the old or the new contents, and
/// the new ones once this function has returned.
/// @return an error message; empty on success.
std::string ReplaceFile(const std::string& path, const std::string& bytes);

/// @return the file's contents, or nothing if it cannot be read.
std::optional<std::string> ReadSmallFile(const std::string& path);

/// Creates the directory and its parents if missing, and syncs the parent directory.
/// @return an error message; empty on success.
std::string CreateDirectories(const std::string& path);

}  // namespace martenyard::storage
