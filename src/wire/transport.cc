#include "wire/transport.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace martenyard::wire {
namespace {

/// Default limits, see `SetUnsentLimit`, `SetReceiveLimit` and `SetConnectionLimit`.
constexpr std::size_t kDefaultMaxUnsentBytes = std::size_t{128} << 20;
constexpr std::size_t kDefaultMaxReceivedBytes = std::size_t{128} << 20;
constexpr std::size_t kDefaultMaxAccepted = 8192;
constexpr std::size_t kReadBytes = std::size_t{64} << 10;
constexpr int kBacklog = 512;
constexpr int kBindAttempts = 20;
constexpr int kDatagramsAtOnce = 64;
constexpr absl::Duration kAcceptPause = absl::Milliseconds(20);
/// Detects a network partition: the connection fails if sent data isn't acknowledged in this time.
constexpr unsigned kUserTimeoutMilliseconds = 1000;
/// A refused connection is reported only if the attempt is not older than this.
constexpr absl::Duration kMaxDownReportAge = absl::Milliseconds(200);

sockaddr_in SocketAddress(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
  return address;
}

bool BindSocket(int socket, const Endpoint& endpoint) {
  sockaddr_in address = SocketAddress(endpoint);
  return bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
}

std::uint16_t BoundPort(int socket) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

}  // namespace

Transport::Transport(EventLoop& loop, PayloadHandler on_frame, PayloadHandler on_datagram,
                     PeerDownHandler on_peer_down)
    : loop_(loop),
      on_frame_(std::move(on_frame)),
      on_datagram_(std::move(on_datagram)),
      on_peer_down_(std::move(on_peer_down)),
      max_unsent_(kDefaultMaxUnsentBytes),
      max_received_(kDefaultMaxReceivedBytes),
      max_accepted_(kDefaultMaxAccepted),
      read_buffer_(kReadBytes) {}

Transport::~Transport() {
  // The loop may outlive this object, and descriptor numbers are reused.
  auto end = [this](int socket) {
    loop_.Unwatch(socket);
    close(socket);
  };
  for (auto& [socket, connection] : accepted_) {
    end(socket);
  }
  for (auto& [peer, connection] : peers_) {
    end(connection->socket);
  }
  for (int socket : {listener_, datagrams_}) {
    if (socket >= 0) {
      end(socket);
    }
  }
}

Result<Endpoint> Transport::Listen(const Endpoint& endpoint) {
  for (int attempt = 0; attempt < kBindAttempts; ++attempt) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    datagrams_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int yes = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    Endpoint bound = endpoint;
    if (BindSocket(listener_, endpoint) && listen(listener_, kBacklog) == 0) {
      bound.port = BoundPort(listener_);
      if (BindSocket(datagrams_, bound)) {
        WatchListener();
        loop_.Watch(datagrams_, EPOLLIN, [this](std::uint32_t) { ReadDatagrams(); });
        return bound;
      }
    }
    int failure = errno;
    close(listener_);
    close(datagrams_);
    listener_ = datagrams_ = -1;
    // A port chosen by the system for TCP may be in use for UDP; only then retry.
    if (endpoint.port != 0) {
      return leaf::new_error(TransportError{"cannot listen on " + endpoint.ToString() + ": " +
                                            std::strerror(failure)});
    }
  }
  return leaf::new_error(TransportError{"no port is free for TCP and UDP on " + endpoint.address});
}

void Transport::AcceptAll() {
  while (true) {
    int socket = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket < 0 && (errno == EINTR || errno == ECONNABORTED)) {
      continue;
    }
    if (socket < 0) {
      bool exhausted = errno != EAGAIN;  // Of descriptors or memory.
      if (exhausted) {
        PauseAccepting();
      }
      return;
    }
    if (accepted_.size() >= max_accepted_) {
      EvictAccepted(&Connection::received_at, /*incomplete=*/false, /*spared=*/-1);
    }
    if (!loop_.Watch(socket, EPOLLIN, [this, socket](std::uint32_t) { ReadFrames(socket); })) {
      close(socket);
      continue;
    }
    auto connection = std::make_unique<Connection>();
    connection->socket = socket;
    connection->received_at = SteadyNow();
    accepted_[socket] = std::move(connection);
  }
}

