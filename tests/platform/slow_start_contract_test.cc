// Slow start: the requests that a cold runner receives in any second stay within its limit, and
// others take the rest.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "platform/support/platform_world.h"

namespace martenyard::testing {
namespace {

constexpr int kColdRate = 10;
/// The rate of one second, times the overage, and the slack, as RoleSettings has them.
constexpr int kMostPerSecond = kColdRate * 3 / 2 + 5;

std::string ConfigurationWithSlowStart(int version) {
  std::string document = StandardConfiguration(version);
  const std::string service = R"("name":"s",)";
  document.replace(document.find(service), service.size(),
                   service + R"("coldStartS":3.0,"coldPerS":10.0,)");
  return document;
}

/// Sends all requests at once. @return the answers.
std::vector<ClientAnswer> AskAll(PlatformWorld& world, int count) {
  std::vector<std::shared_ptr<Dialogue>> dialogues;
  for (int number = 0; number < count; ++number) {
    ClientRequest request;
    request.id = "attempt-" + std::to_string(number);
    dialogues.push_back(StartDialogue(world.loop(), {"127.0.0.1", world.gateway().frontend_port()},
                                      RequestText(request)));
  }
  std::vector<ClientAnswer> answers;
  for (const auto& dialogue : dialogues) {
    world.RunUntil([&] { return dialogue->done; });
    answers.push_back(dialogue->answer);
  }
  return answers;
}

bool KnownCold(PlatformWorld& world, const emulator::RunnerStandIn& runner) {
  auto* state = world.gateway().state().runners.Find(discovery::RunnerId(runner.id()));
  return state != nullptr && state->cold_until > SteadyNow();
}

TEST(SlowStartContractTest, ColdRunnerGetsNoMoreThanItBears) {
  PlatformWorld world;
  world.Start();
  world.PutConfiguration(2, ConfigurationWithSlowStart(2));
  world.ListColdRunner(world.a(), "near", 3000);
  ASSERT_TRUE(world.RunUntil([&] { return KnownCold(world, world.a()); }));
  constexpr int kRequests = 60;  // The other runner has connections for all of them.
  for (const ClientAnswer& answer : AskAll(world, kRequests)) {
    EXPECT_EQ(answer.status, 200U);
  }
  EXPECT_GT(world.a().runs(), 0);
  EXPECT_LE(world.a().runs(), kMostPerSecond);
  EXPECT_EQ(world.a().runs() + world.b().runs(), kRequests);
}

TEST(SlowStartContractTest, RunnersOfAZoneThatIsTakenBackStartSlowly) {
  PlatformWorld world;
  world.Start();
  world.PutConfiguration(2, ConfigurationWithSlowStart(2));
  world.Evacuate("near");
  world.Evacuate("near", false);
  EXPECT_TRUE(KnownCold(world, world.a()));
  EXPECT_FALSE(KnownCold(world, world.b()));
  AskAll(world, 150);
  EXPECT_LE(world.a().runs(), kMostPerSecond);
}

TEST(SlowStartContractTest, WithoutTheLedgerOnlyWarmRunnersGetRequests) {
  PlatformWorld world;
  world.Start();
  world.PutConfiguration(2, ConfigurationWithSlowStart(2));
  world.ListColdRunner(world.a(), "near", 3000);
  ASSERT_TRUE(world.RunUntil([&] { return KnownCold(world, world.a()); }));
  world.disk().fails = true;
  ClientRequest kept;  // Makes the replica write, so that it finds that its disk fails.
  kept.target = "/streamkept/1";
  kept.headers = {"Program-Id: p", "Token-Budget: 100000", "Token-Usage: 10,200"};
  kept.deadline_ms = 500;
  world.Ask(kept);
  for (const ClientAnswer& answer : AskAll(world, 20)) {
    EXPECT_EQ(answer.status, 200U);
  }
  EXPECT_EQ(world.a().seen().size(), 0U);
}

TEST(SlowStartContractTest, AllRunnersColdServeWhatTheyBearAndTheRestIsRefused) {
  PlatformWorld world;
  world.Start();
  world.PutConfiguration(2, ConfigurationWithSlowStart(2));
  world.ListColdRunner(world.a(), "near", 3000);
  world.ListColdRunner(world.b(), "far", 3000);
  ASSERT_TRUE(
      world.RunUntil([&] { return KnownCold(world, world.a()) && KnownCold(world, world.b()); }));
  int refused = 0;
  for (const ClientAnswer& answer : AskAll(world, 150)) {
    EXPECT_TRUE(answer.status == 200U || answer.status == 503U) << answer.status;
    refused += answer.status == 503U ? 1 : 0;
  }
  EXPECT_LE(world.a().runs(), kMostPerSecond);
  EXPECT_LE(world.b().runs(), kMostPerSecond);
  EXPECT_EQ(world.a().runs() + world.b().runs() + refused, 150);
}

}  // namespace
}  // namespace martenyard::testing
