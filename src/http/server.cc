#include "http/server.h"

#include <microhttpd.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <boost/beast/http/fields.hpp>
#include <cerrno>
#include <condition_variable>
#include <cstring>
#include <mutex>
#include <set>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "async_http/framing.h"
#include "base/logging.h"
#include "http/listener.h"

namespace martenyard::http {
namespace {

constexpr std::size_t kStreamBlockBytes = 16384;
constexpr char kLogPrefix[] = "http";
constexpr char kProblemType[] = "application/problem+json";
/// Connections beyond the limit that are answered with 503; further ones are closed.
constexpr unsigned kRejectedConnections = 64;
constexpr char kRetryAfterSeconds[] = "1";

/// State of one request from its first header to the last byte of its response.
///
/// Invariant: `connection_` is suspended exactly while `suspended_` is true; both change under
/// `mutex_`, so a resume cannot precede its suspend.
class Exchange : public Responder {
 public:
  explicit Exchange(MHD_Connection* connection) : connection_(connection) {}

  void Send(Response response) override {
    std::lock_guard lock(mutex_);
    if (state_ != State::kWaiting) {
      return;
    }
    response_ = std::move(response);
    state_ = State::kComplete;
    ResumeLocked();
  }

  void StartStream(int status, std::map<std::string, std::string> headers) override {
    std::lock_guard lock(mutex_);
    if (state_ != State::kWaiting) {
      return;
    }
    response_.status = status;
    response_.headers = std::move(headers);
    state_ = State::kStreaming;
    ResumeLocked();
  }

  void Write(std::string chunk) override {
    std::lock_guard lock(mutex_);
    if (state_ != State::kStreaming) {
      return;
    }
    response_.body += chunk;
    ResumeLocked();
  }

  void Finish() override {
    std::lock_guard lock(mutex_);
    if (state_ != State::kStreaming) {
      return;
    }
    state_ = State::kStreamEnded;
    ResumeLocked();
  }

  void Cut() override {
    std::lock_guard lock(mutex_);
    if (state_ != State::kWaiting && state_ != State::kStreaming) {
      return;
    }
    state_ = State::kAborted;
    ResumeLocked();
  }

  void OnDisconnect(std::function<void()> callback) override {
    std::unique_lock lock(mutex_);
    if (connection_ != nullptr) {
      on_disconnect_ = std::move(callback);
      return;
    }
    lock.unlock();
    callback();
  }

  /// Queues the response if there is one; otherwise suspends the connection until there is.
  /// @param closes whether the response carries "Connection: close".
  MHD_Result QueueOrSuspend(const std::shared_ptr<Exchange>& self, bool closes) {
    std::lock_guard lock(mutex_);
    if (state_ == State::kWaiting) {
      MHD_suspend_connection(connection_);
      suspended_ = true;
      return MHD_YES;
    }
    MHD_Response* response = nullptr;
    if (state_ == State::kComplete) {
      response = MHD_create_response_from_buffer(response_.body.size(), response_.body.data(),
                                                 MHD_RESPMEM_MUST_COPY);
    } else {
      response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, kStreamBlockBytes, &ReadStream,
                                                   new std::shared_ptr<Exchange>(self),
                                                   &FreeStreamReference);
    }
    for (const auto& [name, value] : response_.headers) {
      MHD_add_response_header(response, name.c_str(), value.c_str());
    }
    if (closes) {
      MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    MHD_Result queued =
        MHD_queue_response(connection_, static_cast<unsigned>(response_.status), response);
    MHD_destroy_response(response);
    return queued;
  }

  /// Detaches the connection; calls the disconnect callback if the response is incomplete.
  void Detach(bool complete) {
    std::function<void()> callback;
    {
      std::lock_guard lock(mutex_);
      connection_ = nullptr;
      suspended_ = false;
      if (!complete || state_ == State::kWaiting || state_ == State::kStreaming) {
        callback = std::move(on_disconnect_);
      }
      state_ = State::kDetached;
    }
    if (callback) {
      callback();
    }
  }

  /// Ends the response because the server stops. A stream is aborted without its final chunk, so
  /// that the client detects the truncation.
  void Abort() {
    Response response;
    response.status = MHD_HTTP_SERVICE_UNAVAILABLE;
    response.headers["Content-Type"] = kProblemType;
    response.body = R"({"title":"the server stops","status":503,"outcome":"unknown"})";
    Send(std::move(response));
    Cut();
  }

