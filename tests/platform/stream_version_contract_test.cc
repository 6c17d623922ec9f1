// Runners of two software versions beside each other: a stream is continued only by runners of the
// version that delivered its first event, within one response and over a client's requests.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "platform/support/platform_world.h"

namespace martenyard::testing {
namespace {

using emulator::RunnerBehavior;

/// Whether the stream belongs to a program whose tokens the ledger counts.
enum class Accounting { kBudget, kNone };

std::string Events(int first, int last, const std::string& version) {
  std::string text;
  for (int number = first; number <= last; ++number) {
    absl::StrAppend(&text, "id: ", number, "\ndata: event-", number, " of ", version, "\n\n");
  }
  return text;
}

/// Runner `a`, the nearer one, is of version v2 and runner `b` of version v1.
class VersionWorld : public PlatformWorld {
 public:
  VersionWorld() {
    a().version = "v2";
    b().version = "v1";
    a().events_name_version = true;
    b().events_name_version = true;
  }

  /// Begins `attempt-1` at runner `b`, which breaks off after its second event.
  void BeginAtV1(Accounting accounting) { BeginAtB(accounting, "v1"); }

  /// @param version of runner `b`.
  void BeginAtB(Accounting accounting, const std::string& version) {
    a().Script({RunnerBehavior::kShed, RunnerBehavior::kServe});
    b().Script({RunnerBehavior::kBreakMidEvent, RunnerBehavior::kServe});
    ClientAnswer answer = Ask(Stream("attempt-1", accounting));
    ASSERT_FALSE(answer.whole);
    ASSERT_EQ(answer.body, Events(1, 2, version));
    ASSERT_EQ(a().runs(), 0);
    ASSERT_EQ(b().runs(), 1);
    // Until runner `a` is no longer avoided for being full.
    auto& runners = gateway().state().runners;
    RunUntil([&] { return runners.Find(discovery::RunnerId("i-near"))->full_until < SteadyNow(); });
  }

  static ClientRequest Stream(const std::string& id, Accounting accounting) {
    ClientRequest request;
    request.target = "/stream/1";
    request.id = id;
    if (accounting == Accounting::kBudget) {
      request.headers = {"Program-Id: p", "Token-Budget: 100000", "Token-Usage: 10,200"};
    }
    return request;
  }

  /// @param resumes empty: the client doesn't name the request that it resumes.
  static ClientRequest Resumption(const std::string& id, const std::string& resumes,
                                  Accounting accounting = Accounting::kBudget) {
    ClientRequest request = Stream(id, accounting);
    request.headers.push_back("Last-Event-Id: 2");
    if (!resumes.empty()) {
      request.headers.push_back("Resumes: " + resumes);
    }
    return request;
  }

  void ExpectContinuedByB(ClientAnswer answer, const std::string& id) {
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.status, 200U) << answer.body;
    EXPECT_EQ(answer.body, Events(3, 4, "v1"));
    EXPECT_EQ(answer.headers["server-signature"], absl::StrCat("sig-i-far-", id));
    EXPECT_EQ(a().runs(), 0);
    if (::testing::Test::HasFailure()) {
      ADD_FAILURE() << Log();
    }
  }

