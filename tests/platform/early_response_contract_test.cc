// Responses that end while their request's body is still being sent: the client gets a response as
// complete only if the runner ended it in order.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "platform/support/platform_world.h"

namespace martenyard::testing {
namespace {

using emulator::EarlyEnd;
using emulator::RunnerBehavior;

constexpr std::size_t kUploadBytes = std::size_t{3} << 20;
/// So that most of the upload is still to be sent when the response ends.
constexpr int kReceiveBufferBytes = 4096;

/// From the runner's last byte to the end of the connection.
constexpr absl::Duration kPause = absl::Milliseconds(300);

constexpr char kEvents[] =
    "id: 1\ndata: event-1\n\nid: 2\ndata: event-2\n\nid: 3\ndata: event-3\n\n"
    "id: 4\ndata: event-4\n\n";

struct Route {
  const char* name;
  const char* target;
  bool streams;
};

constexpr Route kRoutes[] = {
    {"Idempotent", "/safe/1", false},
    {"NonIdempotent", "/unsafe/1", false},
    {"ResumableStream", "/stream/1", true},
    {"KeptTurn", "/streamkept/1", true},
};

class EarlyResponseTest : public ::testing::TestWithParam<Route> {
 protected:
  static std::string Body() { return GetParam().streams ? kEvents : "part1"; }

  /// @param head without the fields that every response has.
  static std::string Response(const std::string& head, const std::string& body = Body()) {
    return absl::StrCat(head, "Attempt-Id: @\r\nServer-Signature: own\r\n",
                        GetParam().streams ? "Content-Type: text/event-stream\r\n" : "", "\r\n",
                        body);
  }

  /// Uploads to runners that respond alike.
  static ClientAnswer Upload(const std::string& response, const EarlyEnd& end) {
    PlatformWorld world;
    world.Start();
    for (emulator::RunnerStandIn* runner : {&world.a(), &world.b()}) {
      runner->LimitReceiveBuffer(kReceiveBufferBytes);
      runner->raw = response;
      runner->early_end = end;
      runner->Script({RunnerBehavior::kRawEarly});
    }
    ClientRequest request;
    request.target = GetParam().target;
    request.body = std::string(kUploadBytes, 'u');
    request.headers = {"Program-Id: p", "Token-Budget: 100000", "Token-Usage: 10,100"};
    ClientAnswer answer = world.Ask(request);
    EXPECT_GT(world.a().runs() + world.b().runs(), 0);
    return answer;
  }
};

bool IsWholeSuccess(const ClientAnswer& answer) { return answer.whole && answer.status / 100 == 2; }

const std::string kStatusLine = "HTTP/1.1 200 OK\r\n";

// Guards against passing on a part of a response as a complete one: the write of the upload got the
// connection's error, and the read after it an end of file.
TEST_P(EarlyResponseTest, ResponseCutByAFailedConnectionIsNotComplete) {
  struct CutCase {
    const char* name;
    std::string response;
    EarlyEnd end;
  };
  const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
  const std::string length = absl::StrCat("Content-Length: ", Body().size() + 1, "\r\n");
  const std::string chunk = absl::StrCat(absl::Hex(Body().size()), "\r\n", Body(), "\r\n");
  const EarlyEnd reset = {false, kPause, EarlyEnd::Kind::kReset};
  const std::vector<CutCase> cases = {
      {"reset", Response(kStatusLine), reset},
      {"reset at once", Response(kStatusLine), {false, {}, EarlyEnd::Kind::kReset}},
      {"close", Response(kStatusLine), {false, kPause, EarlyEnd::Kind::kClose}},
      {"close at once", Response(kStatusLine), {false, {}, EarlyEnd::Kind::kClose}},
      {"unacknowledged upload", Response(kStatusLine), {false, {}, EarlyEnd::Kind::kSilence}},
      {"status 206", Response("HTTP/1.1 206 Partial Content\r\n"), reset},
      {"HTTP/1.0", Response("HTTP/1.0 200 OK\r\n"), reset},
      {"after an interim response", interim + Response(kStatusLine), reset},
      {"head only", Response(kStatusLine, ""), reset},
      {"with a length", Response(kStatusLine + length), reset},
      {"chunked", Response(kStatusLine + "Transfer-Encoding: chunked\r\n", chunk), reset},
  };
  for (const CutCase& test : cases) {
    SCOPED_TRACE(test.name);
    ClientAnswer answer = Upload(test.response, test.end);
    EXPECT_FALSE(IsWholeSuccess(answer)) << answer.body;
  }
}

// Guards against failing a complete response because the rest of the request could not be sent.
TEST_P(EarlyResponseTest, ResponseThatEndedInOrderIsComplete) {
  struct WholeCase {
    const char* name;
    std::string response;
    EarlyEnd end;
  };
  const std::string length = absl::StrCat("Content-Length: ", Body().size(), "\r\n");
  const std::string chunks =
      absl::StrCat(absl::Hex(Body().size()), "\r\n", Body(), "\r\n0\r\n\r\n");
  const std::vector<WholeCase> cases = {
      {"FIN, then a reset", Response(kStatusLine), {true, kPause, EarlyEnd::Kind::kReset}},
      {"FIN and a reset at once", Response(kStatusLine), {true, {}, EarlyEnd::Kind::kReset}},
      {"FIN, then a close", Response(kStatusLine), {true, kPause, EarlyEnd::Kind::kClose}},
      {"FIN, then silence", Response(kStatusLine), {true, {}, EarlyEnd::Kind::kSilence}},
      {"a length, then a reset",
       Response(kStatusLine + length),
       {false, kPause, EarlyEnd::Kind::kReset}},
      {"chunks, then a reset",
       Response(kStatusLine + "Transfer-Encoding: chunked\r\n", chunks),
       {false, kPause, EarlyEnd::Kind::kReset}},
  };
  for (const WholeCase& test : cases) {
    SCOPED_TRACE(test.name);
    ClientAnswer answer = Upload(test.response, test.end);
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.status, 200U);
    EXPECT_EQ(answer.body, Body());
  }
}

INSTANTIATE_TEST_SUITE_P(Routes, EarlyResponseTest, ::testing::ValuesIn(kRoutes),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace martenyard::testing
