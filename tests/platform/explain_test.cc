// Failing requests are played on the stand-ins, and the account must name the cause.
#include "explain/explain.h"

#include <gtest/gtest.h>

#include "absl/strings/match.h"
#include "platform/support/platform_world.h"

namespace martenyard::explain {
namespace {

using emulator::RunnerBehavior;
using testing::ClientRequest;
using testing::PlatformWorld;

Explanation ExplainIn(PlatformWorld& world, const std::string& request) {
  return Explain(ParseLogLines(world.Log()), request);
}

TEST(ExplainTest, SpentBudgetIsNamedWithItsFigures) {
  PlatformWorld world;
  world.Start();
  ClientRequest request;
  request.target = "/stream/1";
  request.headers = {"Program-Id: p", "Token-Budget: 150", "Token-Usage: 10,100"};
  world.Ask(request);
  request.id = "attempt-2";
  ASSERT_EQ(world.Ask(request).status, 402U);
  Explanation account = ExplainIn(world, "attempt-2");
  EXPECT_EQ(account.outcome, "own_402");
  EXPECT_TRUE(absl::StrContains(account.cause, "budget of 150")) << account.cause;
  EXPECT_TRUE(absl::StrContains(account.cause, "this turn's 100")) << account.cause;
  EXPECT_TRUE(absl::StrContains(account.cause, "100 were spent")) << account.cause;
}

TEST(ExplainTest, FullEnginesAreNamedWithTheirFigures) {
  PlatformWorld world;
  world.Start();
  world.gateway().state().options.admission.m_max_load = 0;
  ClientRequest request;
  request.target = "/stream/1";
  request.headers = {"Program-Id: p", "Token-Budget: 150", "Token-Usage: 10,100"};
  ASSERT_EQ(world.Ask(request).status, 503U);
  Explanation account = ExplainIn(world, "attempt-1");
  EXPECT_TRUE(absl::StrContains(account.cause, "0 requests were at engines with 16 slots"))
      << account.cause;
}

TEST(ExplainTest, LimitOfATenantIsNamedWithItsFigures) {
  std::string refused =
      R"({"time_us":2000000,"sequence":8,"node":"edge-1","event":"quota_refused","request":"r","tenant":"north","known":true,"rate":4.0,"burst":8.0,"configuration":7,"retry_after_ms":250,"ms":2.1})"
      "\n"
      R"({"time_us":2000100,"sequence":9,"node":"edge-1","event":"request_ended","request":"r","outcome":"own_429","detail":"the tenant's limit is reached"})"
      "\n";
  Explanation account = Explain(ParseLogLines(refused), "r");
  EXPECT_TRUE(absl::StrContains(account.cause, "tenant north was beyond its limit of 4.0"))
      << account.cause;
  EXPECT_TRUE(absl::StrContains(account.cause, "(configuration 7)")) << account.cause;
}

TEST(ExplainTest, LostLeaseIsNamedWithItsAge) {
  std::string lines =
      R"({"time_us":1500000,"sequence":7,"node":"edge-1","event":"configuration_lease_lost","revision":90,"confirmed_ms_ago":4751})"
      "\n"
      R"({"time_us":2000100,"sequence":9,"node":"edge-1","event":"request_ended","request":"r","outcome":"own_503","detail":"the configuration may be too old: the API key may be revoked"})"
      "\n";
  Explanation account = Explain(ParseLogLines(lines), "r");
  EXPECT_TRUE(absl::StrContains(account.cause, "edge-1 had last known it to be the newest 4751 ms"))
      << account.cause;
}

TEST(ExplainTest, LedgerWithoutADiskIsNamed) {
  PlatformWorld world;
  world.Start();
  world.disk().fails = true;
  ClientRequest request;
  request.target = "/stream/1";
  request.headers = {"Program-Id: p", "Token-Budget: 150", "Token-Usage: 10,100"};
  ASSERT_EQ(world.Ask(request).status, 503U);
  Explanation account = ExplainIn(world, "attempt-1");
  EXPECT_TRUE(absl::StrContains(account.cause, "did not commit")) << account.cause;
  EXPECT_TRUE(absl::StrContains(account.cause, "disk_failed")) << account.cause;
}

/// Lines as the processes write them.
std::string RefusedAtOnce(const std::string& before) {
  return before +
         R"({"time_us":2000000,"sequence":8,"node":"edge-1","event":"turn_admission","request":"r","verdict":"overloaded"})"
         "\n"
         R"({"time_us":2000100,"sequence":9,"node":"edge-1","event":"request_ended","request":"r","outcome":"own_503","detail":"the turn ledger is overloaded"})"
         "\n";
}

TEST(ExplainTest, GatewayThatLostTheLedgerIsNamed) {
  std::string lost =
      R"({"time_us":1500000,"sequence":7,"node":"edge-1","event":"readiness_changed","ready":false,"groups":8,"silent_groups":8})"
      "\n";
  Explanation account = Explain(ParseLogLines(RefusedAtOnce(lost)), "r");
  EXPECT_TRUE(absl::StrContains(account.cause, "edge-1 had lost the ledger (8 of 8"))
      << account.cause;
  std::string other =
      R"({"time_us":1500000,"sequence":7,"node":"edge-2","event":"readiness_changed","ready":false,"groups":8,"silent_groups":8})"
      "\n";
  account = Explain(ParseLogLines(RefusedAtOnce(other)), "r");
  EXPECT_TRUE(absl::StrContains(account.cause, "more than it could do")) << account.cause;
}

TEST(ExplainTest, FullLedgerMachineIsNamed) {
  std::string full =
      R"({"time_us":1500000,"sequence":7,"node":"storage-1","event":"memory_full","used":104,"limit":130})"
      "\n";
  Explanation account = Explain(ParseLogLines(RefusedAtOnce(full)), "r");
  EXPECT_TRUE(absl::StrContains(account.cause, "storage-1 was full (104 of 130")) << account.cause;
}

TEST(ExplainTest, UnknownTurnIsNamed) {
  PlatformWorld world;
  world.Start();
  ClientRequest request;
  request.target = "/streamkept/1";
  request.headers = {"Program-Id: p", "Previous-Turn: nobody"};
  ASSERT_EQ(world.Ask(request).status, 404U);
  EXPECT_TRUE(absl::StrContains(ExplainIn(world, "attempt-1").cause, "no turn nobody"));
}

TEST(ExplainTest, RunnerThatBrokeOffIsNamedWithEveryAttempt) {
  PlatformWorld world;
  world.Start();
  world.a().Script({RunnerBehavior::kReset});
  world.b().Script({RunnerBehavior::kReset});
  ASSERT_EQ(world.Ask({}).status, 502U);
  Explanation account = ExplainIn(world, "attempt-1");
  EXPECT_TRUE(absl::StrContains(account.cause, "i-far")) << account.cause;
  EXPECT_TRUE(absl::StrContains(account.cause, "connection closed without a response"))
      << account.cause;
  int attempts = 0;
  for (const std::string& step : account.steps) {
    attempts += absl::StrContains(step, "attempt_ended") ? 1 : 0;
  }
  EXPECT_EQ(attempts, 2);
}

TEST(ExplainTest, RunsThatHadAPartInAStreamAreNamed) {
  struct Case {
    RunnerBehavior first;
    const char* head;
    const char* broken;
  };
  const Case cases[] = {
      {RunnerBehavior::kBreakMidEvent, "under the head of runner i-near",
       "runner i-near ended with broke_off (stream truncated) after 2 events, and 8 bytes"},
      {RunnerBehavior::kBreakInFirst, "under the head of runner i-far",
       "runner i-near ended with broke_off (stream truncated) after 0 events, and 8 bytes"},
  };
  for (const Case& test : cases) {
    PlatformWorld world;
    world.Start();
    world.a().Script({test.first});
    ClientRequest request;
    request.target = "/stream/1";
    ASSERT_TRUE(world.Ask(request).whole);
    Explanation account = ExplainIn(world, "attempt-1");
    EXPECT_EQ(account.outcome, "answered");
    EXPECT_TRUE(absl::StrContains(account.cause, "answered by runner i-far")) << account.cause;
    EXPECT_TRUE(absl::StrContains(account.cause, test.head)) << account.cause;
    EXPECT_TRUE(absl::StrContains(account.cause, test.broken)) << account.cause;
  }
}

TEST(ExplainTest, RunThatGoesOnElsewhereIsNamed) {
  PlatformWorld world;
  world.Start();
  world.a().Script({RunnerBehavior::kBreakMidEvent});
  world.b().Script({RunnerBehavior::kStreamFromStart});
  ClientRequest request;
  request.target = "/stream/1";
  ASSERT_FALSE(world.Ask(request).whole);
  Explanation account = ExplainIn(world, "attempt-1");
  EXPECT_EQ(account.outcome, "broken");
  EXPECT_TRUE(absl::StrContains(account.cause, "does not continue after the last delivered event"))
      << account.cause;
}

TEST(ExplainTest, RequestWithoutALineAndWithoutAnEndAreSaidSo) {
  EXPECT_FALSE(Explain({}, "x").found);
  std::vector<LogLine> lines = ParseLogLines(
      "  12.5 edge-1 {\"time_us\":5,\"sequence\":1,\"node\":\"n\",\"event\":\"runner_chosen\","
      "\"request\":\"x\"}\nnot a line\n{\"time_us\":broken\n");
  ASSERT_EQ(lines.size(), 1U);
  EXPECT_TRUE(absl::StrContains(Explain(lines, "x").cause, "no end"));
}

}  // namespace
}  // namespace martenyard::explain
