#include "daemon/poll_tracker.h"

#include <gtest/gtest.h>

namespace martenyard::daemon {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

absl::Time At(int seconds) { return kStart + absl::Seconds(seconds); }

// A late reply to an earlier poll must not overwrite a newer one, which would bring an engine that
// left back into the list.
TEST(PollTrackerTest, ReplyToAnEarlierPollIsIgnoredAfterALaterOne) {
  PollTracker polls;
  std::uint64_t first = polls.Begin();
  std::uint64_t second = polls.Begin();
  EXPECT_TRUE(polls.Ended(At(1), second, true).is_newest);
  EXPECT_FALSE(polls.Ended(At(2), first, true).is_newest);
  EXPECT_TRUE(polls.Ended(At(3), polls.Begin(), true).is_newest);
}

TEST(PollTrackerTest, OutageAndRecoveryAreReportedOnceWithTheAgeOfTheLastReply) {
  PollTracker polls;
  EXPECT_FALSE(polls.Ended(At(0), polls.Begin(), true).reachable)
      << "initially reachable, so no change is reported";
  PollEnd lost = polls.Ended(At(3), polls.Begin(), false);
  EXPECT_EQ(lost.reachable, false);
  EXPECT_EQ(lost.age, absl::Seconds(3));
  EXPECT_FALSE(lost.is_newest);
  EXPECT_FALSE(polls.Ended(At(4), polls.Begin(), false).reachable);
  PollEnd back = polls.Ended(At(5), polls.Begin(), true);
  EXPECT_EQ(back.reachable, true);
  EXPECT_EQ(back.age, absl::Seconds(5));
}

TEST(PollTrackerTest, ServiceThatNeverRepliedIsReportedUnreachable) {
  PollTracker polls;
  PollEnd end = polls.Ended(At(2), polls.Begin(), false);
  EXPECT_EQ(end.reachable, false);
  EXPECT_FALSE(end.age);
}

TEST(PollTrackerTest, LateFailureOfAnEarlierPollIsNotAnOutage) {
  PollTracker polls;
  std::uint64_t first = polls.Begin();
  std::uint64_t second = polls.Begin();
  polls.Ended(At(1), second, true);
  EXPECT_FALSE(polls.Ended(At(2), first, false).reachable);
}

}  // namespace
}  // namespace martenyard::daemon
