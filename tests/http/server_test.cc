// Responses while the server stops: guards against truncated streams that look complete to the
// client, and against 503 responses without an outcome.
#include "http/server.h"

#include <arpa/inet.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/blocking_counter.h"
#include "absl/synchronization/notification.h"
#include "http/client.h"
#include "http/listener.h"

namespace martenyard::http {
namespace {

/// @return another loopback address on each call. Closed connections occupy a listening port for a
/// minute, and an address has only 14,000 ports for listeners.
std::string NextLoopbackAddress() {
  constexpr unsigned kAddressesPerNetwork = 250;
  static std::atomic<unsigned> last = 0;
  unsigned number = ++last;
  unsigned network = static_cast<unsigned>(getpid()) % kAddressesPerNetwork + 1;
  return absl::StrCat("127.", network, ".", number / kAddressesPerNetwork % kAddressesPerNetwork,
                      ".", number % kAddressesPerNetwork + 1);
}

std::unique_ptr<Server> StartServer(const ServerOptions& options, Handler handler) {
  return ValueOrThrow<HttpError>([&] { return Server::Start(options, std::move(handler)); });
}

std::unique_ptr<Listener> StartListener(Listener::OnAccept on_accept,
                                        const std::string& address = "127.0.0.1") {
  return ValueOrThrow<HttpError>([&] { return Listener::Start(address, 0, std::move(on_accept)); });
}

std::string UrlOf(const ServerOptions& options, const Server& server) {
  return absl::StrCat("http://", options.address, ":", server.port(), "/");
}

/// A server that stores its request for the test, and a client.
class StoppingServer {
 public:
  StoppingServer() {
    options_.address = NextLoopbackAddress();
    server_ = StartServer(options_, [this](Request, std::shared_ptr<Responder> responder) {
      responder_ = std::move(responder);
      request_received_.Notify();
    });
  }

  /// Sends a request, calls `respond`, waits for body text if it returns true, stops the server
  /// unless `finished`, and waits until the transfer ends.
  template <typename Respond>
  ClientResult RequestAndStop(std::string* text, Respond respond, bool finished = false) {
    ClientRequest request;
    request.url = UrlOf(options_, *server_);
    absl::Notification text_received;
    absl::Notification ended;
    ClientResult result;
    client_->Start(
        std::move(request),
        [&](std::string_view bytes) {
          text->append(bytes);
          if (!text_received.HasBeenNotified()) {
            text_received.Notify();
          }
        },
        [&](ClientResult transfer_result) {
          result = std::move(transfer_result);
          ended.Notify();
        });
    request_received_.WaitForNotification();
    if (respond(*responder_)) {
      text_received.WaitForNotification();
    }
    if (!finished) {
      server_->Stop();
    }
    ended.WaitForNotification();
    return result;
  }

