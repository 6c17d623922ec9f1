// Whom a gateway reports to, whose digests it goes by, and what it takes from them.
#include "aggregation/member_view.h"

#include <gtest/gtest.h>

#include <map>

namespace martenyard::aggregation {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kRunner = 5;

contact Gateway(const std::string& name, const std::string& zone, std::uint16_t port) {
  return {name, zone, {"10.0.0.1", port}};
}

class MemberViewTest : public ::testing::Test {
 protected:
  MemberViewTest() {
    table_["z"][0] = {Gateway("a", "z", 1), 1};
    table_["z"][1] = {Gateway("b", "z", 2), 1};
    table_["z"][2] = {Gateway("c", "z", 3), 1};
    table_["y"][0] = {Gateway("d", "y", 4), 1};
    table_["y"][1] = {Gateway("e", "y", 5), 1};
    table_["y"][2] = {Gateway("f", "y", 6), 1};
    view_.set_slots(table_);
  }
  digest From(const std::string& name, bool full = true) {
    digest told;
    for (const auto& [zone, slots] : table_) {
      for (const auto& [number, taken] : slots) {
        if (taken.m_holder->m_name == name) {
          told.m_from = *taken.m_holder;
        }
      }
    }
    told.m_full = full;
    told.m_store_reachable = true;
    told.m_gateways = 50;
    return told;
  }
  std::uint16_t Primary(milliseconds at) {
    for (const report_target& target : view_.report_targets(instant() + at)) {
      if (target.m_primary) {
        return target.m_endpoint.port;
      }
    }
    return 0;
  }
  bool Take(const digest& told, milliseconds at) { return view_.handle(instant() + at, told); }

