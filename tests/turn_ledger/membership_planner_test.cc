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

TEST(MembershipPlannerTest, SoundGroupIsLeftAlone) {
  GroupView view = ThreeVoters();
  view.machines.push_back(MakeMachine(4, "d"));
  EXPECT_FALSE(PlanMembership(view, {}).has_value());
}

TEST(MembershipPlannerTest, WipedMachineLearnsVotesAndReplacesItsOldIdentity) {
  GroupView view = ThreeVoters();
  view.machines[2] = MakeMachine(30, "c");  // Machine 3's disk is gone: identity 3 is no more.
  view.machines[2].match = 0;
  auto step = PlanMembership(view, {});
  ASSERT_TRUE(step.has_value());
  EXPECT_TRUE(step->IsLearner(NodeId(30)));
  EXPECT_EQ(step->voters.size(), 3U) << "the old vote goes last";

  view.configuration = *step;
  EXPECT_FALSE(PlanMembership(view, {}).has_value()) << "it has nothing of the log yet";
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

TEST(MembershipPlannerTest, NewLeaderRemovesNobodyBeforeAllHaveAnsweredIt) {
  // A leader that had just started didn't know that identity 3 was its own lost disk, and removed a
  // live voter in its place: with one more machine frozen, the group had no quorum.
  GroupView view = ThreeVoters();
  view.configuration.voters.push_back(NodeId(4));
  view.machines.push_back(MakeMachine(4, "c"));
  view.machines[2].match = 0;  // Identity 3 has not answered.
  EXPECT_FALSE(PlanMembership(view, {}).has_value());
  view.machines[2].time_since_contact = absl::Seconds(2);
  auto step = PlanMembership(view, {});
  ASSERT_TRUE(step.has_value());
  EXPECT_FALSE(step->IsVoter(NodeId(3)));
  EXPECT_EQ(step->voters.size(), 3U);

  view.machines[2].time_since_contact = absl::Milliseconds(400);
  EXPECT_FALSE(PlanMembership(view, {}).has_value()) << "a known machine gets longer";
  view.machines[2].present = false;
  EXPECT_TRUE(PlanMembership(view, {}).has_value()) << "an identity that no machine has";

  view.machines[2].time_since_contact = absl::ZeroDuration();
  view.machines[1].retiring = true;
  EXPECT_FALSE(PlanMembership(view, {}).has_value()) << "2 still serves; 3 may be gone";
}

TEST(MembershipPlannerTest, SilentVoterIsReplacedOnlyByALiveSpare) {
  GroupView view = ThreeVoters();
  view.machines[1].time_since_contact = absl::Seconds(10);
  EXPECT_FALSE(PlanMembership(view, {}).has_value()) << "nobody could step in";
  view.machines.push_back(MakeMachine(4, "b"));
  view.machines[3].time_since_contact = absl::Seconds(5);
  EXPECT_FALSE(PlanMembership(view, {}).has_value()) << "the spare is silent too";
  view.machines[3].time_since_contact = absl::ZeroDuration();
  auto step = PlanMembership(view, {});
  ASSERT_TRUE(step.has_value());
  EXPECT_TRUE(step->IsLearner(NodeId(4)));
}

TEST(MembershipPlannerTest, SpareOfAnUncoveredZoneGoesFirst) {
  GroupView view = ThreeVoters();
  view.machines[1].time_since_contact = absl::Seconds(10);
  view.machines.push_back(MakeMachine(4, "a"));
  view.machines.push_back(MakeMachine(5, "b"));
  auto step = PlanMembership(view, {});
  ASSERT_TRUE(step.has_value());
  EXPECT_TRUE(step->IsLearner(NodeId(5)));
}

TEST(MembershipPlannerTest, LearnerIsDroppedWhenTheOldVoterIsBack) {
  GroupView view = ThreeVoters();
  view.machines.push_back(MakeMachine(4, "b"));
  view.configuration.learners = {NodeId(4)};
  auto step = PlanMembership(view, {});
  ASSERT_TRUE(step.has_value());
  EXPECT_TRUE(step->learners.empty());
  EXPECT_EQ(step->voters.size(), 3U);
}

TEST(MembershipPlannerTest, EmptiedMachineMayGoOnlyWhenOthersHoldAsMany) {
  GroupView view = ThreeVoters();
  view.machines[1].retiring = true;
  EXPECT_FALSE(CanRemoveMachine(view, "m2", {}));
  EXPECT_FALSE(PlanMembership(view, {}).has_value()) << "no spare: it must stay";
  view.machines.push_back(MakeMachine(4, "b"));
  view.configuration.voters.push_back(NodeId(4));
  EXPECT_FALSE(CanRemoveMachine(view, "m2", {})) << "it still votes";
  auto step = PlanMembership(view, {});
  ASSERT_TRUE(step.has_value());
  EXPECT_FALSE(step->IsVoter(NodeId(2)));
  view.configuration = *step;
  EXPECT_TRUE(CanRemoveMachine(view, "m2", {}));
  view.machines[2].time_since_contact = absl::Seconds(10);
  EXPECT_FALSE(CanRemoveMachine(view, "m2", {})) << "a holder of the rest is silent";
}

TEST(MembershipPlannerTest, LeaderThatIsToBeEmptiedRemovesItselfLast) {
  GroupView view = ThreeVoters();
  view.machines[0].retiring = true;
  view.machines.push_back(MakeMachine(4, "a"));
  view.configuration.voters.push_back(NodeId(4));
  auto step = PlanMembership(view, {});
  ASSERT_TRUE(step.has_value());
  EXPECT_FALSE(step->IsVoter(NodeId(1)));
}

TEST(MembershipPlannerTest, SmallGroupGrowsAsMachinesCome) {
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
