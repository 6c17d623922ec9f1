// Frames between daemons: length-prefixed over TCP, and datagrams over UDP on the same port.
// One outgoing connection per peer. The send queue is bounded and frames beyond it are dropped:
// all protocols on top tolerate loss.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/errors.h"
#include "wire/endpoint.h"
#include "wire/event_loop.h"
#include "wire/frame_parser.h"

namespace martenyard::wire {

/// Why a transport could not start.
struct TransportError {
  std::string detail;
};

/// Counters since the start, in bytes and frames.
struct TransportStats {
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t frames_dropped = 0;
  std::uint64_t streams_rejected = 0;  ///< Connections closed because of malformed frames.
  std::uint64_t streams_evicted = 0;   ///< Accepted connections closed because of a limit.
};

/// Not thread-safe: for the event loop's thread only.
class Transport {
 public:
  /// Receives a frame's or a datagram's payload.
  using PayloadHandler = std::function<void(std::string payload)>;

  /// Called when a connection to a peer was lost and reconnecting was refused.
  using PeerDownHandler = std::function<void(const Endpoint& peer, absl::Time checked_at)>;

  /// Called when the connection to a peer was closed; the next frame opens a new one.
  using ClosedHandler = std::function<void(const Endpoint& peer)>;

  Transport(EventLoop& loop, PayloadHandler on_frame, PayloadHandler on_datagram,
            PeerDownHandler on_peer_down);
  ~Transport();
  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;

  /// Binds TCP and UDP to the same port; 0 selects a free one.
  /// Errors: TransportError.
  Result<Endpoint> Listen(const Endpoint& endpoint);
  bool is_listening() const { return listener_ >= 0; }
  void SetClosedHandler(ClosedHandler on_closed) { on_closed_ = std::move(on_closed); }
  /// @return false if the frame was dropped at once.
  bool SendFrame(const Endpoint& peer, const std::string& payload);
  void SendDatagram(const Endpoint& peer, const std::string& payload);
  /// @return number of bytes queued for the peer.
  std::size_t Unsent(const Endpoint& peer) const;
  /// Limits the bytes queued for all peers together; frames beyond are dropped.
  void SetUnsentLimit(std::size_t bytes) { max_unsent_ = bytes; }
  /// Limits the bytes of incomplete frames over all accepted connections, and the size of a frame.
  /// Beyond it, the connection whose frame has been incomplete for longest is closed.
  void SetReceiveLimit(std::size_t bytes) { max_received_ = bytes; }
  /// Limits the accepted connections. Beyond it, the one that has been silent for longest is closed
  /// for each new one.
  void SetConnectionLimit(std::size_t connections) { max_accepted_ = connections; }
  /// Limits the system's send buffer of each connection opened from now on, so that bytes which the
  /// peer has not received count as unsent.
  void SetSendBuffer(int bytes) { send_buffer_ = bytes; }
  /// @return whether a frame of at least `min_bytes` is arriving and grew within the last `recent`.
  bool IsReceiving(std::size_t min_bytes, absl::Duration recent) const;
  /// @return number of bytes queued for all peers.
  std::size_t unsent() const { return unsent_; }
  const TransportStats& stats() const { return stats_; }

 private:
  struct Connection {
    int socket = -1;
    bool connecting = false;
    bool checks_peer_down = false;  ///< Opened only to check a peer whose connection was lost.
    absl::Time opened_at;
    absl::Time received_at;       ///< Last bytes, of an accepted connection.
    absl::Time incomplete_since;  ///< Of the frame that is being received.
    std::string unsent;
    FrameParser received;
  };

  void WatchListener();
  void AcceptAll();
  /// Stops accepting for a moment while descriptors or memory are exhausted.
  void PauseAccepting();
  void ReadFrames(int socket);
  void CloseAccepted(int socket);
  /// Closes the connection with the earliest `since`, other than `spared`. @return false if there
  /// is none.
  bool EvictAccepted(absl::Time Connection::*since, bool incomplete, int spared);
  void ReadDatagrams();
  void Flush(const Endpoint& peer);
  void OnPeerReady(const Endpoint& peer, std::uint32_t events);
  void ClosePeer(const Endpoint& peer);
  /// @return false with errno set if connecting failed immediately.
  bool Connect(const Endpoint& peer);
  void ReportPeerDown(const Endpoint& peer, absl::Time checked_at);
  void OnBroken(const Endpoint& peer);

  std::shared_ptr<bool> alive_ = std::make_shared<bool>();  ///< Expires with this object.
  EventLoop& loop_;
  PayloadHandler on_frame_;
  PayloadHandler on_datagram_;
  PeerDownHandler on_peer_down_;
  ClosedHandler on_closed_;
  int listener_ = -1;
  int datagrams_ = -1;
  std::map<int, std::unique_ptr<Connection>> accepted_;
  std::map<Endpoint, std::unique_ptr<Connection>> peers_;
  std::size_t unsent_ = 0;         ///< Sum over `peers_`.
  std::size_t max_unsent_ = 0;     ///< See `SetUnsentLimit`.
  std::size_t received_ = 0;       ///< Incomplete frames over `accepted_`.
  std::size_t max_received_ = 0;   ///< See `SetReceiveLimit`.
  std::size_t max_accepted_ = 0;   ///< See `SetConnectionLimit`.
  int send_buffer_ = 0;            ///< See `SetSendBuffer`; 0: the system's default.
  std::vector<char> read_buffer_;  // Shared by all reads.
  TransportStats stats_;
};

}  // namespace martenyard::wire
