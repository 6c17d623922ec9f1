// What the other gateways' requests at each runner sum up to.
#include "roles/load_report.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace martenyard::roles {
namespace {

constexpr absl::Duration kLifetime = absl::Seconds(2);

class PeerLoadsTest : public ::testing::Test {
 protected:
  PeerLoadsTest() {
    for (const char* id : {"a", "b"}) {
      discovery::Runner runner;
      runner.id = discovery::RunnerId(id);
      runners_.Upsert(now_, runner);
    }
  }
  std::uint32_t ShortId(const std::string& id) {
    return runners_.Find(discovery::RunnerId(id))->short_id;
  }
  std::uint32_t Peers(const std::string& id) {
    return runners_.Find(discovery::RunnerId(id))->peers_active;
  }
  LoadReport Report(const std::string& gateway, std::vector<RunnerLoad> loads) {
    LoadReport report;
    report.gateway = gateway;
    report.loads = std::move(loads);
    return report;
  }

  absl::Time now_ = absl::FromUnixSeconds(1000);
  discovery::RunnerTable runners_;
  PeerLoads loads_{kLifetime};
};

TEST_F(PeerLoadsTest, LatestReportOfEachGatewayCountsAtOnce) {
  loads_.Take(now_, Report("g1", {{ShortId("a"), 3}, {ShortId("b"), 1}}), runners_);
  loads_.Take(now_, Report("g2", {{ShortId("a"), 2}}), runners_);
  EXPECT_EQ(Peers("a"), 5U);
  EXPECT_EQ(Peers("b"), 1U);
  loads_.Take(now_, Report("g1", {{ShortId("a"), 1}}), runners_);
  EXPECT_EQ(Peers("a"), 3U);
  EXPECT_EQ(Peers("b"), 0U);
}

TEST_F(PeerLoadsTest, SilentGatewayCountsNoMoreAndANewRunnerIsToldWhatWasKnown) {
  discovery::Runner late;
  late.id = discovery::RunnerId("late");
  discovery::RunnerTable elsewhere;
  elsewhere.Upsert(now_, late);
  std::uint32_t late_id = elsewhere.Find(late.id)->short_id;
  loads_.Take(now_, Report("g1", {{ShortId("a"), 3}}), runners_);
  loads_.Take(now_ + kLifetime, Report("g2", {{late_id, 4}}), runners_);
  runners_.Upsert(now_, late);
  loads_.Apply(now_ + kLifetime + absl::Milliseconds(1), runners_);
  EXPECT_EQ(Peers("a"), 0U);
  EXPECT_EQ(Peers("late"), 4U);
}

RC_GTEST_PROP(PeerLoadsPropertyTest, SumsAreThoseOfTheLatestReports, ()) {
  discovery::RunnerTable runners;
  std::vector<std::uint32_t> ids;
  for (int number = 0; number < 4; ++number) {
    discovery::Runner runner;
    runner.id = discovery::RunnerId(std::to_string(number));
    runners.Upsert(absl::UnixEpoch(), runner);
    ids.push_back(runners.Find(runner.id)->short_id);
  }
  PeerLoads loads(kLifetime);
  std::map<std::string, std::map<std::uint32_t, std::uint32_t>> latest;
  auto steps = *rc::gen::inRange(1, 40);
  for (int step = 0; step < steps; ++step) {
    LoadReport report;
    report.gateway = std::to_string(*rc::gen::inRange(0, 3));
    latest[report.gateway].clear();
    for (std::uint32_t id : ids) {
      auto active = *rc::gen::inRange<std::uint16_t>(0, 5);
      report.loads.push_back({id, active});
      latest[report.gateway][id] = active;
    }
    loads.Take(absl::UnixEpoch(), report, runners);
    for (std::uint32_t id : ids) {
      std::uint32_t expected = 0;
      for (const auto& [gateway, told] : latest) {
        expected += told.at(id);
      }
      RC_ASSERT(runners.FindShort(id)->peers_active == expected);
    }
  }
}

}  // namespace
}  // namespace martenyard::roles