  void ExpectRefused(ClientAnswer answer) {
    EXPECT_EQ(answer.status, 503U) << answer.body;
    EXPECT_FALSE(answer.headers["retry-after"].empty());
    EXPECT_EQ(a().runs(), 0);
    EXPECT_EQ(b().runs(), 1) << "only the request that began the stream";
    if (::testing::Test::HasFailure()) {
      ADD_FAILURE() << Log();
    }
  }
};

class StreamVersionContractTest : public ::testing::TestWithParam<Accounting> {};

INSTANTIATE_TEST_SUITE_P(Accounting, StreamVersionContractTest,
                         ::testing::Values(Accounting::kBudget, Accounting::kNone),
                         [](const auto& info) {
                           return info.param == Accounting::kBudget ? "Budget" : "None";
                         });

TEST_P(StreamVersionContractTest, ResponseIsNotContinuedAtAnotherVersion) {
  VersionWorld world;
  world.Start();
  world.a().Script({RunnerBehavior::kBreakMidEvent, RunnerBehavior::kServe});
  ClientAnswer answer = world.Ask(VersionWorld::Stream("attempt-1", GetParam()));
  EXPECT_FALSE(answer.whole);
  EXPECT_EQ(answer.body, Events(1, 2, "v2"));
  EXPECT_EQ(world.b().runs(), 0) << world.Log();
}

TEST_P(StreamVersionContractTest, ResumptionGoesToTheVersionThatBeganTheStream) {
  VersionWorld world;
  world.Start();
  world.BeginAtV1(GetParam());
  ClientRequest request = VersionWorld::Resumption("attempt-2", "attempt-1", GetParam());
  world.ExpectContinuedByB(world.Ask(request), "attempt-2");
}

TEST_P(StreamVersionContractTest, AnotherGatewayKnowsTheVersionOfAStream) {
  VersionWorld world;
  world.Start();
  world.StartOtherGateway();
  world.BeginAtV1(GetParam());
  ClientRequest request = VersionWorld::Resumption("attempt-2", "attempt-1", GetParam());
  world.ExpectContinuedByB(world.AskOther(request), "attempt-2");
}

TEST_P(StreamVersionContractTest, ThirdRequestOfAStreamNamesTheFirst) {
  VersionWorld world;
  world.Start();
  world.BeginAtV1(GetParam());
  world.b().Script({RunnerBehavior::kBreakInFirst, RunnerBehavior::kServe});
  EXPECT_FALSE(world.Ask(VersionWorld::Resumption("attempt-2", "attempt-1", GetParam())).status ==
               200);
  ClientRequest request = VersionWorld::Resumption("attempt-3", "attempt-1", GetParam());
  world.ExpectContinuedByB(world.Ask(request), "attempt-3");
}

TEST_P(StreamVersionContractTest, ResumptionOfAnUnknownStreamIsRefused) {
  VersionWorld world;
  world.Start();
  world.BeginAtV1(GetParam());
  world.ExpectRefused(world.Ask(VersionWorld::Resumption("attempt-2", "forged", GetParam())));
}

TEST_P(StreamVersionContractTest, ResumptionWithoutTheStreamsNameIsRefusedAmongTwoVersions) {
  VersionWorld world;
  world.Start();
  world.BeginAtV1(GetParam());
  world.ExpectRefused(world.Ask(VersionWorld::Resumption("attempt-2", "", GetParam())));
}

TEST_P(StreamVersionContractTest, DrainingRunnerContinuesStreamsOfItsVersion) {
  VersionWorld world;
  world.Start();
  world.BeginAtV1(GetParam());
  world.ListRunner(world.b(), "far", "draining");
  world.RunUntil([&] {
    return world.gateway().state().runners.Find(discovery::RunnerId("i-far"))->IsDraining();
  });
  ClientRequest request = VersionWorld::Resumption("attempt-2", "attempt-1", GetParam());
  world.ExpectContinuedByB(world.Ask(request), "attempt-2");
}

TEST_P(StreamVersionContractTest, ResumptionIsRefusedWhenItsVersionIsGone) {
  VersionWorld world;
  world.Start();
  world.BeginAtV1(GetParam());
  world.b().version = "v3";
  world.ListRunner(world.b(), "far", "ready", /*born=*/1000);
  world.RunUntil([&] {
    auto* runner = world.gateway().state().runners.Find(discovery::RunnerId("i-far"));
    return runner->runner.version == "v3";
  });
  world.ExpectRefused(world.Ask(VersionWorld::Resumption("attempt-2", "attempt-1", GetParam())));
}

TEST_P(StreamVersionContractTest, ResumptionIsRefusedWhileTheLedgerIsSilent) {
  VersionWorld world;
  world.Start();
  world.BeginAtV1(GetParam());
  world.disk().fails = true;
  world.ExpectRefused(world.Ask(VersionWorld::Resumption("attempt-2", "attempt-1", GetParam())));
}

// Guards against a stream that is continued at another version because the gateway that its client
// comes back to doesn't know the runners of the version that began it.

TEST_P(StreamVersionContractTest,
       RestartedGatewayDoesNotJoinAnUnnamedStreamToTheOnlyVersionItFinds) {
  VersionWorld world;
  world.Start();
  world.BeginAtV1(GetParam());
  world.store().Remove("servers/i-far");
  world.StartOtherGateway(/*first_start=*/false, /*runners=*/1);
  ASSERT_EQ(world.other_gateway().state().runners.SoleVersion(ServiceName("s")), "v2");
  world.ExpectRefused(world.AskOther(VersionWorld::Resumption("attempt-2", "", GetParam())));
}

TEST_P(StreamVersionContractTest, RestartedGatewayDoesNotJoinANamedStreamToTheOnlyVersionItFinds) {
  VersionWorld world;
  world.Start();
  world.BeginAtV1(GetParam());
  world.store().Remove("servers/i-far");
  world.StartOtherGateway(/*first_start=*/false, /*runners=*/1);
  world.ExpectRefused(
      world.AskOther(VersionWorld::Resumption("attempt-2", "attempt-1", GetParam())));
}

// The other gateway's copy of the runners is from before the newer version joined.
TEST_P(StreamVersionContractTest, GatewayOutOfStepDoesNotJoinAStreamToTheVersionThatItKnows) {
  for (const char* resumes : {"", "attempt-1"}) {
    SCOPED_TRACE(absl::StrCat("resumes '", resumes, "'"));
    VersionWorld world;
    world.a().version = "v1";
    world.b().version = "v1";
    world.Start();
    world.StartOtherGateway();
    world.store().faults().silent = true;
    world.store().SilenceWaiting();
    discovery::RunnerTable& runners = world.gateway().state().runners;
    discovery::Runner newer = runners.Find(discovery::RunnerId("i-far"))->runner;
    newer.version = "v2";
    runners.Upsert(SteadyNow(), newer);
    world.b().version = "v2";
    world.BeginAtB(GetParam(), "v2");
    ASSERT_EQ(world.other_gateway().state().runners.SoleVersion(ServiceName("s")), "v1");
    world.ExpectRefused(world.AskOther(VersionWorld::Resumption("attempt-2", resumes, GetParam())));
  }
}

// Without it, all clients that don't name their stream would be refused after a restart.
TEST(StreamVersionProgramTest, RestartedGatewayContinuesAnUnnamedStreamOfItsProgramsOnlyVersion) {
  VersionWorld world;
  world.a().version = "v1";
  world.Start();
  world.BeginAtV1(Accounting::kBudget);
  world.StartOtherGateway(/*first_start=*/false, /*runners=*/2);
  ClientAnswer answer = world.AskOther(VersionWorld::Resumption("attempt-2", ""));
  EXPECT_TRUE(answer.whole);
  EXPECT_EQ(answer.body, Events(3, 4, "v1")) << world.Log();
}

TEST(StreamVersionTenantTest, TenantCannotResumeAnotherTenantsStream) {
  constexpr char kTenants[] = R"([{"name":"north","apiKeys":["north-key"]},
                                  {"name":"south","apiKeys":["south-key"]}])";
  VersionWorld world;
  world.Start(/*configured=*/false);
  world.store().Put("op/config", TenantConfiguration(1, kTenants));
  world.RunUntil([&] { return world.gateway().ready(); });
  world.a().Script({RunnerBehavior::kShed, RunnerBehavior::kServe});
  world.b().Script({RunnerBehavior::kBreakMidEvent, RunnerBehavior::kServe});
  ClientRequest first = VersionWorld::Stream("attempt-1", Accounting::kBudget);
  first.headers.emplace_back("Api-Key: north-key");
  EXPECT_EQ(world.Ask(first).body, Events(1, 2, "v1"));
  ClientRequest foreign = VersionWorld::Resumption("attempt-2", "attempt-1");
  foreign.headers.emplace_back("Api-Key: south-key");
  world.ExpectRefused(world.Ask(foreign));
  ClientRequest own = VersionWorld::Resumption("attempt-3", "attempt-1");
  own.headers.emplace_back("Api-Key: north-key");
  world.ExpectContinuedByB(world.Ask(own), "attempt-3");
}

}  // namespace
}  // namespace martenyard::testing
