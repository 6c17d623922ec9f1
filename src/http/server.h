// HTTP/1.1 server over libmicrohttpd: asynchronous responses and streams.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/errors.h"

namespace martenyard::http {

/// Error of starting a server or of a client's transfer.
struct HttpError {
  enum class Code { kCannotListen, kTransfer };
  Code code = Code::kTransfer;
  std::string detail;
};

/// A complete request, including its body.
struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::map<std::string, std::string> query;
  std::string body;

  /// @return the header's value, or an empty string. `name` is in lower case.
  std::string Header(const std::string& name) const;
};

/// A complete response.
struct Response {
  int status = 200;
  std::map<std::string, std::string> headers;
  std::string body;
};

/// Responds to one request. Thread-safe; calls after the end of the response are ignored.
class Responder {
 public:
  virtual ~Responder() = default;
  /// Sends a complete response.
  virtual void Send(Response response) = 0;
  /// Starts a response of unknown length; `Write` and `Finish` follow.
  virtual void StartStream(int status, std::map<std::string, std::string> headers) = 0;
  virtual void Write(std::string chunk) = 0;
  virtual void Finish() = 0;
  /// Closes the connection without completing the response (for emulated faults).
  virtual void Cut() = 0;
  /// `callback` runs once, on a server thread, if the response could not be completed.
  virtual void OnDisconnect(std::function<void()> callback) = 0;
};

using Handler = std::function<void(Request, std::shared_ptr<Responder>)>;

/// Time without received or sent bytes after which a connection is closed.
constexpr std::chrono::seconds kConnectionTimeout{60};

/// Limits of a server.
struct ServerOptions {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;  ///< 0: chosen by the system.
  std::size_t max_body_bytes = std::size_t{4} << 20;
  /// Limits the bodies of all requests that are being received. A request whose body would exceed
  /// it is answered with 503 and Retry-After, and is not passed to the handler.
  std::size_t max_buffered_body_bytes = std::size_t{256} << 20;
  unsigned threads = 2;
  /// Requests on further connections are answered with 503 and Retry-After.
  unsigned max_connections = 4000;
  /// Does not run while a response, or the next part of a stream, is awaited.
  std::chrono::seconds connection_timeout = kConnectionTimeout;
  /// How long `Stop` waits for responses to be written.
  std::chrono::milliseconds stop_timeout{1000};
};

/// A running server. `handler` runs on a server thread and must not block.
class Server {
 public:
  virtual ~Server() = default;
  /// @return the listening port.
  virtual std::uint16_t port() const = 0;
  /// Adds "Connection: close" to all further responses.
  virtual void BeginDrain() = 0;
  /// Accepts no new connections; requests on open connections are still processed.
  virtual void StopListening() = 0;
  /// @return the number of received requests whose responses are not completely written. Stopping
  /// before it is 0 truncates or loses responses.
  virtual std::size_t unfinished_responses() const = 0;
  /// @return the body bytes of requests that are being received.
  virtual std::size_t buffered_body_bytes() const = 0;
  /// Ends pending requests with a 503 of unknown outcome, aborts streams so that clients detect the
  /// truncation, waits at most `stop_timeout` until the responses are written, and stops. Also
  /// called by the destructor.
  /// @return the number of responses not written by then; 0 when called again.
  virtual std::size_t Stop() = 0;
  /// Errors: HttpError::kCannotListen.
  static Result<std::unique_ptr<Server>> Start(const ServerOptions& options, Handler handler);
};

}  // namespace martenyard::http
