#include "async_http/connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "async_http/framing.h"
#include "async_http/tcp_state.h"

namespace martenyard::async_http {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t kReadBytes = std::size_t{16} << 10;
constexpr std::uint32_t kHeaderLimit = std::uint32_t{64} << 10;
/// Of a trailer section and of a chunk's line.
constexpr std::size_t kTrailerLimit = kHeaderLimit;
/// Interim responses before a final one; servers send one or two.
constexpr int kMaxInterimResponses = 16;
/// The connection fails if sent data isn't acknowledged in this time.
constexpr unsigned kUserTimeoutMilliseconds = 1000;

constexpr unsigned kFirstStatus = 100;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kSwitchingProtocols = 101;

/// @return whether the status is one that a response may have here. No request asks for another
/// protocol.
bool IsValidStatus(unsigned status) {
  return status >= kFirstStatus && status != kSwitchingProtocols;
}

/// @return whether a final response follows. Compares numbers: Beast lacks some of the names.
bool IsInterim(const ResponseParser& parser) {
  return parser.get().result_int() < kFirstFinalStatus;
}

}  // namespace

Connection::Connection(asio::io_context& context, const wire::Endpoint& peer)
    : socket_(context), peer_(peer) {}

Task<bool> Connection::Connect() {
  error_code error;
  auto address = asio::ip::make_address(peer_.address, error);
  if (error) {
    co_return false;
  }
  socket_.open(asio::ip::tcp::v4(), error);
  if (error) {
    co_return false;
  }
  socket_.set_option(asio::ip::tcp::no_delay(true), error);
  setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMilliseconds,
             sizeof(kUserTimeoutMilliseconds));
  auto [failure] =
      co_await socket_.async_connect(asio::ip::tcp::endpoint(address, peer_.port), kAwait);
  connect_error_ = failure;
  if (failure) {
    Close();
    co_return false;
  }
  co_return socket_.is_open();
}

Task<bool> Connection::Send(absl::string_view bytes) {
  if (!socket_.is_open()) {
    co_return false;
  }
  auto [error, count] =
      co_await asio::async_write(socket_, asio::buffer(bytes.data(), bytes.size()), kAwait);
  any_sent_ = any_sent_ || count > 0;
  if (error && !send_error_) {
    send_error_ = error;
  }
  co_return !error;
}

void Connection::BeginResponse(bool head_request) {
  any_sent_ = false;
  ended_by_close_ = false;
  ++uses_;
  head_request_ = head_request;
  interim_responses_ = 0;
  StartParser();
}

void Connection::StartParser() {
  parser_ = std::make_unique<ResponseParser>();
  // Not eager until the header is complete, to keep it apart from the trailer of a chunked body.
  parser_->eager(false);
  header_.reset();
  parser_->header_limit(kHeaderLimit);
  parser_->body_limit(body_limit_);
  parser_->skip(head_request_);
}

Task<ReadStep> Connection::ReadHead() { return Parse(/*head_only=*/true); }

Task<ReadStep> Connection::ReadBody() { return Parse(/*head_only=*/false); }

Task<ReadStep> Connection::Parse(bool head_only) {
  if (parser_->is_done()) {
    co_return ReadStep::kWhole;
  }
  while (true) {
    bool parsed = false;
    while (buffer_.size() > 0 && !parser_->is_done()) {
      if (!parser_->is_header_done() && CheckLines(BufferedBytes()) != FramingError::kNone) {
        co_return ReadStep::kMalformed;
      }
      error_code error;
      std::size_t used = parser_->put(buffer_.data(), error);
      buffer_.consume(used);
      if (error && error != http::error::need_more) {
        co_return ReadStep::kMalformed;
      }
      if (parser_->is_header_done() && !parser_->eager() && !AcceptHeader()) {
        co_return ReadStep::kMalformed;
      }
      parsed = parsed || used > 0;
      // The parser takes a trailer section or a chunk's line at once and limits neither.
      if (parser_->is_header_done() && error == http::error::need_more &&
          buffer_.size() > kTrailerLimit) {
        co_return ReadStep::kMalformed;
      }
      if (error == http::error::need_more || used == 0) {
        break;
      }
    }
    if (parser_->is_done() && IsInterim(*parser_)) {
      if (++interim_responses_ > kMaxInterimResponses) {
        co_return ReadStep::kMalformed;
      }
      StartParser();
      continue;
    }
    if (parser_->is_done()) {
      if (header_) {
        // The trailer fields may repeat the name of any header field, and none is used.
        parser_->get().base() = std::move(*header_);
        header_.reset();
      }
      ParseKeepAlive();
      co_return ReadStep::kWhole;
    }
    if (parsed && (!head_only || parser_->is_header_done())) {
      co_return ReadStep::kProgress;
    }
    if (!socket_.is_open()) {
      co_return ReadStep::kClosed;
    }
    auto [error, count] = co_await socket_.async_read_some(buffer_.prepare(kReadBytes), kAwait);
    if (error) {
      co_return error == asio::error::eof ? EndByClose() : ReadStep::kClosed;
    }
    buffer_.commit(count);
    bytes_received_ += count;
  }
}

ReadStep Connection::EndByClose() {
  bool delimited_by_close = parser_->is_header_done() && parser_->need_eof();
  if (!delimited_by_close || !PeerHasFinished()) {
    return ReadStep::kClosed;
  }
  error_code error;
  parser_->put_eof(error);
  ended_by_close_ = true;
  return error ? ReadStep::kClosed : ReadStep::kWhole;
}

bool Connection::PeerHasFinished() {
  // A socket reports the failure of its connection once. After a send has got the error, reads end
  // as if the peer had finished.
  if (!send_error_) {
    return true;
  }
  // EPIPE is the error of a reset that followed the peer's FIN.
  return send_error_ == asio::error::broken_pipe ||
         HasReceivedFin(socket_.native_handle(), bytes_received_);
}

absl::string_view Connection::BufferedBytes() const {
  return {static_cast<const char*>(buffer_.data().data()), buffer_.size()};
}

bool Connection::AcceptHeader() {
  const auto& response = parser_->get();
  parser_->eager(true);
  if (parser_->chunked()) {
    header_ = response.base();
  }
  return IsValidStatus(response.result_int()) &&
         CheckFraming(response, response.version()) == FramingError::kNone;
}

void Connection::ParseKeepAlive() {
  auto field = parser_->get().find(http::field::keep_alive);
  if (field == parser_->get().end()) {
    return;
  }
  absl::string_view text(field->value().data(), field->value().size());
  for (absl::string_view item : absl::StrSplit(text, ',')) {
    item = absl::StripAsciiWhitespace(item);
    int seconds = 0;
    if (absl::ConsumePrefix(&item, "timeout=") && absl::SimpleAtoi(item, &seconds)) {
      keep_alive_timeout_ = absl::Seconds(seconds);
    }
  }
}

void Connection::Close() {
  error_code ignored;
  socket_.close(ignored);
}

bool Connection::IsStale() {
  if (!socket_.is_open() || buffer_.size() > 0) {
    return true;
  }
  char byte = 0;
  ssize_t count = recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count >= 0 || (errno != EAGAIN && errno != EINTR);
}

bool Connection::HasUnreadBytes() const {
  error_code error;
  return socket_.available(error) > 0 && !error;
}

bool Connection::MayBeReused() const {
  return socket_.is_open() && parser_ != nullptr && parser_->is_done() && !ended_by_close_ &&
         parser_->keep_alive() && buffer_.size() == 0;
}

}  // namespace martenyard::async_http
