// Tests that the send queue is bounded over all peers, and that bytes never cross connections.
#include "wire/transport.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/executor_work_guard.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "wire/event_loop.h"

namespace martenyard::wire {
namespace {

/// Listens on loopback without accepting connections.
class NonAcceptingPeer {
 public:
  NonAcceptingPeer() : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(bind(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    listen(socket_, 4);
    socklen_t size = sizeof(address);
    getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size);
    endpoint_ = {"127.0.0.1", ntohs(address.sin_port)};
  }
  ~NonAcceptingPeer() { close(socket_); }
  const Endpoint& endpoint() const { return endpoint_; }

 private:
  int socket_;
  Endpoint endpoint_;
};

constexpr absl::Duration kTimeout = absl::Seconds(20);

bool RunUntil(EventLoop& loop, const std::function<bool()>& condition) {
  for (absl::Time end = SteadyNow() + kTimeout; SteadyNow() < end;) {
    if (condition()) {
      return true;
    }
    loop.RunRound(absl::Milliseconds(5));
  }
  return condition();
}

/// A connection that sends arbitrary bytes, also incomplete frames.
class RawPeer {
 public:
  explicit RawPeer(const Endpoint& to) : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
  }
  ~RawPeer() { Close(); }
  void Send(const std::string& bytes) const {
    send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  void Close() {
    if (socket_ >= 0) {
      close(socket_);
    }
    socket_ = -1;
  }

 private:
  int socket_;
};

std::string FrameOf(const std::string& payload) {
  std::uint32_t length = htonl(static_cast<std::uint32_t>(payload.size()));
  return std::string(reinterpret_cast<const char*>(&length), sizeof(length)) + payload;
}

TEST(TransportTest, IncompleteFrameIsNotJoinedWithAnotherConnectionsBytes) {
  EventLoop loop;
  std::vector<std::string> frames;
  Transport transport(
      loop, [&](std::string payload) { frames.push_back(std::move(payload)); },
      [](const std::string&) {}, [](const Endpoint&, absl::Time) {});
  auto bound = transport.Listen({"127.0.0.1", 0});
  ASSERT_TRUE(bound);
  std::string complete = FrameOf("first-of-the-old");
  std::string half = FrameOf(std::string(40, 'o')).substr(0, 24);
  RawPeer old_connection(*bound);
  old_connection.Send(complete + half);
  ASSERT_TRUE(RunUntil(loop, [&] { return frames.size() == 1; }));
  RawPeer new_connection(*bound);
  new_connection.Send(FrameOf("of-the-new"));
  ASSERT_TRUE(RunUntil(loop, [&] { return frames.size() == 2; })) << "while the old one is open";
  old_connection.Close();
  new_connection.Send(FrameOf("after-the-old"));
  ASSERT_TRUE(RunUntil(loop, [&] { return frames.size() == 3; }));
  EXPECT_EQ(frames, (std::vector<std::string>{"first-of-the-old", "of-the-new", "after-the-old"}));
}

TEST(TransportTest, LargeFrameIsReceivedWhileItGrows) {
  constexpr std::size_t kLarge = 1000;
  EventLoop loop;
  int frames = 0;
  Transport transport(
      loop, [&](const std::string&) { ++frames; }, [](const std::string&) {},
      [](const Endpoint&, absl::Time) {});
  auto bound = transport.Listen({"127.0.0.1", 0});
  ASSERT_TRUE(bound);
  auto receiving = [&] { return transport.IsReceiving(kLarge, absl::Milliseconds(200)); };
  RawPeer peer(*bound);
  std::string frame = FrameOf(std::string(3 * kLarge, 'x'));
  peer.Send(frame.substr(0, kLarge / 2));
  EXPECT_FALSE(receiving());
  peer.Send(frame.substr(kLarge / 2, kLarge));
  ASSERT_TRUE(RunUntil(loop, receiving));
  EXPECT_TRUE(RunUntil(loop, [&] { return !receiving(); })) << "it does not grow any more";
  peer.Send(frame.substr(kLarge / 2 + kLarge, kLarge));
  ASSERT_TRUE(RunUntil(loop, receiving));
  peer.Send(frame.substr(kLarge / 2 + 2 * kLarge));
  ASSERT_TRUE(RunUntil(loop, [&] { return frames == 1; }));
  EXPECT_FALSE(receiving());
}

// Guards against a copy that counts as sent while it lies in the system's buffer.
TEST(TransportTest, BytesBeyondTheSendBufferCountAsUnsent) {
  constexpr int kSendBuffer = 64 << 10;
  constexpr std::size_t kFrame = std::size_t{1} << 20U;
  EventLoop loop;
  Transport sender(
      loop, [](const std::string&) {}, [](const std::string&) {},
      [](const Endpoint&, absl::Time) {});
  sender.SetSendBuffer(kSendBuffer);
  sender.SetUnsentLimit(3 * kFrame / 2);
  NonAcceptingPeer peer;
  EXPECT_TRUE(sender.SendFrame(peer.endpoint(), std::string(kFrame, 'x')));
  ASSERT_TRUE(RunUntil(loop, [&] { return sender.stats().bytes_sent > 0; }));
  EXPECT_GT(sender.Unsent(peer.endpoint()), 0U);
  EXPECT_FALSE(sender.SendFrame(peer.endpoint(), std::string(kFrame, 'x')));
}

TEST(TransportTest, UnsentBytesOfABrokenConnectionAreNotSentOnTheNextOne) {
  EventLoop loop;
  // Keeps the loop running while no connection is open.
  auto guard = boost::asio::make_work_guard(loop.context());
  std::vector<std::string> frames;
  Transport sender(
      loop, [](const std::string&) {}, [](const std::string&) {},
      [](const Endpoint&, absl::Time) {});
  Endpoint endpoint;
  {
    NonAcceptingPeer non_accepting;
    endpoint = non_accepting.endpoint();
    // Exceeds the socket buffers, so that a frame is sent only in part.
    for (int frame = 0; frame < 32; ++frame) {
      sender.SendFrame(endpoint, std::string(std::size_t{1} << 20U, 'o'));
    }
    ASSERT_TRUE(RunUntil(loop, [&] { return sender.stats().bytes_sent > 0; }));
    ASSERT_GT(sender.Unsent(endpoint), 0U);
  }
  ASSERT_TRUE(RunUntil(loop, [&] { return sender.Unsent(endpoint) == 0; })) << "dropped with it";
  EXPECT_EQ(sender.unsent(), 0U);
  Transport restarted(
      loop, [&](std::string payload) { frames.push_back(std::move(payload)); },
      [](const std::string&) {}, [](const Endpoint&, absl::Time) {});
  ASSERT_TRUE(restarted.Listen(endpoint));
  ASSERT_TRUE(RunUntil(loop, [&] {
    sender.SendFrame(endpoint, "new");
    loop.RunRound(absl::Milliseconds(1));
    return !frames.empty();
  }));
  EXPECT_EQ(frames.front(), "new");
}

// Guards against a loop that spins on a connection which can't be accepted.
TEST(TransportTest, ExhaustedDescriptorsDoNotKeepTheLoopBusy) {
  EventLoop loop;
  int frames = 0;
  Transport transport(
      loop, [&](const std::string&) { ++frames; }, [](const std::string&) {},
      [](const Endpoint&, absl::Time) {});
  auto bound = transport.Listen({"127.0.0.1", 0});
  ASSERT_TRUE(bound);
  RawPeer peer(*bound);
  peer.Send(FrameOf("waits"));
  rlimit before{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
  int next_descriptor = dup(STDOUT_FILENO);
  close(next_descriptor);
  rlimit exhausted{static_cast<rlim_t>(next_descriptor), before.rlim_max};
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &exhausted), 0);
  int rounds = 0;
  for (absl::Time end = SteadyNow() + absl::Milliseconds(200); SteadyNow() < end; ++rounds) {
    loop.RunRound(absl::Milliseconds(5));
  }
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &before), 0);
  EXPECT_LT(rounds, 200);
  EXPECT_EQ(frames, 0);
  EXPECT_TRUE(RunUntil(loop, [&] { return frames == 1; })) << "accepted once descriptors are free";
}

