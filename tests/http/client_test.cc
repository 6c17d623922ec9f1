// Responses without end, malformed or cut: guard against a client whose memory grows with what a
// server sends, and against broken responses that are reported as received.
#include "http/client.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "support/scripted_server.h"

namespace martenyard::http {
namespace {

using testing::Framed;
using testing::ScriptedReply;
using testing::ScriptedServer;
using testing::Unframed;

constexpr std::size_t kMaxBytes = std::size_t{16} << 10;
constexpr std::size_t kBytesBeyond = std::size_t{1} << 20;
constexpr char kChunked[] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

ClientRequest RequestTo(const ScriptedServer& server) {
  ClientRequest request;
  request.url = server.url();
  request.max_body_bytes = kMaxBytes;
  request.max_header_bytes = kMaxBytes;
  return request;
}

/// @return header lines of at least `bytes` in total.
std::string HeaderLines(std::size_t bytes) {
  std::string lines;
  while (lines.size() < bytes) {
    lines += "X-Field: " + std::string(100, 'v') + "\r\n";
  }
  return lines;
}

std::string Chunk(const std::string& data) {
  return absl::StrCat(absl::Hex(data.size()), "\r\n", data, "\r\n");
}

TEST(HttpClientTest, BodyBeyondTheLimitFailsTheTransfer) {
  const std::string body(kBytesBeyond, 'b');
  for (const ScriptedReply& reply : {Framed(200, body), Unframed(200, body), Unframed(500, body),
                                     ScriptedReply{kChunked + Chunk(body) + "0\r\n\r\n", false}}) {
    ScriptedServer server({reply, Framed(200, "next")});
    auto client = Client::Create();
    ClientResult result = client->Fetch(RequestTo(server));
    EXPECT_EQ(result.error, "the response body exceeds 16384 bytes");
    EXPECT_LE(result.body.size(), kMaxBytes);
    EXPECT_TRUE(result.connected);
    EXPECT_EQ(client->Fetch(RequestTo(server)).body, "next");
  }
}

TEST(HttpClientTest, BodyOfExactlyTheLimitIsReceived) {
  const std::string body(kMaxBytes, 'b');
  ScriptedServer server({Framed(200, body)});
  ClientResult result = Client::Create()->Fetch(RequestTo(server));
  EXPECT_TRUE(result.ok()) << result.error;
  EXPECT_EQ(result.body, body);
}

TEST(HttpClientTest, StreamedBodyIsPassedOnBeyondTheLimit) {
  ScriptedServer server({Framed(200, std::string(kBytesBeyond, 'b'))});
  std::size_t received = 0;
  ClientResult result = Client::Create()->FetchStreaming(
      RequestTo(server), [&received](std::string_view data) { received += data.size(); });
  EXPECT_TRUE(result.ok()) << result.error;
  EXPECT_EQ(received, kBytesBeyond);
}

/// Guards against storing an error body without limit in a streamed transfer.
TEST(HttpClientTest, ErrorBodyOfAStreamedTransferIsLimited) {
  ScriptedServer server({Unframed(500, std::string(kBytesBeyond, 'b'))});
  ClientResult result =
      Client::Create()->FetchStreaming(RequestTo(server), [](std::string_view) {});
  EXPECT_EQ(result.error, "the response body exceeds 16384 bytes");
}

TEST(HttpClientTest, HeaderLinesBeyondTheLimitFailTheTransfer) {
  struct Case {
    const char* name;
    std::string bytes;
  };
  const std::string lines = HeaderLines(kBytesBeyond);
  std::string interim;
  while (interim.size() < kBytesBeyond) {
    interim += "HTTP/1.1 103 Early Hints\r\n" + HeaderLines(kMaxBytes / 8) + "\r\n";
  }
  for (const Case& test :
       {Case{"Head", "HTTP/1.1 200 OK\r\n" + lines + "Content-Length: 0\r\n\r\n"},
        Case{"InterimResponses", interim + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
        Case{"Trailers", kChunked + Chunk("data") + "0\r\n" + lines + "\r\n"}}) {
    SCOPED_TRACE(test.name);
    ScriptedServer server({{test.bytes, false}, Framed(200, "next")});
    auto client = Client::Create();
    ClientResult result = client->Fetch(RequestTo(server));
    EXPECT_EQ(result.error, "the response's header lines exceed 16384 bytes");
    EXPECT_EQ(client->Fetch(RequestTo(server)).body, "next");
  }
}

/// Lines that libcurl holds until their end arrives.
TEST(HttpClientTest, LineWithoutEndFailsTheTransfer) {
  const std::string endless(kBytesBeyond, 'v');
  for (const std::string& start :
       {std::string("HTTP/1.1 200 OK\r\nX-Field: "), std::string("HTTP/1.1 200 "),
        kChunked + Chunk("data") + "0\r\nX-Field: ", std::string("no answer")}) {
    SCOPED_TRACE(start);
    ScriptedServer server({{start + endless, false}, Framed(200, "next")});
    auto client = Client::Create();
    ClientResult result = client->Fetch(RequestTo(server));
    EXPECT_FALSE(result.error.empty());
    EXPECT_EQ(client->Fetch(RequestTo(server)).body, "next");
  }
}

/// A response and what is wrong with it.
struct BrokenResponse {
  std::string name;
  std::string bytes;
};

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kBody = "Content-Length: 5\r\n\r\nwhole";

void ExpectFailure(const BrokenResponse& response, bool has_head = false) {
  SCOPED_TRACE(response.name);
  ScriptedServer server({{response.bytes, true}, Framed(200, "next")});
  auto client = Client::Create();
  ClientRequest request = RequestTo(server);
  request.send_once = true;  // Else libcurl sends the request again if nothing was received.
  ClientResult result = client->Fetch(request);
  EXPECT_FALSE(result.ok());
  EXPECT_NE(result.error, "");
  EXPECT_TRUE(result.connected);
  EXPECT_EQ(result.status, has_head ? 200 : 0);
  EXPECT_EQ(client->Fetch(RequestTo(server)).body, "next");
}

// Guards against a status of a response that is none, such as 000.
TEST(HttpClientTest, InvalidStatusLineFailsTheTransfer) {
  for (const char* line :
       {"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK",
        "HTTP/1.1 2x0 OK", "HTTP/1.1  200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 200 O\x01K",
        "HTTP/1.1 ", "HTTP/1.1", "HTTP/2.0 200 OK", "HTTP/2 200", "HTTP/0.9 200 OK", "200 OK"}) {
    ExpectFailure({line, std::string(line) + "\r\n" + kBody});
    ExpectFailure({absl::StrCat(line, " interim"), std::string(line) + "\r\n\r\n" + kOk + kBody});
  }
}

/// @return header lines that are none, with their ends.
std::vector<std::string> InvalidLines() {
  std::vector<std::string> lines = {
      ": a\r\n",
      "X-Field\r\n",
      "X-Field : a\r\n",
      "Content-Length : 2\r\n",
      "Transfer-Encoding : chunked\r\n",
      "X-Field: a\r\n b\r\n",
      "X-Field: a\r\n\tTransfer-Encoding: chunked\r\n",
      "X-Field: a\r\n Content-Length: 2\r\n",
  };
  for (char byte : {' ', '\t', '\x01', '\0', '\x7f', '\xe9', '\r', '('}) {
    lines.push_back(absl::StrCat("X-Fi", std::string(1, byte), "eld: a\r\n"));
  }
  for (char byte : {'\x01', '\0', '\x7f', '\r', '\v', '\f'}) {
    lines.push_back(absl::StrCat("X-Field: a", std::string(1, byte), "b\r\n"));
    lines.push_back(absl::StrCat("X-Field: a", std::string(1, byte), "\r\n"));
  }
  return lines;
}

// Guards against a response with a malformed line in its head, or with a body that it has changed.
TEST(HttpClientTest, InvalidHeaderLineFailsTheTransfer) {
  for (const std::string& line : InvalidLines()) {
    ExpectFailure({"first " + line, kOk + line + kBody});
    ExpectFailure({"second " + line, kOk + "X-First: a\r\n" + line + kBody});
    ExpectFailure({"without a length " + line, kOk + "X-First: a\r\n" + line + "\r\nwhole"});
    ExpectFailure({"interim " + line,
                   "HTTP/1.1 103 Early Hints\r\nLink: a\r\n" + line + "\r\n" + kOk + kBody});
    ExpectFailure(
        {"trailer " + line, kChunked + Chunk("whole") + "0\r\nX-First: a\r\n" + line + "\r\n"},
        /*has_head=*/true);
  }
}

// Guards against success for a response whose server closed within its head.
TEST(HttpClientTest, ResponseCutWithinTheHeadFailsTheTransfer) {
  const std::string head = kOk + "X-Field: a\r\nContent-Length: 5\r\n\r\n";
  const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
  for (std::size_t size = 0; size < head.size(); ++size) {
    ExpectFailure({absl::StrCat("after ", size, " bytes"), head.substr(0, size)});
    ExpectFailure({absl::StrCat("second head after ", size), interim + head.substr(0, size)});
  }
  ExpectFailure({"within a 204", "HTTP/1.1 204 No Content\r\nX-Field: a\r\n"});
  ExpectFailure({"within a 503", "HTTP/1.1 503 Service Unavailable\r\nX-Field: a\r\n"});
}

/// Responds to a request whose body it doesn't read, then resets the connection.
class ResettingServer {
 public:
  explicit ResettingServer(std::string response) : response_(std::move(response)) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int buffer_bytes = 4096;
    setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    EXPECT_EQ(bind(listener_, reinterpret_cast<sockaddr*>(&address), size), 0);
    EXPECT_EQ(listen(listener_, 1), 0);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { Serve(); });
  }
  ~ResettingServer() {
    thread_.join();
    close(listener_);
  }
  std::string url() const { return absl::StrCat("http://127.0.0.1:", port_); }

