// Tests of when gateways start to watch the store themselves.
#include "aggregation/watch_policy.h"

#include <gtest/gtest.h>

namespace martenyard::aggregation {
namespace {

using std::chrono::milliseconds;

/// @return when the gateway starts to watch, if it does within a minute.
std::optional<milliseconds> FirstWatch(watch_policy& policy, watch_state state) {
  for (milliseconds at(0); at < milliseconds(60000); at += milliseconds(100)) {
    state.m_now = instant() + at;
    if (policy.should_watch(state)) {
      return at;
    }
  }
  return std::nullopt;
}

// A change must be applied everywhere within 2 s, so other aggregators must take over the watch
// well before that when the representative loses the store.
TEST(WatchPolicyTest, OtherAggregatorsTakeOverWithinHalfASecond) {
  watch_policy policy("g");
  watch_state state;
  state.m_is_aggregator = true;
  state.m_any_reaches_store = true;
  auto first_watch = FirstWatch(policy, state);
  ASSERT_TRUE(first_watch);
  EXPECT_LE(*first_watch, milliseconds(500));
  EXPECT_GE(*first_watch, milliseconds(200)) << "the representative retries a lost reply first";
}

TEST(WatchPolicyTest, OrdinaryGatewayWatchesOnlyIfNoAggregatorReachesTheStore) {
  watch_policy policy("g");
  watch_state state;
  state.m_any_reaches_store = true;
  EXPECT_FALSE(FirstWatch(policy, state));
  watch_policy fallback("g");
  state.m_any_reaches_store = false;
  auto first_watch = FirstWatch(fallback, state);
  ASSERT_TRUE(first_watch);
  EXPECT_GE(*first_watch, watch_options().m_fallback_delay);
}

}  // namespace
}  // namespace martenyard::aggregation
