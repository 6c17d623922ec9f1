// The server's closing of resting connections, as a stopping gateway does it.
#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

#include "async_http/server.h"
#include "base/errors.h"
#include "wire/event_loop.h"

namespace martenyard::async_http {
namespace {

constexpr absl::Duration kRound = absl::Milliseconds(5);
constexpr int kRounds = 40;  ///< Enough for all that loopback brings.

/// Symptom: a stopping gateway ran a request and closed its connection without an answer.
/// Sequence: Asio has read the request's bytes, so that the socket has nothing left to look at, but
/// the connection's coroutine has not gone on yet. The connection seems to rest and is closed, and
/// the coroutine then goes on with the bytes.
/// What settled it: the gateway's `runner_chosen` in the same millisecond as its closing of resting
/// connections, 3.0 s after `stopping`, and `attempt_ended` `client_gone` 0.5 ms later.
TEST(ServerCloseTest, RequestThatCrossesTheCloseIsNotTaken) {
  wire::EventLoop loop;
  std::vector<std::string> taken;
  std::unique_ptr<Server> server;
  Socket client(loop.context());
  auto request = [&client](const std::string& target) {
    asio::write(client, asio::buffer("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n"));
  };
  server = std::make_unique<Server>(
      loop.context(), [&](std::shared_ptr<Exchange> exchange) -> Task<void> {
        taken.emplace_back(exchange->request().target());
        if (taken.size() > 1) {
          co_return;
        }
        HttpHead head;
        head.result(200);
        co_await exchange->Send(std::move(head), "done");
        // The next request is there when the connection looks for it, and is read at once; what is
        // posted here runs before the connection's coroutine goes on with it.
        request("/second");
        asio::post(loop.context(), [&server] { server->CloseIdle(); });
      });
  bool listens = Recover<ServerError>(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(server->Listen({"127.0.0.1", 0}));
        return true;
      },
      [](const ServerError&) { return false; });
  ASSERT_TRUE(listens);
  client.connect({asio::ip::make_address("127.0.0.1"), server->port()});
  request("/first");
  for (int round = 0; round < kRounds; ++round) {
    loop.RunRound(kRound);
  }
  EXPECT_EQ(taken, std::vector<std::string>({"/first"}));
}

}  // namespace
}  // namespace martenyard::async_http
