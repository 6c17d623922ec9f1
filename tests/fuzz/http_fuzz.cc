// The HTTP server under generated requests, over loopback: whatever comes, the connection ends, and
// nothing of it stays with the server.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "async_http/server.h"
#include "base/clock.h"
#include "fuzz/counted_memory.h"
#include "fuzz/inputs.h"
#include "wire/event_loop.h"

namespace martenyard::fuzz {
namespace {

constexpr std::uint64_t kShortRun = 1000;
/// A connection for each takes a hundred times as long as a call.
constexpr std::uint64_t kShareOfInputs = 10;
constexpr std::uint64_t kSeed = 20261202;
constexpr absl::Duration kPatience = absl::Seconds(20);
constexpr std::uint64_t kBodyBytes = std::uint64_t{64} << 10U;
constexpr std::uint32_t kHeaderBytes = 8192;
/// Up to and with the status: "HTTP/1.1 200".
constexpr std::size_t kStatusLineBytes = 12;
/// A body's declared length is reserved at once, up to the limit; the rest are the buffers of a few
/// readings, and the fields of a head.
constexpr std::size_t kMostBytes = 2 * kBodyBytes + (std::size_t{256} << 10U);

std::uint64_t InputCount() {
  const char* text = std::getenv("MARTENYARD_FUZZ_INPUTS");
  std::uint64_t value = 0;
  return text != nullptr && absl::SimpleAtoi(text, &value) ? value / kShareOfInputs : kShortRun;
}

std::vector<std::string> Requests() {
  return {"GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
          "POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
          std::string("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n") +
              "5\r\nhello\r\n3;x=y\r\nabc\r\n0\r\nTrailer: t\r\n\r\n",
          "PUT /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
          "HEAD / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
          "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n",
          std::string("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 27\r\n\r\n") +
              "GET /in HTTP/1.1\r\nHost: h\r\n" +
              "POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
              "5\r\nhello\r\n0\r\n\r\nHEAD /3 HTTP/1.1\r\nHost: h\r\n\r\n",
          "POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: identity\r\n\r\nGET /in HTTP/1.1"};
}

std::vector<std::string> Words() {
  return {"\r\n",
          "\r\n\r\n",
          "Content-Length: 0\r\n",
          "Content-Length: 99999999999999999999\r\n",
          "Content-Length: 65536\r\n",
          "Transfer-Encoding: chunked\r\n",
          "Transfer-Encoding: gzip\r\n",
          "Transfer-Encoding: chunked, identity\r\n",
          "Content-Length: 5\r\nContent-Length: 0\r\n",
          "X: folded\r\n line\r\n",
          "Expect: 100-continue\r\n",
          "Connection: close\r\n",
          "HTTP/1.0",
          "FFFFFFFFFFFFFFFF\r\n",
          "0\r\n",
          std::string(9000, 'a'),
          std::string(1, '\0'),
          " ",
          ":"};
}

/// One client: sends all, closes its sending half, and reads until the server closes.
class Client {
 public:
  explicit Client(std::uint16_t port) : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    // No address is kept waiting: tens of thousands follow.
    linger at_once{1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  }
  ~Client() { close(socket_); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Sends what fits. @return whether all has left.
  bool Send(const std::string& bytes) {
    ssize_t count =
        send(socket_, bytes.data() + sent_, bytes.size() - sent_, MSG_NOSIGNAL | MSG_DONTWAIT);
    sent_ += count > 0 ? static_cast<std::size_t>(count) : 0;
    return sent_ == bytes.size();
  }
  void EndSending() const { shutdown(socket_, SHUT_WR); }
  /// @return whether the server still holds the connection.
  bool Read() {
    char bytes[4096];
    ssize_t count = 1;
    while (count > 0) {
      count = recv(socket_, bytes, sizeof(bytes), MSG_DONTWAIT);
      // No more than the first status: what the client kept would count as the server's memory.
      std::size_t room = kStatusLineBytes - std::min(kStatusLineBytes, heard_.size());
      heard_.append(bytes, std::min(room, count > 0 ? static_cast<std::size_t>(count) : 0));
    }
    return count < 0 && (errno == EAGAIN || errno == EINTR);
  }
  const std::string& heard() const { return heard_; }

 private:
  int socket_;
  std::size_t sent_ = 0;
  std::string heard_;
};

TEST(HttpFuzzTest, NoRequestCrashesTheServerOrStaysWithIt) {
  wire::EventLoop loop;
  std::uint64_t answered = 0;
  async_http::Server server(
      loop.context(),
      [&](std::shared_ptr<async_http::Exchange> exchange) -> async_http::Task<void> {
        ++answered;
        EXPECT_LE(exchange->request().body().size(), kBodyBytes);
        async_http::HttpHead head;
        head.result(200);
        co_await exchange->Send(head, "ok");
      });
  ASSERT_TRUE(server.Listen({"127.0.0.1", 0}));
  server.limits().header_bytes = kHeaderBytes;
  server.limits().body_bytes = kBodyBytes;
  InputSource inputs(Requests(), Words(), kSeed);
  std::map<std::string, std::uint64_t> ends;
  std::uint64_t count = InputCount();
  std::size_t most = 0;
  for (std::uint64_t number = 0; number < count && !HasFailure(); ++number) {
    SCOPED_TRACE(number);
    std::string input = inputs.Next();
    PeakMemory memory;
    {
      Client client(server.port());
      bool sent = false;
      bool open = true;
      for (absl::Time end = SteadyNow() + kPatience; open && SteadyNow() < end;) {
        if (!sent && client.Send(input)) {
          sent = true;
          client.EndSending();
        }
        loop.RunRound(absl::Milliseconds(1));
        open = client.Read();
      }
      ASSERT_FALSE(open) << "the server keeps a connection that its client has ended";
      // What it still does with a connection that is closed.
      for (absl::Time end = SteadyNow() + kPatience;
           server.stats().open_connections > 0 && SteadyNow() < end;) {
        loop.RunRound(absl::Milliseconds(1));
      }
      const std::string& heard = client.heard();
      ++ends[absl::StartsWith(heard, "HTTP/1.1 ") ? heard.substr(9, 3) : "closed"];
    }
    ASSERT_EQ(server.stats().open_connections, 0U);
    ASSERT_EQ(server.stats().active_exchanges, 0U);
    ASSERT_EQ(server.stats().request_memory, 0U);
    most = std::max(most, memory.bytes());
    ASSERT_LE(memory.bytes(), kMostBytes) << input.size() << " bytes";
  }
  std::printf("http: %llu connections, %llu requests taken, %zu bytes allocated at most;",
              static_cast<unsigned long long>(count), static_cast<unsigned long long>(answered),
              most);
  for (const auto& [status, times] : ends) {
    std::printf(" %s %llu", status.c_str(), static_cast<unsigned long long>(times));
  }
  std::printf("\n");
  EXPECT_GT(ends["200"], 0U);
  EXPECT_GT(ends["400"], 0U);
}

}  // namespace
}  // namespace martenyard::fuzz
