// Which changes of the store are pushed to whom, and asked from whom.
#include "aggregation/change_propagation.h"

#include <gtest/gtest.h>

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

class NewsTest : public ::testing::Test {
 protected:
  void Hear(const member_report& report, milliseconds at) {
    sums_.handle(instant() + at, report);
    news_.record_revisions(instant() + at, report.m_from, report.m_revisions);
  }
  std::vector<change_push> Pushes(std::uint64_t own, milliseconds at) {
    mirror_revisions changes{};
    changes[kConfiguration] = own;
    return news_.take_due_pushes(instant() + at, changes, sums_);
  }
  std::optional<change_query> Question(std::uint64_t own, milliseconds at, bool patient) {
    return news_.next_query(instant() + at, kConfiguration, own, patient);
  }

  aggregator sums_{Gateway("self", 1), 7};
  change_propagation news_{7};
};

TEST_F(NewsTest, GatewayThatIsBehindIsToldOnceUntilItsNextReportsAreDue) {
  Hear(Report("g", 2, 8), milliseconds(0));
  std::vector<change_push> pushes = Pushes(9, milliseconds(0));
  ASSERT_EQ(pushes.size(), 1U);
  EXPECT_EQ(pushes[0].m_to.port, 2);
  EXPECT_EQ(pushes[0].m_since, 8U);
  EXPECT_TRUE(Pushes(9, milliseconds(100)).empty()) << "it is on its way";
  EXPECT_EQ(Pushes(9, milliseconds(500)).size(), 1U) << "it was lost";
  Hear(Report("g", 2, 9), milliseconds(600));
  EXPECT_TRUE(Pushes(9, milliseconds(1000)).empty());
}

TEST_F(NewsTest, GatewayThatGoesByAnotherIsHelpedOnlyAfterAWhile) {
  Hear(Report("g", 2, 8, /*primary=*/false), milliseconds(0));
  EXPECT_TRUE(Pushes(9, milliseconds(0)).empty());
  EXPECT_TRUE(Pushes(9, milliseconds(700)).empty());
  EXPECT_EQ(Pushes(9, milliseconds(900)).size(), 1U);
}

TEST_F(NewsTest, SilentGatewayGetsNothing) {
  Hear(Report("g", 2, 8), milliseconds(0));
  EXPECT_TRUE(Pushes(9, milliseconds(1700)).empty());
}

TEST_F(NewsTest, FewPushesAtATimeAndTheOthersFollow) {
  for (int number = 0; number < 20; ++number) {
    Hear(Report("g" + std::to_string(number), static_cast<std::uint16_t>(10 + number), 8),
         milliseconds(0));
  }
  std::size_t told = 0;
  for (milliseconds at(0); at < milliseconds(300); at += milliseconds(100)) {
    std::size_t pushed = Pushes(9, at).size();
    EXPECT_LE(pushed, 8U);
    told += pushed;
  }
  EXPECT_EQ(told, 20U);
}

TEST_F(NewsTest, QuestionsGoToThoseWhoKnowMoreOneAtATime) {
  news_.record_revisions(instant(), Gateway("ahead", 3), {9});
  news_.record_revisions(instant(), Gateway("behind", 4), {7});
  EXPECT_FALSE(Question(9, milliseconds(0), false)) << "as new as all of them";
  auto question = Question(8, milliseconds(0), false);
  ASSERT_TRUE(question);
  EXPECT_EQ(question->m_peer.port, 3);
  EXPECT_FALSE(Question(8, milliseconds(300), false)) << "its answer is on the way";
  EXPECT_TRUE(Question(8, milliseconds(500), false));
}

TEST_F(NewsTest, WatchingOrServedGatewayWaitsBeforeItAsks) {
  news_.record_revisions(instant(), Gateway("ahead", 3), {9});
  EXPECT_FALSE(Question(8, milliseconds(0), true));
  EXPECT_FALSE(Question(8, milliseconds(300), true));
  EXPECT_TRUE(Question(8, milliseconds(450), true)) << "neither a watch nor a push brought it";
}

TEST_F(NewsTest, SilentPeersAreNotAsked) {
  news_.record_revisions(instant(), Gateway("ahead", 3), {9});
  EXPECT_FALSE(Question(8, milliseconds(1700), false));
}

}  // namespace
}  // namespace martenyard::aggregation
