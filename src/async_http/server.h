// HTTP/1.1 server over Asio and Boost.Beast: each connection is a coroutine on the loop's thread.
//
// What the handler sees is an `Exchange`: one request, whole, and the ways to answer it, among them
// breaking the connection so that a half-sent answer can't look complete.
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

/// Why a server could not start.
struct ServerError {
  std::string detail;
};

/// Limits on what clients may send; may change while connections are open.
struct ServerLimits {
  std::uint32_t header_bytes = 16384;
  std::uint64_t body_bytes = std::uint64_t{4} << 20;
  absl::Duration header_timeout = absl::Seconds(3);
  absl::Duration body_timeout = absl::Seconds(10);
  absl::Duration idle_timeout = absl::Seconds(15);
  /// Bodies read and not yet answered, over all connections; more are refused.
  std::uint64_t buffered_body_bytes = std::uint64_t{64} << 20;
  std::size_t connections = 3000;
};

class ServerConnection;

/// One request and its answer. Lives until the handler's coroutine ends.
class Exchange {
 public:
  explicit Exchange(ServerConnection& connection) : connection_(connection) {}

  HttpRequest& request() { return request_; }
  absl::Time received_at() const { return received_at_; }
  /// True once the client's end of the connection has closed.
  bool client_gone() const { return client_gone_; }
  /// `on_gone` runs once if the client leaves; at once if it has left. Replaces an earlier one.
  void OnClientGone(std::function<void()> on_gone);
  void ClearOnClientGone() { on_gone_ = nullptr; }

  /// Sends a whole answer. Where one was started as a stream, it breaks the connection instead.
  /// @return false when the client could not be reached.
  Task<bool> Send(HttpHead head, std::string body);
  /// Starts an answer of unknown length; to HEAD its head is all that is sent.
  Task<bool> StartStream(HttpHead head);
  Task<bool> Write(absl::string_view bytes);
  /// Ends a started answer properly.
  Task<bool> Finish();
  /// Breaks the connection; a started answer then never looks complete.
  void Break();
  bool answered() const { return answered_; }
  bool stream_started() const { return stream_started_; }

 private:
  friend class ServerConnection;

  void NoteClientGone();

  ServerConnection& connection_;
  HttpRequest request_;
  absl::Time received_at_;
  std::function<void()> on_gone_;
  bool client_gone_ = false;
  bool stream_started_ = false;
  bool has_body_ = true;  // Of a started stream: not behind HEAD, 204 and 304.
  bool answered_ = false;
  bool broken_ = false;
};

using ExchangeHandler = std::function<Task<void>(std::shared_ptr<Exchange>)>;

/// Counters of one server.
struct ServerStats {
  std::size_t open_connections = 0;
  std::size_t active_exchanges = 0;
  std::uint64_t buffered_body_bytes = 0;
  std::uint64_t refused_bodies = 0;
};

/// Listens on one endpoint. Used on the loop's thread only; outlives its connections' coroutines,
/// which hold what they need of it.
class Server {
 public:
  Server(asio::io_context& context, ExchangeHandler handler);
  ~Server();
  /// Errors: ServerError.
  Result<void> Listen(const wire::Endpoint& endpoint);
  /// @return the port listened on.
  std::uint16_t port() const;
  /// From now on every answer asks the client to close its connection.
  void BeginDrain();
  /// The same for as long as it is wanted.
  void AskToClose(bool ask);
  /// Stops listening and closes connections that rest; those with a request under way go on.
  void CloseIdle();
  ServerLimits& limits();
  const ServerStats& stats() const;

  struct Shared;

 private:
  std::shared_ptr<Shared> shared_;
};

}  // namespace martenyard::async_http
