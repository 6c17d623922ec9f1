// A gateway that alone loses the ledger must report not ready; in a shared outage it must stay
// ready.
#include "roles/readiness/readiness_monitor.h"

#include <gtest/gtest.h>

namespace martenyard::roles {
namespace {

using std::chrono::milliseconds;

class ReadinessMonitorTest : public ::testing::Test {
 protected:
  /// Repeats the same observation every 100 ms for `duration`. @return the last decision.
  bool Observe(milliseconds duration, std::size_t unresponsive_groups,
               std::size_t peers_without_ledger) {
    bool ready = true;
    for (auto end = observation_.m_now + duration; observation_.m_now < end;
         observation_.m_now += milliseconds(100)) {
      observation_.m_unresponsive_groups = unresponsive_groups;
      observation_.m_peers_without_ledger = peers_without_ledger;
      ready = monitor_.update(observation_);
    }
    return ready;
  }

  readiness_monitor monitor_;
  ledger_observation observation_{{}, /*m_groups=*/8, 0, /*m_peers=*/9, 0};
};

TEST_F(ReadinessMonitorTest, GatewayThatAloneLosesTheLedgerIsNotReadyUntilTheLedgerIsStable) {
  EXPECT_TRUE(Observe(milliseconds(1000), 0, 0));
  EXPECT_TRUE(Observe(milliseconds(300), 8, 0)) << "an election may take this long";
  EXPECT_FALSE(monitor_.isolated_from_ledger());
  EXPECT_FALSE(Observe(milliseconds(500), 8, 0));
  EXPECT_TRUE(monitor_.isolated_from_ledger());
  EXPECT_TRUE(monitor_.ledger_unreachable());
  EXPECT_FALSE(Observe(milliseconds(300), 0, 0)) << "not yet answering for the regained interval";
  EXPECT_TRUE(Observe(milliseconds(500), 0, 0));
}

TEST_F(ReadinessMonitorTest, OutageSharedByMostPeersKeepsGatewayReady) {
  EXPECT_TRUE(Observe(milliseconds(5000), 8, 5));
  EXPECT_TRUE(monitor_.ledger_unreachable()) << "still reported to the peers";
  EXPECT_FALSE(monitor_.isolated_from_ledger())
      << "no relays through peers that have lost the ledger too";
  EXPECT_FALSE(Observe(milliseconds(1000), 8, 4)) << "most peers reach the ledger again";
  EXPECT_TRUE(Observe(milliseconds(100), 8, 5));
}

TEST_F(ReadinessMonitorTest, MinorityOfUnresponsiveGroupsKeepsGatewayReady) {
  EXPECT_TRUE(Observe(milliseconds(5000), 4, 0));
}

TEST_F(ReadinessMonitorTest, GatewayWithoutPeersOrLedgerIsReady) {
  observation_.m_peers = 0;
  EXPECT_TRUE(Observe(milliseconds(5000), 8, 0));
  observation_.m_peers = 9;
  observation_.m_groups = 0;
  EXPECT_TRUE(Observe(milliseconds(5000), 0, 0));
}

TEST_F(ReadinessMonitorTest, IntermittentLedgerDoesNotCauseFlapping) {
  int changes = 0;
  bool last = true;
  for (int round = 0; round < 50; ++round) {
    bool ready = Observe(milliseconds(300), round % 2 == 0 ? 8 : 0, 0);
    changes += ready != last ? 1 : 0;
    last = ready;
  }
  EXPECT_EQ(changes, 0);
}

}  // namespace
}  // namespace martenyard::roles
