#include "discovery/health/failure_estimate.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace martenyard::discovery {
namespace {

using std::chrono::milliseconds;

TEST(FailureEstimateTest, TwoFailuresRaiseTheRateAndItDecays) {
  failure_estimate estimate;
  failure_estimate::instant now{milliseconds(100000)};
  EXPECT_EQ(estimate.rate(now), 0.0);
  estimate.record(now, {0, 2});
  EXPECT_GT(estimate.rate(now), 0.3);
  EXPECT_LT(estimate.rate(now + milliseconds(15000)), 0.02);
}

TEST(FailureEstimateTest, ConvergesToTheFailureRate) {
  failure_estimate estimate;
  failure_estimate::instant now{milliseconds(100000)};
  for (int round = 0; round < 100; ++round) {
    now += milliseconds(100);
    estimate.record(now, {19, 1});
  }
  EXPECT_NEAR(estimate.rate(now), 0.05, 0.005);
  for (int round = 0; round < 100; ++round) {
    now += milliseconds(100);
    estimate.record(now, {20, 0});
  }
  EXPECT_LT(estimate.rate(now), 0.01) << "the runner has recovered";
}

RC_GTEST_PROP(FailureEstimatePropertyTest, RateIsBelowOneAndNeverIncreasesOverTime, ()) {
  failure_estimate estimate;
  failure_estimate::instant now{milliseconds(100000)};
  auto steps = *rc::gen::inRange(1, 30);
  for (int step = 0; step < steps; ++step) {
    now += milliseconds(*rc::gen::inRange(0, 5000));
    estimate.record(
        now, {*rc::gen::inRange<std::uint32_t>(0, 50), *rc::gen::inRange<std::uint32_t>(0, 50)});
    double rate = estimate.rate(now);
    RC_ASSERT(rate >= 0.0);
    RC_ASSERT(rate < 1.0);
    RC_ASSERT(estimate.rate(now + milliseconds(*rc::gen::inRange(0, 9000))) <= rate);
  }
}

}  // namespace
}  // namespace martenyard::discovery
