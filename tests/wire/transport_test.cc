// Frames to peers that don't take them: what waits is bounded over all peers.
#include "wire/transport.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

#include "base/clock.h"
#include "wire/event_loop.h"

namespace martenyard::wire {
namespace {

/// Listens on loopback and never accepts.
class DeafPeer {
 public:
  DeafPeer() : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    listen(socket_, 4);
    socklen_t size = sizeof(address);
    getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size);
    endpoint_ = {"127.0.0.1", ntohs(address.sin_port)};
  }
  ~DeafPeer() { close(socket_); }
  const Endpoint& endpoint() const { return endpoint_; }

 private:
  int socket_;
  Endpoint endpoint_;
};

TEST(TransportTest, WhatWaitsForAllPeersTogetherIsBounded) {
  constexpr std::size_t kLimit = std::size_t{4} << 20U;
  constexpr std::size_t kFrame = std::size_t{1} << 20U;
  EventLoop loop;
  Transport transport(
      loop, [](const std::string&) {}, [](const std::string&) {},
      [](const Endpoint&, absl::Time) {});
  transport.LimitUnsent(kLimit);
  std::vector<DeafPeer> peers(8);
  std::string payload(kFrame, 'x');
  std::size_t most = 0;
  for (int round = 0; round < 40; ++round) {
    for (const DeafPeer& peer : peers) {
      transport.SendFrame(peer.endpoint(), payload);
      most = std::max(most, transport.unsent());
    }
    loop.RunRound(absl::Milliseconds(1));
  }
  EXPECT_LE(most, kLimit + 64);
  EXPECT_GT(transport.stats().frames_dropped, 0U) << "dropped and counted, not queued";
  std::size_t waiting = 0;
  for (const DeafPeer& peer : peers) {
    waiting += transport.Unsent(peer.endpoint());
  }
  EXPECT_EQ(waiting, transport.unsent());
}

}  // namespace
}  // namespace martenyard::wire
