#include "discovery/runner_table.h"

#include <gtest/gtest.h>

namespace martenyard::discovery {
namespace {

Runner MakeRunner(const std::string& id) {
  Runner runner;
  runner.id = RunnerId(id);
  runner.service = forwarding::ServiceName("s");
  return runner;
}

const absl::Time kNow = absl::FromUnixSeconds(1000);

TEST(RunnerTableTest, DrainingAndGoneRunnersLeaveAtTheFirstSign) {
  RunnerTable table;
  table.Upsert(kNow, MakeRunner("a"));
  EXPECT_FALSE(table.Find(RunnerId("a"))->Leaving());
  Runner draining = MakeRunner("a");
  draining.draining = true;
  table.Upsert(kNow + absl::Seconds(1), draining);
  EXPECT_TRUE(table.Find(RunnerId("a"))->Leaving());
  table.Remove(kNow + absl::Seconds(3), RunnerId("a"));
  EXPECT_EQ(table.Find(RunnerId("a"))->left_at, kNow + absl::Seconds(1));
}

TEST(RunnerTableTest, EntryThatOnlyLapsedComesBackAsReady) {
  RunnerTable table;
  table.Upsert(kNow, MakeRunner("a"));
  table.Remove(kNow, RunnerId("a"));
  EXPECT_TRUE(table.Find(RunnerId("a"))->Leaving());
  table.Upsert(kNow, MakeRunner("a"));
  EXPECT_FALSE(table.Find(RunnerId("a"))->Leaving());
}

TEST(RunnerTableTest, FailuresInARowAreAvoidedForLongerEachTimeAndOneSuccessEndsIt) {
  RunnerTable table;
  table.Upsert(kNow, MakeRunner("a"));
  RunnerState* state = table.Find(RunnerId("a"));
  table.Note(kNow, state->runner.id, RunnerSignal::kFailed);
  EXPECT_LE(state->avoid_until, kNow) << "one failure may be chance";
  table.Note(kNow, state->runner.id, RunnerSignal::kFailed);
  absl::Duration first = state->avoid_until - kNow;
  EXPECT_GT(first, absl::ZeroDuration());
  table.Note(kNow, state->runner.id, RunnerSignal::kFailed);
  EXPECT_GT(state->avoid_until - kNow, first);
  table.Note(kNow, state->runner.id, RunnerSignal::kServed);
  EXPECT_LE(state->avoid_until, kNow);
}

TEST(RunnerTableTest, UnreachableIsAvoidedAtOnce) {
  RunnerTable table;
  table.Upsert(kNow, MakeRunner("a"));
  table.Note(kNow, RunnerId("a"), RunnerSignal::kUnreachable);
  EXPECT_GT(table.Find(RunnerId("a"))->avoid_until, kNow);
}

TEST(RunnerTableTest, PruneKeepsRunnersThatStillHaveOurRequests) {
  RunnerTable table;
  table.Upsert(kNow, MakeRunner("a"));
  table.Upsert(kNow, MakeRunner("b"));
  table.Find(RunnerId("a"))->own_active = 1;
  table.Remove(kNow, RunnerId("a"));
  table.Remove(kNow, RunnerId("b"));
  table.Prune(kNow + absl::Seconds(20), absl::Seconds(10));
  EXPECT_NE(table.Find(RunnerId("a")), nullptr);
  EXPECT_EQ(table.Find(RunnerId("b")), nullptr);
}

}  // namespace
}  // namespace martenyard::discovery
