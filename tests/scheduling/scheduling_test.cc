#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "scheduling/order.h"
#include "scheduling/placement.h"

namespace martenyard::scheduling {
namespace {

EngineView Engine(const std::string& name, int in_flight, std::int64_t cached = 0) {
  EngineView view;
  view.name = BackendName(name);
  view.slots = 4;
  view.in_flight = in_flight;
  view.cached_tokens = cached;
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

TEST_F(PlacementTest, NoEnginesGiveNoChoice) {
  EXPECT_EQ(Choose(PlacementPolicy::kWaitRebuild, {}, {}), "none");
}

TEST_F(PlacementTest, RoundRobinCyclesThroughTheEngines) {
  std::vector<EngineView> engines{Engine("a", 0), Engine("b", 0)};
  EXPECT_EQ(Choose(PlacementPolicy::kRoundRobin, engines, {}), "a");
  EXPECT_EQ(Choose(PlacementPolicy::kRoundRobin, engines, {}), "b");
  EXPECT_EQ(Choose(PlacementPolicy::kRoundRobin, engines, {}), "a");
}

TEST_F(PlacementTest, StickyKeepsTheLastEngineEvenIfFull) {
  std::vector<EngineView> engines{Engine("a", 40), Engine("b", 0)};
  EXPECT_EQ(Choose(PlacementPolicy::kSticky, engines, {100, BackendName("a")}), "a");
}

TEST_F(PlacementTest, LongContextStaysOnItsEngineAndShortOneMoves) {
  std::vector<EngineView> engines{Engine("home", 5, 40000), Engine("idle", 0)};
  EXPECT_EQ(Choose(PlacementPolicy::kWaitRebuild, engines, {40000, BackendName("home")}), "home");
  engines[0].cached_tokens = 100;
  EXPECT_EQ(Choose(PlacementPolicy::kWaitRebuild, engines, {100, BackendName("home")}), "idle");
}

TEST_F(PlacementTest, TiesAreBrokenUniformly) {
  std::vector<EngineView> engines{Engine("a", 0), Engine("b", 0), Engine("c", 0)};
  std::map<std::string, int> counts;
  for (int number = 0; number < 3000; ++number) {
    ++counts[Choose(PlacementPolicy::kWaitRebuild, engines, {})];
  }
  for (const auto& [name, count] : counts) {
    EXPECT_NEAR(count, 1000, 150) << name;
  }
}

TEST_F(PlacementTest, BorrowedEngineIsUsedOnlyIfOwnOnesAreOverloaded) {
  EngineView borrowed = Engine("foreign", 0);
  borrowed.owned_by_caller = false;
  EXPECT_EQ(Choose(PlacementPolicy::kWaitRebuild, {Engine("own", 3), borrowed}, {}), "own");
  EXPECT_EQ(Choose(PlacementPolicy::kWaitRebuild, {Engine("own", 30), borrowed}, {}), "foreign");
}

RC_GTEST_PROP(PlacementPropertyTest, WaitRebuildChoosesAMinimumCostEngine, ()) {
  auto loads = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 20), rc::gen::inRange(0, 50000))));
  std::vector<EngineView> engines;
  for (const auto& [in_flight, cached] : loads) {
    engines.push_back(Engine("e" + std::to_string(engines.size()), in_flight, cached));
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

TEST(OrderTest, LeastAttainedServiceGoesFirstWithAging) {
  std::vector<QueuedCall> waiting{{5, 10000, 0.0, true}, {5, 100, 0.0, true}};
  EXPECT_EQ(ChooseNext(OrderPolicy::kAttainedService, waiting, OrderOptions{}), 1U);
  waiting[0].waited_seconds = 19.0;
  waiting[0].attained_tokens = 5000;
  EXPECT_EQ(ChooseNext(OrderPolicy::kAttainedService, waiting, OrderOptions{}), 0U);
}

TEST(OrderTest, ArrivalOrderIgnoresAttainedService) {
  std::vector<QueuedCall> waiting{{5, 0, 1.0, true}, {5, 9999, 2.0, true}};
  EXPECT_EQ(ChooseNext(OrderPolicy::kArrival, waiting, OrderOptions{}), 1U);
}

TEST(OrderTest, HigherPriorityGoesFirstAndOwnerBeforeBorrowers) {
  std::vector<QueuedCall> waiting{{5, 0, 0.0, true}, {8, 9999, 0.0, true}, {9, 0, 5.0, false}};
  EXPECT_EQ(ChooseNext(OrderPolicy::kAttainedService, waiting, OrderOptions{}), 1U);
  EXPECT_EQ(ChooseNext(OrderPolicy::kAttainedService, {}, OrderOptions{}), std::nullopt);
}

}  // namespace
}  // namespace martenyard::scheduling