 private:
  ServerOptions options_;
  std::shared_ptr<Responder> responder_;
  absl::Notification request_received_;
  std::unique_ptr<Server> server_;
  std::unique_ptr<Client> client_ = Client::Create();
};

/// The stop races with the last bytes of the response; repeated to cover both orders.
constexpr int kRounds = 50;

TEST(MicrohttpdServerTest, StreamAbortedByStopIsAnError) {
  for (int round = 0; round < kRounds; ++round) {
    SCOPED_TRACE(round);
    StoppingServer stopping;
    std::string half = round % 2 == 0 ? "data: one\n\n" : "data: one\n\ndata: tw";
    std::string text;
    ClientResult result = stopping.RequestAndStop(&text, [&half](Responder& responder) {
      responder.StartStream(200, {});
      responder.Write(half);
      return true;
    });
    EXPECT_FALSE(result.error.empty());
    EXPECT_EQ(text, half);
  }
}

TEST(MicrohttpdServerTest, FinishedStreamIsComplete) {
  StoppingServer stopping;
  std::string text;
  ClientResult result = stopping.RequestAndStop(
      &text,
      [](Responder& responder) {
        responder.StartStream(200, {});
        responder.Write("data: one\n\n");
        responder.Finish();
        return true;
      },
      /*finished=*/true);
  EXPECT_TRUE(result.ok()) << result.error;
  EXPECT_EQ(text, "data: one\n\n");
}

TEST(MicrohttpdServerTest, PendingRequestHasUnknownOutcomeAfterStop) {
  for (int round = 0; round < kRounds; ++round) {
    SCOPED_TRACE(round);
    StoppingServer stopping;
    std::string text;
    ClientResult result = stopping.RequestAndStop(&text, [](Responder&) { return false; });
    bool cut = !result.error.empty();
    bool outcome_unknown =
        result.status == 503 && result.body.find(R"("outcome":"unknown")") != std::string::npos;
    EXPECT_TRUE(cut || outcome_unknown) << result.status << " " << result.body;
  }
}

/// Guards against closing connections before queued responses are written. The responses are larger
/// than a socket buffer.
TEST(MicrohttpdServerTest, ResponseSentBeforeStopIsComplete) {
  const std::string body(std::size_t{4} << 20, 'b');
  for (int round = 0; round < kRounds; ++round) {
    SCOPED_TRACE(round);
    StoppingServer stopping;
    std::string text;
    ClientResult result = stopping.RequestAndStop(&text, [&body](Responder& responder) {
      responder.Send({200, {}, body});
      return false;
    });
    EXPECT_EQ(result.error, "");
    EXPECT_EQ(result.status, 200);
    EXPECT_EQ(text.size() + result.body.size(), body.size());
  }
}

TEST(MicrohttpdServerTest, StreamFinishedBeforeStopIsComplete) {
  const std::string event = "data: " + std::string(std::size_t{1} << 20, 'e') + "\n\n";
  for (int round = 0; round < kRounds; ++round) {
    SCOPED_TRACE(round);
    StoppingServer stopping;
    std::string text;
    ClientResult result = stopping.RequestAndStop(&text, [&event](Responder& responder) {
      responder.StartStream(200, {});
      responder.Write(event);
      responder.Finish();
      return false;
    });
    EXPECT_EQ(result.error, "");
    EXPECT_TRUE(text == event) << text.size() << " of " << event.size() << " bytes";
  }
}

/// Guards against an abort when the server stops listening while its threads are busy with other
/// connections.
TEST(MicrohttpdServerTest, StopsListeningBesideBusyConnections) {
  constexpr int kBusyRounds = 500;
  constexpr int kClients = 4;
  constexpr int kAnswersBeforeStop = 16;
  std::unique_ptr<Client> client = Client::Create();
  for (int round = 0; round < kBusyRounds; ++round) {
    ServerOptions options;
    options.threads = 4;
    options.address = NextLoopbackAddress();
    auto server = StartServer(options, [](Request, std::shared_ptr<Responder> sender) {
      sender->Send({200, {}, "ok"});
    });
    std::string url = UrlOf(options, *server);
    std::atomic<bool> stopping = false;
    std::atomic<int> answers = 0;
    absl::Notification busy;
    absl::BlockingCounter ended(kClients);
    std::function<void()> ask = [&] {
      ClientRequest request;
      request.url = url;
      client->Start(
          std::move(request), [](std::string_view) {},
          [&](const ClientResult& result) {
            if (++answers == kAnswersBeforeStop) {
              busy.Notify();
            }
            if (result.ok() && !stopping) {
              ask();
              return;
            }
            ended.DecrementCount();
          });
    };
    for (int started = 0; started < kClients; ++started) {
      ask();
    }
    busy.WaitForNotification();
    server->StopListening();
    stopping = true;
    server->Stop();
    ended.Wait();
  }
}

/// Guards against callers beyond the connection limit whose connection is closed without an answer.
TEST(MicrohttpdServerTest, ConnectionBeyondTheLimitIsToldToRetry) {
  constexpr unsigned kMaxConnections = 4;
  ServerOptions options;
  options.max_connections = kMaxConnections;
  std::mutex mutex;
  std::vector<std::shared_ptr<Responder>> pending;
  absl::BlockingCounter received(kMaxConnections);
  auto server = StartServer(options, [&](Request, std::shared_ptr<Responder> responder) {
    std::lock_guard lock(mutex);
    pending.push_back(std::move(responder));
    received.DecrementCount();
  });
  std::unique_ptr<Client> client = Client::Create();
  std::vector<ClientResult> results(kMaxConnections);
  absl::BlockingCounter ended(kMaxConnections);
  for (ClientResult& result : results) {
    ClientRequest request;
    request.url = UrlOf(options, *server);
    client->Start(std::move(request), nullptr, [&](ClientResult finished) {
      result = std::move(finished);
      ended.DecrementCount();
    });
  }
  received.Wait();
  ClientRequest beyond;
  beyond.url = UrlOf(options, *server);
  ClientResult rejected = Client::Create()->Fetch(std::move(beyond));
  EXPECT_EQ(rejected.error, "");
  EXPECT_EQ(rejected.status, 503);
  EXPECT_THAT(rejected.body, ::testing::HasSubstr(R"("outcome":"unknown")"));
  EXPECT_EQ(rejected.retry_after_seconds, 1);
  for (const auto& responder : pending) {
    responder->Send({200, {}, "ok"});
  }
  ended.Wait();
  for (const ClientResult& result : results) {
    EXPECT_TRUE(result.ok()) << result.error;
  }
}

/// Opens a connection whose reads wait for `read_timeout` at most.
int Connect(const ServerOptions& options, const Server& server, timeval read_timeout) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(server.port());
  EXPECT_EQ(inet_pton(AF_INET, options.address.c_str(), &address.sin_addr), 1);
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &read_timeout, sizeof(read_timeout));
  EXPECT_EQ(connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
  return socket;
}

/// Sends the bytes on a new connection and reads until the server closes or is idle.
std::string Exchange(const ServerOptions& options, const Server& server, const std::string& bytes,
                     timeval idle = {0, 100000}) {
  int socket = Connect(options, server, idle);
  send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  std::string received;
  char part[4096];
  for (ssize_t count = 1; count > 0;) {
    count = recv(socket, part, sizeof(part), 0);
    received.append(part, count > 0 ? static_cast<std::size_t>(count) : 0);
  }
  close(socket);
  return received;
}

// Guards against running a request that is part of another request's body.
TEST(MicrohttpdServerTest, RequestWithAmbiguousBodyLengthIsRejected) {
  struct FramingCase {
    const char* version;
    const char* lines;
    bool chunked;
    bool served;
  };
  const FramingCase cases[] = {
      {"1.1", "Content-Length: 46", false, true},
      {"1.1", "Transfer-Encoding: chunked", true, true},
      {"1.1", "Transfer-Encoding: identity", false, false},
      {"1.1", "Transfer-Encoding: gzip, chunked", true, false},
      {"1.1", "Transfer-Encoding: chunked, identity", true, false},
      {"1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity", true, false},
      {"1.1", "Transfer-Encoding: identity\r\nContent-Length: 0", false, false},
      {"1.1", "Content-Length: 0\r\nTransfer-Encoding: chunked", true, false},
      {"1.0", "Transfer-Encoding: chunked", true, false},
      {"1.1", "Content-Length: 0\r\nContent-Length: 46", false, false},
      {"1.1", "Content-Length: 46\r\nContent-Length: 0", false, false},
      {"1.1", "Content-Length: 0, 46", false, false},
      {"1.1", "Content-Length: +0", false, false},
  };
  const std::string inner = "POST /inner HTTP/1.1\r\nHost: h\r\nX: aaaaaaaa\r\n\r\n";
  ASSERT_EQ(inner.size(), 46U);
  for (const FramingCase& test : cases) {
    SCOPED_TRACE(test.lines);
    std::atomic<int> outer_runs = 0;
    std::atomic<int> inner_runs = 0;
    ServerOptions options;
    options.address = NextLoopbackAddress();
    auto server = StartServer(options, [&](Request request, std::shared_ptr<Responder> responder) {
      ++(request.path == "/inner" ? inner_runs : outer_runs);
      responder->Send({});
    });
    std::string body = test.chunked ? absl::StrCat("2e\r\n", inner, "\r\n0\r\n\r\n") : inner;
    std::string received = Exchange(options, *server,
                                    absl::StrCat("POST /outer HTTP/", test.version,
                                                 "\r\nHost: h\r\n", test.lines, "\r\n\r\n", body));
    EXPECT_EQ(inner_runs, 0);
    EXPECT_EQ(outer_runs, test.served ? 1 : 0);
    EXPECT_THAT(received, ::testing::StartsWith(test.served ? "HTTP/1.1 200" : "HTTP/1.1 400"));
    server->Stop();
  }
}

/// Bytes of requests that do not end.
const std::vector<std::string>& HalfSentRequests() {
  static const std::vector<std::string> requests = {
      "",
      "POST / HT",
      "POST / HTTP/1.1\r\nHost: h\r\nX: a",
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf",
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4;extension",
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\nX: a",
  };
  return requests;
}

/// Guards against connections that stay open for good without a complete request.
TEST(MicrohttpdServerTest, HalfSentRequestIsClosedAfterTheConnectionTimeout) {
  constexpr timeval kFarBeyondTheTimeout{20, 0};
  ServerOptions options;
  options.address = NextLoopbackAddress();
  options.connection_timeout = std::chrono::seconds(1);
  auto server = StartServer(options, [](Request, std::shared_ptr<Responder> responder) {
    responder->Send({200, {}, "ok"});
  });
  std::vector<int> sockets;
  for (const std::string& bytes : HalfSentRequests()) {
    int socket = Connect(options, *server, kFarBeyondTheTimeout);
    send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    sockets.push_back(socket);
  }
  for (std::size_t index = 0; index < sockets.size(); ++index) {
    char byte = 0;
    EXPECT_EQ(recv(sockets[index], &byte, 1, 0), 0) << HalfSentRequests()[index];
    close(sockets[index]);
  }
}

/// The connection timeout applies to callers, not to the time that an answer takes.
TEST(MicrohttpdServerTest, AwaitedResponseOutlivesTheConnectionTimeout) {
  constexpr auto kBeyondTheTimeout = std::chrono::seconds(3);
  ServerOptions options;
  options.address = NextLoopbackAddress();
  options.connection_timeout = std::chrono::seconds(1);
  std::vector<std::thread> handlers;
  auto server = StartServer(options, [&](Request, std::shared_ptr<Responder> responder) {
    handlers.emplace_back([responder = std::move(responder), kBeyondTheTimeout] {
      std::this_thread::sleep_for(kBeyondTheTimeout);
      responder->StartStream(200, {});
      responder->Write("one ");
      std::this_thread::sleep_for(kBeyondTheTimeout);
      responder->Write("two");
      responder->Finish();
    });
  });
  ClientRequest request;
  request.url = UrlOf(options, *server);
  ClientResult result = Client::Create()->Fetch(std::move(request));
  EXPECT_TRUE(result.ok()) << result.error;
  EXPECT_EQ(result.body, "one two");
  for (std::thread& handler : handlers) {
    handler.join();
  }
}

std::string PostOf(std::size_t length, const std::string& body) {
  return absl::StrCat("POST /upload HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: ",
                      length, "\r\n\r\n", body);
}

/// Guards against memory that grows with the number of connections which send a body.
TEST(MicrohttpdServerTest, BodiesOfAllConnectionsTogetherAreLimited) {
  constexpr int kMaxTries = 1000;
  const std::string body(40000, 'b');
  ServerOptions options;
  options.address = NextLoopbackAddress();
  options.max_body_bytes = body.size() + 1;
  options.max_buffered_body_bytes = 2 * body.size() - 1;
  std::atomic<std::size_t> uploads = 0;
  auto server = StartServer(options, [&](Request request, std::shared_ptr<Responder> responder) {
    uploads += request.path == "/upload" ? 1 : 0;
    responder->Send({200, {}, "ok"});
  });
  auto exchange = [&](const std::string& bytes) {
    return Exchange(options, *server, bytes, {20, 0});  // Ended by the server, far earlier.
  };
  auto upload = [&] { return exchange(PostOf(body.size(), body)); };
  auto await_buffered = [&server](std::size_t bytes) {
    for (int tries = 0; tries < kMaxTries && server->buffered_body_bytes() != bytes; ++tries) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return server->buffered_body_bytes();
  };
  for (int round = 0; round < 3; ++round) {  // What a request held is free after it.
    EXPECT_THAT(upload(), ::testing::StartsWith("HTTP/1.1 200"));
  }

  const std::string half_sent = PostOf(body.size() + 1, body);
  int holder = Connect(options, *server, {0, 100000});
  ASSERT_EQ(send(holder, half_sent.data(), half_sent.size(), MSG_NOSIGNAL),
            static_cast<ssize_t>(half_sent.size()));
  ASSERT_EQ(await_buffered(body.size()), body.size());
  std::string rejected = upload();
  EXPECT_THAT(rejected, ::testing::StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(rejected, ::testing::HasSubstr("\r\nRetry-After: 1\r\n"));
  EXPECT_THAT(rejected, ::testing::HasSubstr(R"("outcome":"not_run")"));
  std::size_t uploads_before = uploads;
  EXPECT_THAT(upload(), ::testing::StartsWith("HTTP/1.1 503"));
  EXPECT_EQ(uploads, uploads_before);
  EXPECT_THAT(exchange("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"),
              ::testing::StartsWith("HTTP/1.1 200"));
  EXPECT_THAT(exchange(PostOf(4, "tiny")), ::testing::StartsWith("HTTP/1.1 200"));

  close(holder);
  EXPECT_EQ(await_buffered(0), 0U);
  EXPECT_THAT(upload(), ::testing::StartsWith("HTTP/1.1 200"));
  EXPECT_THAT(exchange(PostOf(body.size() + 2, body + "bb")),
              ::testing::StartsWith("HTTP/1.1 413"));
  EXPECT_THAT(upload(), ::testing::StartsWith("HTTP/1.1 200"));
}

/// Guards against a head, a trailer section or a chunk extension that is held without limit.
TEST(MicrohttpdServerTest, EndlessLinesAreEndedByTheServer) {
  constexpr std::size_t kMaxSentBytes = std::size_t{64} << 20;
  const std::string head = "POST / HTTP/1.1\r\nHost: h\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  struct Case {
    const char* name;
    std::string start;
    std::string repeated;
  };
  ServerOptions options;
  options.address = NextLoopbackAddress();
  std::atomic<int> runs = 0;
  auto server = StartServer(options, [&runs](Request, std::shared_ptr<Responder> responder) {
    ++runs;
    responder->Send({200, {}, "ok"});
  });
  for (const Case& test :
       {Case{"RequestLine", "POST /", "path"}, Case{"HeaderLines", head, "X-Field: value\r\n"},
        Case{"HeaderLine", head + "X-Field: ", "value"},
        Case{"TrailerLines", chunked + "4\r\ndata\r\n0\r\n", "X-Field: value\r\n"},
        Case{"TrailerLine", chunked + "4\r\ndata\r\n0\r\nX-Field: ", "value"},
        Case{"ChunkExtension", chunked + "4;extension=", "value"},
        Case{"ChunkSize", chunked, "0"}}) {
    SCOPED_TRACE(test.name);
    int socket = Connect(options, *server, {0, 100000});
    std::string part;
    while (part.size() < 65536) {
      part += test.repeated;
    }
    std::size_t sent = test.start.size();
    bool open = send(socket, test.start.data(), test.start.size(), MSG_NOSIGNAL) > 0;
    while (open && sent < kMaxSentBytes) {
      open = send(socket, part.data(), part.size(), MSG_NOSIGNAL) > 0;
      sent += part.size();
    }
    EXPECT_FALSE(open) << "the server took " << sent << " bytes";
    close(socket);
  }
  EXPECT_EQ(runs, 0);
  EXPECT_THAT(
      Exchange(options, *server, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", {20, 0}),
      ::testing::StartsWith("HTTP/1.1 200"));
}

/// Guards against a reset of connections that the kernel established before the listener closed.
TEST(ListenerTest, HandsOverEstablishedConnectionsWhenItCloses) {
  constexpr int kCloses = 300;
  for (int round = 0; round < kCloses; ++round) {
    std::atomic<int> accepted = 0;
    std::string host = NextLoopbackAddress();
    auto count = [&accepted](int socket, const sockaddr*, socklen_t) {
      close(socket);
      ++accepted;
    };
    auto listener = StartListener(count, host);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(listener->port());
    ASSERT_EQ(inet_pton(AF_INET, host.c_str(), &address.sin_addr), 1);
    int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    ASSERT_EQ(connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    listener->Close();
    EXPECT_EQ(accepted, 1);
    close(socket);
  }
}

TEST(ListenerTest, RejectsConnectionsOnceClosed) {
  std::atomic<int> accepted = 0;
  auto listener = StartListener([&accepted](int socket, const sockaddr*, socklen_t) {
    close(socket);
    ++accepted;
  });
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(listener->port());
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto connect_once = [&address] {
    int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    int result = connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    char byte = 0;
    // Returns once the other side has closed the connection.
    ssize_t received = result == 0 ? read(socket, &byte, 1) : -1;
    close(socket);
    return received == 0;
  };
  EXPECT_TRUE(connect_once());
  EXPECT_EQ(accepted, 1);
  listener->Close();
  listener->Close();
  EXPECT_FALSE(connect_once());
  EXPECT_EQ(accepted, 1);
}

TEST(ListenerTest, ReportsAnAddressInUseAndOneThatIsNone) {
  auto accept = [](int socket, const sockaddr*, socklen_t) { close(socket); };
  auto listener = StartListener(accept);
  auto error_of = [&](const std::string& address, std::uint16_t port) {
    return leaf::try_handle_all(
        [&]() -> Result<std::string> {
          BOOST_LEAF_CHECK(Listener::Start(address, port, accept));
          return std::string();
        },
        [](const HttpError& error) { return error.detail; }, [] { return std::string("untyped"); });
  };
  EXPECT_THAT(error_of("127.0.0.1", listener->port()), ::testing::HasSubstr("in use"));
  EXPECT_THAT(error_of("localhost", 0), ::testing::HasSubstr("not an IPv4 address"));
}

}  // namespace
}  // namespace martenyard::http
