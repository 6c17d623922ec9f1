#include "membership/membership.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>

namespace martenyard::membership {
namespace {

/// Members on a simulated network without delay; members can be down and links cut.
class SimulatedCluster {
 public:
  explicit SimulatedCluster(std::size_t size) {
    for (std::size_t index = 0; index < size; ++index) {
      Boot(index, index + 1);
    }
  }

  void Boot(std::size_t index, std::uint64_t id) {
    MemberInfo info;
    info.id = NodeId(id);
    info.peer = Endpoint(index);
    info.zone = ZoneName("z");
    members_[info.peer] = std::make_unique<Membership>(
        info, MembershipOptions{}, std::vector<wire::Endpoint>{Endpoint(0)}, id * 31, now_);
  }

  static wire::Endpoint Endpoint(std::size_t index) {
    return {"10.0.0.1", static_cast<std::uint16_t>(1000 + index)};
  }

  Membership& At(std::size_t index) { return *members_[Endpoint(index)]; }
  void Kill(std::size_t index) { down_.insert(Endpoint(index)); }
  void Revive(std::size_t index) { down_.erase(Endpoint(index)); }
  /// Drops all messages sent directly between two members, in both directions.
  void CutLink(std::size_t left, std::size_t right) {
    cut_links_.insert({Endpoint(left), Endpoint(right)});
    cut_links_.insert({Endpoint(right), Endpoint(left)});
  }

  void Run(absl::Duration time) {
    for (absl::Time end = now_ + time; now_ < end; now_ += absl::Milliseconds(50)) {
      for (auto& [endpoint, member] : members_) {
        if (!down_.contains(endpoint)) {
          member->Tick(now_);
        }
      }
      Deliver();
    }
  }

  bool RunUntil(const std::function<bool()>& condition, absl::Duration limit) {
    absl::Time end = now_ + limit;
    while (!condition() && now_ < end) {
      Run(absl::Milliseconds(50));
    }
    return condition();
  }

  bool AllSee(std::size_t count) {
    for (auto& [endpoint, member] : members_) {
      if (!down_.contains(endpoint) && member->Live().size() != count) {
        return false;
      }
    }
    return true;
  }

  std::uint64_t packets() const { return packets_; }

 private:
  void Deliver() {
    bool busy = true;
    while (busy) {
      busy = false;
      for (auto& [from, member] : members_) {
        MembershipEffects effects = member->TakeEffects();
        if (down_.contains(from)) {
          continue;
        }
        for (OutgoingPacket& packet : effects.packets) {
          busy = true;
          ++packets_;
          if (IsReachable(from, packet.to)) {
            members_[packet.to]->OnPacket(now_, packet.packet);
          }
        }
        for (OutgoingMemberList& list : effects.lists) {
          busy = true;
          if (IsReachable(from, list.to)) {
            members_[list.to]->OnMemberList(now_, from, list.list);
          }
        }
      }
    }
  }

  bool IsReachable(const wire::Endpoint& from, const wire::Endpoint& to) {
    return members_.contains(to) && !down_.contains(to) && !cut_links_.contains({from, to});
  }

