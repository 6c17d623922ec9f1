#include "async_http/server.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <exception>
#include <new>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "async_http/framing.h"
#include "async_http/growing_body.h"
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

/// Memory that a parsed header field takes besides its text.
constexpr std::uint64_t kFieldOverhead = 96;
/// A client that has been taking one part of its response for this long may be disconnected for
/// another one.
constexpr absl::Duration kStalledSend = absl::Seconds(2);
constexpr absl::Duration kStalledSearchInterval = absl::Milliseconds(20);

using RequestParser = http::request_parser<GrowingBody>;

/// @return the memory that parsed header fields take, approximately.
std::uint64_t MemoryOf(const http::fields& fields) {
  std::uint64_t bytes = 0;
  for (const auto& field : fields) {
    bytes += field.name_string().size() + field.value().size() + kFieldOverhead;
  }
  return bytes;
}

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
  Shared(asio::io_context& io, ExchangeHandler on_exchange, ServerObservers server_observers)
      : context(io),
        handler(std::move(on_exchange)),
        observers(std::move(server_observers)),
        acceptor(io) {}

  asio::io_context& context;
  ExchangeHandler handler;
  ServerObservers observers;
  asio::ip::tcp::acceptor acceptor;
  ServerLimits limits;
  ServerStats stats;
  bool draining = false;
  bool requests_close = false;
  std::set<ServerConnection*> connections;

  /// Connections in the order in which they entered their state.
  using Queue = std::set<std::pair<absl::Time, ServerConnection*>>;
  Queue never_served;   ///< Without a complete request, on which none was served before.
  Queue served_before;  ///< Without a complete request.
  Queue receiving;      ///< With a part of a request; also in one of the others.
  absl::Time next_stalled_search;

  /// Closes the connection that has been receiving a request for longest, other than `spared`.
  /// @return false if there is none.
  bool EvictReceiving(const ServerConnection* spared);
  /// Closes a connection without a complete request, or else one whose client does not take its
  /// response. @return false if there is none.
  bool EvictForNewConnection();
  /// @return a connection whose client does not take its response; null if there is none.
  ServerConnection* FindStalled();
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
    Enqueue(false);
    ReleaseMemory();
    --shared_->stats.open_connections;
    shared_->connections.erase(this);
  }

  /// Serves the client until the connection ends.
  Task<void> RunGuarded();

  Task<bool> SendBytes(absl::string_view bytes);
  /// Sends both one after the other.
  Task<bool> SendBytes(absl::string_view first, absl::string_view second);
  bool is_open() const { return socket_.is_open(); }
  void Close();
  /// Closes the connection if it is idle and no byte of a request was received.
  void CloseIfIdle();
  /// Watches for a disconnect of the client while its request is processed.
  void Watch(std::shared_ptr<Exchange> exchange);
  std::string ConnectionFields(bool* closes) const;
  const HttpRequest* current() const { return current_; }
  void set_keep_open(bool keep) { keep_open_ = keep; }
  bool draining() const { return shared_->draining; }

  /// @return whether the client has not taken the response for a while.
  bool IsStalled() const;
  /// Closes the connection in favor of another one.
  void Evict();

 private:
  enum class ReadOutcome { kComplete, kClosed, kAnswered };
  enum class State {
    kNew,
    kIdle,       ///< No byte of the next request has been read.
    kReceiving,  ///< A part of a request has been read.
    kProcessing,
    kSending,
  };

  Task<void> Run();
  Task<void> Process(std::shared_ptr<Exchange> exchange);
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
  void EnterState(State state);
  /// Adds the connection to the queues of its state. @param queued false: removes it.
  void Enqueue(bool queued);
  void ReleaseMemory() { Hold(0); }
  /// Sets the number of bytes held for the current request. @return false if there is no room.
  bool Hold(std::uint64_t bytes);
  /// Counts what the incomplete request holds. @return false if there is no room.
  /// @param header_memory of the parsed header fields.
  bool HoldRequest(const RequestParser& parser, std::uint64_t header_memory);
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
  State state_ = State::kNew;
  absl::Time state_since_;
  bool served_ = false;  // A request on this connection was read completely.
  std::uint64_t held_ = 0;
  const HttpRequest* current_ = nullptr;
};

// ---- Eviction ----

bool Server::Shared::EvictReceiving(const ServerConnection* spared) {
  auto oldest = receiving.begin();
  if (oldest != receiving.end() && oldest->second == spared) {
    ++oldest;
  }
  if (oldest == receiving.end()) {
    return false;
  }
  oldest->second->Evict();
  return true;
}

