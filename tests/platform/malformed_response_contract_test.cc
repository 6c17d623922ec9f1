// Responses whose head is malformed or cut: the client gets 502, or a stream that is not complete,
// and never the response itself.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "platform/support/kept_client.h"
#include "platform/support/platform_world.h"

namespace martenyard::testing {
namespace {

struct Route {
  const char* name;
  const char* method;
  const char* target;
  bool streams;
};

constexpr Route kRoutes[] = {
    {"Idempotent", "POST", "/safe/1", false},    {"NonIdempotent", "POST", "/unsafe/1", false},
    {"Head", "HEAD", "/safe/1", false},          {"ResumableStream", "POST", "/stream/1", true},
    {"KeptTurn", "POST", "/streamkept/1", true},
};

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kFields = "Attempt-Id: @\r\nServer-Signature: own\r\n";
const std::string kEvent = "id: 1\ndata: event-1\n\n";
const std::string kLength = absl::StrCat("Content-Length: ", kEvent.size(), "\r\n");
const std::string kBody = kLength + "\r\n" + kEvent;
const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";
const std::string kChunk = absl::StrCat(absl::Hex(kEvent.size()), "\r\n", kEvent, "\r\n");

/// Bytes that a runner sends before it closes the connection.
struct BrokenResponse {
  std::string name;
  std::string bytes;  ///< Each `@` stands for the request's id.
};

class MalformedResponseTest : public ::testing::TestWithParam<Route> {
 protected:
  MalformedResponseTest() { world_.Start(); }

  static bool IsHead() { return GetParam().method == absl::string_view("HEAD"); }

  /// Both runners respond alike.
  ClientAnswer Ask(const std::string& bytes) {
    for (emulator::RunnerStandIn* runner : {&world_.a(), &world_.b()}) {
      runner->raw = bytes;
      runner->Script({emulator::RunnerBehavior::kRaw});
    }
    ClientRequest request;
    request.method = GetParam().method;
    request.target = GetParam().target;
    request.id = absl::StrCat("attempt-", ++asked_);
    request.body = request.id;  // A request that is like one before it may be held back.
    request.headers = {"Program-Id: p", "Token-Budget: 100000", "Token-Usage: 10,100"};
    KeptClient client(world_.loop(), {"127.0.0.1", world_.gateway().frontend_port()});
    ClientAnswer answer = client.Ask(request);
    EXPECT_GT(RunsOf(request.id), 0) << "no runner got the request";
    return answer;
  }

  void ExpectRefused(const std::vector<BrokenResponse>& responses) {
    for (const BrokenResponse& response : responses) {
      SCOPED_TRACE(response.name);
      ClientAnswer answer = Ask(response.bytes);
      EXPECT_TRUE(answer.whole);
      EXPECT_EQ(answer.status, 502U);
      EXPECT_EQ(answer.headers.count("server-signature"), 0U);
      EXPECT_EQ(answer.headers.count("x-field"), 0U);
    }
  }

 private:
  int RunsOf(const std::string& id) {
    int runs = 0;
    for (emulator::RunnerStandIn* runner : {&world_.a(), &world_.b()}) {
      runs += !runner->seen().empty() && runner->seen().back().id == id ? 1 : 0;
    }
    return runs;
  }

