// docs/LOGS.md must list exactly the events that the code writes.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

namespace martenyard::event_log {
namespace {

std::string ReadWhole(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::set<std::string> Matches(const std::string& text, const std::regex& pattern) {
  std::set<std::string> found;
  for (std::sregex_iterator match(text.begin(), text.end(), pattern), end; match != end; ++match) {
    found.insert((*match)[1]);
  }
  return found;
}

TEST(LogsPageTest, NamesExactlyTheEventsThatTheCodeWrites) {
  std::filesystem::path root = MARTENYARD_SOURCES;
  std::set<std::string> written;
  for (const char* folder : {"src", "platform"}) {
    for (const auto& entry : std::filesystem::recursive_directory_iterator(root / folder)) {
      if (entry.path().extension() != ".cc") {
        continue;
      }
      std::string text = ReadWhole(entry.path());
      written.merge(Matches(text, std::regex(R"re(Line(?:\s+line)?\(\s*"([a-z_]+)")re")));
      written.merge(Matches(text, std::regex(R"re(Line\([a-z]+ \? "([a-z_]+)")re")));
      written.merge(Matches(text, std::regex(R"re(Line\([a-z]+ \? "[a-z_]+" : "([a-z_]+)")re")));
    }
  }
  std::set<std::string> documented =
      Matches(ReadWhole(root / "docs/LOGS.md"), std::regex(R"re(\n\| `([a-z_]+)` \|)re"));
  EXPECT_EQ(documented, written);
}

}  // namespace
}  // namespace martenyard::event_log
