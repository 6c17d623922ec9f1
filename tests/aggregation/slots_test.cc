// Which gateways take the aggregators' slots of their zone, and when.
#include "aggregation/slots.h"

#include <gtest/gtest.h>

#include <set>

namespace martenyard::aggregation {
namespace {

using std::chrono::milliseconds;

contact Gateway(const std::string& name, const std::string& zone = "z") {
  return {name, zone, {"10.0.0.1", 1}};
}

class SlotClaimsTest : public ::testing::Test {
 protected:
  std::optional<slot_claim> Next(slot_claim_policy& claims, milliseconds at) {
    auto claim = claims.next_claim({instant() + at, &heard_}, table_);
    if (claim) {
      claims.record_attempt(instant() + at, *claim);
    }
    return claim;
  }
  /// When the gateway first tries for a slot, or nothing within a minute.
  std::optional<milliseconds> FirstTry(slot_claim_policy& claims,
                                       milliseconds from = milliseconds(0)) {
    for (milliseconds at = from; at < milliseconds(60000); at += milliseconds(50)) {
      if (hears_others_) {
        heard_["other"] = instant() + at;
      }
      if (Next(claims, at)) {
        return at;
      }
    }
    return std::nullopt;
  }
  void Fill(std::size_t number, const std::string& holder) {
    table_["z"][number] = {Gateway(holder), 7 + number};
  }

  slot_table table_;
  std::map<std::string, instant> heard_;
  bool hears_others_ = false;
};

TEST_F(SlotClaimsTest, VacantSlotIsTakenAfterAPauseOfItsOwn) {
  std::set<milliseconds> tries;
  for (int number = 0; number < 40; ++number) {
    slot_claim_policy claims(Gateway("g" + std::to_string(number)), 0.5);
    auto at = FirstTry(claims);
    ASSERT_TRUE(at);
    EXPECT_LE(*at, milliseconds(1000));
    tries.insert(*at);
  }
  EXPECT_GT(tries.size(), 5U) << "they don't all try at the same time";
}

// A gateway whose copy of the slots was half a second behind took all three of its zone, one a
// tenth of a second after the other: its own claim did not stand there yet. The zone had one
// aggregator, and when that one was killed, nobody told its restarted neighbour anything for 4.5 s.
TEST_F(SlotClaimsTest, GatewayThatHasJustTakenASlotTakesNoOtherBeforeItSeesIt) {
  slot_claim_policy claims(Gateway("g"), 0.5);
  auto first = FirstTry(claims);
  ASSERT_TRUE(first);
  claims.record_claim(instant() + *first);
  auto second = FirstTry(claims, *first + milliseconds(50));
  ASSERT_TRUE(second) << "the answer may have been lost, and nothing taken";
  EXPECT_GE(*second - *first, slot_options().m_retry_interval);
}

TEST_F(SlotClaimsTest, MachineWithLittleProcessorLetsOthersTryFirst) {
  slot_claim_policy strong(Gateway("g"), 0.5);
  slot_claim_policy weak(Gateway("g"), 0.12);
  auto first = FirstTry(strong);
  auto second = FirstTry(weak);
  ASSERT_TRUE(first && second);
  EXPECT_GE(*second, *first + milliseconds(500));
}

TEST_F(SlotClaimsTest, HolderOfASlotTakesNoOther) {
  Fill(1, "g");
  slot_claim_policy claims(Gateway("g"), 0.5);
  EXPECT_EQ(claims.held_slot(table_), 1U);
  EXPECT_FALSE(FirstTry(claims));
}

TEST_F(SlotClaimsTest, HolderThatCameBackAtAnotherAddressWritesItDown) {
  table_["z"][1] = {contact{"g", "z", {"10.0.0.9", 1}}, 12};
  slot_claim_policy claims(Gateway("g"), 0.5);
  auto claim = Next(claims, milliseconds(0));
  ASSERT_TRUE(claim);
  EXPECT_EQ(claim->m_slot, 1U);
  EXPECT_EQ(claim->m_revision, 12U);
}

TEST_F(SlotClaimsTest, SilentHolderIsReplacedOnTheConditionOfItsRecord) {
  Fill(0, "a");
  Fill(1, "b");
  Fill(2, "silent");
  slot_claim_policy claims(Gateway("g"), 0.5);
  for (milliseconds at(0); at < milliseconds(3000); at += milliseconds(100)) {
    for (const char* holder : {"a", "b", "silent"}) {
      heard_[holder] = instant() + at;
    }
    EXPECT_FALSE(Next(claims, at));
  }
  std::optional<slot_claim> claim;
  milliseconds at(3000);
  for (; !claim && at < milliseconds(60000); at += milliseconds(100)) {
    heard_["a"] = heard_["b"] = instant() + at;
    claim = Next(claims, at);
  }
  ASSERT_TRUE(claim);
  EXPECT_EQ(claim->m_slot, 2U);
  EXPECT_EQ(claim->m_revision, 9U);
  EXPECT_GE(at, milliseconds(3000 + 4000)) << "a process that restarts is no lost one";
}

TEST_F(SlotClaimsTest, GatewayThatHearsNobodyMayBeTheOneThatIsCutOff) {
  Fill(0, "a");
  Fill(1, "b");
  Fill(2, "c");
  slot_claim_policy alone(Gateway("g"), 0.5);
  auto cut_off = FirstTry(alone);
  ASSERT_TRUE(cut_off) << "all may be gone for good";
  EXPECT_GE(*cut_off, milliseconds(10000));
  hears_others_ = true;
  slot_claim_policy in_touch(Gateway("g"), 0.5);
  auto in_touch_try = FirstTry(in_touch);
  ASSERT_TRUE(in_touch_try);
  EXPECT_LT(*in_touch_try, milliseconds(6000));
}

TEST_F(SlotClaimsTest, HolderThatBecameKnownLateIsGivenItsTimeFromThenOn) {
  // The simulated fleet of 1,400: aggregators known only after four seconds were replaced at once.
  slot_claim_policy claims(Gateway("g"), 0.5);
  Fill(0, "g-other");
  hears_others_ = true;
  heard_["other"] = instant();
  table_["z"][1] = {Gateway("b"), 1};
  table_["z"][2] = {Gateway("c"), 1};
  for (milliseconds at(0); at < milliseconds(6000); at += milliseconds(100)) {
    heard_["other"] = heard_["g-other"] = heard_["b"] = heard_["c"] = instant() + at;
    ASSERT_FALSE(Next(claims, at));
  }
  Fill(2, "late");
  for (milliseconds at(6000); at < milliseconds(9900); at += milliseconds(100)) {
    heard_["other"] = heard_["g-other"] = heard_["b"] = instant() + at;
    EXPECT_FALSE(Next(claims, at)) << at.count();
  }
}

TEST_F(SlotClaimsTest, SlotThatWasJustTriedForIsNotTriedForAgainAtOnce) {
  slot_claim_policy claims(Gateway("g"), 0.5);
  auto at = FirstTry(claims);
  ASSERT_TRUE(at);
  std::size_t tries = 0;
  for (milliseconds later = *at; later < *at + milliseconds(1400); later += milliseconds(50)) {
    tries += Next(claims, later) ? 1 : 0;
  }
  EXPECT_LE(tries, 2U) << "each of the other two slots once";
}

}  // namespace
}  // namespace martenyard::aggregation
