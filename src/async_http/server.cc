#include "async_http/server.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "async_http/framing.h"
#include "async_http/reason_phrase.h"
#include "base/clock.h"

namespace martenyard::async_http {

namespace http = boost::beast::http;

class ServerConnection;

namespace {

constexpr int kBacklog = 4096;
constexpr std::size_t kReadBytes = std::size_t{16} << 10;
/// The connection fails if sent data isn't acknowledged in this time.
constexpr unsigned kUserTimeoutMilliseconds = 5000;
/// Retry-After of rejected requests, in seconds.
constexpr absl::string_view kOverloadRetryAfter = "0.3";
constexpr absl::Duration kAcceptPause = absl::Milliseconds(20);
/// Interval of polling a client with a pipelined request for its disconnect: unread bytes keep the
/// socket readable, so readability can't signal it.
constexpr absl::Duration kDisconnectPollInterval = absl::Milliseconds(50);

using RequestParser = http::request_parser<http::string_body>;

std::string HeadText(const HttpHead& head) {
  std::string text = absl::StrCat("HTTP/1.1 ", head.result_int(), " ", ReasonPhrase(head), "\r\n");
  for (const auto& field : head) {
    absl::StrAppend(&text,
                    absl::string_view(field.name_string().data(), field.name_string().size()), ": ",
                    absl::string_view(field.value().data(), field.value().size()), "\r\n");
  }
  return text;
}

bool MayHaveBody(unsigned status) { return status >= 200 && status != 204 && status != 304; }

}  // namespace

HttpHead MakeHead(unsigned status) {
  HttpHead head;
  head.result(status);
  head.reason(http::obsolete_reason(head.result()));
  return head;
}

struct Server::Shared {
  Shared(asio::io_context& io, ExchangeHandler on_exchange, RejectionObserver on_rejection)
      : context(io),
        handler(std::move(on_exchange)),
        on_rejected(std::move(on_rejection)),
        acceptor(io) {}

  asio::io_context& context;
  ExchangeHandler handler;
  RejectionObserver on_rejected;  // May be empty.
  asio::ip::tcp::acceptor acceptor;
  ServerLimits limits;
  ServerStats stats;
  bool draining = false;
  bool requests_close = false;
  std::set<ServerConnection*> connections;
};

/// A client connection: reads requests one after the other and passes them to the handler.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(std::shared_ptr<Server::Shared> shared, Socket socket)
      : shared_(std::move(shared)), socket_(std::move(socket)) {
    ++shared_->stats.open_connections;
    shared_->connections.insert(this);
  }
  ~ServerConnection() {
    --shared_->stats.open_connections;
    shared_->connections.erase(this);
  }

  Task<void> Run();

  Task<bool> SendBytes(absl::string_view bytes);
  void Close();
  /// Closes the connection if it is idle and no byte of a request was received.
  void CloseIfIdle();
  /// Watches for a disconnect of the client while its request is processed.
  void Watch(std::shared_ptr<Exchange> exchange);
  std::string ConnectionFields(bool* closes) const;
  const HttpRequest* current() const { return current_; }
  void set_keep_open(bool keep) { keep_open_ = keep; }
  bool draining() const { return shared_->draining; }

 private:
  enum class ReadOutcome { kComplete, kClosed, kAnswered };

  Task<ReadOutcome> ReadRequest(Exchange& exchange);
  Task<bool> FillBuffer(absl::Duration timeout);
  /// @return the bytes that were read and not parsed yet.
  absl::string_view BufferedBytes() const {
    auto bytes = buffer_.cdata();
    return {static_cast<const char*>(bytes.data()), bytes.size()};
  }
  /// @param detail for the log.
  Task<ReadOutcome> Reject(unsigned status, absl::string_view detail);
  Task<ReadOutcome> RejectFraming(FramingError error);
  bool ReserveBody(std::uint64_t bytes);
  void ReleaseBody();
  void OnReadable();
  void ArmWatch();
  /// Schedules a check for the disconnect of a client with unread bytes.
  void ScheduleDisconnectCheck();
  void CheckDisconnect();

  std::shared_ptr<Server::Shared> shared_;
  Socket socket_;
  boost::beast::flat_buffer buffer_;
  std::weak_ptr<Exchange> watched_;
  bool watch_armed_ = false;
  std::unique_ptr<Alarm> disconnect_check_;  // For the current exchange only.
  bool keep_open_ = true;
  bool idle_ = false;  // No byte of the next request has been read.
  std::uint64_t reserved_body_ = 0;
  const HttpRequest* current_ = nullptr;
};

// ---- Reading ----

