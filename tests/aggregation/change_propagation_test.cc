// Tests of which store changes are pushed to gateways and queried from peers.
#include "aggregation/change_propagation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>

namespace martenyard::aggregation {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kConfiguration = 0;

contact Gateway(const std::string& name, std::uint16_t port) {
  return {name, "z", {"10.0.0.1", port}};
}

member_report Report(const std::string& name, std::uint16_t port, std::uint64_t change,
                     bool primary = true) {
  member_report report;
  report.m_from = Gateway(name, port);
  report.m_revisions[kConfiguration] = change;
  report.m_primary = primary;
  return report;
}

class ChangePropagationTest : public ::testing::Test {
 protected:
  void HandleReport(const member_report& report, milliseconds at) {
    aggregator_.handle(instant() + at, report);
    propagation_.record_revisions(instant() + at, report.m_from, report.m_revisions);
  }
  std::vector<change_push> Pushes(std::uint64_t own, milliseconds at) {
    mirror_revisions revisions{};
    revisions[kConfiguration] = own;
    return propagation_.take_due_pushes(instant() + at, revisions, aggregator_);
  }
  std::optional<change_query> NextQuery(std::uint64_t own, milliseconds at, bool may_wait) {
    return propagation_.next_query(instant() + at, kConfiguration, own, may_wait);
  }

  aggregator aggregator_{Gateway("self", 1), 7};
  change_propagation propagation_{7};
};

TEST_F(ChangePropagationTest, LaggingGatewayIsSentChangesOnceUntilTheRetryInterval) {
  HandleReport(Report("g", 2, 8), milliseconds(0));
  std::vector<change_push> pushes = Pushes(9, milliseconds(0));
  ASSERT_EQ(pushes.size(), 1U);
  EXPECT_EQ(pushes[0].m_to.port, 2);
  EXPECT_EQ(pushes[0].m_since, 8U);
  EXPECT_TRUE(Pushes(9, milliseconds(100)).empty()) << "the push is in transit";
  EXPECT_EQ(Pushes(9, milliseconds(500)).size(), 1U) << "the push was lost";
  HandleReport(Report("g", 2, 9), milliseconds(600));
  EXPECT_TRUE(Pushes(9, milliseconds(1000)).empty());
}

TEST_F(ChangePropagationTest, GatewayWithAnotherPrimaryIsSentChangesAfterADelay) {
  HandleReport(Report("g", 2, 8, /*primary=*/false), milliseconds(0));
  EXPECT_TRUE(Pushes(9, milliseconds(0)).empty());
  EXPECT_TRUE(Pushes(9, milliseconds(700)).empty());
  EXPECT_EQ(Pushes(9, milliseconds(900)).size(), 1U);
}

TEST_F(ChangePropagationTest, GatewayWithoutRecentReportGetsNoPush) {
  HandleReport(Report("g", 2, 8), milliseconds(0));
  EXPECT_TRUE(Pushes(9, milliseconds(1700)).empty());
}

TEST_F(ChangePropagationTest, PushesPerCallAreLimitedAndTheRestFollows) {
  for (int number = 0; number < 20; ++number) {
    HandleReport(Report("g" + std::to_string(number), static_cast<std::uint16_t>(10 + number), 8),
                 milliseconds(0));
  }
  std::size_t pushed_total = 0;
  for (milliseconds at(0); at < milliseconds(300); at += milliseconds(100)) {
    std::size_t pushed = Pushes(9, at).size();
    EXPECT_LE(pushed, 8U);
    pushed_total += pushed;
  }
  EXPECT_EQ(pushed_total, 20U);
}

/// Gateways that lack the runners for the whole test, and have the configuration once it was
/// pushed.
class SlowCopiesTest : public ChangePropagationTest {
 protected:
  static constexpr int kGateways = 64;

  /// @return the number of gateways with the configuration `version` after the time.
  std::size_t RunTicks(std::uint64_t version, milliseconds duration) {
    mirror_revisions own{version, /*runners=*/100};
    for (milliseconds end = now_ + duration; now_ < end; now_ += milliseconds(100)) {
      for (int number = 0; number < kGateways; ++number) {
        auto port = static_cast<std::uint16_t>(10 + number);
        HandleReport(Report("g" + std::to_string(number), port, configurations_[port]), now_);
      }
      for (const change_push& push :
           propagation_.take_due_pushes(instant() + now_, own, aggregator_)) {
        auto port = push.m_to.port;
        if (push.m_mirror == configuration_mirror) {
          configurations_[port] = version;
        } else {
          ++copies_[port];
        }
      }
    }
    return static_cast<std::size_t>(
        std::count_if(configurations_.begin(), configurations_.end(),
                      [version](const auto& known) { return known.second == version; }));
  }