  std::string& request_body() { return request_body_; }
  bool body_too_large = false;
  bool body_memory_full = false;
  bool handled = false;

 private:
  enum class State { kWaiting, kComplete, kStreaming, kStreamEnded, kAborted, kDetached };

  void ResumeLocked() {
    if (suspended_ && connection_ != nullptr) {
      suspended_ = false;
      MHD_resume_connection(connection_);
    }
  }

  static ssize_t ReadStream(void* reference, std::uint64_t /*position*/, char* buffer,
                            std::size_t size) {
    Exchange& self = **static_cast<std::shared_ptr<Exchange>*>(reference);
    std::lock_guard lock(self.mutex_);
    if (!self.response_.body.empty()) {
      std::size_t count = std::min(size, self.response_.body.size());
      self.response_.body.copy(buffer, count);
      self.response_.body.erase(0, count);
      return static_cast<ssize_t>(count);
    }
    if (self.state_ == State::kStreaming) {
      MHD_suspend_connection(self.connection_);
      self.suspended_ = true;
      return 0;
    }
    return self.state_ == State::kAborted ? MHD_CONTENT_READER_END_WITH_ERROR
                                          : MHD_CONTENT_READER_END_OF_STREAM;
  }

  static void FreeStreamReference(void* reference) {
    delete static_cast<std::shared_ptr<Exchange>*>(reference);
  }

  std::mutex mutex_;
  MHD_Connection* connection_;
  State state_ = State::kWaiting;
  bool suspended_ = false;
  Response response_;
  std::string request_body_;
  std::function<void()> on_disconnect_;
};

MHD_Result CollectPair(void* target, MHD_ValueKind kind, const char* name, const char* value) {
  auto& pairs = *static_cast<std::map<std::string, std::string>*>(target);
  std::string key = kind == MHD_HEADER_KIND ? absl::AsciiStrToLower(name) : std::string(name);
  pairs[key] = value == nullptr ? "" : value;
  return MHD_YES;
}

MHD_Result CollectField(void* target, MHD_ValueKind /*kind*/, const char* name, const char* value) {
  auto& fields = *static_cast<boost::beast::http::fields*>(target);
  fields.insert(name, value == nullptr ? "" : value);
  return MHD_YES;
}

/// Checks the header section of a request, whose body the library may delimit in another way.
async_http::FramingError FramingOf(MHD_Connection* connection, absl::string_view version) {
  constexpr unsigned kHttp10 = 10;
  constexpr unsigned kHttp11 = 11;
  boost::beast::http::fields fields;
  MHD_get_connection_values(connection, MHD_HEADER_KIND, &CollectField, &fields);
  return async_http::CheckFraming(fields, version == MHD_HTTP_VERSION_1_0 ? kHttp10 : kHttp11);
}

class MicrohttpdServer : public Server {
 public:
  MicrohttpdServer(const ServerOptions& options, Handler handler)
      : options_(options), handler_(std::move(handler)) {}

  ~MicrohttpdServer() override { Stop(); }

  /// Errors: HttpError::kCannotListen.
  Result<void> Listen() {
    daemon_ = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_NO_LISTEN_SOCKET |
            MHD_USE_ITC,
        0, nullptr, nullptr, &Accept, this, MHD_OPTION_THREAD_POOL_SIZE, options_.threads,
        MHD_OPTION_CONNECTION_LIMIT, options_.max_connections + kRejectedConnections,
        MHD_OPTION_CONNECTION_TIMEOUT, static_cast<unsigned>(options_.connection_timeout.count()),
        MHD_OPTION_NOTIFY_CONNECTION, &ConnectionChanged, this, MHD_OPTION_NOTIFY_COMPLETED,
        &Completed, this, MHD_OPTION_END);
    if (daemon_ == nullptr) {
      return leaf::new_error(
          HttpError{HttpError::Code::kCannotListen, "cannot start the server threads"});
    }
    BOOST_LEAF_ASSIGN(
        listener_, Listener::Start(options_.address, options_.port,
                                   [this](int socket, const sockaddr* peer, socklen_t peer_size) {
                                     AddConnection(socket, peer, peer_size);
                                   }));
    return {};
  }

