// Corners of a streamed answer that goes on at another runner: what the second run may not do to
// the bytes that the client reads.
#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "platform/support/platform_world.h"

namespace martenyard::testing {
namespace {

using emulator::RunnerBehavior;

/// How long a connection is read before it counts as quiet: an answer on loopback takes some ms.
constexpr absl::Duration kQuiet = absl::Milliseconds(300);

constexpr char kStreamHead[] =
    "HTTP/1.1 200 OK\r\nAttempt-Id: @\r\nServer-Signature: sig-raw\r\n"
    "Content-Type: text/event-stream\r\n";

std::string Events(int first, int last) {
  std::string text;
  for (int number = first; number <= last; ++number) {
    absl::StrAppend(&text, "id: ", number, "\ndata: event-", number, "\n\n");
  }
  return text;
}

/// A stream that ends properly, as long as its length says.
std::string WithLength(const std::string& body) {
  return absl::StrCat(kStreamHead, "Content-Length: ", body.size(), "\r\n\r\n", body);
}

/// The same, broken off: the length says more.
std::string Broken(const std::string& body) {
  return absl::StrCat(kStreamHead, "Content-Length: ", body.size() + 100, "\r\n\r\n", body);
}

ClientRequest Resumable() {
  ClientRequest request;
  request.target = "/stream/1";
  return request;
}

ClientAnswer AskRaw(PlatformWorld& world, const std::string& a, const std::string& b,
                    const ClientRequest& request = Resumable()) {
  world.Start();
  world.a().Script({RunnerBehavior::kRaw});
  world.a().raw = a;
  world.b().Script({RunnerBehavior::kRaw});
  world.b().raw = b;
  return world.Ask(request);
}

/// @return every byte that the gateway sends until it closes, or for `kQuiet`.
std::string BytesOf(PlatformWorld& world, const std::string& text) {
  struct State {
    std::string bytes;
    bool done = false;
  };
  auto state = std::make_shared<State>();
  auto socket = std::make_shared<async_http::Socket>(world.loop().context());
  auto talk = [state, socket, text,
               port = world.gateway().frontend_port()]() -> async_http::Task<void> {
    namespace asio = async_http::asio;
    asio::ip::tcp::endpoint gateway(asio::ip::make_address("127.0.0.1"), port);
    auto [failure] = co_await socket->async_connect(gateway, async_http::kAwait);
    co_await asio::async_write(*socket, asio::buffer(text), async_http::kAwait);
    char piece[4096];
    while (!failure) {
      auto [error, count] =
          co_await socket->async_read_some(asio::buffer(piece), async_http::kAwait);
      if (error) {
        break;
      }
      state->bytes.append(piece, count);
    }
    state->done = true;
  };
  async_http::asio::co_spawn(world.loop().context(), talk, async_http::asio::detached);
  // A connection that rightly stays open brings no end to wait for.
  bool late = false;
  world.loop().After(kQuiet, [&] { late = true; });
  world.RunUntil([&] { return state->done || late; });
  boost::system::error_code ignored;
  socket->close(ignored);
  world.RunUntil([&] { return state->done && late; });
  return state->bytes;
}

std::size_t Heads(const std::string& bytes) {
  std::size_t heads = 0;
  for (std::size_t at = bytes.find("HTTP/1.1"); at != std::string::npos;
       at = bytes.find("HTTP/1.1", at + 1)) {
    ++heads;
  }
  return heads;
}

// A whole answer of another kind to a resumed run is no part of the stream, and what was delivered
// before it counts in the budget.

TEST(StreamCornersTest, FailureAfterAStartedStreamIsNoSecondHeadInItsBody) {
  PlatformWorld world;
  world.Start();
  world.a().Script({RunnerBehavior::kBreakMidEvent});
  world.b().Script({RunnerBehavior::kFail});
  std::string bytes = BytesOf(world, RequestText(Resumable()));
  EXPECT_TRUE(absl::StrContains(bytes, "event-2"));
  EXPECT_EQ(Heads(bytes), 1U) << bytes;
}

TEST(StreamCornersTest, Refusal400AfterAStartedStreamIsNoSecondHeadInItsBody) {
  PlatformWorld world;
  world.Start();
  world.a().Script({RunnerBehavior::kBreakMidEvent});
  world.b().Script({RunnerBehavior::kRaw});
  world.b().raw =
      "HTTP/1.1 400 X\r\nAttempt-Id: @\r\nNot-Executed: 1\r\nContent-Length: 3\r\n\r\nbad";
  std::string bytes = BytesOf(world, RequestText(Resumable()));
  EXPECT_TRUE(absl::StrContains(bytes, "event-2"));
  EXPECT_EQ(Heads(bytes), 1U) << bytes;
}

TEST(StreamCornersTest, EventsBeforeAFailedResumptionCountInTheBudget) {
  PlatformWorld world;
  world.Start();
  world.a().Script({RunnerBehavior::kBreakMidEvent});
  world.b().Script({RunnerBehavior::kFail});
  ClientRequest request = Resumable();
  // 25 tokens an event, two events a try: 50 of 100 at each of the first two tries.
  request.headers = {"Program-Id: p", "Token-Budget: 100", "Token-Usage: 10,50"};
  unsigned last = 0;
  for (int turn = 0; turn < 6; ++turn) {
    request.id = absl::StrCat("turn-", turn);
    last = world.Ask(request).status;
  }
  EXPECT_EQ(last, 402U) << "six tries delivered 300 tokens of a budget of 100";
}

// What stands behind the last whole event of a resumed run must go on where the stream stood, too.

TEST(StreamCornersTest, UnfinishedEventOfAResumedRunIsCheckedLikeAWholeOne) {
  PlatformWorld world;
  std::string last = "id: 1\ndata: event-1\n";
  ClientAnswer answer = AskRaw(world, Broken(Events(1, 2)), WithLength(last));
  EXPECT_FALSE(answer.whole);
  EXPECT_EQ(answer.body, Events(1, 2));
}

TEST(StreamCornersTest, BodyThatIsNoStreamIsNotJoinedToOne) {
  PlatformWorld world;
  ClientAnswer answer = AskRaw(world, Broken(Events(1, 2)),
                               "HTTP/1.1 200 OK\r\nAttempt-Id: @\r\nContent-Type: "
                               "application/json\r\nContent-Length: 12\r\n\r\n{\"error\": 1}");
  EXPECT_FALSE(answer.whole);
  EXPECT_EQ(answer.body, Events(1, 2));
}

TEST(StreamCornersTest, IdWithoutDataDoesNotMoveThePlaceWhereAResumedRunMustBegin) {
  PlatformWorld world;
  ClientAnswer answer = AskRaw(world, Broken(Events(1, 2)), WithLength("id: 7\n\n" + Events(8, 9)));
  EXPECT_FALSE(answer.whole) << answer.body;
  EXPECT_FALSE(absl::StrContains(answer.body, "event-8")) << answer.body;
}

// An empty id sets the last id back: it names no place to go on from.

TEST(StreamCornersTest, EmptyIdIsNoPlaceToGoOnFrom) {
  PlatformWorld world;
  ClientAnswer answer =
      AskRaw(world, Broken(Events(1, 2) + "id:\ndata: event-3\n\n"), WithLength(Events(1, 4)));
  EXPECT_FALSE(answer.whole) << answer.body;
  EXPECT_FALSE(absl::StrContains(answer.body.substr(Events(1, 2).size()), "event-1"));
  EXPECT_EQ(world.b().runs(), 0);
}

// An answer without a body gets no end mark of one.

TEST(StreamCornersTest, HeadRequestGetsNoBytesBehindTheHead) {
  PlatformWorld world;
  world.Start();
  world.a().Script({RunnerBehavior::kRaw});
  world.a().raw = absl::StrCat(kStreamHead, "Transfer-Encoding: chunked\r\n\r\n");
  ClientRequest request = Resumable();
  request.method = "HEAD";
  std::string bytes = BytesOf(world, RequestText(request));
  ASSERT_TRUE(absl::StrContains(bytes, "\r\n\r\n"));
  EXPECT_EQ(bytes.substr(bytes.find("\r\n\r\n") + 4), "");
}

TEST(StreamCornersTest, NoContentGetsNoBytesBehindTheHead) {
  PlatformWorld world;
  world.Start();
  world.a().Script({RunnerBehavior::kRaw});
  world.a().raw = "HTTP/1.1 204 No Content\r\nAttempt-Id: @\r\nServer-Signature: sig-raw\r\n\r\n";
  std::string bytes = BytesOf(world, RequestText(Resumable()));
  ASSERT_TRUE(absl::StrContains(bytes, "\r\n\r\n"));
  EXPECT_EQ(bytes.substr(bytes.find("\r\n\r\n") + 4), "");
}

// The log tells where a refused run began.

TEST(StreamCornersTest, RefusedRunsFirstEventIsLogged) {
  PlatformWorld world;
  AskRaw(world, Broken(Events(1, 2)), WithLength(Events(1, 4)));
  EXPECT_TRUE(
      absl::StrContains(world.Log(),
                        "\"first_event\":\"1\",\"unfinished_bytes\":0,"
                        "\"framing\":\"length\",\"reused\":false,"
                        "\"detail\":\"the stream does not continue after the last delivered event"))
      << world.Log().substr(world.Log().size() > 3000 ? world.Log().size() - 3000 : 0);
}

// Rows for each part of the comparison, so that none of them can be left out unseen.

TEST(StreamCornersTest, ClientsOwnResumptionThatNoRunnerHonoursIsNoRefusal) {
  PlatformWorld world;
  world.Start();
  world.a().Script({RunnerBehavior::kStreamFromStart});
  world.b().Script({RunnerBehavior::kStreamFromStart});
  ClientRequest request = Resumable();
  request.headers = {"Last-Event-Id: 2"};
  ClientAnswer answer = world.Ask(request);
  EXPECT_EQ(answer.status, 502U) << "both ran it: a refusal would say that none did";
  EXPECT_EQ(world.a().runs() + world.b().runs(), 2);
}

TEST(StreamCornersTest, CommentBeforeTheFirstEventDoesNotStandForIt) {
  PlatformWorld world;
  ClientAnswer answer =
      AskRaw(world, Broken(Events(1, 2)), WithLength(": warm\n\n" + Events(1, 4)));
  EXPECT_FALSE(answer.whole);
  EXPECT_FALSE(absl::StrContains(answer.body.substr(Events(1, 2).size()), "event-1"))
      << answer.body;
}

TEST(StreamCornersTest, LaterEventsOfARunThatIsInPlaceAreTheRunners) {
  PlatformWorld world;
  std::string uneven = Events(3, 3) + Events(7, 8);
  ClientAnswer answer = AskRaw(world, Broken(Events(1, 2)), WithLength(uneven));
  EXPECT_TRUE(answer.whole);
  EXPECT_EQ(answer.body, Events(1, 2) + uneven);
}

TEST(StreamCornersTest, CloseDelimitedStreamWithoutAnEventIsNotWhole) {
  PlatformWorld world;
  ClientAnswer answer = AskRaw(world, absl::StrCat(kStreamHead, "\r\n"), WithLength(Events(1, 4)));
  EXPECT_TRUE(answer.whole);
  EXPECT_EQ(answer.body, Events(1, 4)) << "the other runner's";
}

TEST(StreamCornersTest, CloseDelimitedStreamMayEndWithSpareBlankLines) {
  PlatformWorld world;
  std::string body = Events(1, 4) + "\n";
  ClientAnswer answer = AskRaw(world, absl::StrCat(kStreamHead, "\r\n", body), "");
  EXPECT_TRUE(answer.whole);
  EXPECT_EQ(answer.body, body);
  EXPECT_EQ(world.b().runs(), 0);
}

TEST(StreamCornersTest, CloseDelimitedBodyThatIsNoStreamIsBelieved) {
  PlatformWorld world;
  std::string head =
      "HTTP/1.1 200 OK\r\nAttempt-Id: @\r\nServer-Signature: sig-raw\r\n"
      "Content-Type: application/json\r\n\r\n";
  ClientAnswer answer = AskRaw(world, absl::StrCat(head, "{}"), "");
  EXPECT_TRUE(answer.whole);
  EXPECT_EQ(answer.body, "{}");
}

TEST(StreamCornersTest, LastEventWithoutABlankLineIsPassedOnAndKept) {
  PlatformWorld world;
  std::string body = "id: 1\ndata: event-1\n\nid: 2\ndata: event-2\n";
  ClientRequest request;
  request.target = "/streamkept/1";
  request.body = "first|";
  request.headers = {"Program-Id: p", "Token-Budget: 100000", "Token-Usage: 10,200"};
  ClientAnswer answer = AskRaw(world, WithLength(body), "", request);
  EXPECT_TRUE(answer.whole);
  EXPECT_EQ(answer.body, body);
  world.a().Script({RunnerBehavior::kServe});
  request.id = "attempt-2";
  request.body = "second|";
  request.headers.push_back("Previous-Turn: attempt-1");
  ASSERT_TRUE(world.Ask(request).whole);
  EXPECT_EQ(world.a().seen().back().body, "first|event-1\nevent-2\nsecond|");
}

TEST(StreamCornersTest, LogNamesTheHeadsRunnerAndEachRunsFirstEvent) {
  PlatformWorld world;
  world.Start();
  world.a().Script({RunnerBehavior::kBreakMidEvent});
  ASSERT_TRUE(world.Ask(Resumable()).whole);
  std::string log = world.Log();
  EXPECT_TRUE(absl::StrContains(log, "\"first_event\":\"1\",\"unfinished_bytes\":8")) << log;
  EXPECT_TRUE(absl::StrContains(log, "\"first_event\":\"3\",\"unfinished_bytes\":0")) << log;
  EXPECT_TRUE(absl::StrContains(log, "\"head_of\":\"i-near\"")) << log;
}

}  // namespace
}  // namespace martenyard::testing