  milliseconds now_{0};
  std::map<std::uint16_t, std::uint64_t> configurations_;
  std::map<std::uint16_t, int> copies_;  // Of the runners, sent to each gateway.
};

// Guards against gateways that get no configuration while others have not acknowledged their
// copies of the runners, as after a restart of many.
TEST_F(SlowCopiesTest, UnacknowledgedCopiesDelayNoConfiguration) {
  RunTicks(8, milliseconds(2000));
  EXPECT_EQ(RunTicks(9, milliseconds(1000)), static_cast<std::size_t>(kGateways));
}

// Guards against gateways that are never sent a copy, since those before them are sent theirs
// again.
TEST_F(SlowCopiesTest, CopiesAreSentToAllGatewaysInTurn) {
  RunTicks(8, milliseconds(4000));
  ASSERT_EQ(copies_.size(), static_cast<std::size_t>(kGateways));
  auto [least, most] = std::minmax_element(
      copies_.begin(), copies_.end(),
      [](const auto& left, const auto& right) { return left.second < right.second; });
  EXPECT_LE(most->second - least->second, 1);
}

// Guards against copies that are sent again and again while the first one is still arriving.
TEST_F(ChangePropagationTest, CopyIsSentAgainOnlyAfterTheTimeThatItNeeds) {
  propagation_.set_copy_sizes({900'000});  // A second.
  HandleReport(Report("g", 2, 0), milliseconds(0));
  EXPECT_EQ(Pushes(9, milliseconds(0)).size(), 1U);
  HandleReport(Report("g", 2, 0), milliseconds(1000));
  EXPECT_TRUE(Pushes(9, milliseconds(1300)).empty());
  EXPECT_EQ(Pushes(9, milliseconds(1500)).size(), 1U) << "the copy was lost";
  HandleReport(Report("g", 2, 8), milliseconds(1900));
  EXPECT_EQ(Pushes(9, milliseconds(2000)).size(), 1U) << "it has a copy: only changes are sent";
}

TEST_F(ChangePropagationTest, SecondCopyComesFromAnotherAggregatorOnlyAfterThatTime) {
  propagation_.set_copy_sizes({900'000});
  for (milliseconds at(0); at <= milliseconds(1500); at += milliseconds(500)) {
    HandleReport(Report("g", 2, 0, /*primary=*/false), at);
    EXPECT_TRUE(Pushes(9, at).empty());
  }
  EXPECT_EQ(Pushes(9, milliseconds(1900)).size(), 1U);
}

TEST_F(ChangePropagationTest, CancelledPushIsDueAtOnce) {
  propagation_.set_copy_sizes({900'000});
  HandleReport(Report("g", 2, 0), milliseconds(0));
  std::vector<change_push> pushes = Pushes(9, milliseconds(0));
  ASSERT_EQ(pushes.size(), 1U);
  propagation_.cancel(pushes[0]);
  EXPECT_EQ(Pushes(9, milliseconds(100)).size(), 1U);
}

TEST_F(ChangePropagationTest, QueriesPeersWithNewerRevisionsOneAtATime) {
  propagation_.record_revisions(instant(), Gateway("ahead", 3), {9});
  propagation_.record_revisions(instant(), Gateway("behind", 4), {7});
  EXPECT_FALSE(NextQuery(9, milliseconds(0), false)) << "no peer is newer";
  auto query = NextQuery(8, milliseconds(0), false);
  ASSERT_TRUE(query);
  EXPECT_EQ(query->m_peer.port, 3);
  EXPECT_FALSE(NextQuery(8, milliseconds(300), false)) << "the reply is in transit";
  EXPECT_TRUE(NextQuery(8, milliseconds(500), false));
}

TEST_F(ChangePropagationTest, WaitsForAWatchOrAPushBeforeItQueries) {
  propagation_.record_revisions(instant(), Gateway("ahead", 3), {9});
  EXPECT_FALSE(NextQuery(8, milliseconds(0), true));
  EXPECT_FALSE(NextQuery(8, milliseconds(300), true));
  EXPECT_TRUE(NextQuery(8, milliseconds(450), true)) << "neither a watch nor a push delivered it";
}

TEST_F(ChangePropagationTest, PeersWithoutRecentMessageAreNotQueried) {
  propagation_.record_revisions(instant(), Gateway("ahead", 3), {9});
  EXPECT_FALSE(NextQuery(8, milliseconds(1700), false));
}

}  // namespace
}  // namespace martenyard::aggregation
