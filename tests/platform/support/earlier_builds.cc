#include "platform/support/earlier_builds.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "bench/local_system.h"

namespace martenyard::testing {

Build PresentBuild() { return {"present", bench::ProgramPath("martenyard-node")}; }

std::vector<Build> EarlierBuilds() {
  std::vector<Build> builds;
  std::ifstream list(MARTENYARD_SOURCES "/tests/layouts/builds.txt");
  for (std::string line; std::getline(list, line);) {
    std::istringstream words(line);
    std::string name;
    std::string commit;
    if (line.starts_with("#") || !(words >> name >> commit)) {
      continue;
    }
    std::string program =
        absl::StrCat(MARTENYARD_SOURCES "/build/earlier/", commit, "/martenyard-node");
    if (std::filesystem::exists(program)) {
      builds.push_back({name, program});
    }
  }
  return builds;
}

}  // namespace martenyard::testing
