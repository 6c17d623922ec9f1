// Programs of earlier builds, which scripts/build_earlier.sh makes from the repository's history.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace martenyard::testing {

/// A build whose program runs beside the present one.
struct Build {
  std::string name;     ///< Of its layout, or "present".
  std::string program;  ///< The path of its martenyard-node.
};

/// @return the present build.
Build PresentBuild();
/// @return the builds that tests/layouts/builds.txt lists; none where their programs were not
/// built.
std::vector<Build> EarlierBuilds();

}  // namespace martenyard::testing