  std::uint16_t port() const override { return listener_->port(); }

  void BeginDrain() override { draining_ = true; }

  void StopListening() override {
    draining_ = true;
    if (listener_ != nullptr) {
      listener_->Close();
    }
  }

  std::size_t unfinished_responses() const override {
    std::lock_guard lock(mutex_);
    return unfinished_.size();
  }

  std::size_t buffered_body_bytes() const override { return buffered_body_bytes_; }

  std::size_t Stop() override {
    if (daemon_ == nullptr) {
      return 0;
    }
    StopListening();
    std::size_t cut = FinishResponses();
    MHD_stop_daemon(daemon_);
    daemon_ = nullptr;
    return cut;
  }

 private:
  /// Hands an accepted connection to a server thread, which closes it.
  void AddConnection(int socket, const sockaddr* peer, socklen_t peer_size) {
    if (MHD_add_connection(daemon_, socket, peer, peer_size) != MHD_YES) {
      MARTENYARD_LOG_WARN(kLogPrefix, std::string("connection rejected: ") + std::strerror(errno));
    }
  }

  /// Counts the open connections and marks those beyond the limit.
  static void ConnectionChanged(void* server, MHD_Connection* /*connection*/, void** socket_context,
                                MHD_ConnectionNotificationCode code) {
    auto& self = *static_cast<MicrohttpdServer*>(server);
    if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
      --self.open_connections_;
      return;
    }
    bool beyond_limit = ++self.open_connections_ > self.options_.max_connections;
    *socket_context = beyond_limit ? &self : nullptr;
  }

  static bool IsBeyondLimit(MHD_Connection* connection) {
    const MHD_ConnectionInfo* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return info != nullptr && info->socket_context != nullptr;
  }

