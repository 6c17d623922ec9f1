#include "turn_ledger/membership_planner.h"

#include <gtest/gtest.h>

namespace martenyard::turn_ledger {
namespace {

MachineView MakeMachine(std::uint64_t number, const std::string& zone) {
  MachineView machine;
  machine.name = "m" + std::to_string(number);
  machine.identity = NodeId(number);
  machine.zone = ZoneName(zone);
  machine.match = 100;
  return machine;
}

/// Three voters in three zones; machine 1 leads.
GroupView ThreeVoters() {
  GroupView view;
  view.leader = NodeId(1);
  view.commit = 100;
  view.configuration.voters = {NodeId(1), NodeId(2), NodeId(3)};
  view.machines = {MakeMachine(1, "a"), MakeMachine(2, "b"), MakeMachine(3, "c")};
  return view;
}

TEST(MembershipPlannerTest, HealthyGroupIsNotChanged) {
  GroupView view = ThreeVoters();
  view.machines.push_back(MakeMachine(4, "d"));
  EXPECT_FALSE(PlanMembership(view, {}).has_value());
}

TEST(MembershipPlannerTest, WipedMachineJoinsAsLearnerAndReplacesItsFormerIdentity) {
  GroupView view = ThreeVoters();
  view.machines[2] = MakeMachine(30, "c");  // Machine 3 lost its disk and identity 3.
  view.machines[2].match = 0;
  auto step = PlanMembership(view, {});
  ASSERT_TRUE(step.has_value());
  EXPECT_TRUE(step->IsLearner(NodeId(30)));
  EXPECT_EQ(step->voters.size(), 3U) << "the former identity is removed last";

  view.configuration = *step;
  EXPECT_FALSE(PlanMembership(view, {}).has_value()) << "the learner has no log entries yet";
  view.machines[2].match = 99;
  step = PlanMembership(view, {});
  ASSERT_TRUE(step.has_value());
  EXPECT_EQ(step->voters.size(), 4U);

  view.configuration = *step;
  step = PlanMembership(view, {});
  ASSERT_TRUE(step.has_value());
  EXPECT_FALSE(step->IsVoter(NodeId(3)));
  EXPECT_EQ(step->voters.size(), 3U);

  view.configuration = *step;
  EXPECT_FALSE(PlanMembership(view, {}).has_value());
}

TEST(MembershipPlannerTest, NewLeaderRemovesNoVoterBeforeAllHaveReplied) {
  // Guards against removing a live voter while the identity of a lost disk still counts as healthy,
  // which costs the group its quorum once another machine fails.
  GroupView view = ThreeVoters();
  view.configuration.voters.push_back(NodeId(4));
  view.machines.push_back(MakeMachine(4, "c"));
  view.machines[2].match = 0;  // Identity 3 has not replied.
  EXPECT_FALSE(PlanMembership(view, {}).has_value());
  view.machines[2].time_since_contact = absl::Seconds(2);
  auto step = PlanMembership(view, {});
  ASSERT_TRUE(step.has_value());
  EXPECT_FALSE(step->IsVoter(NodeId(3)));
  EXPECT_EQ(step->voters.size(), 3U);

  view.machines[2].time_since_contact = absl::Milliseconds(400);
  EXPECT_FALSE(PlanMembership(view, {}).has_value()) << "a known machine has a longer timeout";
  view.machines[2].present = false;
  EXPECT_TRUE(PlanMembership(view, {}).has_value()) << "an identity without a machine";

  view.machines[2].time_since_contact = absl::ZeroDuration();
  view.machines[1].retiring = true;
  EXPECT_FALSE(PlanMembership(view, {}).has_value()) << "2 is still up; 3 may be a lost identity";
}

TEST(MembershipPlannerTest, UnreachableVoterIsReplacedOnlyByALiveSpare) {
  GroupView view = ThreeVoters();
  view.machines[1].time_since_contact = absl::Seconds(10);
  EXPECT_FALSE(PlanMembership(view, {}).has_value()) << "there is no spare";
  view.machines.push_back(MakeMachine(4, "b"));
  view.machines[3].time_since_contact = absl::Seconds(5);
  EXPECT_FALSE(PlanMembership(view, {}).has_value()) << "the spare is unreachable too";
  view.machines[3].time_since_contact = absl::ZeroDuration();
  auto step = PlanMembership(view, {});
  ASSERT_TRUE(step.has_value());
  EXPECT_TRUE(step->IsLearner(NodeId(4)));
}

TEST(MembershipPlannerTest, SpareInAnUncoveredZoneIsPreferred) {
  GroupView view = ThreeVoters();
  view.machines[1].time_since_contact = absl::Seconds(10);
  view.machines.push_back(MakeMachine(4, "a"));
  view.machines.push_back(MakeMachine(5, "b"));
  auto step = PlanMembership(view, {});
  ASSERT_TRUE(step.has_value());
  EXPECT_TRUE(step->IsLearner(NodeId(5)));
}

TEST(MembershipPlannerTest, LearnerIsRemovedWhenTheVoterReturns) {
  GroupView view = ThreeVoters();
  view.machines.push_back(MakeMachine(4, "b"));
  view.configuration.learners = {NodeId(4)};
  auto step = PlanMembership(view, {});
  ASSERT_TRUE(step.has_value());
  EXPECT_TRUE(step->learners.empty());
  EXPECT_EQ(step->voters.size(), 3U);
}

TEST(MembershipPlannerTest, RetiringMachineCanBeRemovedOnlyWhenOthersHoldEnoughReplicas) {
  GroupView view = ThreeVoters();
  view.machines[1].retiring = true;
  EXPECT_FALSE(CanRemoveMachine(view, "m2", {}));
  EXPECT_FALSE(PlanMembership(view, {}).has_value()) << "no spare can replace it";
  view.machines.push_back(MakeMachine(4, "b"));
  view.configuration.voters.push_back(NodeId(4));
  EXPECT_FALSE(CanRemoveMachine(view, "m2", {})) << "it still votes";
  auto step = PlanMembership(view, {});
  ASSERT_TRUE(step.has_value());
  EXPECT_FALSE(step->IsVoter(NodeId(2)));
  view.configuration = *step;
  EXPECT_TRUE(CanRemoveMachine(view, "m2", {}));
  view.machines[2].time_since_contact = absl::Seconds(10);
  EXPECT_FALSE(CanRemoveMachine(view, "m2", {})) << "another replica is unreachable";
}

TEST(MembershipPlannerTest, RetiringLeaderRemovesItselfLast) {
  GroupView view = ThreeVoters();
  view.machines[0].retiring = true;
  view.machines.push_back(MakeMachine(4, "a"));
  view.configuration.voters.push_back(NodeId(4));
  auto step = PlanMembership(view, {});
  ASSERT_TRUE(step.has_value());
  EXPECT_FALSE(step->IsVoter(NodeId(1)));
}

TEST(MembershipPlannerTest, SmallGroupGrowsAsMachinesJoin) {
  GroupView view;
  view.leader = NodeId(1);
  view.configuration.voters = {NodeId(1)};
  view.machines = {MakeMachine(1, "a"), MakeMachine(2, "b")};
  auto step = PlanMembership(view, {});
  ASSERT_TRUE(step.has_value());
  EXPECT_TRUE(step->IsLearner(NodeId(2)));
}

}  // namespace
}  // namespace martenyard::turn_ledger