// Guards against peers that begin large frames and never end them.
TEST(TransportTest, UnfinishedFramesOfManyConnectionsAreBounded) {
  constexpr std::size_t kLimit = std::size_t{1} << 20U;
  constexpr int kPeers = 8;
  EventLoop loop;
  int frames = 0;
  Transport transport(
      loop, [&](const std::string&) { ++frames; }, [](const std::string&) {},
      [](const Endpoint&, absl::Time) {});
  transport.SetReceiveLimit(kLimit);
  auto bound = transport.Listen({"127.0.0.1", 0});
  ASSERT_TRUE(bound);
  std::string unfinished = FrameOf(std::string(kLimit - 64, 'x')).substr(0, kLimit / 2);
  std::vector<std::unique_ptr<RawPeer>> peers;
  for (int number = 0; number < kPeers; ++number) {
    peers.push_back(std::make_unique<RawPeer>(*bound));
    peers.back()->Send(unfinished);
    loop.RunRound(absl::Milliseconds(5));
  }
  ASSERT_TRUE(RunUntil(loop, [&] { return transport.stats().streams_evicted >= kPeers - 3; }));
  RawPeer ordinary(*bound);
  ordinary.Send(FrameOf("whole"));
  EXPECT_TRUE(RunUntil(loop, [&] { return frames == 1; }));
  RawPeer oversized(*bound);
  oversized.Send(FrameOf(std::string(kLimit + 1, 'x')).substr(0, 100));
  EXPECT_TRUE(RunUntil(loop, [&] { return transport.stats().streams_rejected == 1; }));
}

TEST(TransportTest, UnsentBytesOfAllPeersAreBounded) {
  constexpr std::size_t kLimit = std::size_t{4} << 20U;
  constexpr std::size_t kFrame = std::size_t{1} << 20U;
  EventLoop loop;
  Transport transport(
      loop, [](const std::string&) {}, [](const std::string&) {},
      [](const Endpoint&, absl::Time) {});
  transport.SetUnsentLimit(kLimit);
  std::vector<NonAcceptingPeer> peers(8);
  std::string payload(kFrame, 'x');
  std::size_t most = 0;
  for (int round = 0; round < 40; ++round) {
    for (const NonAcceptingPeer& peer : peers) {
      transport.SendFrame(peer.endpoint(), payload);
      most = std::max(most, transport.unsent());
    }
    loop.RunRound(absl::Milliseconds(1));
  }
  EXPECT_LE(most, kLimit + 64);
  EXPECT_GT(transport.stats().frames_dropped, 0U) << "dropped and counted, not queued";
  std::size_t waiting = 0;
  for (const NonAcceptingPeer& peer : peers) {
    waiting += transport.Unsent(peer.endpoint());
  }
  EXPECT_EQ(waiting, transport.unsent());
}

}  // namespace
}  // namespace martenyard::wire