  static MHD_Result Accept(void* server, MHD_Connection* connection, const char* url,
                           const char* method, const char* version, const char* upload,
                           std::size_t* upload_size, void** context) {
    auto& self = *static_cast<MicrohttpdServer*>(server);
    auto* reference = static_cast<std::shared_ptr<Exchange>*>(*context);
    if (reference == nullptr) {
      auto exchange = std::make_shared<Exchange>(connection);
      *context = new std::shared_ptr<Exchange>(exchange);
      async_http::FramingError framing = FramingOf(connection, version);
      if (framing == async_http::FramingError::kNone) {
        return MHD_YES;
      }
      self.RejectFraming(framing, exchange);
      return exchange->QueueOrSuspend(exchange, /*closes=*/true);
    }
    std::shared_ptr<Exchange> exchange = *reference;
    if (*upload_size > 0) {
      self.CollectBody(*exchange, upload, *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
    if (!exchange->handled) {
      exchange->handled = true;
      self.Dispatch(connection, url, method, exchange);
    }
    return exchange->QueueOrSuspend(exchange, self.draining_ || IsBeyondLimit(connection));
  }

  /// Aborts pending requests and waits until the responses have been written: closing a connection
  /// discards what its server thread has not written yet.
  /// @return the number of responses not written within the stop timeout.
  std::size_t FinishResponses() {
    std::unique_lock lock(mutex_);
    stopping_ = true;
    std::set<std::shared_ptr<Exchange>> waiting = unfinished_;
    lock.unlock();
    for (const auto& exchange : waiting) {
      exchange->Abort();
    }
    lock.lock();
    response_written_.wait_for(lock, options_.stop_timeout, [this] { return unfinished_.empty(); });
    return unfinished_.size();
  }

  /// Rejects a request before its body is read.
  void RejectFraming(async_http::FramingError framing, const std::shared_ptr<Exchange>& exchange) {
    std::string reason(async_http::NameOf(framing));
    MARTENYARD_LOG_WARN(kLogPrefix, "rejected a request: " + reason);
    {
      std::lock_guard lock(mutex_);
      unfinished_.insert(exchange);
    }
    exchange->handled = true;
    Response response;
    response.status = MHD_HTTP_BAD_REQUEST;
    response.headers["Content-Type"] = kProblemType;
    response.body = absl::StrCat(R"({"title":")", reason, R"(","status":400,"outcome":"not_run"})");
    exchange->Send(std::move(response));
  }

  void CollectBody(Exchange& exchange, const char* upload, std::size_t size) {
    if (exchange.body_too_large || exchange.body_memory_full) {
      return;
    }
    exchange.body_too_large = exchange.request_body().size() + size > options_.max_body_bytes;
    exchange.body_memory_full = !exchange.body_too_large && !ReserveBodyBytes(size);
    if (exchange.body_too_large || exchange.body_memory_full) {
      TakeBody(exchange);
      return;
    }
    exchange.request_body().append(upload, size);
  }

  /// @return false if the bodies of all requests would exceed their limit.
  bool ReserveBodyBytes(std::size_t size) {
    if (buffered_body_bytes_.fetch_add(size) + size <= options_.max_buffered_body_bytes) {
      return true;
    }
    buffered_body_bytes_ -= size;
    return false;
  }

  /// @return the received body, which no longer counts as buffered.
  std::string TakeBody(Exchange& exchange) {
    buffered_body_bytes_ -= exchange.request_body().size();
    return std::exchange(exchange.request_body(), std::string());
  }

  void Dispatch(MHD_Connection* connection, const char* url, const char* method,
                const std::shared_ptr<Exchange>& exchange) {
    bool stopping = false;
    {
      std::lock_guard lock(mutex_);
      unfinished_.insert(exchange);
      stopping = stopping_;
    }
    std::string body = TakeBody(*exchange);
    if (stopping) {
      exchange->Abort();
      return;
    }
    if (IsBeyondLimit(connection)) {
      Response response;
      response.status = MHD_HTTP_SERVICE_UNAVAILABLE;
      response.headers["Content-Type"] = kProblemType;
      response.headers["Retry-After"] = kRetryAfterSeconds;
      response.body = R"({"title":"too many connections","status":503,"outcome":"unknown"})";
      exchange->Send(std::move(response));
      return;
    }
    if (exchange->body_too_large) {
      Response response;
      response.status = MHD_HTTP_CONTENT_TOO_LARGE;
      response.headers["Content-Type"] = kProblemType;
      response.body = R"({"title":"body too large","status":413,"outcome":"not_run"})";
      exchange->Send(std::move(response));
      return;
    }
    if (exchange->body_memory_full) {
      Response response;
      response.status = MHD_HTTP_SERVICE_UNAVAILABLE;
      response.headers["Content-Type"] = kProblemType;
      response.headers["Retry-After"] = kRetryAfterSeconds;
      response.body = R"({"title":"too many request bodies","status":503,"outcome":"not_run"})";
      exchange->Send(std::move(response));
      return;
    }
    Request request;
    request.method = method;
    request.path = url;
    request.body = std::move(body);
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &CollectPair, &request.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &CollectPair, &request.query);
    handler_(std::move(request), exchange);
  }

  static void Completed(void* server, MHD_Connection* /*connection*/, void** context,
                        MHD_RequestTerminationCode code) {
    auto& self = *static_cast<MicrohttpdServer*>(server);
    auto* reference = static_cast<std::shared_ptr<Exchange>*>(*context);
    if (reference == nullptr) {
      return;
    }
    std::shared_ptr<Exchange> exchange = std::move(*reference);
    delete reference;
    *context = nullptr;
    self.TakeBody(*exchange);
    {
      std::lock_guard lock(self.mutex_);
      self.unfinished_.erase(exchange);
      self.response_written_.notify_all();
    }
    exchange->Detach(code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
  }

  ServerOptions options_;
  Handler handler_;
  MHD_Daemon* daemon_ = nullptr;
  std::unique_ptr<Listener> listener_;
  std::atomic<bool> draining_ = false;
  std::atomic<unsigned> open_connections_ = 0;
  std::atomic<std::size_t> buffered_body_bytes_ = 0;
  mutable std::mutex mutex_;
  std::condition_variable response_written_;
  bool stopping_ = false;
  std::set<std::shared_ptr<Exchange>> unfinished_;
};

}  // namespace

std::string Request::Header(const std::string& name) const {
  auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

Result<std::unique_ptr<Server>> Server::Start(const ServerOptions& options, Handler handler) {
  auto server = std::make_unique<MicrohttpdServer>(options, std::move(handler));
  BOOST_LEAF_CHECK(server->Listen());
  return std::unique_ptr<Server>(std::move(server));
}

}  // namespace martenyard::http
