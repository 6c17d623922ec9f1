// A gateway that the store turns away while it serves the others: the aggregators of its zone tell
// it what they know.
#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "aggregation/messages.h"
#include "base/clock.h"
#include "platform/formats.h"
#include "platform/store_client.h"
#include "platform/support/platform_client.h"
#include "platform/support/platform_world.h"
#include "wire/codec.h"
#include "wire/transport.h"

namespace martenyard::testing {
namespace {

/// A second gateway in the same zone.
class SecondGateway {
 public:
  SecondGateway(PlatformWorld& world, const emulator::StoreStandIn& store)
      : log_file_(open("/tmp", O_TMPFILE | O_RDWR | O_CLOEXEC, 0600)), log_(log_file_, "edge-2") {
    client_ = std::make_unique<platform::StoreClient>(world.loop().context(),
                                                      wire::Endpoint{"127.0.0.1", store.port()});
    roles::RoleSettings settings;
    settings.node = "edge-2";
    settings.zone = "near";
    settings.address = "127.0.0.1";
    settings.internal_port = FreePort();
    settings.frontend = {"127.0.0.1", 0};
    settings.readiness = {"127.0.0.1", FreePort()};
    // As it registered before the store began to refuse it.
    self_.m_name = settings.node;
    self_.m_zone = settings.zone;
    self_.m_endpoint = {settings.address, settings.internal_port};
    world.store().Put("martenyard/gateways/near/edge-2", wire::Encode(self_));
    role_ = std::make_unique<roles::GatewayRole>(world.loop(), settings, formats_, *client_, log_);
    leaf::try_handle_all(
        [&]() -> Result<int> {
          BOOST_LEAF_CHECK(role_->Start());
          return 0;
        },
        [] { return 1; });
  }
  ~SecondGateway() { close(log_file_); }

  roles::GatewayRole& role() { return *role_; }
  std::uint64_t version() {
    return role_->state().routes ? role_->state().routes->configuration().version : 0;
  }
  /// @return its contact as a member of the cell
  aggregation::contact Contact(const std::string& cell) const {
    return {self_.m_name, cell, self_.m_endpoint};
  }
  std::string Log() const {
    std::string text(std::size_t{1} << 20, '\0');
    ssize_t size = pread(log_file_, text.data(), text.size(), 0);
    text.resize(size < 0 ? 0 : static_cast<std::size_t>(size));
    return text;
  }

 private:
  int log_file_;
  aggregation::contact self_;
  event_log::EventLog log_;
  platform::Formats formats_;
  std::unique_ptr<platform::StoreClient> client_;
  std::unique_ptr<roles::GatewayRole> role_;
};

/// The same, with a store of its own that refuses every call.
class RefusedGateway {
 public:
  explicit RefusedGateway(PlatformWorld& world)
      : store_(world.loop().context()), gateway_(world, Refusing(store_)) {}
  roles::GatewayRole& role() { return gateway_.role(); }
  std::uint64_t version() { return gateway_.version(); }

 private:
  static emulator::StoreStandIn& Refusing(emulator::StoreStandIn& store) {
    store.Listen(0);
    store.faults().down = true;
    return store;
  }