void Transport::PauseAccepting() {
  // The listener stays readable: watching it on would call `AcceptAll` without a pause.
  loop_.Unwatch(listener_);
  std::weak_ptr<bool> alive = alive_;
  loop_.After(kAcceptPause, [this, alive] {
    if (!alive.expired()) {
      WatchListener();
    }
  });
}

void Transport::WatchListener() {
  if (!loop_.Watch(listener_, EPOLLIN, [this](std::uint32_t) { AcceptAll(); })) {
    PauseAccepting();  // The system can't watch more files at present.
  }
}

void Transport::ReadFrames(int socket) {
  auto found = accepted_.find(socket);
  if (found == accepted_.end()) {
    return;
  }
  Connection& connection = *found->second;
  ssize_t count = read(socket, read_buffer_.data(), read_buffer_.size());
  bool healthy = count > 0 || (count < 0 && (errno == EAGAIN || errno == EINTR));
  if (count > 0) {
    stats_.bytes_received += static_cast<std::uint64_t>(count);
    connection.received_at = SteadyNow();
    absl::string_view bytes(read_buffer_.data(), static_cast<std::size_t>(count));
    std::size_t before = connection.received.buffered_bytes();
    FeedResult result = connection.received.Feed(bytes, max_received_, on_frame_);
    received_ += connection.received.buffered_bytes() - before;
    if (before == 0 || result.frames > 0) {
      connection.incomplete_since = connection.received_at;
    }
    healthy = result.valid;
    stats_.streams_rejected += healthy ? 0 : 1;
  }
  if (!healthy) {
    CloseAccepted(socket);
  }
  while (received_ > max_received_ &&
         EvictAccepted(&Connection::incomplete_since, /*incomplete=*/true, socket)) {
  }
}

void Transport::CloseAccepted(int socket) {
  auto closed = accepted_.extract(socket);
  received_ -= closed.mapped()->received.buffered_bytes();
  loop_.Unwatch(socket);
  close(socket);
}

bool Transport::EvictAccepted(absl::Time Connection::*since, bool incomplete, int spared) {
  const Connection* first = nullptr;
  for (const auto& [socket, connection] : accepted_) {
    bool candidate = socket != spared && (!incomplete || connection->received.buffered_bytes() > 0);
    if (candidate && (first == nullptr || (*connection).*since < first->*since)) {
      first = connection.get();
    }
  }
  if (first == nullptr) {
    return false;
  }
  ++stats_.streams_evicted;
  CloseAccepted(first->socket);
  return true;
}

void Transport::ReadDatagrams() {
  // The rest is read in a later round, so that a flood doesn't hold up everything else.
  for (int datagram = 0; datagram < kDatagramsAtOnce; ++datagram) {
    ssize_t count = recv(datagrams_, read_buffer_.data(), read_buffer_.size(), 0);
    if (count < 0) {
      return;
    }
    stats_.bytes_received += static_cast<std::uint64_t>(count);
    on_datagram_(std::string(read_buffer_.data(), static_cast<std::size_t>(count)));
  }
}

bool Transport::Connect(const Endpoint& peer) {
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (socket < 0) {
    return false;
  }
  int yes = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMilliseconds,
             sizeof(kUserTimeoutMilliseconds));
  if (send_buffer_ > 0) {
    setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &send_buffer_, sizeof(send_buffer_));
  }
  sockaddr_in address = SocketAddress(peer);
  int status = connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  if (status != 0 && errno != EINPROGRESS) {
    int failure = errno;
    close(socket);
    errno = failure;
    return false;
  }
  bool watched = loop_.Watch(socket, EPOLLOUT | EPOLLIN | EPOLLRDHUP,
                             [this, peer](std::uint32_t events) { OnPeerReady(peer, events); });
  if (!watched) {
    close(socket);
    errno = ENOSPC;
    return false;
  }
  auto connection = std::make_unique<Connection>();
  connection->socket = socket;
  connection->connecting = status != 0;
  connection->opened_at = SteadyNow();
  peers_[peer] = std::move(connection);
  return true;
}

bool Transport::SendFrame(const Endpoint& peer, const std::string& payload) {
  if (!peers_.contains(peer) && !Connect(peer)) {
    ++stats_.frames_dropped;
    return false;
  }
  Connection& connection = *peers_[peer];
  if (unsent_ + payload.size() > max_unsent_) {
    ++stats_.frames_dropped;
    return false;
  }
  std::size_t before = connection.unsent.size();
  AppendFrame(connection.unsent, payload);
  unsent_ += connection.unsent.size() - before;
  if (!connection.connecting) {
    Flush(peer);
  }
  return true;
}