  PlatformWorld world_;
  int asked_ = 0;
};

// Shows that the responses below are refused for what is wrong in them.
TEST_P(MalformedResponseTest, WellFormedResponseIsPassedOn) {
  for (const std::string& rest : {kBody, kChunked + kChunk + "0\r\n\r\n", "\r\n" + kEvent}) {
    ClientAnswer answer = Ask(kOk + kFields + "X-Field: a b\tc\r\n" + rest);
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.status, 200U);
    EXPECT_EQ(answer.body, IsHead() ? "" : kEvent);
    EXPECT_EQ(answer.headers["server-signature"], "own");
    EXPECT_EQ(answer.headers["x-field"], "a b\tc");
  }
}

// Guards against passing on a response whose status is no three-digit number from 100 on, such as
// 000.
TEST_P(MalformedResponseTest, InvalidStatusLineIsRefused) {
  std::vector<BrokenResponse> responses;
  for (const char* status : {"000", "001", "099", "20", "2000", "2x0", "-20", "+20", " 200", ""}) {
    std::string line = absl::StrCat("HTTP/1.1 ", status, " OK\r\n");
    responses.push_back({line, line + kFields + kBody});
    responses.push_back({line + " interim", line + "\r\n" + kOk + kFields + kBody});
  }
  for (const char* line : {"HTTP/2.0 200 OK\r\n", "HTTP/1.1 200\tOK\r\n", "HTTP/1.1 200 O\x01K\r\n",
                           "HTTP/1.1 200 O\x7fK\r\n", "200 OK\r\n"}) {
    responses.push_back({line, line + kFields + kBody});
  }
  ExpectRefused(responses);
}

/// @return header lines that are none, each with its line end.
std::vector<std::string> InvalidLines() {
  std::vector<std::string> lines = {
      ": a\r\n",
      "X-Field\r\n",
      "X-Field : a\r\n",
      "X-Field\t: a\r\n",
      "Content-Length : 2\r\n",
      "Transfer-Encoding : chunked\r\n",
      "X-Field: a\r\n b\r\n",
      "X-Field: a\r\n\tb\r\n",
      "X-Field:\r\n \r\n",
      " X-Field: a\r\n",
      "\tX-Field: a\r\n",
      "X-Field: a\r\n Content-Length: 2\r\n",
      "X-Field: a\r\n\tTransfer-Encoding: chunked\r\n",
  };
  for (char byte : {' ', '\t', '\x01', '\0', '\x7f', '\xe9', '\r', '\n', '(', '"'}) {
    lines.push_back(absl::StrCat("X-Fi", std::string(1, byte), "eld: a\r\n"));
  }
  for (char byte : {'\x01', '\0', '\x7f', '\r', '\n', '\v', '\f'}) {
    lines.push_back(absl::StrCat("X-Field: a", std::string(1, byte), "b\r\n"));
    lines.push_back(absl::StrCat("X-Field: a", std::string(1, byte), "\r\n"));
  }
  return lines;
}

// Guards against passing on a response with a malformed line in its head, or with a body that this
// line has changed.
TEST_P(MalformedResponseTest, InvalidHeaderLineIsRefused) {
  std::vector<BrokenResponse> responses;
  for (const std::string& line : InvalidLines()) {
    responses.push_back({"first " + line, kOk + line + kFields + kBody});
    responses.push_back({"amid " + line, kOk + kFields + line + kBody});
    responses.push_back({"without a length " + line, kOk + kFields + line + "\r\n" + kEvent});
    responses.push_back({"interim " + line, "HTTP/1.1 103 Early Hints\r\nLink: a\r\n" + line +
                                                "\r\n" + kOk + kFields + kBody});
  }
  ExpectRefused(responses);
}

// Guards against passing on a field of a trailer section, or a body that it has changed.
TEST_P(MalformedResponseTest, InvalidTrailerLineChangesNothing) {
  for (const std::string& line : InvalidLines()) {
    SCOPED_TRACE(line);
    const std::string section = "X-First: a\r\n" + line;
    ClientAnswer answer = Ask(kOk + kFields + kChunked + kChunk + "0\r\n" + section + "\r\n");
    bool folded = absl::StrContains(section, "\r\n ") || absl::StrContains(section, "\r\n\t");
    if (IsHead() || folded) {
      EXPECT_TRUE(answer.whole);
      EXPECT_EQ(answer.status, 200U);
      EXPECT_EQ(answer.body, IsHead() ? "" : kEvent);
    } else {
      EXPECT_FALSE(answer.whole && answer.status == 200);
    }
    EXPECT_EQ(answer.headers.count("x-first"), 0U);
    EXPECT_EQ(answer.headers.count("x-field"), 0U);
  }
}

// Guards against passing on a response whose runner closed within the head.
TEST_P(MalformedResponseTest, ResponseCutWithinTheHeadIsRefused) {
  const std::string head = kOk + kFields + kLength + "\r\n";
  std::vector<BrokenResponse> responses;
  const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
  for (std::size_t size = 0; size < head.size(); ++size) {
    responses.push_back({absl::StrCat("after ", size, " bytes"), head.substr(0, size)});
  }
  responses.push_back({"after an interim response", interim});
  responses.push_back({"within an interim response", interim.substr(0, interim.size() - 2)});
  responses.push_back({"within the second head", interim + head.substr(0, head.size() - 2)});
  responses.push_back({"within a 204", "HTTP/1.1 204 No Content\r\n" + kFields});
  responses.push_back({"within a 304", "HTTP/1.1 304 Not Modified\r\n" + kFields + "\r"});
  ExpectRefused(responses);
}

// Guards against passing on a chunked response whose runner closed before its end.
TEST_P(MalformedResponseTest, ResponseCutWithinTheLastChunkIsNotComplete) {
  const std::string ending = "\r\n0\r\nX-Trailer: a\r\n\r\n";
  const std::string begin = kOk + kFields + kChunked + kChunk.substr(0, kChunk.size() - 2);
  for (std::size_t size = 0; size < ending.size(); ++size) {
    SCOPED_TRACE(size);
    ClientAnswer answer = Ask(begin + ending.substr(0, size));
    // The response to HEAD ends with its head.
    EXPECT_EQ(answer.whole && answer.status == 200, IsHead());
  }
}

INSTANTIATE_TEST_SUITE_P(Routes, MalformedResponseTest, ::testing::ValuesIn(kRoutes),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace martenyard::testing
