// HTTP/1.1 client over Asio and Boost.Beast: one connection to a back end, with separate send and
// read steps, so that the caller knows what was sent and received after each step.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"
#include "async_http/growing_body.h"
#include "async_http/task.h"
#include "wire/endpoint.h"

namespace martenyard::async_http {

using ResponseParser = boost::beast::http::response_parser<GrowingBody>;

/// Result of a read step.
enum class ReadStep {
  kProgress,   ///< Received another part of the response.
  kWhole,      ///< The response is complete.
  kClosed,     ///< Closed or reset by the peer before the response was complete.
  kMalformed,  ///< Not a valid response.
};

/// A connection. Runs one request at a time and must not be shared.
class Connection {
 public:
  Connection(asio::io_context& context, const wire::Endpoint& peer);

  /// @return true once connected.
  Task<bool> Connect();
  /// Why the last `Connect` failed; no error if it has not.
  const error_code& connect_error() const { return connect_error_; }
  /// Sends bytes. @return false if the connection failed; a part may have been sent.
  Task<bool> Send(absl::string_view bytes);
  /// Limits the bodies of the responses begun from now on; a larger one is malformed.
  void SetBodyLimit(std::uint64_t bytes) { body_limit_ = bytes; }
  /// Starts reading the next response; interim (1xx) responses are skipped.
  /// @param head_request whether the request is HEAD, whose response has no body.
  void BeginResponse(bool head_request);
  /// Reads at least until the header is complete.
  Task<ReadStep> ReadHead();
  /// Reads a part of the body into the parser's body.
  Task<ReadStep> ReadBody();
  ResponseParser& parser() { return *parser_; }

  /// Closes immediately; pending steps end with `kClosed`.
  void Close();
  bool is_open() const { return socket_.is_open(); }
  /// @return whether the idle connection was closed by the peer or has received unexpected bytes.
  bool IsStale();
  /// @return whether bytes have arrived that were not read yet.
  bool HasUnreadBytes() const;
  /// @return whether no bytes follow the last response and the peer keeps the connection open.
  bool MayBeReused() const;
  /// @return whether the response was delimited by the end of the connection.
  bool ended_by_close() const { return ended_by_close_; }
  /// @return whether the system accepted any byte of the current request. Meaningful after `Send`.
  bool any_sent() const { return any_sent_; }
  const wire::Endpoint& peer() const { return peer_; }
  absl::Time idle_since() const { return idle_since_; }
  void set_idle_since(absl::Time when) { idle_since_ = when; }
  /// Keep-alive timeout announced by the peer; infinite if none.
  absl::Duration keep_alive_timeout() const { return keep_alive_timeout_; }
  std::uint64_t uses() const { return uses_; }

 private:
  void StartParser();
  absl::string_view BufferedBytes() const;
  /// Handles the end of the header section. @return false if the response is malformed.
  bool AcceptHeader();
  Task<ReadStep> Parse(bool head_only);
  /// Handles the end of the connection's data.
  ReadStep EndByClose();
  /// @return whether an end of file, once it was read, is the peer's end of its data.
  bool PeerHasFinished();
  void ParseKeepAlive();

  Socket socket_;
  wire::Endpoint peer_;
  error_code connect_error_;
  boost::beast::flat_buffer buffer_;
  std::unique_ptr<ResponseParser> parser_;
  std::uint64_t body_limit_ = std::uint64_t{64} << 20;
  bool head_request_ = false;
  int interim_responses_ = 0;  ///< Skipped before the present response.
  /// Of a chunked response: without the fields of its trailer section.
  std::optional<boost::beast::http::response_header<>> header_;
  bool any_sent_ = false;
  error_code send_error_;             ///< Of the first failed send.
  std::uint64_t bytes_received_ = 0;  ///< Since the connection was made.
  bool ended_by_close_ = false;
  absl::Time idle_since_;
  absl::Duration keep_alive_timeout_ = absl::InfiniteDuration();
  std::uint64_t uses_ = 0;
};

}  // namespace martenyard::async_http
