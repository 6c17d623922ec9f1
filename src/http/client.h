// Asynchronous HTTP client over libcurl: one thread drives every transfer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"

namespace martenyard::http {

/// A request to send.
struct ClientRequest {
  std::string method = "GET";
  std::string url;
  std::vector<std::string> headers;  ///< Complete lines, "Name: value".
  std::string body;
  absl::Duration timeout = absl::Seconds(30);  ///< For the complete transfer; may be infinite.
  absl::Duration connect_timeout = absl::Seconds(1);
  /// Uses a new connection, for requests that are not idempotent. On a reused connection, libcurl
  /// retries a request if the connection closes before the first byte of the response, although
  /// the server may have processed it.
  bool send_once = false;
  /// Limits the body stored in the result; a longer one fails the transfer. Does not apply to data
  /// passed to the data callback.
  std::size_t max_body_bytes = std::size_t{64} << 20;
  /// Limits the header lines of all responses to the request, interim responses and trailers
  /// included; more fail the transfer.
  std::size_t max_header_bytes = std::size_t{256} << 10;
};

/// Result of a transfer.
struct ClientResult {
  int status = 0;    ///< 0 if no final response was received with a complete, valid header section.
  std::string body;  ///< Empty if it was passed to the data callback.
  std::string error;  ///< Empty if the complete response was received.
  /// True if the response has a Content-Length or Transfer-Encoding header. Otherwise the body ends
  /// when the connection closes, and truncation cannot be detected.
  bool framed = false;
  bool connected = false;  ///< False: no byte of the request was sent.
  std::optional<int> retry_after_seconds;

  bool ok() const { return error.empty() && status >= 200 && status < 300; }
};

using DataCallback = std::function<void(std::string_view)>;
using DoneCallback = std::function<void(ClientResult)>;
/// Identifies a transfer; ids are not reused.
using TransferId = std::uint64_t;

/// Runs transfers. Callbacks run in order on the client's own thread; `on_done` runs last and
/// exactly once. After `Cancel` has taken effect, no callback runs.
class Client {
 public:
  virtual ~Client() = default;
  /// Thread-safe. `on_data` receives the body of a 2xx response as it arrives; any other body is
  /// stored in the result, so that error bodies are not mistaken for data. If `on_data` is empty,
  /// every body is stored in the result.
  virtual TransferId Start(ClientRequest request, DataCallback on_data, DoneCallback on_done) = 0;
  /// Thread-safe and asynchronous. Unknown ids are ignored.
  virtual void Cancel(TransferId id) = 0;
  /// Runs a transfer and blocks until it ends. Must not be called from a callback.
  ClientResult Fetch(ClientRequest request);
  /// As `Fetch`; `on_data` receives the body on the client's thread as it arrives.
  ClientResult FetchStreaming(ClientRequest request, DataCallback on_data);

  static std::unique_ptr<Client> Create();
};

}  // namespace martenyard::http
