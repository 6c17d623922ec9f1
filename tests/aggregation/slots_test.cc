// Tests of when gateways claim the aggregator slots of their zone.
#include "aggregation/slots.h"

#include <gtest/gtest.h>

#include <set>

namespace martenyard::aggregation {
namespace {

using std::chrono::milliseconds;

contact Gateway(const std::string& name, const std::string& zone = "z") {
  return {name, zone, {"10.0.0.1", 1}};
}

class SlotClaimPolicyTest : public ::testing::Test {
 protected:
  std::optional<slot_claim> NextClaim(slot_claim_policy& policy, milliseconds at) {
    auto claim = policy.next_claim({instant() + at, &last_seen_}, table_);
    if (claim) {
      policy.record_attempt(instant() + at, *claim);
    }
    return claim;
  }
  /// @return when the gateway first claims a slot, if it does within a minute.
  std::optional<milliseconds> FirstClaim(slot_claim_policy& policy,
                                         milliseconds from = milliseconds(0)) {
    for (milliseconds at = from; at < milliseconds(60000); at += milliseconds(50)) {
      if (others_alive_) {
        last_seen_["other"] = instant() + at;
      }
      if (NextClaim(policy, at)) {
        return at;
      }
    }
    return std::nullopt;
  }
  void SetHolder(std::size_t number, const std::string& holder) {
    table_["z"][number] = {Gateway(holder), 7 + number};
  }

  slot_table table_;
  std::map<std::string, instant> last_seen_;
  bool others_alive_ = false;
};

TEST_F(SlotClaimPolicyTest, ClaimsVacantSlotAfterDelayDerivedFromItsName) {
  std::set<milliseconds> claim_times;
  for (int number = 0; number < 40; ++number) {
    slot_claim_policy policy(Gateway("g" + std::to_string(number)), 0.5);
    auto at = FirstClaim(policy);
    ASSERT_TRUE(at);
    EXPECT_LE(*at, milliseconds(1000));
    claim_times.insert(*at);
  }
  EXPECT_GT(claim_times.size(), 5U) << "claims must be spread over time";
}

// Regression test: a gateway with an outdated slot table claimed all slots of its zone, since its
// own first claim was not in the table yet.
TEST_F(SlotClaimPolicyTest, ClaimsNoOtherSlotWhileItsClaimIsNotInTheTable) {
  slot_claim_policy policy(Gateway("g"), 0.5);
  auto first = FirstClaim(policy);
  ASSERT_TRUE(first);
  policy.record_claim(instant() + *first);
  auto second = FirstClaim(policy, *first + milliseconds(50));
  ASSERT_TRUE(second) << "the claim may have failed";
  EXPECT_GE(*second - *first, slot_options().m_retry_interval);
}

TEST_F(SlotClaimPolicyTest, MachineWithLowProcessorShareClaimsLater) {
  slot_claim_policy high_share(Gateway("g"), 0.5);
  slot_claim_policy low_share(Gateway("g"), 0.12);
  auto first = FirstClaim(high_share);
  auto second = FirstClaim(low_share);
  ASSERT_TRUE(first && second);
  EXPECT_GE(*second, *first + milliseconds(500));
}

TEST_F(SlotClaimPolicyTest, HolderClaimsNoOtherSlot) {
  SetHolder(1, "g");
  slot_claim_policy policy(Gateway("g"), 0.5);
  EXPECT_EQ(policy.held_slot(table_), 1U);
  EXPECT_FALSE(FirstClaim(policy));
}

TEST_F(SlotClaimPolicyTest, HolderWithANewAddressUpdatesItsSlot) {
  table_["z"][1] = {contact{"g", "z", {"10.0.0.9", 1}}, 12};
  slot_claim_policy policy(Gateway("g"), 0.5);
  auto claim = NextClaim(policy, milliseconds(0));
  ASSERT_TRUE(claim);
  EXPECT_EQ(claim->m_slot, 1U);
  EXPECT_EQ(claim->m_revision, 12U);
}

TEST_F(SlotClaimPolicyTest, ReplacesUnresponsiveHolderConditionallyOnItsRecord) {
  SetHolder(0, "a");
  SetHolder(1, "b");
  SetHolder(2, "silent");
  slot_claim_policy policy(Gateway("g"), 0.5);
  for (milliseconds at(0); at < milliseconds(3000); at += milliseconds(100)) {
    for (const char* holder : {"a", "b", "silent"}) {
      last_seen_[holder] = instant() + at;
    }
    EXPECT_FALSE(NextClaim(policy, at));
  }
  std::optional<slot_claim> claim;
  milliseconds at(3000);
  for (; !claim && at < milliseconds(60000); at += milliseconds(100)) {
    last_seen_["a"] = last_seen_["b"] = instant() + at;
    claim = NextClaim(policy, at);
  }
  ASSERT_TRUE(claim);
  EXPECT_EQ(claim->m_slot, 2U);
  EXPECT_EQ(claim->m_revision, 9U);
  EXPECT_GE(at, milliseconds(3000 + 4000)) << "a restarting process must keep its slot";
}

TEST_F(SlotClaimPolicyTest, WaitsLongerWhileNoAggregatorIsAlive) {
  SetHolder(0, "a");
  SetHolder(1, "b");
  SetHolder(2, "c");
  slot_claim_policy isolated(Gateway("g"), 0.5);
  auto isolated_claim = FirstClaim(isolated);
  ASSERT_TRUE(isolated_claim) << "all holders may be lost permanently";
  EXPECT_GE(*isolated_claim, milliseconds(10000));
  others_alive_ = true;
  slot_claim_policy connected(Gateway("g"), 0.5);
  auto connected_claim = FirstClaim(connected);
  ASSERT_TRUE(connected_claim);
  EXPECT_LT(*connected_claim, milliseconds(6000));
}

TEST_F(SlotClaimPolicyTest, HolderTimeoutStartsWhenTheHolderBecomesKnown) {
  // Regression test: holders that became known late were replaced at once.
  slot_claim_policy policy(Gateway("g"), 0.5);
  SetHolder(0, "g-other");
  others_alive_ = true;
  last_seen_["other"] = instant();
  table_["z"][1] = {Gateway("b"), 1};
  table_["z"][2] = {Gateway("c"), 1};
  for (milliseconds at(0); at < milliseconds(6000); at += milliseconds(100)) {
    last_seen_["other"] = last_seen_["g-other"] = last_seen_["b"] = last_seen_["c"] =
        instant() + at;
    ASSERT_FALSE(NextClaim(policy, at));
  }
  SetHolder(2, "late");
  for (milliseconds at(6000); at < milliseconds(9900); at += milliseconds(100)) {
    last_seen_["other"] = last_seen_["g-other"] = last_seen_["b"] = instant() + at;
    EXPECT_FALSE(NextClaim(policy, at)) << at.count();
  }
}

TEST_F(SlotClaimPolicyTest, DoesNotRetryASlotWithinTheRetryInterval) {
  slot_claim_policy policy(Gateway("g"), 0.5);
  auto at = FirstClaim(policy);
  ASSERT_TRUE(at);
  std::size_t claim_count = 0;
  for (milliseconds later = *at; later < *at + milliseconds(1400); later += milliseconds(50)) {
    claim_count += NextClaim(policy, later) ? 1 : 0;
  }
  EXPECT_LE(claim_count, 2U) << "at most one claim for each of the other two slots";
}

}  // namespace
}  // namespace martenyard::aggregation
