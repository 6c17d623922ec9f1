// Tests the framing of responses by the HTTP client, with a peer scripted byte by byte.
#include "async_http/connection.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "async_http/task.h"

namespace martenyard::async_http {
namespace {

constexpr char kResponse[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: keep-alive\r\n\r\nwhole";

/// Listens on loopback and sends the parts of a response that the test provides.
class ScriptedPeer {
 public:
  ScriptedPeer() : listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    listen(listener_, 4);
    socklen_t size = sizeof(address);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    endpoint_ = {"127.0.0.1", ntohs(address.sin_port)};
  }
  ~ScriptedPeer() {
    close(accepted_);
    close(listener_);
  }
  const wire::Endpoint& endpoint() const { return endpoint_; }
  void Accept() { accepted_ = accept(listener_, nullptr, nullptr); }
  /// Keeps the system from receiving much that is not read on connections accepted later.
  void LimitReceiveBuffer(int bytes) const {
    setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
  }
  /// Ends the data in order (FIN); the connection stays open for reading.
  void FinishSending() const { shutdown(accepted_, SHUT_WR); }
  /// Resets the accepted connection.
  void Reset() {
    linger abort{1, 0};
    setsockopt(accepted_, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    close(accepted_);
    accepted_ = -1;
  }
  void SendBytes(const std::string& bytes) const {
    send(accepted_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

 private:
  int listener_;
  int accepted_ = -1;
  wire::Endpoint endpoint_;
};

struct ReceivedResponse {
  ReadStep last_step = ReadStep::kProgress;
  unsigned status = 0;
  std::string body;
  bool reusable = false;
};

/// Sends one request; the peer sends each part after the previous one was read.
ReceivedResponse Exchange(const std::vector<std::string>& parts) {
  asio::io_context context;
  ScriptedPeer peer;
  ReceivedResponse response;
  auto run = [&]() -> Task<void> {
    Connection connection(context, peer.endpoint());
    if (!co_await connection.Connect()) {
      co_return;
    }
    peer.Accept();
    connection.BeginResponse(/*head_request=*/false);
    co_await connection.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    asio::co_spawn(
        context,
        [&]() -> Task<void> {
          for (const std::string& part : parts) {
            peer.SendBytes(part);
            co_await asio::post(context, asio::use_awaitable);
          }
        },
        asio::detached);
    ReadStep step = ReadStep::kProgress;
    while (step == ReadStep::kProgress) {
      step = co_await connection.ReadBody();
    }
    response.last_step = step;
    if (step == ReadStep::kWhole) {
      response = {step, connection.parser().get().result_int(), connection.parser().get().body(),
                  connection.MayBeReused()};
    }
  };
  asio::co_spawn(context, run, asio::detached);
  context.run();
  return response;
}

// Guards against taking an interim (1xx) response for the final one, which would then be taken for
// the response to the next request.
TEST(ConnectionTest, SkipsInterimResponses) {
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  const std::string hints = "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n";
  struct InterimCase {
    const char* name;
    std::vector<std::string> parts;
  };
  const InterimCase cases[] = {
      {"none", {kResponse}},
      {"apart", {interim, kResponse}},
      {"in one piece", {interim + kResponse}},
      {"with fields", {hints, kResponse}},
      {"several", {interim, hints + interim, kResponse}},
      {"cut in its head",
       {interim.substr(0, 9), interim.substr(9) + hints.substr(0, 30),
        hints.substr(30) + kResponse}},
  };
  for (const InterimCase& test : cases) {
    SCOPED_TRACE(test.name);
    ReceivedResponse response = Exchange(test.parts);
    EXPECT_EQ(response.status, 200U);
    EXPECT_EQ(response.body, "whole");
    EXPECT_TRUE(response.reusable);
  }
}

// Guards against waiting for another response after a status that no response may have here: none
// below 100 is defined, and no request asks for another protocol (101).
TEST(ConnectionTest, InvalidStatusIsMalformed) {
  for (const char* status : {"000", "001", "042", "099", "101"}) {
    SCOPED_TRACE(status);
    ReceivedResponse response = Exchange(
        {absl::StrCat("HTTP/1.1 ", status, " X\r\nContent-Length: 0\r\n\r\n") + kResponse});
    EXPECT_EQ(response.last_step, ReadStep::kMalformed);
  }
  for (const char* status : {"100", "102", "103", "104", "150", "199"}) {
    SCOPED_TRACE(status);
    ReceivedResponse response =
        Exchange({absl::StrCat("HTTP/1.1 ", status, " X\r\n\r\n") + kResponse});
    EXPECT_EQ(response.last_step, ReadStep::kWhole);
    EXPECT_EQ(response.status, 200U);
    EXPECT_EQ(response.body, "whole");
  }
}

// Guards against counting a request as sent when the peer had reset the connection: it has not run.
TEST(ConnectionTest, RequestOnAConnectionThatThePeerResetIsNotSent) {
  asio::io_context context;
  ScriptedPeer peer;
  bool sent = true;
  bool any_sent = true;
  bool any_sent_before = false;
  auto run = [&]() -> Task<void> {
    Connection connection(context, peer.endpoint());
    if (!co_await connection.Connect()) {
      co_return;
    }
    peer.Accept();
    connection.BeginResponse(/*head_request=*/false);
    co_await connection.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    any_sent_before = connection.any_sent();
    peer.Reset();
    connection.BeginResponse(/*head_request=*/false);
    sent = co_await connection.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    any_sent = connection.any_sent();
  };
  asio::co_spawn(context, run, asio::detached);
  context.run();
  EXPECT_TRUE(any_sent_before);
  EXPECT_FALSE(sent);
  EXPECT_FALSE(any_sent);
}

TEST(ConnectionTest, BytesAfterACompleteResponsePreventReuse) {
  ReceivedResponse response = Exchange({std::string(kResponse) + "HTTP/1.1 200 OK\r\n"});
  EXPECT_EQ(response.body, "whole");
  EXPECT_FALSE(response.reusable);
}

TEST(ConnectionTest, ResponseToHeadEndsWithItsHeader) {
  // Content-Length is that of the GET response; no body follows.
  asio::io_context context;
  ScriptedPeer peer;
  std::vector<std::string> bodies;
  auto run = [&]() -> Task<void> {
    Connection connection(context, peer.endpoint());
    co_await connection.Connect();
    peer.Accept();
    std::string head = std::string(kResponse).substr(0, sizeof(kResponse) - 1 - 5);
    for (bool is_head : {true, false, true}) {
      connection.BeginResponse(is_head);
      peer.SendBytes(is_head ? head : kResponse);
      ReadStep step = ReadStep::kProgress;
      while (step == ReadStep::kProgress) {
        step = co_await connection.ReadBody();
      }
      EXPECT_EQ(step, ReadStep::kWhole);
      EXPECT_TRUE(connection.MayBeReused());
      bodies.push_back(connection.parser().get().body());
    }
  };
  asio::co_spawn(context, run, asio::detached);
  context.run();
  EXPECT_EQ(bodies, (std::vector<std::string>{"", "whole", ""}));
}

/// How a peer that reads nothing ends a connection behind a response without a length.
struct UnreadEnding {
  const char* name;
  bool finishes;  ///< Sends a FIN first.
  bool resets;    ///< Otherwise nothing is acknowledged until the connection times out.
  ReadStep expected;
};

constexpr UnreadEnding kUnreadEndings[] = {
    {"reset", false, true, ReadStep::kClosed},
    {"time-out", false, false, ReadStep::kClosed},
    {"FIN, then a reset", true, true, ReadStep::kWhole},
    {"FIN, then a time-out", true, false, ReadStep::kWhole},
};

/// Sends a request that the peer doesn't read and reads its response, which has no length.
/// @param send_fails_first reads the end only after the send has failed.
/// @param earlier_responses complete ones on the same connection.
ReadStep ReadBesideUnreadRequest(const UnreadEnding& ending, bool send_fails_first,
                                 int earlier_responses = 0) {
  const std::string request(std::size_t{16} << 20, 'u');
  asio::io_context context;
  ScriptedPeer peer;
  peer.LimitReceiveBuffer(4096);
  ReadStep step = ReadStep::kProgress;
  auto run = [&]() -> Task<void> {
    Connection connection(context, peer.endpoint());
    co_await connection.Connect();
    peer.Accept();
    for (int number = 0; number < earlier_responses; ++number) {
      connection.BeginResponse(/*head_request=*/false);
      peer.SendBytes(kResponse);
      while (co_await connection.ReadBody() == ReadStep::kProgress) {
      }
    }
    connection.BeginResponse(/*head_request=*/false);
    bool sending = true;
    asio::co_spawn(
        context,
        [&]() -> Task<void> {
          EXPECT_FALSE(co_await connection.Send(request));
          sending = false;
        },
        asio::detached);
    peer.SendBytes("HTTP/1.1 200 OK\r\n\r\nbody");
    while (!connection.parser().is_header_done()) {
      co_await connection.ReadHead();
    }
    if (ending.finishes) {
      peer.FinishSending();
    }
    if (ending.resets) {
      peer.Reset();
    }
    while (send_fails_first && sending) {
      co_await Sleep(context, absl::Milliseconds(1));
    }
    step = ReadStep::kProgress;
    while (step == ReadStep::kProgress) {
      step = co_await connection.ReadBody();
    }
    EXPECT_EQ(connection.parser().get().body(), "body");
    while (sending) {
      co_await Sleep(context, absl::Milliseconds(1));
    }
  };
  asio::co_spawn(context, run, asio::detached);
  context.run();
  return step;
}

// Guards against taking the end of file after a failed send for the end of a response: the send got
// the connection's error.
TEST(ConnectionTest, EndOfFileAfterAFailedSendCompletesAResponseOnlyBehindAFin) {
  for (const UnreadEnding& ending : kUnreadEndings) {
    for (bool send_fails_first : {true, false}) {
      SCOPED_TRACE(absl::StrCat(ending.name, send_fails_first ? ", send first" : ", read first"));
      EXPECT_EQ(ReadBesideUnreadRequest(ending, send_fails_first), ending.expected);
    }
    SCOPED_TRACE(absl::StrCat(ending.name, ", second response"));
    EXPECT_EQ(ReadBesideUnreadRequest(ending, true, /*earlier_responses=*/2), ending.expected);
  }
}

// Guards against taking a close of our own, as at a deadline, for the end of a response.
TEST(ConnectionTest, OwnCloseDoesNotCompleteAResponse) {
  asio::io_context context;
  ScriptedPeer peer;
  ReadStep step = ReadStep::kProgress;
  auto run = [&]() -> Task<void> {
    Connection connection(context, peer.endpoint());
    co_await connection.Connect();
    peer.Accept();
    connection.BeginResponse(/*head_request=*/false);
    peer.SendBytes("HTTP/1.1 200 OK\r\n\r\nbody");
    while (!connection.parser().is_header_done()) {
      co_await connection.ReadHead();
    }
    asio::post(context, [&connection] { connection.Close(); });
    while (step == ReadStep::kProgress) {
      step = co_await connection.ReadBody();
    }
  };
  asio::co_spawn(context, run, asio::detached);
  context.run();
  EXPECT_EQ(step, ReadStep::kClosed);
}

}  // namespace
}  // namespace martenyard::async_http
