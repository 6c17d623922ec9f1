// Small files that are replaced whole, for what must outlive a process and a loss of power.
#pragma once

#include <optional>
#include <string>

namespace martenyard::storage {

/// Replaces a file so that it is whole after any loss of power: the old one or the new, and the new
/// one once this has returned.
/// @return what failed, or nothing.
std::string ReplaceFile(const std::string& path, const std::string& bytes);

/// @return the file's bytes, or nothing if it can't be read.
std::optional<std::string> ReadSmallFile(const std::string& path);

/// Makes the folder, if it is missing, so that it is there after a loss of power.
/// @return what failed, or nothing.
std::string CreateDirectories(const std::string& path);

}  // namespace martenyard::storage
