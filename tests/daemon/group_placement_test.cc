#include "daemon/group_placement.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace martenyard::daemon {
namespace {

using consensus::Configuration;
using membership::MemberInfo;

MemberInfo Member(std::uint64_t id, const std::string& zone, bool durable = false) {
  MemberInfo info;
  info.id = NodeId(id);
  info.zone = ZoneName(zone);
  info.durable = durable;
  return info;
}

TEST(PlaceGroupsTest, TooFewMembersPlaceNothing) {
  EXPECT_TRUE(PlaceGroups({Member(1, "a"), Member(2, "b")}, 4, 3).empty());
}

TEST(PlaceGroupsTest, SpreadsOverZonesAndPrefersDurableMembers) {
  std::vector<MemberInfo> members{Member(1, "a"), Member(2, "a", true), Member(3, "b"),
                                  Member(4, "c"), Member(5, "c", true)};
  for (const Configuration& group : PlaceGroups(members, 8, 3)) {
    EXPECT_TRUE(group.IsVoter(NodeId(2)));
    EXPECT_TRUE(group.IsVoter(NodeId(3)));
    EXPECT_TRUE(group.IsVoter(NodeId(5)));
  }
}

TEST(PlaceGroupsTest, LoadIsBalanced) {
  std::vector<MemberInfo> members;
  for (std::uint64_t id = 1; id <= 30; ++id) {
    members.push_back(Member(id, "zone-" + std::to_string(id % 3)));
  }
  std::map<NodeId, int> replica_counts;
  for (const Configuration& group : PlaceGroups(members, 100, 3)) {
    for (NodeId voter : group.voters) {
      ++replica_counts[voter];
    }
  }
  for (const auto& [member, count] : replica_counts) {
    EXPECT_EQ(count, 10);
  }
}

TEST(PlanChangeTest, HealthyGroupIsUnchanged) {
  Configuration present{{NodeId(1), NodeId(2), NodeId(3)}, {}};
  std::vector<ReplicaView> views{{NodeId(1)}, {NodeId(2)}, {NodeId(3)}};
  EXPECT_FALSE(PlanChange(GroupId(0), present, views, {Member(4, "d")}, 3).has_value());
}

// With any replica failed, the planned changes must restore a full healthy group one voter at a
// time, without passing through a configuration whose live voters are not a quorum.
RC_GTEST_PROP(PlanChangePropertyTest, FailedReplicasAreReplacedOneByOne, ()) {
  std::set<std::uint64_t> gone;
  if (*rc::gen::arbitrary<bool>()) {
    gone.insert(*rc::gen::inRange<std::uint64_t>(1, 4));
  }
  std::vector<MemberInfo> live;
  for (std::uint64_t id = 1; id <= 7; ++id) {
    if (!gone.contains(id)) {
      live.push_back(Member(id, "zone-" + std::to_string(id % 3)));
    }
  }
  Configuration present{{NodeId(1), NodeId(2), NodeId(3)}, {}};
  for (int step = 0; step < 20; ++step) {
    std::vector<ReplicaView> views;
    std::size_t alive = 0;
    for (NodeId member : present.Members()) {
      bool is_gone = gone.contains(member.value);
      views.push_back({member, is_gone, !is_gone});
      alive += present.IsVoter(member) && !is_gone ? 1 : 0;
    }
    RC_ASSERT(alive >= present.QuorumSize());
    auto next = PlanChange(GroupId(1), present, views, live, 3);
    if (!next) {
      RC_ASSERT(alive == 3U && present.voters.size() == 3U && present.learners.empty());
      return;
    }
    present = *next;
  }
  RC_FAIL("the group was not restored to full health within 20 changes");
}

}  // namespace
}  // namespace martenyard::daemon
