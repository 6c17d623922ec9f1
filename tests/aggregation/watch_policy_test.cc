// When gateways begin to watch the store themselves.
#include "aggregation/watch_policy.h"

#include <gtest/gtest.h>

namespace martenyard::aggregation {
namespace {

using std::chrono::milliseconds;

/// @return when the gateway begins to watch, or nothing within a minute.
std::optional<milliseconds> Begins(watch_policy& decision, watch_state seen) {
  for (milliseconds at(0); at < milliseconds(60000); at += milliseconds(100)) {
    seen.m_now = instant() + at;
    if (decision.should_watch(seen)) {
      return at;
    }
  }
  return std::nullopt;
}

// A deployment allows 2 s from a change to its being in force everywhere. An aggregator that stood
// in a second after the one that watches for its zone had lost the store was too late for a change
// just after.
TEST(WatchDecisionTest, OtherAggregatorsStandInWithinAFractionOfTheBounds) {
  watch_policy decision("g");
  watch_state seen;
  seen.m_is_aggregator = true;
  seen.m_any_reaches_store = true;
  auto begins = Begins(decision, seen);
  ASSERT_TRUE(begins);
  EXPECT_LE(*begins, milliseconds(500));
  EXPECT_GE(*begins, milliseconds(200)) << "one lost answer is asked for again first";
}

TEST(WatchDecisionTest, OrdinaryGatewayWaitsLongerAndNotAtAllWhileSomebodyIsInContact) {
  watch_policy decision("g");
  watch_state seen;
  seen.m_any_reaches_store = true;
  EXPECT_FALSE(Begins(decision, seen));
  watch_policy alone("g");
  seen.m_any_reaches_store = false;
  auto begins = Begins(alone, seen);
  ASSERT_TRUE(begins);
  EXPECT_GE(*begins, watch_options().m_fallback_delay);
}

}  // namespace
}  // namespace martenyard::aggregation
