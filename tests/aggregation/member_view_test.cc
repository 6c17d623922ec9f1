// Tests of which aggregators a gateway reports to, whose digests it applies, and how.
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
  digest DigestFrom(const std::string& name, bool full = true) {
    digest message;
    for (const auto& [zone, slots] : table_) {
      for (const auto& [number, current] : slots) {
        if (current.m_holder->m_name == name) {
          message.m_from = *current.m_holder;
        }
      }
    }
    message.m_full = full;
    message.m_store_reachable = true;
    message.m_gateways = 50;
    return message;
  }
  std::uint16_t Primary(milliseconds at) {
    for (const report_target& target : view_.report_targets(instant() + at)) {
      if (target.m_primary) {
        return target.m_endpoint.port;
      }
    }
    return 0;
  }
  bool Handle(const digest& message, milliseconds at) {
    return view_.handle(instant() + at, message);
  }

  slot_table table_;
  member_view view_{Gateway("g", "z", 9)};
};

TEST_F(MemberViewTest, ReportsToItsZonesAggregatorsOnly) {
  for (const char* name : {"a", "b", "c"}) {
    Handle(DigestFrom(name), milliseconds(0));
  }
  std::vector<report_target> targets = view_.report_targets(instant());
  ASSERT_EQ(targets.size(), 3U);
  for (const report_target& target : targets) {
    EXPECT_LE(target.m_endpoint.port, 3);
  }
}

