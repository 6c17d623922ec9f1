// Assignment of machines and programs to groups.
#include "turn_ledger/groups/group_layout.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace martenyard::turn_ledger {
namespace {

std::vector<Machine> Machines(std::size_t count, std::size_t zones) {
  std::vector<Machine> machines;
  for (std::size_t number = 0; number < count; ++number) {
    Machine machine;
    machine.name = "m" + std::to_string(number);
    machine.identity = NodeId(number + 1);
    machine.zone = ZoneName("z" + std::to_string(number % zones));
    machines.push_back(machine);
  }
  return machines;
}

TEST(GroupLayoutTest, FewMachinesShareOneGroup) {
  group_layout layout = layout_groups(Machines(4, 4), 3);
  ASSERT_EQ(layout.size(), 1U);
  EXPECT_EQ(layout[0].voters.size(), 3U);
}

TEST(GroupLayoutTest, FewerMachinesThanReplicasAreAllVoters) {
  group_layout layout = layout_groups(Machines(2, 2), 5);
  ASSERT_EQ(layout.size(), 1U);
  EXPECT_EQ(layout[0].voters.size(), 2U);
}

RC_GTEST_PROP(GroupLayoutPropertyTest, LeadersAndReplicasAreDistributedEvenly, ()) {
  auto zones = *rc::gen::inRange<std::size_t>(3, 7);
  auto count = *rc::gen::inRange<std::size_t>(min_machines_for_groups, 20);
  std::size_t replicas = 2 * *rc::gen::inRange<std::size_t>(1, 3) + 1;
  std::vector<Machine> machines = Machines(count, zones);
  group_layout layout = layout_groups(machines, replicas);
  RC_ASSERT(layout.size() == count);
  std::map<NodeId, std::size_t> groups_led;
  std::map<NodeId, std::size_t> replicas_held;
  for (const consensus::Configuration& group : layout) {
    RC_ASSERT(group.voters.size() == replicas);
    std::set<NodeId> distinct(group.voters.begin(), group.voters.end());
    RC_ASSERT(distinct.size() == replicas);
    ++groups_led[group.voters.front()];
    for (NodeId voter : group.voters) {
      ++replicas_held[voter];
    }
  }
  for (const Machine& machine : machines) {
    RC_ASSERT(groups_led[machine.identity] == 1U);
    RC_ASSERT(replicas_held[machine.identity] == replicas);
  }
}

TEST(GroupLayoutTest, ProgramsAreDistributedAndInitialMembersComeFirst) {
  std::map<GroupId, int> programs;
  for (int number = 0; number < 800; ++number) {
    ++programs[group_of(ProgramId("program-" + std::to_string(number)), 8)];
  }
  ASSERT_EQ(programs.size(), 8U);
  for (const auto& [group, count] : programs) {
    EXPECT_GT(count, 60) << group.value;
  }
  std::vector<Machine> machines = Machines(4, 4);
  consensus::Configuration initial_members;
  initial_members.voters = {NodeId(3), NodeId(9), NodeId(1)};
  std::vector<Machine> ordered = initial_members_first(machines, initial_members);
  ASSERT_EQ(ordered.size(), 4U);
  EXPECT_EQ(ordered[0].name, "m2");
  EXPECT_EQ(ordered[1].name, "m0");
}

}  // namespace
}  // namespace martenyard::turn_ledger