bool Server::Shared::EvictForNewConnection() {
  ServerConnection* oldest = nullptr;
  if (!never_served.empty()) {
    oldest = never_served.begin()->second;
  } else if (!served_before.empty()) {
    oldest = served_before.begin()->second;
  } else {
    oldest = FindStalled();
  }
  if (oldest != nullptr) {
    oldest->Evict();
  }
  return oldest != nullptr;
}

ServerConnection* Server::Shared::FindStalled() {
  absl::Time now = SteadyNow();
  if (now < next_stalled_search) {
    return nullptr;
  }
  auto stalled = std::find_if(connections.begin(), connections.end(),
                              [](const auto* connection) { return connection->IsStalled(); });
  if (stalled != connections.end()) {
    return *stalled;
  }
  next_stalled_search = now + kStalledSearchInterval;
  return nullptr;
}

bool ServerConnection::IsStalled() const {
  return state_ == State::kSending && socket_.is_open() &&
         SteadyNow() - state_since_ > kStalledSend;
}

void ServerConnection::Evict() {
  EnterState(State::kProcessing);  // Leaves the queues.
  ReleaseMemory();
  Close();
}

void ServerConnection::EnterState(State state) {
  Enqueue(false);
  state_ = state;
  state_since_ = SteadyNow();
  Enqueue(true);
}

void ServerConnection::Enqueue(bool queued) {
  auto update = [&](Server::Shared::Queue& queue) {
    std::pair entry(state_since_, this);
    if (queued) {
      queue.insert(entry);
    } else {
      queue.erase(entry);
    }
  };
  if (state_ == State::kIdle || state_ == State::kReceiving) {
    update(served_ ? shared_->served_before : shared_->never_served);
  }
  if (state_ == State::kReceiving) {
    update(shared_->receiving);
  }
}

// ---- Reading ----

Task<bool> ServerConnection::FillBuffer(absl::Duration timeout) {
  std::weak_ptr<ServerConnection> self = weak_from_this();
  Alarm alarm(shared_->context, timeout, [self] {
    if (auto present = self.lock()) {
      present->Close();
    }
  });
  if (state_ == State::kIdle) {
    // An idle connection holds no buffer.
    co_await socket_.async_wait(Socket::wait_read, kAwait);
    if (!socket_.is_open()) {
      co_return false;
    }
  }
  auto [error, count] = co_await socket_.async_read_some(buffer_.prepare(kReadBytes), kAwait);
  // Closed after the bytes arrived: the client takes the close to mean that nothing was processed.
  if (error || !socket_.is_open()) {
    co_return false;
  }
  buffer_.commit(count);
  co_return true;
}

bool ServerConnection::Hold(std::uint64_t bytes) {
  ServerStats& stats = shared_->stats;
  while (bytes > held_ && stats.request_memory - held_ + bytes > shared_->limits.request_memory) {
    if (!shared_->EvictReceiving(this)) {
      ++stats.rejected_for_memory;
      return false;
    }
    ++stats.evicted_for_memory;
  }
  stats.request_memory += bytes - held_;
  held_ = bytes;
  return true;
}

bool ServerConnection::HoldRequest(const RequestParser& parser, std::uint64_t header_memory) {
  return Hold(buffer_.capacity() + header_memory + parser.get().body().capacity());
}

Task<ServerConnection::ReadOutcome> ServerConnection::RejectFraming(FramingError error) {
  ++shared_->stats.rejected_framings;
  co_return co_await Reject(400, NameOf(error));
}

