// Tests the HTTP server with raw clients on loopback: consecutive requests on one connection, and
// the detection of disconnects.
#include "async_http/server.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "wire/event_loop.h"

namespace martenyard::async_http {
namespace {

constexpr absl::Duration kTimeout = absl::Seconds(5);
/// Enough rounds for the loop to read all pending bytes.
constexpr int kSomeRounds = 20;

/// How a client ends its connection.
enum class DisconnectKind { kClose, kReset, kHalfClose };

class RawClient {
 public:
  explicit RawClient(std::uint16_t port) : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
  }
  ~RawClient() { Disconnect(DisconnectKind::kClose); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  void Say(const std::string& bytes) const {
    send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  }
  void Disconnect(DisconnectKind how) {
    if (socket_ < 0) {
      return;
    }
    if (how == DisconnectKind::kHalfClose) {
      shutdown(socket_, SHUT_WR);
      return;
    }
    if (how == DisconnectKind::kReset) {
      linger at_once{1, 0};
      setsockopt(socket_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    }
    close(socket_);
    socket_ = -1;
  }
  /// @return all bytes received so far.
  const std::string& Received() {
    char bytes[4096];
    for (ssize_t count = 1; count > 0;) {
      count = recv(socket_, bytes, sizeof(bytes), MSG_DONTWAIT);
      heard_.append(bytes, count > 0 ? static_cast<std::size_t>(count) : 0);
    }
    return heard_;
  }

 private:
  int socket_;
  std::string heard_;
};

class ServerTest : public ::testing::Test {
 protected:
  void Serve(ExchangeHandler handler) {
    server_ = std::make_unique<Server>(loop_.context(), std::move(handler));
    ASSERT_TRUE(server_->Listen({"127.0.0.1", 0}));
  }
  bool RunUntil(const std::function<bool()>& condition) {
    for (absl::Time end = SteadyNow() + kTimeout; SteadyNow() < end;) {
      if (condition()) {
        return true;
      }
      loop_.RunRound(absl::Milliseconds(5));
    }
    return condition();
  }

  wire::EventLoop loop_;
  std::unique_ptr<Server> server_;
};

// Guards against limits that a client inside the limits of the pages meets.
TEST_F(ServerTest, BodyInSmallChunksWithATrailerSectionIsAccepted) {
  constexpr int kChunks = 20000;
  std::string body;
  Serve([&](std::shared_ptr<Exchange> exchange) -> Task<void> {
    body = exchange->request().body();
    HttpHead head = MakeHead(200);
    co_await exchange->Send(std::move(head), "ok");
  });
  server_->limits().request_memory = std::uint64_t{256} << 10;
  std::string text = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int chunk = 0; chunk < kChunks; ++chunk) {
    text += "1\r\nx\r\n";
  }
  text += absl::StrCat("0\r\nTrailer-Field: ", std::string(12000, 't'), "\r\n\r\n");
  RawClient client(server_->port());
  constexpr std::size_t kPiece = 1000;
  for (std::size_t at = 0; at < text.size(); at += kPiece) {
    client.Say(text.substr(at, kPiece));
    loop_.RunRound(absl::Milliseconds(1));
  }
  ASSERT_TRUE(RunUntil([&] { return absl::StrContains(client.Received(), "200 OK"); }))
      << client.Received();
  EXPECT_EQ(body, std::string(kChunks, 'x'));
}

// Guards against a server that only turns new clients away once others hold all its connections.
TEST_F(ServerTest, ConnectionThatSaysNothingGivesWayToAnOrdinaryClient) {
  Serve([&](std::shared_ptr<Exchange> exchange) -> Task<void> {
    HttpHead head = MakeHead(200);
    co_await exchange->Send(std::move(head), "ok");
  });
  server_->limits().connections = 2;
  RawClient first(server_->port());
  RawClient second(server_->port());
  second.Say("G");
  ASSERT_TRUE(RunUntil([&] { return server_->stats().open_connections == 2; }));
  RawClient ordinary(server_->port());
  ordinary.Say("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_TRUE(RunUntil([&] { return absl::StrContains(ordinary.Received(), "200 OK"); }));
  EXPECT_EQ(server_->stats().evicted_for_connections, 1U);
}

// Guards against missing the disconnect of a client that has pipelined its next request, which
// would be processed and charged to the end.
TEST_F(ServerTest, DetectsDisconnectOfPipeliningClient) {
  struct LeavingCase {
    const char* name;
    std::string early;
    DisconnectKind disconnect_kind;
  };
  const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  const LeavingCase cases[] = {
      {"nothing early, closes", "", DisconnectKind::kClose},
      {"nothing early, resets", "", DisconnectKind::kReset},
      {"nothing early, closes its sending half", "", DisconnectKind::kHalfClose},
      {"pipelines a complete request, closes", request, DisconnectKind::kClose},
      {"pipelines a complete request, resets", request, DisconnectKind::kReset},
      {"pipelines a complete request, closes its sending half", request,
       DisconnectKind::kHalfClose},
      {"part of a request early, closes", request.substr(0, 7), DisconnectKind::kClose},
      {"one byte early, resets", "G", DisconnectKind::kReset},
      {"more early than one reading takes, closes",
       absl::StrCat("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n",
                    std::string(60000, 'x')),
       DisconnectKind::kClose},
  };
  for (const LeavingCase& test : cases) {
    SCOPED_TRACE(test.name);
    int begun = 0;
    int disconnects = 0;
    Signal disconnected(loop_.context());
    Serve([&](std::shared_ptr<Exchange> exchange) -> Task<void> {
      ++begun;
      exchange->OnClientGone([&] {
        ++disconnects;
        disconnected.Notify();
      });
      if (!exchange->client_gone()) {
        co_await disconnected.Wait(kTimeout * 2);
      }
      exchange->Break();
    });
    RawClient client(server_->port());
    client.Say(request);
    ASSERT_TRUE(RunUntil([&] { return begun == 1; }));
    client.Say(test.early);
    for (int round = 0; round < kSomeRounds; ++round) {
      loop_.RunRound(absl::Milliseconds(1));
    }
    EXPECT_EQ(disconnects, 0) << "a pipelined request is not a disconnect";
    client.Disconnect(test.disconnect_kind);
    EXPECT_TRUE(RunUntil([&] { return disconnects == 1; }));
    disconnected.Notify();
    EXPECT_TRUE(RunUntil([&] { return server_->stats().open_connections == 0; }));
  }
}

TEST_F(ServerTest, PipelinedRequestsAreAnsweredInOrder) {
  int begun = 0;
  Signal may_respond(loop_.context());
  Serve([&](std::shared_ptr<Exchange> exchange) -> Task<void> {
    ++begun;
    co_await may_respond.Wait(absl::Milliseconds(20));
    std::string target(exchange->request().target());
    HttpHead head;
    head.result(200);
    co_await exchange->Send(head, absl::StrCat("answer to ", target, ";"));
  });
  RawClient client(server_->port());
  client.Say("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return begun == 1; }));
  client.Say("GET /2 HTTP/1.1\r\nHost: h\r\n\r\nGET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return absl::StrContains(client.Received(), "answer to /3;"); }));
  std::size_t first = client.Received().find("answer to /1;");
  std::size_t second = client.Received().find("answer to /2;");
  ASSERT_NE(first, std::string::npos);
  ASSERT_NE(second, std::string::npos);
  EXPECT_LT(first, second);
  EXPECT_LT(second, client.Received().find("answer to /3;"));
}

// Guards against sending the chunks of a streamed response to HEAD, which would corrupt the next
// response on the connection.
TEST_F(ServerTest, StreamedResponseToHeadIsOnlyItsHeader) {
  Serve([&](std::shared_ptr<Exchange> exchange) -> Task<void> {
    HttpHead head;
    head.result(200);
    co_await exchange->StartStream(head);
    EXPECT_TRUE(co_await exchange->Write("data: x\n\n"));
    EXPECT_TRUE(co_await exchange->Finish());
  });
  RawClient client(server_->port());
  client.Say("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n");
  client.Say("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return absl::EndsWith(client.Received(), "0\r\n\r\n"); }));
  std::size_t head_end = client.Received().find("\r\n\r\n") + 4;
  ASSERT_TRUE(RunUntil([&] { return client.Received().size() > head_end + 5; }));
  EXPECT_EQ(client.Received().substr(head_end, 13), "HTTP/1.1 200 ");
}

// Guards against running a request whose connection a stopping server has closed after its bytes
// were read: the client would take the close to mean that nothing was processed. A connection that
// stays open may still serve its request, so the responses are counted.
class ServerStopTest : public ::testing::TestWithParam<bool> {
 protected:
  /// Stops the server after some handlers have run. @return whether the request got a response.
  static bool RespondsWhenStoppedAfter(int steps, bool kept_connection) {
    wire::EventLoop loop;
    int runs = 0;
    Server server(loop.context(), [&](std::shared_ptr<Exchange> exchange) -> Task<void> {
      ++runs;
      HttpHead head;
      head.result(200);
      co_await exchange->Send(std::move(head), "done");
    });
    EXPECT_TRUE(server.Listen({"127.0.0.1", 0}));
    const std::string request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi";
    RawClient client(server.port());
    int before = 0;
    if (kept_connection) {
      client.Say(request);
      for (int round = 0; round < kSomeRounds; ++round) {
        loop.RunRound(absl::Milliseconds(1));
      }
      before = 1;
      EXPECT_EQ(runs, before);
    }
    client.Say(request);
    for (int step = 0; step < steps; ++step) {
      loop.context().poll_one();
    }
    server.CloseIdle();
    for (int round = 0; round < kSomeRounds; ++round) {
      loop.RunRound(absl::Milliseconds(1));
    }
    int responses = 0;
    const std::string& heard = client.Received();
    for (std::size_t at = heard.find("done"); at != std::string::npos;
         at = heard.find("done", at + 1)) {
      ++responses;
    }
    EXPECT_EQ(runs, responses);
    return responses > before;
  }
};

TEST_P(ServerStopTest, RequestOnClosedConnectionIsNotRun) {
  constexpr int kMostSteps = 24;  // Exceeds the about ten handlers from connecting to the response.
  int responded_runs = 0;
  for (int steps = 0; steps <= kMostSteps; ++steps) {
    SCOPED_TRACE(steps);
    responded_runs += RespondsWhenStoppedAfter(steps, GetParam()) ? 1 : 0;
  }
  EXPECT_GT(responded_runs, 0) << "the server never stopped after the request was read";
}

INSTANTIATE_TEST_SUITE_P(Connections, ServerStopTest, ::testing::Bool(),
                         [](const auto& info) { return info.param ? "Kept" : "New"; });

}  // namespace
}  // namespace martenyard::async_http
