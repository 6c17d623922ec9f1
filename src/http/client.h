// Asynchronous HTTP client over libcurl: one thread drives every transfer.
#pragma once

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
  std::vector<std::string> headers;  ///< Whole lines, "Name: value".
  std::string body;
  absl::Duration timeout = absl::Seconds(30);  ///< For the whole transfer; infinite allowed.
  absl::Duration connect_timeout = absl::Seconds(1);
  /// Goes over a connection of its own. Over one kept from an earlier transfer, libcurl sends a
  /// request again by itself if that connection closes before the answer's first byte, and nothing
  /// tells whether the first one was taken: for requests that must not run twice.
  bool send_once = false;
};

/// How a transfer ended. `status` is 0 when no answer came.
struct ClientResult {
  int status = 0;
  std::string body;   ///< Empty when the data callback took it.
  std::string error;  ///< Empty when the whole answer arrived.
  /// True if the answer said where its body ends, by a length or by chunks. The end of any other is
  /// the connection's, and a body cut short by that looks whole.
  bool framed = false;
  bool connected = false;  ///< False: the request surely never left this machine.
  std::optional<int> retry_after_seconds;

  bool ok() const { return error.empty() && status >= 200 && status < 300; }
};

using DataCallback = std::function<void(std::string_view)>;
using DoneCallback = std::function<void(ClientResult)>;
/// Names a transfer; ids are not used twice.
using TransferId = std::uint64_t;

/// Runs transfers. Callbacks run on the client's own thread, in order, `on_done` exactly once and
/// last, unless the transfer was cancelled: then none runs after `Cancel` took effect.
class Client {
 public:
  virtual ~Client() = default;
  /// Thread-safe. `on_data` gets the body of an answer of status 2xx as it comes; any other body is
  /// gathered into the result, so that a failure's words are never taken for the answer's. It may
  /// be empty: then every body is gathered.
  virtual TransferId Start(ClientRequest request, DataCallback on_data, DoneCallback on_done) = 0;
  /// Thread-safe; ends the transfer soon. Unknown ids are ignored.
  virtual void Cancel(TransferId id) = 0;
  /// Starts a transfer and waits for its end. Not to be called from a callback.
  ClientResult Fetch(ClientRequest request);
  /// The same, with the body handed to `on_data` on the client's thread as it comes.
  ClientResult FetchStreaming(ClientRequest request, DataCallback on_data);

  static std::unique_ptr<Client> Create();
};

}  // namespace martenyard::http