TEST_F(MemberViewTest, PreferencesAreBalancedAmongAggregators) {
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

TEST_F(MemberViewTest, AppliesOnlyThePrimarysLoadsAndReplacesAnUnresponsivePrimary) {
  for (const char* name : {"a", "b", "c"}) {
    Handle(DigestFrom(name), milliseconds(0));
  }
  std::uint16_t first = Primary(milliseconds(0));
  int current = 0;
  for (const char* name : {"a", "b", "c"}) {
    current += Handle(DigestFrom(name), milliseconds(100)) ? 1 : 0;
  }
  EXPECT_EQ(current, 1);
  for (const char* name : {"a", "b", "c"}) {
    if (DigestFrom(name).m_from.m_endpoint.port != first) {
      Handle(DigestFrom(name), milliseconds(1000));
    }
  }
  std::uint16_t second = Primary(milliseconds(1000));
  EXPECT_NE(second, first);
  EXPECT_NE(second, 0);
}

TEST_F(MemberViewTest, ReportsToOtherZonesWhileItsAggregatorsAreLost) {
  for (const char* name : {"a", "b", "c"}) {
    Handle(DigestFrom(name), milliseconds(0));
  }
  std::vector<report_target> targets = view_.report_targets(instant() + milliseconds(2000));
  EXPECT_EQ(targets.size(), 5U) << "the lost aggregators may recover";
  std::string fallback = table_["y"][0].m_holder->m_name;
  for (const char* name : {"d", "e", "f"}) {
    Handle(DigestFrom(name), milliseconds(2100));
  }
  EXPECT_GE(Primary(milliseconds(2100)), 4);
}

TEST_F(MemberViewTest, ReportsToLiveAggregatorThatIsNotInTheSlotTable) {
  member_view fresh(Gateway("g", "z", 9));
  EXPECT_TRUE(fresh.report_targets(instant()).empty());
  fresh.handle(instant(), DigestFrom("a", /*full=*/false));
  ASSERT_EQ(fresh.report_targets(instant()).size(), 1U);
  EXPECT_TRUE(fresh.report_targets(instant())[0].m_primary);
}

TEST_F(MemberViewTest, SubtractsOwnShareFromADigest) {
  view_.record_reported(instant(), {{kRunner, 2, 3, 1}});
  std::vector<runner_load> others = view_.subtract_own({{kRunner, 7, 4, 1}, {6, 1, 0, 0}});
  ASSERT_EQ(others.size(), 2U);
  EXPECT_EQ(others[0], (runner_load{kRunner, 5, 1, 0}));
  EXPECT_EQ(others[1], (runner_load{6, 1, 0, 0}));
  others = view_.subtract_own({{kRunner, 7, 4, 1}});
  EXPECT_EQ(others[0], (runner_load{kRunner, 5, 4, 1})) << "own outcomes are subtracted once";
}

TEST_F(MemberViewTest, OutcomesLostInTransitAreNotSubtractedLater) {
  view_.record_reported(instant(), {{kRunner, 0, 5, 0}});
  view_.record_reported(instant() + milliseconds(2100), {});
  EXPECT_EQ(view_.subtract_own({{kRunner, 0, 3, 0}})[0].m_served, 3);
}

TEST_F(MemberViewTest, StoreReachabilityAndLedgerCountsExpire) {
  digest message = DigestFrom("a");
  message.m_without_ledger = 4;
  message.m_with_ledger = {{"10.0.0.1", 21}, {"10.0.0.1", 9}, {"10.0.0.1", 22}};
  Handle(message, milliseconds(0));
  EXPECT_TRUE(view_.any_reaches_store(instant() + milliseconds(1500)));
  EXPECT_EQ(view_.gateways_without_ledger(instant() + milliseconds(1500)), 4U);
  EXPECT_EQ(view_.gateways_with_ledger(instant() + milliseconds(1500), 4).size(), 2U)
      << "without this gateway";
  EXPECT_FALSE(view_.any_reaches_store(instant() + milliseconds(1700)));
  EXPECT_EQ(view_.gateways_without_ledger(instant() + milliseconds(1700)), 0U);
  EXPECT_TRUE(view_.gateways_with_ledger(instant() + milliseconds(1700), 4).empty());
  EXPECT_EQ(view_.gateway_count(), 50U) << "gateways may be alive without a recent digest";
  message.m_store_reachable = false;
  Handle(message, milliseconds(1700));
  EXPECT_FALSE(view_.any_reaches_store(instant() + milliseconds(1700)));
}

// Regression test: a report that the store was reachable stayed valid until the lost timeout
// although the sender had since reported the store as unreachable, so other gateways started to
// watch too late.
TEST_F(MemberViewTest, ReportOfAnUnreachableStoreTakesEffectAtOnce) {
  zone_summary own;
  own.m_from = Gateway("a", "z", 1);
  own.m_store_reachable = true;
  view_.handle(instant(), own);
  zone_summary foreign;
  foreign.m_from = Gateway("d", "y", 4);
  foreign.m_store_reachable = true;
  view_.handle(instant(), foreign);
  view_.handle(instant(), DigestFrom("b"));
  EXPECT_TRUE(view_.own_zone_reaches_store(instant()));
  EXPECT_TRUE(view_.other_zone_reaches_store(instant()));
  EXPECT_TRUE(view_.any_reaches_store(instant()));

  instant later = instant() + milliseconds(100);
  own.m_store_reachable = false;
  view_.handle(later, own);
  EXPECT_FALSE(view_.own_zone_reaches_store(later));
  EXPECT_TRUE(view_.other_zone_reaches_store(later)) << "reported by another aggregator";
  foreign.m_store_reachable = false;
  view_.handle(later, foreign);
  EXPECT_FALSE(view_.other_zone_reaches_store(later));
  EXPECT_TRUE(view_.any_reaches_store(later)) << "reported in a digest";
  digest unreachable = DigestFrom("b");
  unreachable.m_store_reachable = false;
  view_.handle(later, unreachable);
  EXPECT_FALSE(view_.any_reaches_store(later));
}

TEST_F(MemberViewTest, SummaryDoesNotOverrideTheStoreReportOfADigest) {
  view_.handle(instant(), DigestFrom("a"));
  zone_summary summary;
  summary.m_from = Gateway("a", "z", 1);
  summary.m_store_reachable = false;
  view_.handle(instant(), summary);
  EXPECT_TRUE(view_.any_reaches_store(instant()))
      << "the digest reports that another zone reaches the store";
}

}  // namespace
}  // namespace martenyard::aggregation
