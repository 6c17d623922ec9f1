// Which build a process is, for logs, metrics and its peers.
#pragma once

#include <string>

namespace martenyard {

/// @return the commit that the build was made from; where there was no repository, a digest of its
/// sources. Both are those of the last configuration of the build folder.
std::string BuildName();

}  // namespace martenyard
