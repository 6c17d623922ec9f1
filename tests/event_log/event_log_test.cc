#include "event_log/event_log.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>

namespace martenyard::event_log {
namespace {

class Pipe {
 public:
  Pipe() {
    EXPECT_EQ(pipe(ends_.data()), 0);
    fcntl(ends_[0], F_SETFL, O_NONBLOCK);
  }
  ~Pipe() {
    close(ends_[0]);
    close(ends_[1]);
  }
  int writer() const { return ends_[1]; }
  std::string ReadAll() {
    std::string text;
    std::array<char, 65536> buffer{};
    ssize_t count = 0;
    while ((count = read(ends_[0], buffer.data(), buffer.size())) > 0) {
      text.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return text;
  }

 private:
  std::array<int, 2> ends_{};
};

TEST(EventLogTest, EachLineIsOneJsonObjectForAnyText) {
  Pipe pipe;
  EventLog log(pipe.writer(), "node-1");
  log.Write(Line("tested").Text("t", "quote\" back\\ line\n \xff").Number("n", -3).Flag("f", true));
  log.Write(Line("tested").Real("r", 1.5));
  log.Flush();
  std::istringstream lines(pipe.ReadAll());
  std::string line;
  int count = 0;
  while (std::getline(lines, line)) {
    auto object = nlohmann::json::parse(line);
    EXPECT_EQ(object["event"], "tested");
    EXPECT_EQ(object["node"], "node-1");
    EXPECT_EQ(object["sequence"], ++count);
  }
  EXPECT_EQ(count, 2);
}

TEST(EventLogTest, StoppedReaderNeverBlocksAndDropsAreReportedLater) {
  Pipe pipe;
  EventLog log(pipe.writer(), "node-1", /*buffer_bytes=*/16384);
  for (int number = 0; number < 20000; ++number) {
    log.Write(Line("tested").Number("number", number));
    log.Flush();  // Must not block while the reader is stopped.
  }
  EXPECT_GT(log.stats().dropped_lines, 0U);
  std::string text;
  for (int turn = 0; turn < 40; ++turn) {
    text += pipe.ReadAll();
    log.Flush();
  }
  text += pipe.ReadAll();
  EXPECT_NE(text.find("\"event\":\"log_dropped\""), std::string::npos);
  EXPECT_EQ(text.back(), '\n') << "only complete lines are written";
}

}  // namespace
}  // namespace martenyard::event_log