Task<ServerConnection::ReadOutcome> ServerConnection::Reject(unsigned status,
                                                             absl::string_view detail) {
  if (shared_->observers.on_rejected) {
    shared_->observers.on_rejected(status, detail);
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
  if (buffer_.size() == 0) {
    EnterState(State::kIdle);
    buffer_.shrink_to_fit();
    if (!co_await FillBuffer(limits.idle_timeout)) {
      co_return ReadOutcome::kClosed;
    }
  }
  EnterState(State::kReceiving);
  RequestParser parser;
  // Not eager until the header is complete, to keep it apart from the trailer of a chunked body.
  parser.eager(false);
  parser.header_limit(limits.header_bytes);
  parser.body_limit(limits.body_bytes);
  absl::Time began = SteadyNow();
  bool continue_sent = false;
  std::optional<http::request_header<>> header;
  std::uint64_t header_memory = 0;
  while (!parser.is_done()) {
    if (!parser.is_header_done() && CheckLines(BufferedBytes()) != FramingError::kNone) {
      co_return co_await RejectFraming(FramingError::kLineFolding);
    }
    error_code error;
    std::size_t used = parser.put(buffer_.data(), error);
    buffer_.consume(used);
    if (error == http::error::need_more) {
      error = {};
      // The parser takes a trailer section or a chunk's line at once and limits neither.
      if (parser.is_header_done() && buffer_.size() > limits.header_bytes) {
        co_return co_await Reject(431, "the trailer section or a chunk's line is too large");
      }
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
      header_memory = MemoryOf(parser.get());
      if (parser.chunked()) {
        header = parser.get().base();
        header_memory *= 2;
      }
    }
    if (parser.is_done()) {
      break;
    }
    if (!HoldRequest(parser, header_memory)) {
      co_return co_await Reject(503, "the requests of this process use up their memory");
    }
    if (parser.is_header_done()) {
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
        parser.is_header_done()
            ? std::min(limits.body_timeout, began + limits.request_timeout - SteadyNow())
            : began + limits.header_timeout - SteadyNow();
    if (allowed <= absl::ZeroDuration()) {
      co_return co_await Reject(408, "the request was not complete in time");
    }
    if (!co_await FillBuffer(allowed)) {
      co_return ReadOutcome::kClosed;
    }
  }
  if (!HoldRequest(parser, header_memory)) {
    co_return co_await Reject(503, "the requests of this process use up their memory");
  }
  keep_open_ = parser.keep_alive();
  auto message = parser.release();
  exchange.request_.base() = std::move(message.base());
  exchange.request_.body() = std::move(message.body());
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
      break;
    }
    co_await Process(exchange);
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

Task<void> ServerConnection::Process(std::shared_ptr<Exchange> exchange) {
  EnterState(State::kProcessing);
  served_ = true;
  if (buffer_.size() == 0) {
    std::size_t freed = buffer_.capacity();
    buffer_.shrink_to_fit();
    Hold(held_ - std::min<std::uint64_t>(held_, freed));
  }
  current_ = &exchange->request_;
  ++shared_->stats.active_exchanges;
  auto end = absl::MakeCleanup([this, exchange] {
    --shared_->stats.active_exchanges;
    current_ = nullptr;
    exchange->ClearOnClientGone();
    watched_.reset();
    disconnect_check_.reset();
    ReleaseMemory();
  });
  std::weak_ptr<ServerConnection> self = weak_from_this();
  Alarm alarm(shared_->context, shared_->limits.response_timeout, [self, exchange] {
    if (auto present = self.lock()) {
      present->Close();
      exchange->HandleDisconnect();
    }
  });
  Watch(exchange);
  co_await shared_->handler(exchange);
}

Task<void> ServerConnection::RunGuarded() {
  auto self = shared_from_this();
  try {
    co_await Run();
  } catch (const std::exception& error) {
    // For example std::bad_alloc: it ends this connection only.
    ++shared_->stats.failed_connections;
    if (shared_->observers.on_failure) {
      shared_->observers.on_failure(error.what());
    }
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
  return SendBytes(bytes, absl::string_view());
}

Task<bool> ServerConnection::SendBytes(absl::string_view first, absl::string_view second) {
  if (!socket_.is_open()) {
    co_return false;
  }
  State before = state_;
  EnterState(State::kSending);
  std::array<asio::const_buffer, 2> buffers{asio::buffer(first.data(), first.size()),
                                            asio::buffer(second.data(), second.size())};
  auto [error, count] = co_await asio::async_write(socket_, buffers, kAwait);
  EnterState(before);
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
  if (state_ != State::kIdle || !socket_.is_open()) {
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
  absl::string_view sent_body = has_body && !is_head ? absl::string_view(body) : "";
  co_return co_await connection_.SendBytes(text, sent_body);
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

void Serve(const std::shared_ptr<Server::Shared>& shared, Socket socket) {
  try {
    auto connection = std::make_shared<ServerConnection>(shared, std::move(socket));
    asio::co_spawn(
        shared->context, [connection]() -> Task<void> { return connection->RunGuarded(); },
        asio::detached);
  } catch (const std::bad_alloc&) {
    ++shared->stats.failed_connections;  // The client finds its connection closed.
  }
}

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
      if (!shared->EvictForNewConnection()) {
        continue;  // Closed without reading, so the client knows that nothing was processed.
      }
      ++shared->stats.evicted_for_connections;
    }
    error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMilliseconds,
               sizeof(kUserTimeoutMilliseconds));
    Serve(shared, std::move(socket));
  }
}

}  // namespace

Server::Server(asio::io_context& context, ExchangeHandler handler, ServerObservers observers)
    : shared_(std::make_shared<Shared>(context, std::move(handler), std::move(observers))) {}

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
