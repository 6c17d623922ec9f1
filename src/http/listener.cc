#include "http/listener.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <utility>

#include "base/logging.h"

namespace martenyard::http {
namespace {

constexpr char kLogPrefix[] = "http";
/// Pause after a failed accept, for example without a free descriptor: the connection stays in the
/// queue and would be reported again at once.
constexpr std::chrono::milliseconds kAcceptRetryDelay{20};

/// @return a non-blocking socket that listens on `address`, or -1 with `errno` set.
int OpenSocket(const sockaddr_in& address) {
  int listening = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (listening < 0) {
    return -1;
  }
  int on = 1;
  setsockopt(listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);
  if (bind(listening, generic, sizeof(address)) != 0 || listen(listening, SOMAXCONN) != 0) {
    int error = errno;
    close(listening);
    errno = error;
    return -1;
  }
  return listening;
}

std::uint16_t BoundPort(int socket) {
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(socket, reinterpret_cast<sockaddr*>(&bound), &size);
  return ntohs(bound.sin_port);
}

}  // namespace

Result<std::unique_ptr<Listener>> Listener::Start(const std::string& address, std::uint16_t port,
                                                  OnAccept on_accept) {
  auto cannot_listen = [&](const std::string& reason) {
    return leaf::new_error(
        HttpError{HttpError::Code::kCannotListen,
                  "cannot listen on " + address + ":" + std::to_string(port) + ": " + reason});
  };
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  socket_address.sin_port = htons(port);
  if (inet_pton(AF_INET, address.c_str(), &socket_address.sin_addr) != 1) {
    return cannot_listen("not an IPv4 address");
  }
  int listening = OpenSocket(socket_address);
  if (listening < 0) {
    return cannot_listen(std::strerror(errno));
  }
  int wake = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (wake < 0) {
    std::string reason = std::strerror(errno);
    close(listening);
    return cannot_listen(reason);
  }
  return std::unique_ptr<Listener>(
      new Listener(listening, wake, BoundPort(listening), std::move(on_accept)));
}

Listener::Listener(int socket, int wake, std::uint16_t port, OnAccept on_accept)
    : socket_(socket), wake_(wake), port_(port), on_accept_(std::move(on_accept)), thread_([this] {
        Run();
      }) {}

Listener::~Listener() { Close(); }

void Listener::Close() {
  if (!thread_.joinable()) {
    return;
  }
  eventfd_write(wake_, 1);
  thread_.join();
  close(socket_);
  close(wake_);
}

void Listener::Run() {
  std::array<pollfd, 2> waiting{{{wake_, POLLIN, 0}, {socket_, POLLIN, 0}}};
  while (true) {
    if (poll(waiting.data(), waiting.size(), -1) < 0 && errno != EINTR) {
      MARTENYARD_LOG_ERROR(kLogPrefix, std::string("poll failed: ") + std::strerror(errno));
      return;
    }
    // Also before the end: closing the socket resets the connections that were not accepted.
    AcceptPending();
    if (waiting[0].revents != 0) {
      return;
    }
  }
}

void Listener::AcceptPending() {
  while (true) {
    sockaddr_in peer{};
    socklen_t peer_size = sizeof(peer);
    auto* generic = reinterpret_cast<sockaddr*>(&peer);
    int connection = accept4(socket_, generic, &peer_size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (connection >= 0) {
      on_accept_(connection, generic, peer_size);
      continue;
    }
    if (errno == EINTR || errno == ECONNABORTED) {
      continue;
    }
    if (errno != EAGAIN && errno != EWOULDBLOCK) {
      MARTENYARD_LOG_WARN(kLogPrefix, std::string("accept failed: ") + std::strerror(errno));
      std::this_thread::sleep_for(kAcceptRetryDelay);
    }
    return;
  }
}

}  // namespace martenyard::http
