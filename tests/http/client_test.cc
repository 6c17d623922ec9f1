// Responses without end or cut: guard against a client whose memory grows with what a
// server sends, and against broken responses that are reported as received.
#include "http/client.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <string>
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

void ExpectFailure(const BrokenResponse& response) {
  SCOPED_TRACE(response.name);
  ScriptedServer server({{response.bytes, true}, Framed(200, "next")});
  auto client = Client::Create();
  ClientRequest request = RequestTo(server);
  request.send_once = true;  // Else libcurl sends the request again if nothing was received.
  ClientResult result = client->Fetch(request);
  EXPECT_FALSE(result.ok());
  EXPECT_NE(result.error, "");
  EXPECT_TRUE(result.connected);
  EXPECT_EQ(result.status, 0);
  EXPECT_EQ(client->Fetch(RequestTo(server)).body, "next");
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
