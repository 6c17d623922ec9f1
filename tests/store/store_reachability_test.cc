#include "store/store_reachability.h"

#include <gtest/gtest.h>

#include "absl/time/clock.h"

namespace martenyard::store {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

absl::Time At(int milliseconds) { return kStart + absl::Milliseconds(milliseconds); }

TEST(StoreReachabilityTest, ReplyAfterTimeoutIsARecovery) {
  StoreReachability reachability;
  reachability.RecordReply(At(0));
  EXPECT_EQ(reachability.recoveries(), 0U);
  reachability.RecordTimeout(At(10));
  EXPECT_EQ(reachability.recoveries(), 0U) << "no reply yet";
  reachability.RecordReply(At(20));
  reachability.RecordReply(At(30));
  EXPECT_EQ(reachability.recoveries(), 1U);
}

TEST(StoreReachabilityTest, IgnoresTimeoutOfCallStartedBeforeRecovery) {
  StoreReachability reachability;
  reachability.RecordTimeout(At(10));
  reachability.RecordReply(At(20));
  reachability.RecordTimeout(At(15));  // Started before the reply at 20 ms, timed out after it.
  reachability.RecordReply(At(30));
  EXPECT_EQ(reachability.recoveries(), 1U);
  reachability.RecordTimeout(At(40));
  reachability.RecordReply(At(50));
  EXPECT_EQ(reachability.recoveries(), 2U);
}

TEST(StoreReachabilityTest, NotifiesListenersOfRecoveriesUntilRemoved) {
  StoreReachability reachability;
  int notified = 0;
  reachability.AddListener(&notified, [&notified] { ++notified; });
  reachability.RecordTimeout(At(10));
  EXPECT_EQ(notified, 0);
  reachability.RecordReply(At(20));
  EXPECT_EQ(notified, 1);
  reachability.RemoveListener(&notified);
  reachability.RecordTimeout(At(30));
  reachability.RecordReply(At(40));
  EXPECT_EQ(notified, 1);
}

TEST(ReplyTimeoutTest, GrowsWithTimeoutsAndLateRepliesAndDecays) {
  ReplyTimeout timeout;
  EXPECT_EQ(timeout.limit(), ReplyTimeout::kMin);
  timeout.RecordTimeout();
  EXPECT_EQ(timeout.limit(), 2 * ReplyTimeout::kMin);
  timeout.RecordTimeout();
  timeout.RecordTimeout();
  EXPECT_EQ(timeout.limit(), ReplyTimeout::kMax);
  timeout.RecordReply(absl::Milliseconds(350));
  EXPECT_EQ(timeout.limit(), absl::Milliseconds(1050)) << "three times the last delay";
  for (int replies = 0; replies < 5; ++replies) {
    timeout.RecordReply(absl::Milliseconds(4));
  }
  EXPECT_EQ(timeout.limit(), ReplyTimeout::kMin);
  timeout.RecordReply(absl::Milliseconds(-900));  // A watch that the store cut short.
  EXPECT_EQ(timeout.limit(), ReplyTimeout::kMin);
}

}  // namespace
}  // namespace martenyard::store