  emulator::StoreStandIn store_;
  SecondGateway gateway_;
};

TEST(LeavingRunnerTest, IsUsedNoLongerThanTheDeploymentsBoundAllows) {
  // It was 1.2 s whatever the bound: a deployment with a shorter one would have been broken.
  EXPECT_EQ(roles::MaxDrainingRunnerUse(absl::Seconds(2)), absl::Milliseconds(1200));
  EXPECT_EQ(roles::MaxDrainingRunnerUse(absl::Milliseconds(900)), absl::Milliseconds(100));
  EXPECT_EQ(roles::MaxDrainingRunnerUse(absl::Milliseconds(500)), absl::ZeroDuration());
  PlatformWorld world;  // Its settings say 2 s.
  EXPECT_EQ(world.gateway().state().options.max_draining_runner_use, absl::Milliseconds(1200));
}

TEST(AggregatorContractTest, GatewayThatTheStoreRefusesServesByWhatAggregatorsTell) {
  PlatformWorld world;
  world.Start();
  RefusedGateway refused(world);
  ASSERT_TRUE(world.RunUntil([&] {
    return refused.role().ready() && refused.role().state().runners.all().size() == 2 &&
           refused.role().state().ledger->has_replicas();
  })) << "it knew nothing at all, and answered 503, until the store took it back";
  ClientRequest request;
  auto dialogue = StartDialogue(world.loop(), {"127.0.0.1", refused.role().frontend_port()},
                                RequestText(request));
  ASSERT_TRUE(world.RunUntil([&] { return dialogue->done; }));
  EXPECT_EQ(dialogue->answer.status, 200U);

  world.store().Put("op/config", StandardConfiguration(2));
  EXPECT_TRUE(world.RunUntil([&] { return refused.version() == 2; }));
  world.ListRunner(world.a(), "near", "draining");
  EXPECT_TRUE(world.RunUntil([&] {
    auto* runner = refused.role().state().runners.Find(discovery::RunnerId(world.a().id()));
    return runner != nullptr && runner->runner.draining;
  }));
  world.store().Remove("servers/" + world.b().id());
  EXPECT_TRUE(world.RunUntil([&] {
    auto* runner = refused.role().state().runners.Find(discovery::RunnerId(world.b().id()));
    return runner != nullptr && runner->gone;
  })) << "removals are told too";
}

// During outages gateways that don't watch the store said 404 for routes of newer versions, as if
// they knew: the store had answered them once, at their start, and that counted for as long as they
// lived. What settled it: their lines `own_404` stood beside the watching gateways' `own_503` of
// the same seconds, "no such route known, and the configuration may be old".
TEST(AggregatorContractTest, GatewayThatDoesNotWatchTakesNoOldAnswerForContact) {
  PlatformWorld world;
  world.Configure();
  for (const char* slot :
       {"0", "1", "2"}) {  // So that the gateway is an ordinary one, told by nobody.
    aggregation::contact away;
    away.m_name = absl::StrCat("away-", slot);
    away.m_zone = "near";
    away.m_endpoint = {"127.0.0.1", FreePort()};
    world.store().Put(absl::StrCat("martenyard/aggregators/near/", slot), wire::Encode(away));
  }
  SecondGateway lone(world, world.store());
  ASSERT_TRUE(world.RunUntil([&] { return lone.version() == 1; })) << "it reads by itself";
  world.store().faults().silent = true;
  absl::Time end = SteadyNow() + absl::Seconds(1);  // Before it begins to watch by itself.
  world.RunUntil([&] { return SteadyNow() > end; });
  EXPECT_FALSE(lone.role().state().store_reachable);
}

/// The only aggregator of a zone to which more gateways report than it serves for long.
class LargeZoneContractTest : public ::testing::Test {
 protected:
  static constexpr std::size_t kGateways = 130;

  static aggregation::contact Reporter(std::size_t number) {
    return {absl::StrCat("front-", number), "near", {"127.0.0.1", FreePort()}};
  }

  std::optional<aggregation::contact> HolderOf(const std::string& slot) {
    return wire::Decode<aggregation::contact>(
        world_.store().Value("martenyard/aggregators/" + slot));
  }

  /// Sends one report of each gateway to the aggregator.
  void SendReports(const wire::Endpoint& aggregator) {
    for (const aggregation::contact& reporter : reporters_) {
      aggregation::member_report report;
      report.m_from = reporter;
      report.m_primary = true;
      transport_.SendDatagram(aggregator, wire::Encode(aggregation::datagram(report)));
    }
  }