bool Transport::IsReceiving(std::size_t min_bytes, absl::Duration recent) const {
  absl::Time since = SteadyNow() - recent;
  return std::any_of(accepted_.begin(), accepted_.end(), [&](const auto& entry) {
    const Connection& connection = *entry.second;
    return connection.received.buffered_bytes() >= min_bytes && connection.received_at >= since;
  });
}

std::size_t Transport::Unsent(const Endpoint& peer) const {
  auto found = peers_.find(peer);
  return found == peers_.end() ? 0 : found->second->unsent.size();
}

void Transport::Flush(const Endpoint& peer) {
  Connection& connection = *peers_[peer];
  while (!connection.unsent.empty()) {
    ssize_t count =
        send(connection.socket, connection.unsent.data(), connection.unsent.size(), MSG_NOSIGNAL);
    if (count < 0 && errno == EAGAIN) {
      loop_.Watch(connection.socket, EPOLLOUT | EPOLLIN | EPOLLRDHUP,
                  [this, peer](std::uint32_t events) { OnPeerReady(peer, events); });
      return;
    }
    if (count <= 0) {
      OnBroken(peer);
      return;
    }
    stats_.bytes_sent += static_cast<std::uint64_t>(count);
    connection.unsent.erase(0, static_cast<std::size_t>(count));
    unsent_ -= static_cast<std::size_t>(count);
  }
  loop_.Watch(connection.socket, EPOLLIN | EPOLLRDHUP,
              [this, peer](std::uint32_t events) { OnPeerReady(peer, events); });
}

void Transport::OnPeerReady(const Endpoint& peer, std::uint32_t events) {
  auto found = peers_.find(peer);
  if (found == peers_.end()) {
    return;
  }
  // Peers never send on this connection, so readable means closed.
  if ((events & (EPOLLERR | EPOLLHUP | EPOLLRDHUP | EPOLLIN)) != 0) {
    OnBroken(peer);
    return;
  }
  found->second->connecting = false;
  Flush(peer);
}

void Transport::OnBroken(const Endpoint& peer) {
  Connection& connection = *peers_[peer];
  int failure = 0;
  socklen_t size = sizeof(failure);
  getsockopt(connection.socket, SOL_SOCKET, SO_ERROR, &failure, &size);
  bool established = !connection.connecting;
  bool checks_peer_down = connection.checks_peer_down;
  absl::Time checked_at = connection.opened_at;
  ClosePeer(peer);
  if (established) {
    // The process may have ended or only closed this connection: reconnect to find out.
    if (Connect(peer)) {
      peers_[peer]->checks_peer_down = true;
    } else if (errno == ECONNREFUSED) {
      ReportPeerDown(peer, SteadyNow());
    }
    return;
  }
  if (checks_peer_down && failure == ECONNREFUSED) {
    ReportPeerDown(peer, checked_at);
  }
}

void Transport::ReportPeerDown(const Endpoint& peer, absl::Time checked_at) {
  // Deferred, since this may run within a call to `SendFrame`.
  loop_.Post([this, peer, checked_at] {
    // If this process was suspended since the check, the peer may have restarted.
    if (SteadyNow() - checked_at < kMaxDownReportAge) {
      on_peer_down_(peer, checked_at);
    }
  });
}

void Transport::ClosePeer(const Endpoint& peer) {
  auto closed = peers_.extract(peer);
  const Connection& connection = *closed.mapped();
  unsent_ -= connection.unsent.size();
  loop_.Unwatch(connection.socket);
  close(connection.socket);
  if (on_closed_) {
    on_closed_(closed.key());
  }
}

void Transport::SendDatagram(const Endpoint& peer, const std::string& payload) {
  sockaddr_in address = SocketAddress(peer);
  ssize_t count = sendto(datagrams_, payload.data(), payload.size(), MSG_NOSIGNAL,
                         reinterpret_cast<sockaddr*>(&address), sizeof(address));
  if (count < 0) {
    ++stats_.frames_dropped;
    return;
  }
  stats_.bytes_sent += static_cast<std::uint64_t>(count);
}

}  // namespace martenyard::wire
