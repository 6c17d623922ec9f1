// Tests of the sums of loads by runner, and of the totals that an aggregator sends.
#include "aggregation/load_sums.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

#include "aggregation/aggregator.h"

namespace martenyard::aggregation {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLifetime{2000};
constexpr std::uint32_t kRunnerA = 1;
constexpr std::uint32_t kRunnerB = 2;
using Active = absl::flat_hash_map<std::uint32_t, std::uint32_t>;

Active Sum(const load_sums& sums) {
  Active active;
  sums.add_to(active);
  return active;
}

TEST(LoadSumsTest, SumsTheLatestReportOfEachSource) {
  load_sums sums(kLifetime);
  sums.update(instant(), "g1", {{kRunnerA, 3}, {kRunnerB, 1}});
  sums.update(instant(), "g2", {{kRunnerA, 2}});
  EXPECT_EQ(Sum(sums), (Active{{kRunnerA, 5}, {kRunnerB, 1}}));
  sums.update(instant(), "g1", {{kRunnerA, 1}});
  EXPECT_EQ(Sum(sums), (Active{{kRunnerA, 3}}));
}

TEST(LoadSumsTest, ExpireRemovesSourcesWithoutAnUpdate) {
  load_sums sums(kLifetime);
  sums.update(instant(), "g1", {{kRunnerA, 3}});
  sums.update(instant() + kLifetime, "g2", {{kRunnerB, 4}});
  sums.expire(instant() + kLifetime + milliseconds(1));
  EXPECT_EQ(Sum(sums), (Active{{kRunnerB, 4}}));
}

RC_GTEST_PROP(LoadSumsPropertyTest, EqualsTheSumOfTheLatestReports, ()) {
  load_sums sums(kLifetime);
  std::map<std::string, std::map<std::uint32_t, std::uint32_t>> latest;
  auto steps = *rc::gen::inRange(1, 40);
  for (int step = 0; step < steps; ++step) {
    std::string source = std::to_string(*rc::gen::inRange(0, 3));
    latest[source].clear();
    std::vector<runner_load> loads;
    for (std::uint32_t runner = 0; runner < 4; ++runner) {
      auto active = *rc::gen::inRange<std::uint16_t>(0, 5);
      loads.push_back({runner, active});
      latest[source][runner] = active;
    }
    sums.update(instant(), source, loads);
    Active active = Sum(sums);
    for (std::uint32_t runner = 0; runner < 4; ++runner) {
      std::uint32_t expected = 0;
      for (const auto& [name, loads_by_runner] : latest) {
        expected += loads_by_runner.at(runner);
      }
      RC_ASSERT(active[runner] == expected);
    }
  }
}

TEST(PendingUpdatesTest, OutcomesAreSentOnceAndExcessCarriesOver) {
  pending_updates updates(8);
  updates.record({{kRunnerA, 0, 200, 0}, {kRunnerB, 0, 1, 2}}, {});
  updates.record({{kRunnerA, 0, 200, 0}}, {});
  std::vector<runner_load> first = updates.take_loads({{kRunnerB, 3}});
  ASSERT_EQ(first.size(), 2U);
  std::sort(first.begin(), first.end(), [](const runner_load& left, const runner_load& right) {
    return left.m_runner < right.m_runner;
  });
  EXPECT_EQ(first[0], (runner_load{kRunnerA, 0, 255, 0}));
  EXPECT_EQ(first[1], (runner_load{kRunnerB, 3, 1, 2}));
  std::vector<runner_load> second = updates.take_loads({});
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(second[0], (runner_load{kRunnerA, 0, 145, 0}));
  EXPECT_TRUE(updates.take_loads({}).empty());
}

TEST(PendingUpdatesTest, PlacementsBeyondTheLimitAreDroppedAndCounted) {
  pending_updates updates(2);
  updates.record({}, {{1, 10, kRunnerA}, {2, 10, kRunnerA}, {3, 10, kRunnerA}});
  EXPECT_EQ(updates.take_placements().size(), 2U);
  EXPECT_EQ(updates.dropped(), 1U);
  updates.record({}, {{4, 10, kRunnerA}});
  EXPECT_EQ(updates.take_placements().size(), 1U);
}

member_report ReportFrom(const std::string& name, const std::string& zone) {
  member_report report;
  report.m_from = {name, zone, {"10.0.0.1", 1}};
  return report;
}

TEST(AggregatorTest, MembersOfOtherZonesDoNotDisplaceItsOwn) {
  // Regression test: at the start of a large fleet, the first aggregator was full of gateways of
  // other zones.
  aggregator own_aggregator({"self", "z", {"10.0.0.1", 1}}, 7);
  for (int number = 0; number < 500; ++number) {
    own_aggregator.handle(instant(), ReportFrom("foreign" + std::to_string(number), "y"));
  }
  EXPECT_EQ(own_aggregator.members().size(), aggregator_options{}.m_max_foreign);
  own_aggregator.handle(instant(), ReportFrom("own", "z"));
  EXPECT_TRUE(own_aggregator.has_live_member(instant(), "own"));
  own_aggregator.expire(instant() + milliseconds(2000));
  EXPECT_EQ(own_aggregator.members().size(), 1U) << "members of other zones expire sooner";
}

TEST(AggregatorTest, RelayedAndDirectSummariesAreNotCountedTwice) {
  aggregator own_aggregator({"b", "z", {"10.0.0.1", 1}}, 7);
  zone_summary relayed;
  relayed.m_from = {"a", "z", {"10.0.0.1", 2}};
  relayed.m_gateways = 40;
  relayed.m_loads = {{kRunnerA, 5, 0, 0}};
  zone_summary direct;
  direct.m_from = {"c", "y", {"10.0.0.1", 3}};
  direct.m_gateways = 40;
  direct.m_loads = {{kRunnerA, 5, 0, 0}};
  own_aggregator.handle(instant(), relayed);
  own_aggregator.handle(instant(), direct);
  EXPECT_EQ(own_aggregator.make_digest(instant()).m_loads,
            (std::vector<runner_load>{{kRunnerA, 5, 0, 0}}));
  EXPECT_EQ(own_aggregator.gateway_count(instant()), 40U);
  own_aggregator.set_representative(instant(), true);
  own_aggregator.handle(instant(), relayed);
  own_aggregator.handle(instant(), direct);
  EXPECT_EQ(own_aggregator.make_digest(instant()).m_loads,
            (std::vector<runner_load>{{kRunnerA, 5, 0, 0}}));
  EXPECT_EQ(own_aggregator.gateway_count(instant()), 40U);
}

// Regression test: after a change of the representative, relayed and direct summaries were both
// counted until one of them expired.
TEST(AggregatorTest, ChangeOfRepresentativeReplacesEarlierTotals) {
  zone_summary relayed;
  relayed.m_from = {"a", "z", {"10.0.0.1", 2}};
  relayed.m_gateways = 40;
  relayed.m_without_ledger = 4;
  relayed.m_loads = {{kRunnerA, 5, 0, 0}};
  zone_summary direct = relayed;
  direct.m_from = {"c", "y", {"10.0.0.1", 3}};
  const milliseconds timeout = aggregator_options{}.m_source_timeout;
  struct RepresentativeCase {
    const char* name;
    bool is_representative_before;
    zone_summary before;
    zone_summary after;
    milliseconds between;
  };
  const RepresentativeCase cases[] = {
      {"is replaced as the representative", true, direct, relayed, milliseconds(0)},
      {"had no live representative, then one", false, direct, relayed, milliseconds(0)},
      {"the representative became unresponsive", false, relayed, direct, timeout},
      {"takes over from the representative", false, relayed, direct, milliseconds(0)},
  };
  for (const RepresentativeCase& test : cases) {
    SCOPED_TRACE(test.name);
    aggregator own_aggregator({"b", "z", {"10.0.0.1", 1}}, 7);
    instant now;
    own_aggregator.set_representative(now, test.is_representative_before);
    own_aggregator.handle(now, test.before);
    now += test.between;
    bool is_representative_after =
        test.after.m_from.m_zone != "z" && test.between == milliseconds(0);
    own_aggregator.set_representative(now, is_representative_after);
    own_aggregator.handle(now, test.after);
    digest totals = own_aggregator.make_digest(now);
    EXPECT_EQ(totals.m_loads, (std::vector<runner_load>{{kRunnerA, 5, 0, 0}}));
    EXPECT_EQ(totals.m_gateways, 40U);
    EXPECT_EQ(totals.m_without_ledger, 4U);
  }
}

TEST(AggregatorTest, NewRepresentativeDoesNotRepeatOutcomesSentByThePrevious) {
  aggregator own_aggregator({"b", "z", {"10.0.0.1", 1}}, 7);
  member_report report = ReportFrom("own", "z");
  report.m_loads = {{kRunnerA, 0, 9, 9}};
  own_aggregator.handle(instant(), report);
  own_aggregator.set_representative(instant(), true);
  EXPECT_TRUE(own_aggregator.make_summary(instant()).m_loads.empty())
      << "outcomes must not be sent twice";
  own_aggregator.handle(instant(), report);
  EXPECT_EQ(own_aggregator.make_summary(instant()).m_loads,
            (std::vector<runner_load>{{kRunnerA, 0, 9, 9}}));
}

}  // namespace
}  // namespace martenyard::aggregation
