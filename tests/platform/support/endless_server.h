// A server in trouble: it answers each request with a beginning and then the same bytes without
// end, until its caller closes the connection.
#pragma once

#include <cstdint>
#include <string>

#include "async_http/task.h"

namespace martenyard::testing {

struct EndlessResponse {
  std::string beginning;  ///< Each `@` stands for the request's id.
  std::string endless;
};

/// On the loop's thread only.
class EndlessServer {
 public:
  EndlessServer(async_http::asio::io_context& context, EndlessResponse response);
  ~EndlessServer();
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  /// Responses begun.
  int begun() const { return begun_; }
  std::uint64_t sent() const { return sent_; }

 private:
  async_http::Task<void> AcceptAll();
  async_http::Task<void> Serve(async_http::Socket socket);

  async_http::asio::io_context& context_;
  EndlessResponse response_;
  std::string block_;  ///< `endless` repeated.
  async_http::asio::ip::tcp::acceptor acceptor_;
  int begun_ = 0;
  std::uint64_t sent_ = 0;
};

}  // namespace martenyard::testing
