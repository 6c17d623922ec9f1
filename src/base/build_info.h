// Identifies the build of a process, for logs, metrics and peers.
#pragma once

#include <string>

namespace martenyard {

/// @return the commit of the build, or a digest of its sources if built outside a repository, as of
/// the last CMake configuration.
std::string BuildName();

}  // namespace martenyard