  slot_table table_;
  member_view view_{Gateway("g", "z", 9)};
};

TEST_F(MemberViewTest, ReportsToItsZonesAggregatorsOnly) {
  for (const char* name : {"a", "b", "c"}) {
    Take(From(name), milliseconds(0));
  }
  std::vector<report_target> targets = view_.report_targets(instant());
  ASSERT_EQ(targets.size(), 3U);
  for (const report_target& target : targets) {
    EXPECT_LE(target.m_endpoint.port, 3);
  }
}

TEST_F(MemberViewTest, GatewaysPreferDifferentAggregators) {
  std::map<std::uint16_t, int> preferred;
  for (int number = 0; number < 300; ++number) {
    member_view view(Gateway("g" + std::to_string(number), "z", 9));
    view.set_slots(table_);
    for (const report_target& target : view.report_targets(instant())) {
      preferred[target.m_endpoint.port] += target.m_primary ? 1 : 0;
    }
  }
  for (std::uint16_t port : {1, 2, 3}) {
    EXPECT_GT(preferred[port], 60) << port;
  }
}

TEST_F(MemberViewTest, OnlyThePrimarysLoadsAreTakenAndAnotherFollowsItsSilence) {
  for (const char* name : {"a", "b", "c"}) {
    Take(From(name), milliseconds(0));
  }
  std::uint16_t first = Primary(milliseconds(0));
  int taken = 0;
  for (const char* name : {"a", "b", "c"}) {
    taken += Take(From(name), milliseconds(100)) ? 1 : 0;
  }
  EXPECT_EQ(taken, 1);
  for (const char* name : {"a", "b", "c"}) {
    if (From(name).m_from.m_endpoint.port != first) {
      Take(From(name), milliseconds(1000));
    }
  }
  std::uint16_t second = Primary(milliseconds(1000));
  EXPECT_NE(second, first);
  EXPECT_NE(second, 0);
}

TEST_F(MemberViewTest, OtherZonesAggregatorsStandInForLostOnes) {
  for (const char* name : {"a", "b", "c"}) {
    Take(From(name), milliseconds(0));
  }
  std::vector<report_target> targets = view_.report_targets(instant() + milliseconds(2000));
  EXPECT_EQ(targets.size(), 5U) << "the lost ones may come back";
  std::string stand_in = table_["y"][0].m_holder->m_name;
  for (const char* name : {"d", "e", "f"}) {
    Take(From(name), milliseconds(2100));
  }
  EXPECT_GE(Primary(milliseconds(2100)), 4);
}

TEST_F(MemberViewTest, AggregatorThatTheSlotsDoNotNameYetIsReportedToWhileItSpeaks) {
  member_view fresh(Gateway("g", "z", 9));
  EXPECT_TRUE(fresh.report_targets(instant()).empty());
  fresh.handle(instant(), From("a", /*full=*/false));
  ASSERT_EQ(fresh.report_targets(instant()).size(), 1U);
  EXPECT_TRUE(fresh.report_targets(instant())[0].m_primary);
}

TEST_F(MemberViewTest, OwnShareIsTakenOffADigest) {
  view_.record_reported(instant(), {{kRunner, 2, 3, 1}});
  std::vector<runner_load> others = view_.subtract_own({{kRunner, 7, 4, 1}, {6, 1, 0, 0}});
  ASSERT_EQ(others.size(), 2U);
  EXPECT_EQ(others[0], (runner_load{kRunner, 5, 1, 0}));
  EXPECT_EQ(others[1], (runner_load{6, 1, 0, 0}));
  others = view_.subtract_own({{kRunner, 7, 4, 1}});
  EXPECT_EQ(others[0], (runner_load{kRunner, 5, 4, 1})) << "own outcomes come back once";
}

TEST_F(MemberViewTest, OwnOutcomesThatGotLostAreNotTakenOffLaterOnes) {
  view_.record_reported(instant(), {{kRunner, 0, 5, 0}});
  view_.record_reported(instant() + milliseconds(2100), {});
  EXPECT_EQ(view_.subtract_own({{kRunner, 0, 3, 0}})[0].m_served, 3);
}

TEST_F(MemberViewTest, ContactAndCountsGoWithSilence) {
  digest told = From("a");
  told.m_without_ledger = 4;
  told.m_with_ledger = {{"10.0.0.1", 21}, {"10.0.0.1", 9}, {"10.0.0.1", 22}};
  Take(told, milliseconds(0));
  EXPECT_TRUE(view_.any_reaches_store(instant() + milliseconds(1500)));
  EXPECT_EQ(view_.gateways_without_ledger(instant() + milliseconds(1500)), 4U);
  EXPECT_EQ(view_.gateways_with_ledger(instant() + milliseconds(1500), 4).size(), 2U)
      << "not itself";
  EXPECT_FALSE(view_.any_reaches_store(instant() + milliseconds(1700)));
  EXPECT_EQ(view_.gateways_without_ledger(instant() + milliseconds(1700)), 0U);
  EXPECT_TRUE(view_.gateways_with_ledger(instant() + milliseconds(1700), 4).empty());
  EXPECT_EQ(view_.gateway_count(), 50U) << "silence is no proof that they are gone";
  told.m_store_reachable = false;
  Take(told, milliseconds(1700));
  EXPECT_FALSE(view_.any_reaches_store(instant() + milliseconds(1700)));
}

// The store turned away one machine of each zone at once, the three that watched it. The others
// began to watch 2.6 s later (`store_lost` at 2.56 s, `store_watching` at 5.16 s), and a
// configuration that was acknowledged at 2.80 s was unknown at 5.05 s: what a gateway had said of
// its contact counted until it had been silent for 1.6 s, though it said in each tenth of a second
// that it had none.
TEST_F(MemberViewTest, AggregatorThatSaysItLostTheStoreCountsNoLonger) {
  zone_summary own;
  own.m_from = Gateway("a", "z", 1);
  own.m_store_reachable = true;
  view_.handle(instant(), own);
  zone_summary foreign;
  foreign.m_from = Gateway("d", "y", 4);
  foreign.m_store_reachable = true;
  view_.handle(instant(), foreign);
  view_.handle(instant(), From("b"));
  EXPECT_TRUE(view_.own_zone_reaches_store(instant()));
  EXPECT_TRUE(view_.other_zone_reaches_store(instant()));
  EXPECT_TRUE(view_.any_reaches_store(instant()));

  instant later = instant() + milliseconds(100);
  own.m_store_reachable = false;
  view_.handle(later, own);
  EXPECT_FALSE(view_.own_zone_reaches_store(later));
  EXPECT_TRUE(view_.other_zone_reaches_store(later)) << "said by another";
  foreign.m_store_reachable = false;
  view_.handle(later, foreign);
  EXPECT_FALSE(view_.other_zone_reaches_store(later));
  EXPECT_TRUE(view_.any_reaches_store(later)) << "by a digest";
  digest without = From("b");
  without.m_store_reachable = false;
  view_.handle(later, without);
  EXPECT_FALSE(view_.any_reaches_store(later));
}

TEST_F(MemberViewTest, WhatAnAggregatorTellsOfItsZoneAndOfItselfAreKeptApart) {
  view_.handle(instant(), From("a"));
  zone_summary sums;
  sums.m_from = Gateway("a", "z", 1);
  sums.m_store_reachable = false;
  view_.handle(instant(), sums);
  EXPECT_TRUE(view_.any_reaches_store(instant()))
      << "its digest says that another zone has contact";
}

}  // namespace
}  // namespace martenyard::aggregation
