// A gateway that alone loses the ledger must report not ready; in a shared outage it must stay
// ready.
#include "roles/readiness/readiness.h"

#include <gtest/gtest.h>

namespace martenyard::roles {
namespace {

using std::chrono::milliseconds;

class ReadinessTest : public ::testing::Test {
 protected:
  /// Repeats the same observation every 100 ms for `time`. @return the last decision.
  bool For(milliseconds time, std::size_t silent_groups, std::size_t peers_without_ledger) {
    bool ready = true;
    for (auto end = view_.m_now + time; view_.m_now < end; view_.m_now += milliseconds(100)) {
      view_.m_silent_groups = silent_groups;
      view_.m_peers_without_ledger = peers_without_ledger;
      ready = readiness_.judge(view_);
    }
    return ready;
  }

  readiness readiness_;
  readiness_view view_{{}, /*m_groups=*/8, 0, /*m_peers=*/9, 0};
};

TEST_F(ReadinessTest, GatewayThatAloneLosesTheLedgerIsNotReadyUntilItAnswersForAWhile) {
  EXPECT_TRUE(For(milliseconds(1000), 0, 0));
  EXPECT_TRUE(For(milliseconds(300), 8, 0)) << "an election may take this long";
  EXPECT_FALSE(readiness_.lost_alone());
  EXPECT_FALSE(For(milliseconds(500), 8, 0));
  EXPECT_TRUE(readiness_.lost_alone());
  EXPECT_TRUE(readiness_.ledger_silent());
  EXPECT_FALSE(For(milliseconds(300), 0, 0)) << "not yet answering for the regained interval";
  EXPECT_TRUE(For(milliseconds(500), 0, 0));
}

TEST_F(ReadinessTest, FaultThatMostPeersShareLeavesAllReady) {
  EXPECT_TRUE(For(milliseconds(5000), 8, 5));
  EXPECT_TRUE(readiness_.ledger_silent()) << "still reported to the peers";
  EXPECT_FALSE(readiness_.lost_alone()) << "no relays through peers that have lost the ledger too";
  EXPECT_FALSE(For(milliseconds(1000), 8, 4)) << "most peers reach the ledger again";
  EXPECT_TRUE(For(milliseconds(100), 8, 5));
}

TEST_F(ReadinessTest, FewSilentGroupsAreNoReason) { EXPECT_TRUE(For(milliseconds(5000), 4, 0)); }

TEST_F(ReadinessTest, GatewayWithoutPeersOrLedgerIsReady) {
  view_.m_peers = 0;
  EXPECT_TRUE(For(milliseconds(5000), 8, 0));
  view_.m_peers = 9;
  view_.m_groups = 0;
  EXPECT_TRUE(For(milliseconds(5000), 0, 0));
}

TEST_F(ReadinessTest, LedgerThatComesAndGoesDoesNotMakeItFlap) {
  int changes = 0;
  bool last = true;
  for (int round = 0; round < 50; ++round) {
    bool ready = For(milliseconds(300), round % 2 == 0 ? 8 : 0, 0);
    changes += ready != last ? 1 : 0;
    last = ready;
  }
  EXPECT_EQ(changes, 0);
}

}  // namespace
}  // namespace martenyard::roles
