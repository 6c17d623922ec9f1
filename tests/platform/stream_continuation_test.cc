// A streamed answer that more than one run had a part in.
//
// Symptom: a client's stream carried an event that no run had made whole, and the first runner's
// signature beside a body that was neither runner's.
// Sequence: a runner breaks off inside its first event, before anything went to the client. The
// route may be resumed, so the request is begun anew at another runner, which serves it well. The
// client gets the first runner's head, and the second runner's first event behind the bytes that
// the first one left.
// Cause: the unfinished event and the head were kept by the request, and only a stream that goes on
// after a whole event dropped the first of them. What one run left behind outlived that run.
// What settled it: `attempt_ended` of the first runner with `events` 0 and `unfinished_bytes` 42,
// then `attempt_ended` `answered` of the second, then `request_ended` with `head_of` the first. Of
// four days played, five streams had these lines and the same five were mixed.
//
// The same cause, one run's part taken for the whole answer's: the end of an answer without a
// length, and the place where a resumed run begins.
#include <gtest/gtest.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "platform/support/platform_world.h"

namespace martenyard::testing {
namespace {

using emulator::RunnerBehavior;

constexpr char kResumable[] = "/stream/1";
constexpr char kKept[] = "/streamkept/1";

/// A stream's events as the runners make them.
std::string Events(int first, int last) {
  std::string text;
  for (int number = first; number <= last; ++number) {
    absl::StrAppend(&text, "id: ", number, "\ndata: event-", number, "\n\n");
  }
  return text;
}

/// What a client must get when runners `a` and `b` behave as said, `a` being asked first.
struct StreamCase {
  const char* name;
  const char* target;
  RunnerBehavior a;
  RunnerBehavior b;
  bool whole;          ///< The answer looks complete.
  unsigned status;     ///< Of the head that the client got.
  const char* runner;  ///< Whose signature it carries; empty: nobody's.
  std::string body;    ///< Exactly.
  int runs_at_b;
  const char* asked_after = "";    ///< The client's own last event id.
  const char* b_asked_after = "";  ///< What `b` was told.
};

void Check(const std::vector<StreamCase>& cases) {
  for (const StreamCase& test : cases) {
    SCOPED_TRACE(test.name);
    PlatformWorld world;
    world.Start();
    world.a().Script({test.a});
    world.b().Script({test.b});
    ClientRequest request;
    request.target = test.target;
    if (*test.asked_after != '\0') {
      request.headers.push_back(absl::StrCat("Last-Event-Id: ", test.asked_after));
    }
    ClientAnswer answer = world.Ask(request);
    EXPECT_EQ(answer.whole, test.whole);
    EXPECT_EQ(answer.status, test.status);
    std::string signature =
        *test.runner == '\0' ? "" : absl::StrCat("sig-", test.runner, "-attempt-1");
    EXPECT_EQ(answer.headers["server-signature"], signature);
    if (answer.status == 200 || !signature.empty()) {
      EXPECT_EQ(answer.body, test.body);
    }
    EXPECT_EQ(world.a().runs(), 1);
    EXPECT_EQ(world.b().runs(), test.runs_at_b);
    if (!world.b().seen().empty()) {
      const auto& headers = world.b().seen()[0].headers;
      auto told = headers.find("last-event-id");
      EXPECT_EQ(told == headers.end() ? "" : told->second, test.b_asked_after);
    }
    if (::testing::Test::HasFailure()) {
      FAIL() << world.Log();
    }
  }
}

TEST(StreamContinuationTest, AnswerBegunAnewIsWhollyTheNextRunners) {
  Check({
      {"ServedByTheNext", kResumable, RunnerBehavior::kBreakInFirst, RunnerBehavior::kServe, true,
       200, "i-far", Events(1, 4), 1},
      {"ServedUnframedByTheNext", kResumable, RunnerBehavior::kBreakInFirst,
       RunnerBehavior::kStreamUnframed, true, 200, "i-far", Events(1, 4), 1},
      {"NextBreaksLater", kResumable, RunnerBehavior::kBreakInFirst, RunnerBehavior::kBreakMidEvent,
       false, 200, "i-far", Events(1, 2), 1},
      {"NextFails", kResumable, RunnerBehavior::kBreakInFirst, RunnerBehavior::kFail, true, 500,
       "i-far", "failed", 1},
      {"NextBreaksToo", kResumable, RunnerBehavior::kBreakInFirst, RunnerBehavior::kBreakInFirst,
       true, 502, "", "", 1},
      {"NextTurnsAway", kResumable, RunnerBehavior::kBreakInFirst, RunnerBehavior::kShed, true, 502,
       "", "", 0},
      {"ClientGoesOnItself", kResumable, RunnerBehavior::kBreakInFirst, RunnerBehavior::kServe,
       true, 200, "i-far", Events(3, 4), 1, "2", "2"},
      {"KeptTurnIsNotBegunAnew", kKept, RunnerBehavior::kBreakInFirst, RunnerBehavior::kServe, true,
       502, "", "", 0},
  });
}

TEST(StreamContinuationTest, UnframedStreamThatEndsInsideAnEventNeverLooksComplete) {
  Check({
      {"GoesOnElsewhere", kResumable, RunnerBehavior::kUnframedMidEvent, RunnerBehavior::kServe,
       true, 200, "i-near", Events(1, 4), 1, "", "2"},
      {"NextDoesTheSame", kResumable, RunnerBehavior::kUnframedMidEvent,
       RunnerBehavior::kUnframedMidEvent, false, 200, "i-near", Events(1, 4), 1, "", "2"},
      {"KeptTurn", kKept, RunnerBehavior::kUnframedMidEvent, RunnerBehavior::kServe, false, 200,
       "i-near", Events(1, 2), 0},
      {"WholeUnframedStream", kResumable, RunnerBehavior::kStreamUnframed, RunnerBehavior::kServe,
       true, 200, "i-near", Events(1, 4), 0},
      {"WholeUnframedKeptTurn", kKept, RunnerBehavior::kStreamUnframed, RunnerBehavior::kServe,
       true, 200, "i-near", Events(1, 4), 0},
  });

  // A turn that was cut there is not kept either.
  PlatformWorld world;
  world.Start();
  world.a().Script({RunnerBehavior::kUnframedMidEvent, RunnerBehavior::kServe});
  ClientRequest request;
  request.target = kKept;
  request.body = "first|";
  request.headers = {"Program-Id: p", "Token-Budget: 100000", "Token-Usage: 10,200"};
  EXPECT_FALSE(world.Ask(request).whole);
  request.id = "attempt-2";
  request.headers.push_back("Previous-Turn: attempt-1");
  EXPECT_EQ(world.Ask(request).status, 404U);
}

/// Every byte that a connection brings until its other end closes it.
struct RawDialogue {
  std::string bytes;
  bool closed = false;
};

async_http::Task<void> TalkRaw(async_http::asio::io_context& context, wire::Endpoint gateway,
                               std::string text, std::shared_ptr<RawDialogue> dialogue) {
  async_http::Socket socket(context);
  auto address = async_http::asio::ip::make_address(gateway.address);
  co_await socket.async_connect({address, gateway.port}, async_http::kAwait);
  co_await async_http::asio::async_write(socket, async_http::asio::buffer(text),
                                         async_http::kAwait);
  std::array<char, 4096> piece;
  while (!dialogue->closed) {
    auto [error, count] =
        co_await socket.async_read_some(async_http::asio::buffer(piece), async_http::kAwait);
    dialogue->bytes.append(piece.data(), count);
    dialogue->closed = static_cast<bool>(error);
  }
}

TEST(StreamContinuationTest, ClientsOwnResumptionMissesNoEventOnceTheStepIsKnown) {
  PlatformWorld world;
  world.Start();
  world.a().Script({RunnerBehavior::kServe, RunnerBehavior::kSkipEvent});
  ClientRequest request;
  request.target = kResumable;
  ASSERT_TRUE(world.Ask(request).whole);
  request.id = "attempt-2";
  request.headers = {"Last-Event-Id: 2"};
  ClientAnswer answer = world.Ask(request);
  EXPECT_TRUE(answer.whole);
  EXPECT_EQ(answer.body, Events(3, 4));
  EXPECT_EQ(answer.headers["server-signature"], "sig-i-far-attempt-2");
}

TEST(StreamContinuationTest, NoSecondHeadFollowsAStreamThatHasBegun) {
  // A runner that fails a resumed run answers with a head and a body of its own. Written behind the
  // events that the client has, they are bytes that belong to no answer on a connection that stays
  // open.
  for (RunnerBehavior next : {RunnerBehavior::kFail, RunnerBehavior::kRefuseRequest}) {
    PlatformWorld world;
    world.Start();
    world.a().Script({RunnerBehavior::kBreakMidEvent});
    world.b().Script({next});
    ClientRequest request;
    request.target = kResumable;
    auto dialogue = std::make_shared<RawDialogue>();
    async_http::asio::co_spawn(
        world.loop().context(),
        TalkRaw(world.loop().context(), {"127.0.0.1", world.gateway().frontend_port()},
                RequestText(request), dialogue),
        async_http::asio::detached);
    auto ended = [&] {
      return world.Log().find("\"event\":\"request_ended\"") != std::string::npos;
    };
    ASSERT_TRUE(world.RunUntil(ended));
    EXPECT_TRUE(world.RunUntil([&] { return dialogue->closed; })) << "the connection stays open";
    EXPECT_EQ(dialogue->bytes.rfind("HTTP/1.1 "), 0U) << dialogue->bytes;
    EXPECT_NE(dialogue->bytes.find("event-2"), std::string::npos);
    EXPECT_EQ(dialogue->bytes.find("\r\n0\r\n"), std::string::npos) << "it looks complete";
  }
}

TEST(StreamContinuationTest, KeptTurnIsNotKeptFromAPartOfItsEvents) {
  // The client had the events up to its last id from an attempt that broke; this gateway never had
  // them, so what it could keep would lack them in every later turn of the chain.
  PlatformWorld world;
  world.Start();
  ClientRequest request;
  request.target = kKept;
  request.body = "first|";
  request.headers = {"Program-Id: p", "Token-Budget: 100000", "Token-Usage: 10,200",
                     "Last-Event-Id: 2"};
  EXPECT_EQ(world.Ask(request).status, 503U);
  EXPECT_EQ(world.a().runs() + world.b().runs(), 0);
  // From its start it is served and kept.
  request.id = "attempt-2";
  request.headers.pop_back();
  ASSERT_TRUE(world.Ask(request).whole);
  request.id = "attempt-3";
  request.body = "second|";
  request.headers.push_back("Previous-Turn: attempt-2");
  ASSERT_TRUE(world.Ask(request).whole);
  EXPECT_EQ(world.a().seen().back().body, "first|event-1\nevent-2\nevent-3\nevent-4\nsecond|");
}

TEST(StreamContinuationTest, ResumedStreamHasNoEventTwiceAndNoneMissing) {
  Check({
      {"ResumesAsAsked", kResumable, RunnerBehavior::kBreakMidEvent, RunnerBehavior::kServe, true,
       200, "i-near", Events(1, 4), 1, "", "2"},
      {"BeginsAtTheStart", kResumable, RunnerBehavior::kBreakMidEvent,
       RunnerBehavior::kStreamFromStart, false, 200, "i-near", Events(1, 2), 1, "", "2"},
      {"LeavesOneOut", kResumable, RunnerBehavior::kBreakMidEvent, RunnerBehavior::kSkipEvent,
       false, 200, "i-near", Events(1, 2), 1, "", "2"},
      {"Fails", kResumable, RunnerBehavior::kBreakMidEvent, RunnerBehavior::kFail, false, 200,
       "i-near", Events(1, 2), 1, "", "2"},
      {"TurnsAway", kResumable, RunnerBehavior::kBreakMidEvent, RunnerBehavior::kShed, false, 200,
       "i-near", Events(1, 2), 0, "", "2"},
      {"ClientsOwnResumption", kResumable, RunnerBehavior::kServe, RunnerBehavior::kServe, true,
       200, "i-near", Events(3, 4), 0, "2"},
      {"ClientsOwnIsPassedOver", kResumable, RunnerBehavior::kStreamFromStart,
       RunnerBehavior::kServe, true, 200, "i-far", Events(3, 4), 1, "2", "2"},
      {"ClientsOwnIsResumedAgain", kResumable, RunnerBehavior::kBreakMidEvent,
       RunnerBehavior::kServe, true, 200, "i-near", Events(2, 4), 1, "1", "3"},
  });
}

}  // namespace
}  // namespace martenyard::testing
