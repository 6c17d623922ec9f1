#include "platform/support/endless_server.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "absl/strings/str_replace.h"

namespace martenyard::testing {
namespace {

namespace asio = async_http::asio;
using async_http::kAwait;
using async_http::Task;

constexpr std::size_t kBlockBytes = std::size_t{64} << 10;
constexpr char kIdField[] = "Attempt-Id: ";

/// @return the id in a request's head; empty if it has none.
std::string IdOf(const std::string& head) {
  std::size_t at = head.find(kIdField);
  if (at == std::string::npos) {
    return "";
  }
  at += sizeof(kIdField) - 1;
  return head.substr(at, head.find("\r\n", at) - at);
}

}  // namespace

EndlessServer::EndlessServer(asio::io_context& context, EndlessResponse response)
    : context_(context),
      response_(std::move(response)),
      acceptor_(context, {asio::ip::address_v4::loopback(), 0}) {
  while (block_.size() < kBlockBytes) {
    block_ += response_.endless;
  }
  asio::co_spawn(context_, AcceptAll(), asio::detached);
}

EndlessServer::~EndlessServer() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

Task<void> EndlessServer::AcceptAll() {
  while (true) {
    auto [error, socket] = co_await acceptor_.async_accept(kAwait);
    if (error) {
      co_return;
    }
    asio::co_spawn(context_, Serve(std::move(socket)), asio::detached);
  }
}

Task<void> EndlessServer::Serve(async_http::Socket socket) {
  std::string head;
  while (head.find("\r\n\r\n") == std::string::npos) {
    std::array<char, 4096> bytes{};
    auto buffer = asio::buffer(bytes);
    auto [error, count] = co_await socket.async_read_some(buffer, kAwait);
    if (error) {
      co_return;
    }
    head.append(bytes.data(), count);
  }
  ++begun_;
  std::string text = absl::StrReplaceAll(response_.beginning, {{"@", IdOf(head)}});
  auto beginning = asio::buffer(text);
  auto [failure, first] = co_await asio::async_write(socket, beginning, kAwait);
  bool open = !failure;
  while (open) {
    auto block = asio::buffer(block_);
    auto [error, count] = co_await asio::async_write(socket, block, kAwait);
    sent_ += count;
    open = !error;
  }
}

}  // namespace martenyard::testing
