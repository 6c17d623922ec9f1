#include "discovery/runner_table.h"

#include <gtest/gtest.h>

namespace martenyard::discovery {
namespace {

Runner MakeRunner(const std::string& id) {
  Runner runner;
  runner.id = RunnerId(id);
  runner.service = ServiceName("s");
  return runner;
}

const absl::Time kNow = absl::FromUnixSeconds(1000);

TEST(RunnerTableTest, LeftAtIsTheTimeOfTheFirstDrainingOrRemoval) {
  RunnerTable table;
  table.Upsert(kNow, MakeRunner("a"));
  EXPECT_FALSE(table.Find(RunnerId("a"))->IsDraining());
  Runner draining = MakeRunner("a");
  draining.draining = true;
  table.Upsert(kNow + absl::Seconds(1), draining);
  EXPECT_TRUE(table.Find(RunnerId("a"))->IsDraining());
  table.Remove(kNow + absl::Seconds(3), RunnerId("a"));
  EXPECT_EQ(table.Find(RunnerId("a"))->draining_since, kNow + absl::Seconds(1));
}

// Guards against applying the health of a previous process to a runner restarted under the same id.
TEST(RunnerTableTest, RestartResetsHealth) {
  RunnerTable table;
  Runner runner = MakeRunner("a");
  runner.started = kNow - absl::Hours(1);
  EXPECT_FALSE(table.Upsert(kNow, runner));
  RunnerState* state = table.Find(RunnerId("a"));
  for (int failure = 0; failure < 4; ++failure) {
    table.RecordSignal(kNow, runner.id, RunnerSignal::kFailed);
    table.RecordOutcome(runner.id, {0, 1});
  }
  table.RecordSignal(kNow, runner.id, RunnerSignal::kRejected);
  table.RecordSignal(kNow, runner.id, RunnerSignal::kDraining);
  state->own_active = 2;
  EXPECT_FALSE(table.Upsert(kNow, runner)) << "same start time, no restart";
  runner.started = kNow;
  EXPECT_TRUE(table.Upsert(kNow, runner));
  EXPECT_LE(state->avoid_until, kNow);
  EXPECT_LE(state->full_until, kNow);
  EXPECT_EQ(state->consecutive_failures, 0);
  EXPECT_EQ(state->failure_rate.rate(std::chrono::steady_clock::now()), 0);
  EXPECT_EQ(state->unreported.m_lost, 0U) << "peers would attribute it to the restarted runner";
  EXPECT_FALSE(state->IsDraining());
  EXPECT_EQ(state->own_active, 2U) << "these requests are still in flight";
}

TEST(RunnerTableTest, MissingStartTimeIsNoRestart) {
  RunnerTable table;
  table.Upsert(kNow, MakeRunner("a"));
  EXPECT_FALSE(table.Upsert(kNow, MakeRunner("a")));
  Runner reported = MakeRunner("a");
  reported.started = kNow;
  EXPECT_FALSE(table.Upsert(kNow, reported)) << "no earlier start time is known";
}

TEST(RunnerTableTest, ReaddedRunnerIsNotDraining) {
  RunnerTable table;
  table.Upsert(kNow, MakeRunner("a"));
  table.Remove(kNow, RunnerId("a"));
  EXPECT_TRUE(table.Find(RunnerId("a"))->IsDraining());
  table.Upsert(kNow, MakeRunner("a"));
  EXPECT_FALSE(table.Find(RunnerId("a"))->IsDraining());
}

TEST(RunnerTableTest, ConsecutiveFailuresBackOffAndSuccessResets) {
  RunnerTable table;
  table.Upsert(kNow, MakeRunner("a"));
  RunnerState* state = table.Find(RunnerId("a"));
  table.RecordSignal(kNow, state->runner.id, RunnerSignal::kFailed);
  EXPECT_LE(state->avoid_until, kNow) << "a single failure does not exclude a runner";
  table.RecordSignal(kNow, state->runner.id, RunnerSignal::kFailed);
  absl::Duration first = state->avoid_until - kNow;
  EXPECT_GT(first, absl::ZeroDuration());
  table.RecordSignal(kNow, state->runner.id, RunnerSignal::kFailed);
  EXPECT_GT(state->avoid_until - kNow, first);
  table.RecordSignal(kNow, state->runner.id, RunnerSignal::kServed);
  EXPECT_LE(state->avoid_until, kNow);
}

TEST(RunnerTableTest, UnreachableRunnerIsAvoidedImmediately) {
  RunnerTable table;
  table.Upsert(kNow, MakeRunner("a"));
  table.RecordSignal(kNow, RunnerId("a"), RunnerSignal::kUnreachable);
  EXPECT_GT(table.Find(RunnerId("a"))->avoid_until, kNow);
}

TEST(RunnerTableTest, PruneKeepsRunnersWithRequestsInFlight) {
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

// Guards against metrics that hide an uneven service behind an even one, or count runners that
// drain.
TEST(RunnerTableTest, BalanceIsThatOfTheServiceUsedLeastEvenly) {
  RunnerTable table;
  for (const char* id : {"a", "b", "c"}) {
    table.Upsert(kNow, MakeRunner(id));
  }
  Runner other = MakeRunner("d");
  other.service = ServiceName("t");
  table.Upsert(kNow, other);
  table.Find(RunnerId("a"))->peers_active = 3;
  table.Find(RunnerId("b"))->peers_active = 1;
  table.Find(RunnerId("d"))->peers_active = 9;
  RunnerTable::Instant now{std::chrono::hours(1)};
  EXPECT_DOUBLE_EQ(table.Balance(now, true).busiest_to_mean, 3 / (4 / 3.0));
  EXPECT_DOUBLE_EQ(table.Balance(now, true).slowest, 1);
  table.Remove(kNow, RunnerId("c"));
  EXPECT_DOUBLE_EQ(table.Balance(now, true).busiest_to_mean, 1.5);
}

// Guards against a restarted runner that keeps the service time of the previous process.
TEST(RunnerTableTest, RestartResetsTheServiceTime) {
  RunnerTable table;
  Runner runner = MakeRunner("a");
  runner.slots = 8;
  runner.started = kNow - absl::Hours(1);
  table.Upsert(kNow, runner);
  RunnerTable::Instant now{std::chrono::hours(1)};
  table.BeginRequest(now, *table.Find(runner.id), 500);
  table.RecordOutcome(now, runner.id, {3, 0});
  EXPECT_GT(table.Find(runner.id)->service_time.sample(now).m_completions, 0);
  runner.started = kNow;
  EXPECT_TRUE(table.Upsert(kNow, runner));
  EXPECT_EQ(table.Find(runner.id)->service_time.sample(now).m_completions, 0);
  EXPECT_EQ(table.Find(runner.id)->own_tokens, 500U) << "the request is still in flight";
}

TEST(RunnerTableTest, SoleVersionIsThatOfAllRunnersOfTheService) {
  RunnerTable table;
  const ServiceName service("s");
  EXPECT_EQ(table.SoleVersion(service), std::nullopt) << "no runner";
  Runner first = MakeRunner("a");
  first.version = "v1";
  Runner second = MakeRunner("b");
  second.version = "v2";
  table.Upsert(kNow, first);
  EXPECT_EQ(table.SoleVersion(service), "v1");
  table.Upsert(kNow, second);
  EXPECT_EQ(table.SoleVersion(service), std::nullopt);
  first.version = "v2";
  table.Upsert(kNow, first);
  EXPECT_EQ(table.SoleVersion(service), "v2") << "its entry has changed";
  first.version = "v1";
  table.Upsert(kNow, first);
  table.Remove(kNow, first.id);
  EXPECT_EQ(table.SoleVersion(service), std::nullopt) << "it may still serve";
  table.Prune(kNow + absl::Minutes(2), absl::Minutes(1));
  EXPECT_EQ(table.SoleVersion(service), "v2");
}

}  // namespace
}  // namespace martenyard::discovery