  absl::Time now_ = absl::FromUnixSeconds(1000);
  std::map<wire::Endpoint, std::unique_ptr<Membership>> members_;
  std::set<wire::Endpoint> down_;
  std::set<std::pair<wire::Endpoint, wire::Endpoint>> cut_links_;
  std::uint64_t packets_ = 0;
};

TEST(MembershipTest, AllMembersDiscoverEachOtherThroughOneSeed) {
  SimulatedCluster cluster(30);
  EXPECT_TRUE(cluster.RunUntil([&] { return cluster.AllSee(30); }, absl::Seconds(20)));
}

TEST(MembershipTest, DeathIsKnownEverywhere) {
  SimulatedCluster cluster(20);
  ASSERT_TRUE(cluster.RunUntil([&] { return cluster.AllSee(20); }, absl::Seconds(20)));
  cluster.Kill(7);
  EXPECT_TRUE(cluster.RunUntil([&] { return cluster.AllSee(19); }, absl::Seconds(20)));
  EXPECT_EQ(cluster.At(3).StatusOf(NodeId(8)), MemberStatus::kDead);
}

TEST(MembershipTest, MemberThatOneOtherCantReachIsNotDeclaredDead) {
  SimulatedCluster cluster(10);
  ASSERT_TRUE(cluster.RunUntil([&] { return cluster.AllSee(10); }, absl::Seconds(20)));
  cluster.CutLink(2, 5);
  cluster.Run(absl::Seconds(60));
  EXPECT_TRUE(cluster.AllSee(10)) << "indirect probes reach it";
}

TEST(MembershipTest, UnresponsiveMemberRefutesItsDeathOnRecovery) {
  SimulatedCluster cluster(10);
  ASSERT_TRUE(cluster.RunUntil([&] { return cluster.AllSee(10); }, absl::Seconds(20)));
  cluster.Kill(4);
  ASSERT_TRUE(cluster.RunUntil([&] { return cluster.AllSee(9); }, absl::Seconds(20)));
  cluster.Revive(4);
  EXPECT_TRUE(cluster.RunUntil([&] { return cluster.AllSee(10); }, absl::Seconds(90)));
}

TEST(MembershipTest, NewProcessAtAnEndpointReplacesTheOldOne) {
  SimulatedCluster cluster(5);
  ASSERT_TRUE(cluster.RunUntil([&] { return cluster.AllSee(5); }, absl::Seconds(20)));
  cluster.Boot(3, 99);
  ASSERT_TRUE(
      cluster.RunUntil([&] { return cluster.At(1).StatusOf(NodeId(99)) == MemberStatus::kAlive; },
                       absl::Seconds(20)));
  EXPECT_EQ(cluster.At(1).StatusOf(NodeId(4)), MemberStatus::kDead);
}

TEST(MembershipTest, LeavingMemberCountsAsDownAtOnceAndNeverAsUpAgain) {
  SimulatedCluster cluster(6);
  ASSERT_TRUE(cluster.RunUntil([&] { return cluster.AllSee(6); }, absl::Seconds(20)));
  cluster.At(2).Leave();
  ASSERT_TRUE(cluster.RunUntil([&] { return cluster.AllSee(5); }, absl::Seconds(10)));
  cluster.Kill(2);
  for (int step = 0; step < 100; ++step) {
    cluster.Run(absl::Milliseconds(100));
    ASSERT_TRUE(cluster.AllSee(5))
        << "a leaving member that fails its probes must not become suspect";
  }
}

TEST(MembershipTest, MemberThatLeftAndRestartedWithItsIdIsUpAgain) {
  SimulatedCluster cluster(6);
  ASSERT_TRUE(cluster.RunUntil([&] { return cluster.AllSee(6); }, absl::Seconds(20)));
  cluster.At(2).Leave();
  ASSERT_TRUE(cluster.RunUntil([&] { return cluster.AllSee(5); }, absl::Seconds(10)));
  cluster.Boot(2, 3);
  EXPECT_TRUE(cluster.RunUntil([&] { return cluster.AllSee(6); }, absl::Seconds(10)));
}

TEST(MembershipTest, RefusedConnectionNamesTheMemberWhoseDeathWasAlreadyReported) {
  absl::Time now = absl::FromUnixSeconds(1000);
  MemberInfo self;
  self.id = NodeId(1);
  self.peer = SimulatedCluster::Endpoint(0);
  Membership membership(self, MembershipOptions{}, {}, 1, now);
  MemberInfo other;
  other.id = NodeId(2);
  other.peer = SimulatedCluster::Endpoint(1);
  Packet packet;
  packet.kind = PacketKind::kGossip;
  packet.updates = {{other, 0, MemberStatus::kAlive}};
  membership.OnPacket(now, packet);
  packet.updates = {{other, 0, MemberStatus::kDead}};
  membership.OnPacket(now, packet);
  EXPECT_EQ(membership.OnEndpointDead(now, other.peer), NodeId(2));
  EXPECT_EQ(membership.OnEndpointDead(now + absl::Minutes(1), other.peer), std::nullopt);
}

TEST(MembershipTest, PacketsPerMemberDoNotGrowWithTheClusterSize) {
  auto per_member = [](std::size_t size) {
    SimulatedCluster cluster(size);
    cluster.RunUntil([&] { return cluster.AllSee(size); }, absl::Seconds(60));
    std::uint64_t before = cluster.packets();
    cluster.Run(absl::Seconds(20));
    return static_cast<double>(cluster.packets() - before) / static_cast<double>(size);
  };
  EXPECT_NEAR(per_member(40), per_member(10), per_member(10) * 0.2);
}

}  // namespace
}  // namespace martenyard::membership
