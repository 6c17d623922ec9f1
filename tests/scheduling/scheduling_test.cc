#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "scheduling/order.h"
#include "scheduling/placement.h"

namespace martenyard::scheduling {
namespace {

EngineView Engine(const std::string& name, int in_flight, std::int64_t held = 0) {
  EngineView view;
  view.name = BackendName(name);
  view.slots = 4;
  view.in_flight = in_flight;
  view.held_tokens = held;
  return view;
}

class PlacementTest : public ::testing::Test {
 protected:
  std::string Choose(PlacementPolicy policy, const std::vector<EngineView>& engines,
                     const CallView& call) {
    auto chosen = ChooseEngine(policy, engines, call, CostModel{}, counter_, random_);
    return chosen ? engines[*chosen].name.value : "none";
  }
  std::uint64_t counter_ = 0;
  Random random_{3};
};

TEST_F(PlacementTest, NoEngineMeansNoChoice) {
  EXPECT_EQ(Choose(PlacementPolicy::kWaitRebuild, {}, {}), "none");
}

TEST_F(PlacementTest, RoundRobinTakesTurns) {
  std::vector<EngineView> engines{Engine("a", 0), Engine("b", 0)};
  EXPECT_EQ(Choose(PlacementPolicy::kRoundRobin, engines, {}), "a");
  EXPECT_EQ(Choose(PlacementPolicy::kRoundRobin, engines, {}), "b");
  EXPECT_EQ(Choose(PlacementPolicy::kRoundRobin, engines, {}), "a");
}

TEST_F(PlacementTest, StickyStaysEvenWhereItIsFull) {
  std::vector<EngineView> engines{Engine("a", 40), Engine("b", 0)};
  EXPECT_EQ(Choose(PlacementPolicy::kSticky, engines, {100, BackendName("a")}), "a");
}

TEST_F(PlacementTest, RebuildCostKeepsALongContextAtHomeAndLetsAShortOneGo) {
  std::vector<EngineView> engines{Engine("home", 5, 40000), Engine("idle", 0)};
  EXPECT_EQ(Choose(PlacementPolicy::kWaitRebuild, engines, {40000, BackendName("home")}), "home");
  engines[0].held_tokens = 100;
  EXPECT_EQ(Choose(PlacementPolicy::kWaitRebuild, engines, {100, BackendName("home")}), "idle");
}

TEST_F(PlacementTest, EqualEnginesAreChosenEvenly) {
  std::vector<EngineView> engines{Engine("a", 0), Engine("b", 0), Engine("c", 0)};
  std::map<std::string, int> counts;
  for (int number = 0; number < 3000; ++number) {
    ++counts[Choose(PlacementPolicy::kWaitRebuild, engines, {})];
  }
  for (const auto& [name, count] : counts) {
    EXPECT_NEAR(count, 1000, 150) << name;
  }
}

TEST_F(PlacementTest, BorrowedEngineIsUsedOnlyWhenItClearlyPays) {
  EngineView foreign = Engine("foreign", 0);
  foreign.own = false;
  EXPECT_EQ(Choose(PlacementPolicy::kWaitRebuild, {Engine("own", 3), foreign}, {}), "own");
  EXPECT_EQ(Choose(PlacementPolicy::kWaitRebuild, {Engine("own", 30), foreign}, {}), "foreign");
}

RC_GTEST_PROP(PlacementPropertyTest, WaitRebuildChoosesNoDearerEngine, ()) {
  auto loads = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 20), rc::gen::inRange(0, 50000))));
  std::vector<EngineView> engines;
  for (const auto& [in_flight, held] : loads) {
    engines.push_back(Engine("e" + std::to_string(engines.size()), in_flight, held));
  }
  CallView call{50000, BackendName("e0")};
  std::uint64_t counter = 0;
  Random random(1);
  auto chosen =
      ChooseEngine(PlacementPolicy::kWaitRebuild, engines, call, CostModel{}, counter, random);
  RC_ASSERT(chosen.has_value());
  for (const EngineView& engine : engines) {
    RC_ASSERT(ExpectedCost(engines[*chosen], call, CostModel{}) <=
              ExpectedCost(engine, call, CostModel{}));
  }
}

TEST(OrderTest, LeastServedProgramGoesFirstAndLongWaitersAreNotStarved) {
  std::vector<WaitingView> waiting{{5, 10000, 0.0, true}, {5, 100, 0.0, true}};
  EXPECT_EQ(ChooseNext(OrderPolicy::kAttainedService, waiting, OrderModel{}), 1U);
  waiting[0].waited_seconds = 19.0;
  waiting[0].attained_tokens = 5000;
  EXPECT_EQ(ChooseNext(OrderPolicy::kAttainedService, waiting, OrderModel{}), 0U);
}

TEST(OrderTest, ArrivalOrderIgnoresService) {
  std::vector<WaitingView> waiting{{5, 0, 1.0, true}, {5, 9999, 2.0, true}};
  EXPECT_EQ(ChooseNext(OrderPolicy::kArrival, waiting, OrderModel{}), 1U);
}

TEST(OrderTest, HigherClassGoesFirstAndTheOwnerBeforeBorrowers) {
  std::vector<WaitingView> waiting{{5, 0, 0.0, true}, {8, 9999, 0.0, true}, {9, 0, 5.0, false}};
  EXPECT_EQ(ChooseNext(OrderPolicy::kAttainedService, waiting, OrderModel{}), 1U);
  EXPECT_EQ(ChooseNext(OrderPolicy::kAttainedService, {}, OrderModel{}), std::nullopt);
}

}  // namespace
}  // namespace martenyard::scheduling