Task<bool> ServerConnection::FillBuffer(absl::Duration timeout) {
  std::weak_ptr<ServerConnection> self = weak_from_this();
  Alarm alarm(shared_->context, timeout, [self] {
    if (auto present = self.lock()) {
      present->Close();
    }
  });
  auto [error, count] = co_await socket_.async_read_some(buffer_.prepare(kReadBytes), kAwait);
  // Closed after the bytes arrived: the client takes the close to mean that nothing was processed.
  if (error || !socket_.is_open()) {
    co_return false;
  }
  buffer_.commit(count);
  co_return true;
}

bool ServerConnection::ReserveBody(std::uint64_t bytes) {
  ServerStats& stats = shared_->stats;
  if (bytes <= reserved_body_) {
    return true;
  }
  std::uint64_t more = bytes - reserved_body_;
  if (stats.buffered_body_bytes + more > shared_->limits.buffered_body_bytes) {
    ++stats.rejected_bodies;
    return false;
  }
  stats.buffered_body_bytes += more;
  reserved_body_ = bytes;
  return true;
}

void ServerConnection::ReleaseBody() {
  shared_->stats.buffered_body_bytes -= reserved_body_;
  reserved_body_ = 0;
}

Task<ServerConnection::ReadOutcome> ServerConnection::RejectFraming(FramingError error) {
  ++shared_->stats.rejected_framings;
  co_return co_await Reject(400, NameOf(error));
}

Task<ServerConnection::ReadOutcome> ServerConnection::Reject(unsigned status,
                                                             absl::string_view detail) {
  if (shared_->on_rejected) {
    shared_->on_rejected(status, detail);
  }
  boost::beast::string_view phrase = http::obsolete_reason(static_cast<http::status>(status));
  absl::string_view reason(phrase.data(), phrase.size());
  std::string retry =
      status == 503 ? absl::StrCat("Retry-After: ", kOverloadRetryAfter, "\r\n") : std::string();
  std::string body = absl::StrCat("{\"error\":\"", reason, "\"}");
  co_await SendBytes(absl::StrCat("HTTP/1.1 ", status, " ", reason, "\r\n", retry,
                                  "Content-Type: application/json\r\nConnection: close\r\n",
                                  "Content-Length: ", body.size(), "\r\n\r\n", body));
  co_return ReadOutcome::kAnswered;
}

Task<ServerConnection::ReadOutcome> ServerConnection::ReadRequest(Exchange& exchange) {
  const ServerLimits& limits = shared_->limits;
  idle_ = buffer_.size() == 0;
  if (idle_ && !co_await FillBuffer(limits.idle_timeout)) {
    co_return ReadOutcome::kClosed;
  }
  idle_ = false;
  RequestParser parser;
  // Not eager until the header is complete, to keep it apart from the trailer of a chunked body.
  parser.eager(false);
  parser.header_limit(limits.header_bytes);
  parser.body_limit(limits.body_bytes);
  absl::Time began = SteadyNow();
  bool continue_sent = false;
  std::optional<http::request_header<>> header;
  while (!parser.is_done()) {
    if (!parser.is_header_done() && CheckLines(BufferedBytes()) != FramingError::kNone) {
      co_return co_await RejectFraming(FramingError::kLineFolding);
    }
    error_code error;
    std::size_t used = parser.put(buffer_.data(), error);
    buffer_.consume(used);
    if (error == http::error::need_more) {
      error = {};
    } else if (error == http::error::header_limit) {
      co_return co_await Reject(431, "the header section is too large");
    } else if (error == http::error::body_limit) {
      co_return co_await Reject(413, "the body is too large");
    } else if (FramingError framing = FramingErrorOf(error); framing != FramingError::kNone) {
      co_return co_await RejectFraming(framing);
    } else if (error) {
      std::string detail = error.message();
      co_return co_await Reject(400, detail);
    }
    if (parser.is_header_done() && !parser.eager()) {
      FramingError framing = CheckFraming(parser.get(), parser.get().version());
      if (framing != FramingError::kNone) {
        co_return co_await RejectFraming(framing);
      }
      parser.eager(true);
      if (parser.chunked()) {
        header = parser.get().base();
      }
    }
    if (parser.is_done()) {
      break;
    }
    if (parser.is_header_done()) {
      std::uint64_t expected = parser.content_length().value_or(parser.get().body().size());
      if (!ReserveBody(expected)) {
        co_return co_await Reject(503, "the request bodies of this process use up their memory");
      }
      auto expectation = parser.get().find(http::field::expect);
      if (!continue_sent && expectation != parser.get().end()) {
        continue_sent = true;
        co_await SendBytes("HTTP/1.1 100 Continue\r\n\r\n");
      }
    }
    if (used > 0 && buffer_.size() > 0) {
      continue;
    }
    absl::Duration allowed =
        parser.is_header_done() ? limits.body_timeout : began + limits.header_timeout - SteadyNow();
    if (allowed <= absl::ZeroDuration()) {
      co_return co_await Reject(408, "the request was not complete in time");
    }
    if (!co_await FillBuffer(allowed)) {
      co_return ReadOutcome::kClosed;
    }
  }
  keep_open_ = parser.keep_alive();
  exchange.request_ = parser.release();
  if (header) {
    // The parser adds trailer fields to the header. Drop them: they may repeat the name of any
    // header field, and none is used.
    exchange.request_.base() = std::move(*header);
  }
  exchange.received_at_ = SteadyNow();
  co_return ReadOutcome::kComplete;
}

