// Listening TCP socket with a thread of its own that accepts connections.
#pragma once

#include <sys/socket.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "http/server.h"

namespace martenyard::http {

/// Accepts connections until it is closed. Libmicrohttpd can listen by itself, but with several
/// epoll threads its `MHD_quiesce_daemon` races with them over the listening socket and aborts the
/// process.
class Listener {
 public:
  /// Takes over the descriptor of an accepted connection.
  using OnAccept = std::function<void(int socket, const sockaddr* peer, socklen_t peer_size)>;

  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /// @param address IPv4 address in dotted form.
  /// @param port 0: chosen by the system.
  /// @param on_accept runs on the listener's thread.
  /// Errors: HttpError::kCannotListen.
  static Result<std::unique_ptr<Listener>> Start(const std::string& address, std::uint16_t port,
                                                 OnAccept on_accept);

  /// @return the listening port.
  std::uint16_t port() const { return port_; }
  /// Accepts the established connections, then rejects new ones. Later calls have no effect.
  void Close();

 private:
  Listener(int socket, int wake, std::uint16_t port, OnAccept on_accept);
  void Run();
  /// Accepts all pending connections.
  void AcceptPending();

  int socket_;
  int wake_;  ///< Event descriptor that ends `Run`.
  std::uint16_t port_;
  OnAccept on_accept_;
  std::thread thread_;
};

}  // namespace martenyard::http