 private:
  void Serve() {
    int connection = accept(listener_, nullptr, nullptr);
    char bytes[1024];
    EXPECT_GT(read(connection, bytes, sizeof(bytes)), 0);
    send(connection, response_.data(), response_.size(), MSG_NOSIGNAL);
    int unacknowledged = 1;
    while (unacknowledged > 0) {
      ioctl(connection, SIOCOUTQ, &unacknowledged);
      std::this_thread::yield();
    }
    linger abort{1, 0};
    setsockopt(connection, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    close(connection);
  }

  std::string response_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::thread thread_;
};

// Guards against taking a response without a length for complete when the connection was reset.
TEST(HttpClientTest, ResetWhileTheRequestIsSentFailsTheTransfer) {
  for (const char* head : {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n"}) {
    ResettingServer server(std::string(head) + "part");
    ClientRequest request;
    request.method = "POST";
    request.url = server.url();
    request.body = std::string(std::size_t{16} << 20, 'u');
    request.send_once = true;
    ClientResult result = Client::Create()->Fetch(std::move(request));
    EXPECT_FALSE(result.ok());
    EXPECT_NE(result.error, "");
  }
}

// Shows that the responses above fail for what is wrong in them.
TEST(HttpClientTest, WellFormedResponseIsReceived) {
  for (const std::string& bytes :
       {kOk + kBody, "HTTP/1.0 200\r\n" + kBody, "HTTP/1.1 200 \r\n" + kBody,
        "HTTP/1.1 102 Processing\r\n\r\n" + kOk + kBody, kOk + "X-Field:\r\n" + kBody,
        kOk + "x!#$%&'*+-.^_`|~: a\tb \xe9 \r\n" + kBody, kOk + "\r\nwhole",
        kChunked + Chunk("whole") + "0\r\nX-Trailer: a\r\n\r\n"}) {
    SCOPED_TRACE(bytes);
    ScriptedServer server({{bytes, true}});
    ClientResult result = Client::Create()->Fetch(RequestTo(server));
    EXPECT_TRUE(result.ok()) << result.error;
    EXPECT_EQ(result.body, "whole");
  }
}

}  // namespace
}  // namespace martenyard::http
