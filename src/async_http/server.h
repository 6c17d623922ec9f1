// HTTP/1.1 server over Asio and Boost.Beast: each connection is a coroutine on the loop's thread.
//
// Handlers get an `Exchange`: one complete request and the means to respond to it, or to abort the
// connection so that a partial response is seen as truncated.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "async_http/task.h"
#include "base/errors.h"
#include "wire/endpoint.h"

namespace martenyard::async_http {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpHead = boost::beast::http::response_header<>;

/// @return a head with the status code and its standard reason phrase. A head that has none is sent
/// without one.
HttpHead MakeHead(unsigned status);

/// Why a server could not start.
struct ServerError {
  std::string detail;
};

/// Limits on what clients may send; may change while connections are open.
struct ServerLimits {
  /// Of the header section, of the trailer section, and of a chunk's line with its extensions.
  std::uint32_t header_bytes = 16384;
  std::uint64_t body_bytes = std::uint64_t{4} << 20;
  absl::Duration header_timeout = absl::Seconds(3);
  /// Between two parts of a body.
  absl::Duration body_timeout = absl::Seconds(10);
  /// From the first byte of a request to its last.
  absl::Duration request_timeout = absl::Seconds(60);
  /// From the last byte of a request until its response has been taken by the client.
  absl::Duration response_timeout = absl::Seconds(120);
  absl::Duration idle_timeout = absl::Seconds(15);
  /// Memory held for requests over all connections: incomplete ones, and complete ones until their
  /// response is sent. Beyond it, the connections that have been sending a request for longest are
  /// closed; if there are none, the request is rejected.
  std::uint64_t request_memory = std::uint64_t{64} << 20;
  /// Beyond it, a connection without a complete request is closed for each new one.
  std::size_t connections = 3000;
};

class ServerConnection;

/// A request and its response. Lives until the handler's coroutine ends.
class Exchange {
 public:
  explicit Exchange(ServerConnection& connection) : connection_(connection) {}

  HttpRequest& request() { return request_; }
  absl::Time received_at() const { return received_at_; }
  /// @return whether the client has disconnected.
  bool client_gone() const { return client_gone_; }
  /// Calls `on_gone` once when the client disconnects, immediately if it has. Replaces the last
  /// one.
  void OnClientGone(std::function<void()> on_gone);
  void ClearOnClientGone() { on_gone_ = nullptr; }

  /// Sends a complete response, or aborts the connection if a stream was already started. The
  /// head may have a Content-Length only for HEAD and with status 304: that of the response to GET.
  /// @return whether the response was sent.
  Task<bool> Send(HttpHead head, std::string body);
  /// Starts a response of unknown length; for HEAD only its header is sent.
  Task<bool> StartStream(HttpHead head);
  Task<bool> Write(absl::string_view bytes);
  /// Completes a started stream.
  Task<bool> Finish();
  /// Aborts the connection; a started response is seen as truncated.
  void Break();
  bool answered() const { return answered_; }
  bool stream_started() const { return stream_started_; }

 private:
  friend class ServerConnection;

  void HandleDisconnect();

  ServerConnection& connection_;
  HttpRequest request_;
  absl::Time received_at_;
  std::function<void()> on_gone_;
  bool client_gone_ = false;
  bool stream_started_ = false;
  bool has_body_ = true;  // False for streams in response to HEAD and with status 204 or 304.
  bool answered_ = false;
  bool broken_ = false;
};

using ExchangeHandler = std::function<Task<void>(std::shared_ptr<Exchange>)>;

/// Counters of one server.
struct ServerStats {
  std::size_t open_connections = 0;
  std::size_t active_exchanges = 0;
  std::uint64_t request_memory = 0;  ///< In bytes; see `ServerLimits`.
  std::uint64_t rejected_for_memory = 0;
  std::uint64_t rejected_framings = 0;   ///< Requests with an ambiguous body length.
  std::uint64_t evicted_for_memory = 0;  ///< Connections closed in favor of others.
  std::uint64_t evicted_for_connections = 0;
  std::uint64_t failed_connections = 0;  ///< Closed because of an exception.
};

/// What the owner of a server is told for its log; each may be empty.
struct ServerObservers {
  /// A request was rejected before it was read completely.
  std::function<void(unsigned status, absl::string_view reason)> on_rejected;
  /// A connection was closed because of an exception.
  std::function<void(absl::string_view reason)> on_failure;
};

/// Listens on one endpoint. Not thread-safe: for the event loop's thread only. Coroutines of its
/// connections share ownership of the state that they need.
class Server {
 public:
  Server(asio::io_context& context, ExchangeHandler handler, ServerObservers observers = {});
  ~Server();
  /// May be called again after an error. Errors: ServerError.
  Result<void> Listen(const wire::Endpoint& endpoint);
  bool is_listening() const;
  /// @return the port listened on.
  std::uint16_t port() const;
  /// Makes all further responses ask the client to close the connection.
  void BeginDrain();
  /// As `BeginDrain`, but can be disabled again.
  void AskToClose(bool ask);
  /// Stops listening and closes idle connections; those with a request in progress continue.
  void CloseIdle();
  ServerLimits& limits();
  const ServerStats& stats() const;

  struct Shared;

 private:
  std::shared_ptr<Shared> shared_;
};

}  // namespace martenyard::async_http
