// HTTP/1.1 server over libmicrohttpd: asynchronous answers and streams.
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

/// Why a server could not start, or a client's transfer did not finish.
struct HttpError {
  enum class Code { kCannotListen, kTransfer };
  Code code = Code::kTransfer;
  std::string detail;
};

/// A whole request, its body included.
struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::map<std::string, std::string> query;
  std::string body;

  /// @return the header's value, or an empty string. `name` is in lower case.
  std::string Header(const std::string& name) const;
};

/// A whole answer.
struct Response {
  int status = 200;
  std::map<std::string, std::string> headers;
  std::string body;
};

/// Answers one request, at once or later, from any thread. Calls after the end are ignored.
class Responder {
 public:
  virtual ~Responder() = default;
  /// Sends a whole answer and ends it.
  virtual void Send(Response response) = 0;
  /// Starts an answer of unknown length; `Write` and `Finish` follow.
  virtual void StartStream(int status, std::map<std::string, std::string> headers) = 0;
  virtual void Write(std::string chunk) = 0;
  virtual void Finish() = 0;
  /// Breaks the connection off without a proper end (for emulated faults).
  virtual void Cut() = 0;
  /// `callback` runs once when the client went away before the answer's end, on a server thread.
  virtual void OnDisconnect(std::function<void()> callback) = 0;
};

using Handler = std::function<void(Request, std::shared_ptr<Responder>)>;

/// Limits of a server.
struct ServerOptions {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;  ///< 0: the system chooses.
  std::size_t max_body_bytes = std::size_t{4} << 20;
  unsigned threads = 2;
  unsigned max_connections = 4000;
  /// How long a stop waits for clients to take the answers that are on their way to them.
  std::chrono::milliseconds stop_patience{1000};
};

/// A running server. `handler` runs on a server thread and must not block.
class Server {
 public:
  virtual ~Server() = default;
  /// @return the port listened on.
  virtual std::uint16_t port() const = 0;
  /// From now on every answer asks its client to close the connection.
  virtual void BeginDrain() = 0;
  /// Takes no new connections; requests on open ones are still read and answered.
  virtual void StopListening() = 0;
  /// @return how many requests were given to the handler, or refused, and have not got the last
  /// byte of their answer. Until it is 0, stopping costs somebody an answer.
  virtual std::size_t unanswered() const = 0;
  /// Ends requests that wait with a 503 of unknown outcome, cuts streams off so that none looks
  /// whole, waits `stop_patience` at most until the answers have left, and stops. Called by the
  /// destructor too.
  /// @return how many answers had not left by then; 0 when called again.
  virtual std::size_t Stop() = 0;
  /// Errors: HttpError::kCannotListen.
  static Result<std::unique_ptr<Server>> Start(const ServerOptions& options, Handler handler);
};

}  // namespace martenyard::http
