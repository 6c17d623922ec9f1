// Guards against a parser whose memory grows with an event that has no end.
#include "clients/sse.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "clients/model_stream.h"

namespace martenyard::clients {
namespace {

constexpr std::size_t kMaxBytes = 1000;

struct Parsed {
  std::vector<std::string> data;
  bool too_large = false;
};

/// Feeds `text` in pieces of `piece` bytes.
Parsed Parse(const std::string& text, std::size_t piece) {
  Parsed parsed;
  SseParser parser(
      [&parsed](const std::string&, const std::string& data) { parsed.data.push_back(data); },
      kMaxBytes);
  for (std::size_t start = 0; start < text.size(); start += piece) {
    parser.Feed(std::string_view(text).substr(start, piece));
  }
  parsed.too_large = parser.too_large();
  return parsed;
}

std::string Repeated(const std::string& line, std::size_t bytes) {
  std::string lines;
  while (lines.size() < bytes) {
    lines += line;
  }
  return lines;
}

TEST(SseEventLimitTest, EventBeyondTheLimitEndsTheParsing) {
  struct Case {
    const char* name;
    std::string text;
  };
  const std::string value(kMaxBytes + 1, 'v');
  for (const Case& test :
       {Case{"LineWithoutEnd", value}, Case{"CommentWithoutEnd", ":" + value},
        Case{"EventName", "event: " + value + "\n"}, Case{"DataLine", "data: " + value + "\n\n"},
        Case{"DataLines", Repeated("data: d\n", 9 * kMaxBytes)},
        Case{"DataAndName", "event: " + value.substr(0, kMaxBytes / 2) +
                                "\ndata: " + value.substr(0, kMaxBytes / 2) + "\n\n"}}) {
    for (std::size_t piece : {std::size_t{1}, std::size_t{7}, test.text.size()}) {
      SCOPED_TRACE(test.name);
      Parsed parsed = Parse("data: a\n\n" + test.text + "\n\ndata: b\n\n", piece);
      EXPECT_TRUE(parsed.too_large);
      EXPECT_EQ(parsed.data, std::vector<std::string>{"a"});
    }
  }
}

TEST(SseEventLimitTest, LimitAppliesToEachEvent) {
  const std::string value(kMaxBytes - 100, 'v');
  const std::string event = "event: e\r\ndata: " + value + "\r\n\r\n: comment\n";
  for (std::size_t piece : {std::size_t{1}, std::size_t{7}, 5 * event.size()}) {
    Parsed parsed = Parse(Repeated(event, 5 * event.size()), piece);
    EXPECT_FALSE(parsed.too_large);
    EXPECT_EQ(parsed.data, std::vector<std::string>(5, value));
  }
}

/// Guards against a stream that has failed and still counts as finished.
TEST(ModelStreamLimitTest, EventBeyondTheLimitIsAFailure) {
  const std::string endless = "data: " + std::string(kMaxSseEventBytes, 'v');
  ModelStream stream("", [](const std::string&) {});
  stream.Feed(endless);
  EXPECT_NE(stream.failure(), "");
  stream.Feed("\n\ndata: [DONE]\n\n");
  EXPECT_FALSE(stream.finished());
  ModelStream ended("", [](const std::string&) {});
  ended.Feed("data: [DONE]\n\n");
  ended.Feed(endless);
  EXPECT_TRUE(ended.finished());
}

}  // namespace
}  // namespace martenyard::clients