Task<void> ServerConnection::Run() {
  auto self = shared_from_this();
  while (socket_.is_open()) {
    auto exchange = std::make_shared<Exchange>(*this);
    ReadOutcome end = co_await ReadRequest(*exchange);
    if (end != ReadOutcome::kComplete) {
      ReleaseBody();
      break;
    }
    current_ = &exchange->request_;
    ++shared_->stats.active_exchanges;
    Watch(exchange);
    co_await shared_->handler(exchange);
    --shared_->stats.active_exchanges;
    current_ = nullptr;
    exchange->ClearOnClientGone();
    watched_.reset();
    disconnect_check_.reset();
    ReleaseBody();
    if (exchange->broken_ || !exchange->answered_ || !keep_open_) {
      break;
    }
  }
  if (socket_.is_open()) {
    error_code ignored;
    socket_.shutdown(Socket::shutdown_send, ignored);
    Close();
  }
}

// ---- Watching the client ----

void ServerConnection::Watch(std::shared_ptr<Exchange> exchange) {
  watched_ = exchange;
  ArmWatch();
}

void ServerConnection::ArmWatch() {
  if (watch_armed_ || !socket_.is_open()) {
    return;
  }
  watch_armed_ = true;
  std::weak_ptr<ServerConnection> self = weak_from_this();
  socket_.async_wait(Socket::wait_read, [self](const error_code& error) {
    auto present = self.lock();
    if (!present) {
      return;
    }
    present->watch_armed_ = false;
    if (!error) {
      present->OnReadable();
    }
  });
}

void ServerConnection::OnReadable() {
  auto exchange = watched_.lock();
  if (!exchange || !socket_.is_open()) {
    return;
  }
  char byte = 0;
  ssize_t count = recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (count > 0) {
    ScheduleDisconnectCheck();  // Pipelined request; read after the current response.
    return;
  }
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
    ArmWatch();
    return;
  }
  exchange->HandleDisconnect();
}

void ServerConnection::ScheduleDisconnectCheck() {
  std::weak_ptr<ServerConnection> self = weak_from_this();
  disconnect_check_ = std::make_unique<Alarm>(shared_->context, kDisconnectPollInterval, [self] {
    if (auto present = self.lock()) {
      present->CheckDisconnect();
    }
  });
}

