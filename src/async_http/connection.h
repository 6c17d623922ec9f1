// Client side of HTTP/1.1 over Asio and Boost.Beast: one connection to a back end, step by step,
// so that the caller knows after every step what has left and what has come.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "async_http/task.h"
#include "wire/endpoint.h"

namespace martenyard::async_http {

using ResponseParser = boost::beast::http::response_parser<boost::beast::http::string_body>;

/// How a step of reading ended.
enum class ReadStep {
  kProgress,   ///< More of the answer is there.
  kWhole,      ///< The answer is whole.
  kClosed,     ///< The peer closed or reset before the answer was whole.
  kMalformed,  ///< Bytes that are no answer.
};

/// One connection. Not shared: whoever holds it runs one request at a time on it.
class Connection {
 public:
  Connection(asio::io_context& context, const wire::Endpoint& peer);

  /// @return true once connected.
  Task<bool> Connect();
  /// Sends bytes. @return false when the connection failed; some may have left.
  Task<bool> Send(absl::string_view bytes);
  /// Starts reading the next answer; interim ones (1xx) before it are passed over.
  /// @param head_request answers to HEAD carry no body.
  void BeginAnswer(bool head_request);
  /// Reads until the head is whole, or beyond.
  Task<ReadStep> ReadHead();
  /// Reads some of the body into the parser's body; take it from there.
  Task<ReadStep> ReadBody();
  ResponseParser& parser() { return *parser_; }

  /// Closes at once; waiting steps end as `kClosed`.
  void Close();
  bool is_open() const { return socket_.is_open(); }
  /// @return true when the idle connection was closed by the peer or holds bytes nobody asked for.
  bool IsStale();
  /// @return true when the last answer left no bytes behind and the peer keeps the connection.
  bool MayBeReused() const;
  /// @return true when only the end of the connection told where the answer ends.
  bool ended_by_close() const { return ended_by_close_; }
  /// Any byte of the present request was handed to the system for sending.
  bool any_sent() const { return any_sent_; }
  const wire::Endpoint& peer() const { return peer_; }
  absl::Time idle_since() const { return idle_since_; }
  void set_idle_since(absl::Time when) { idle_since_ = when; }
  /// How long the peer said it keeps the connection; infinite when it did not say.
  absl::Duration peer_keeps() const { return peer_keeps_; }
  std::uint64_t uses() const { return uses_; }

 private:
  void StartParser();
  Task<ReadStep> Parse(bool head_only);
  void NoteKeepAlive();

  Socket socket_;
  wire::Endpoint peer_;
  boost::beast::flat_buffer buffer_;
  std::unique_ptr<ResponseParser> parser_;
  bool head_request_ = false;
  bool any_sent_ = false;
  bool ended_by_close_ = false;
  absl::Time idle_since_;
  absl::Duration peer_keeps_ = absl::InfiniteDuration();
  std::uint64_t uses_ = 0;
};

}  // namespace martenyard::async_http