  PlatformWorld world_;
  wire::Transport transport_{world_.loop(), [](const std::string&) {}, [](const std::string&) {},
                             [](const wire::Endpoint&, absl::Time) {}};
  std::vector<aggregation::contact> reporters_;
};

/// Guards against gateways of a large zone that no aggregator serves: the zone is divided.
TEST_F(LargeZoneContractTest, AggregatorAddsCellsToItsZone) {
  world_.Start();
  ASSERT_TRUE(transport_.Listen({"127.0.0.1", 0}));
  std::optional<aggregation::contact> aggregator;
  ASSERT_TRUE(world_.RunUntil([&] {
    aggregator = HolderOf("near/0");
    return aggregator.has_value();
  }));
  for (std::size_t number = 0; number < kGateways; ++number) {
    reporters_.push_back(Reporter(number));
  }
  absl::Time next = SteadyNow();
  EXPECT_TRUE(world_.RunUntil([&] {
    if (SteadyNow() >= next) {
      next = SteadyNow() + absl::Milliseconds(500);
      SendReports(aggregator->m_endpoint);
    }
    return HolderOf("near#1/0").has_value();
  }));
}

/// Guards against a gateway that was given a slot of a cell and does not serve it.
TEST_F(LargeZoneContractTest, GatewayAggregatesTheCellWhoseSlotItWasGiven) {
  world_.Start();
  SecondGateway second(world_, world_.store());
  ASSERT_TRUE(world_.RunUntil([&] { return second.version() == 1; }));
  world_.store().Put("martenyard/aggregators/near#1/0", wire::Encode(second.Contact("near#1")));
  EXPECT_TRUE(world_.RunUntil([&] {
    std::string log = second.Log();
    std::size_t moved = log.find(R"("cell":"near#1")");
    return moved != std::string::npos &&
           log.find(R"("aggregates":true)", moved) != std::string::npos;
  })) << second.Log();
}

/// A gateway that receives frames of a megabyte or more slowly, as a copy of the runners over a
/// slow link, and others at once.
class SlowReceiver {
 public:
  SlowReceiver() : listener_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
    int small = 4096;  // Accepted connections get the same buffer.
    setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    listen(listener_, 16);
    socklen_t size = sizeof(address);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    endpoint_ = {"127.0.0.1", ntohs(address.sin_port)};
  }
  ~SlowReceiver() {
    close(listener_);
    for (const Connection& connection : connections_) {
      close(connection.socket);
    }
  }

  const wire::Endpoint& endpoint() const { return endpoint_; }
  /// @return whether a large frame has begun, and none has been received whole.
  bool receives_first_copy() const { return copies_begun_ > 0 && copies_received_ == 0; }
  /// @return whether the text is in a small frame that was received.
  bool Received(const std::string& text) {
    for (int peer = accept(listener_, nullptr, nullptr); peer >= 0;
         peer = accept(listener_, nullptr, nullptr)) {
      connections_.push_back({peer});
    }
    for (Connection& connection : connections_) {
      ReadSome(connection);
    }
    return received_.find(text) != std::string::npos;
  }

 private:
  struct Connection {
    int socket = -1;
    std::size_t copy_bytes_left = 0;  // Of a large frame.
  };

  void ReadSome(Connection& connection) {
    if (connection.copy_bytes_left > 0) {
      std::string part(std::min<std::size_t>(connection.copy_bytes_left, 4096), '\0');
      ssize_t count = recv(connection.socket, part.data(), part.size(), MSG_DONTWAIT);
      connection.copy_bytes_left -= static_cast<std::size_t>(std::max<ssize_t>(count, 0));
      copies_received_ += connection.copy_bytes_left == 0 ? 1 : 0;
      return;
    }
    std::uint32_t length = 0;
    while (recv(connection.socket, &length, sizeof(length), MSG_PEEK | MSG_DONTWAIT) ==
           sizeof(length)) {
      std::size_t frame_bytes = sizeof(length) + ntohl(length);
      if (frame_bytes >= std::size_t{1} << 20U) {
        connection.copy_bytes_left = frame_bytes;
        ++copies_begun_;
        return;
      }
      std::string frame(frame_bytes, '\0');
      recv(connection.socket, frame.data(), frame.size(), MSG_WAITALL);
      received_ += frame;
    }
  }

  int listener_;
  wire::Endpoint endpoint_;
  std::vector<Connection> connections_;
  std::string received_;
  int copies_begun_ = 0;
  int copies_received_ = 0;
};

// Guards against a change of the configuration that waits behind a copy of the runners.
TEST(AggregatorContractTest, GatewayThatIsReceivingACopyOfTheRunnersGetsTheConfiguration) {
  PlatformWorld world;
  world.Start();
  for (int number = 0; number < 4; ++number) {
    world.store().Put(absl::StrCat("servers/large-", number), std::string(600'000, 'x'));
  }
  SlowReceiver receiver;
  aggregation::member_report report;
  report.m_from = {"edge-slow", "near", receiver.endpoint()};
  report.m_primary = true;
  wire::Transport transport(
      world.loop(), [](const std::string&) {}, [](const std::string&) {},
      [](const wire::Endpoint&, absl::Time) {});
  ASSERT_TRUE(transport.Listen({"127.0.0.1", 0}));
  absl::Time next = SteadyNow();
  auto received = [&](const std::string& text) {
    auto holder =
        wire::Decode<aggregation::contact>(world.store().Value("martenyard/aggregators/near/0"));
    if (holder && SteadyNow() >= next) {
      next = SteadyNow() + absl::Milliseconds(300);
      transport.SendDatagram(holder->m_endpoint, wire::Encode(aggregation::datagram(report)));
    }
    return receiver.Received(text);
  };
  ASSERT_TRUE(world.RunUntil([&] { return received("") && receiver.receives_first_copy(); }));
  world.store().Put("op/config", StandardConfiguration(2));
  EXPECT_TRUE(world.RunUntil([&] { return received(R"("version":2)"); }));
  EXPECT_TRUE(receiver.receives_first_copy());
}

}  // namespace
}  // namespace martenyard::testing