void ServerConnection::CheckDisconnect() {
  auto exchange = watched_.lock();
  if (!exchange || !socket_.is_open()) {
    return;
  }
  pollfd query{socket_.native_handle(), POLLRDHUP, 0};
  bool ended = poll(&query, 1, 0) > 0 && (query.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  if (ended) {
    exchange->HandleDisconnect();
    return;
  }
  ScheduleDisconnectCheck();
}

// ---- Writing ----

Task<bool> ServerConnection::SendBytes(absl::string_view bytes) {
  if (!socket_.is_open()) {
    co_return false;
  }
  auto [error, count] =
      co_await asio::async_write(socket_, asio::buffer(bytes.data(), bytes.size()), kAwait);
  if (error) {
    Close();
    co_return false;
  }
  co_return true;
}

void ServerConnection::Close() {
  error_code ignored;
  socket_.close(ignored);
}

void ServerConnection::CloseIfIdle() {
  if (!idle_ || !socket_.is_open()) {
    return;
  }
  char byte = 0;
  ssize_t count = recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (count <= 0) {
    Close();
  }
}

std::string ServerConnection::ConnectionFields(bool* closes) const {
  *closes = !keep_open_ || shared_->draining || shared_->requests_close;
  if (*closes) {
    return "Connection: close\r\n";
  }
  auto seconds = absl::ToInt64Seconds(shared_->limits.idle_timeout);
  return absl::StrCat("Connection: keep-alive\r\nKeep-Alive: timeout=", seconds, "\r\n");
}

void Exchange::HandleDisconnect() {
  client_gone_ = true;
  if (on_gone_) {
    std::function<void()> on_gone = std::move(on_gone_);
    on_gone_ = nullptr;
    on_gone();
  }
}

void Exchange::OnClientGone(std::function<void()> on_gone) {
  if (client_gone_) {
    on_gone();
    return;
  }
  on_gone_ = std::move(on_gone);
}

Task<bool> Exchange::Send(HttpHead head, std::string body) {
  if (stream_started_) {
    Break();  // A second header would make the rest look like the response to another request.
    co_return false;
  }
  answered_ = true;
  bool closes = false;
  std::string text = absl::StrCat(HeadText(head), connection_.ConnectionFields(&closes));
  connection_.set_keep_open(!closes);
  bool is_head = request_.method() == http::verb::head;
  bool has_body = MayHaveBody(head.result_int());
  bool has_length = head.find(http::field::content_length) != head.end();
  // Without a body, the length of the response to a GET is not known here.
  bool knows_length = has_body && !(is_head && body.empty());
  if (knows_length && !has_length) {
    absl::StrAppend(&text, "Content-Length: ", body.size(), "\r\n");
  }
  text.append("\r\n");
  if (has_body && !is_head) {
    text.append(body);
  }
  co_return co_await connection_.SendBytes(text);
}

Task<bool> Exchange::StartStream(HttpHead head) {
  stream_started_ = true;
  bool may_have_body = MayHaveBody(head.result_int());
  has_body_ = may_have_body && request_.method() != http::verb::head;
  bool closes = false;
  std::string text = absl::StrCat(HeadText(head), connection_.ConnectionFields(&closes),
                                  may_have_body ? "Transfer-Encoding: chunked\r\n" : "", "\r\n");
  connection_.set_keep_open(!closes);
  co_return co_await connection_.SendBytes(text);
}

Task<bool> Exchange::Write(absl::string_view bytes) {
  if (bytes.empty() || !has_body_) {
    co_return true;
  }
  std::string chunk = absl::StrCat(absl::Hex(bytes.size()), "\r\n", bytes, "\r\n");
  co_return co_await connection_.SendBytes(chunk);
}

Task<bool> Exchange::Finish() {
  answered_ = true;
  if (!has_body_) {
    co_return true;  // The response ended with its header; more bytes would belong to the next one.
  }
  co_return co_await connection_.SendBytes("0\r\n\r\n");
}

void Exchange::Break() {
  broken_ = true;
  connection_.Close();
}

// ---- Listening ----

namespace {

Task<void> AcceptAll(std::shared_ptr<Server::Shared> shared) {
  while (shared->acceptor.is_open()) {
    auto [error, socket] = co_await shared->acceptor.async_accept(kAwait);
    if (error == asio::error::operation_aborted || !shared->acceptor.is_open()) {
      co_return;
    }
    if (error) {
      co_await Sleep(shared->context, kAcceptPause);  // Out of file descriptors.
      continue;
    }
    if (shared->stats.open_connections >= shared->limits.connections) {
      continue;  // Closed without reading, so the client knows that nothing was processed.
    }
    error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMilliseconds,
               sizeof(kUserTimeoutMilliseconds));
    auto connection = std::make_shared<ServerConnection>(shared, std::move(socket));
    asio::co_spawn(
        shared->context, [connection]() -> Task<void> { return connection->Run(); },
        asio::detached);
  }
}

}  // namespace

Server::Server(asio::io_context& context, ExchangeHandler handler, RejectionObserver on_rejected)
    : shared_(std::make_shared<Shared>(context, std::move(handler), std::move(on_rejected))) {}

Server::~Server() {
  error_code ignored;
  shared_->acceptor.close(ignored);
}

Result<void> Server::Listen(const wire::Endpoint& endpoint) {
  error_code error;
  auto address = asio::ip::make_address(endpoint.address, error);
  asio::ip::tcp::endpoint local(address, endpoint.port);
  auto& acceptor = shared_->acceptor;
  if (!error) {
    acceptor.open(local.protocol(), error);
  }
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(local, error);
  }
  if (!error) {
    acceptor.listen(kBacklog, error);
  }
  if (error) {
    error_code ignored;
    acceptor.close(ignored);
    return leaf::new_error(
        ServerError{absl::StrCat("cannot listen on ", endpoint.ToString(), ": ", error.message())});
  }
  asio::co_spawn(shared_->context, AcceptAll(shared_), kRethrow);
  return {};
}

bool Server::is_listening() const { return shared_->acceptor.is_open(); }

std::uint16_t Server::port() const { return shared_->acceptor.local_endpoint().port(); }
void Server::BeginDrain() { shared_->draining = true; }

void Server::AskToClose(bool ask) { shared_->requests_close = ask; }

void Server::CloseIdle() {
  error_code ignored;
  shared_->acceptor.close(ignored);
  std::vector<ServerConnection*> open(shared_->connections.begin(), shared_->connections.end());
  for (ServerConnection* connection : open) {
    connection->CloseIfIdle();
  }
}

ServerLimits& Server::limits() { return shared_->limits; }
const ServerStats& Server::stats() const { return shared_->stats; }

}  // namespace martenyard::async_http
