// Evacuated zones: no request may reach their runners, whatever it waits for, and requests that can
// only be served there are refused at once.
#include <gtest/gtest.h>

#include <string>

#include "absl/strings/match.h"
#include "base/clock.h"
#include "platform/support/platform_world.h"

namespace martenyard::testing {
namespace {

using emulator::RunnerBehavior;

ClientRequest Request(int number, const std::string& target = "/safe/1") {
  ClientRequest request;
  request.target = target;
  request.id = "attempt-" + std::to_string(number);
  return request;
}

TEST(EvacuationContractTest, RequestsGoToTheOtherZoneUntilTheOrderIsTakenBack) {
  PlatformWorld world;
  world.Start();
  world.Evacuate("near");
  for (int number = 0; number < 20; ++number) {
    EXPECT_EQ(world.Ask(Request(number)).status, 200U);
  }
  EXPECT_EQ(world.a().seen().size(), 0U);
  EXPECT_EQ(world.b().runs(), 20);
  world.Evacuate("near", false);
  EXPECT_EQ(world.Ask(Request(20)).status, 200U);
  EXPECT_EQ(world.a().runs(), 1);
  EXPECT_TRUE(absl::StrContains(world.Log(), R"("event":"zone_evacuated","zone":"near")"))
      << world.Log();
}

TEST(EvacuationContractTest, WithAllZonesEvacuatedRequestsAreRefusedAtOnce) {
  PlatformWorld world;
  world.Start();
  world.Evacuate("near");
  world.Evacuate("far");
  for (const char* target : {"/safe/1", "/unsafe/1", "/stream/1"}) {
    absl::Time start = SteadyNow();
    ClientAnswer answer = world.Ask(Request(1, target));
    EXPECT_EQ(answer.status, 503U) << target;
    EXPECT_FALSE(answer.headers["retry-after"].empty()) << target;
    EXPECT_LT(SteadyNow() - start, absl::Seconds(1)) << target;
  }
  EXPECT_EQ(world.a().seen().size() + world.b().seen().size(), 0U);
  EXPECT_TRUE(absl::StrContains(world.Log(), "the zones of all its runners are evacuated"));
}

TEST(EvacuationContractTest, BrokenStreamIsNotResumedInAnEvacuatedZone) {
  PlatformWorld world;
  world.Start();
  world.Evacuate("far");
  world.a().Script({RunnerBehavior::kBreakMidEvent});
  ClientAnswer answer = world.Ask(Request(1, "/stream/1"));
  EXPECT_FALSE(answer.whole);
  EXPECT_EQ(world.b().seen().size(), 0U);
}

TEST(EvacuationContractTest, RequestInProgressFinishesInTheEvacuatedZone) {
  PlatformWorld world;
  world.Start();
  world.a().event_gap = absl::Milliseconds(150);
  auto dialogue = StartDialogue(world.loop(), {"127.0.0.1", world.gateway().frontend_port()},
                                RequestText(Request(1, "/stream/1")));
  ASSERT_TRUE(world.RunUntil([&] { return world.a().runs() == 1; }));
  world.Evacuate("near");
  ASSERT_TRUE(world.RunUntil([&] { return dialogue->done; }));
  EXPECT_TRUE(dialogue->answer.whole);
  EXPECT_EQ(world.b().seen().size(), 0U);
}

TEST(EvacuationContractTest, OrderAndItsEndWithinOneWatchAreBothApplied) {
  PlatformWorld world;
  world.Start();
  world.store().Put("op/evacuate/near", "{}");
  world.store().Remove("op/evacuate/near");
  world.Evacuate("far");  // A later change: the ones before are known with it.
  EXPECT_FALSE(world.gateway().state().evacuated_zones.Contains(ZoneName("near")));
  EXPECT_EQ(world.Ask(Request(1)).status, 200U);
  EXPECT_EQ(world.a().runs(), 1);
}

TEST(EvacuationContractTest, OrderForAnUnknownZoneIsLoggedAndChangesNothing) {
  PlatformWorld world;
  world.Start();
  world.Evacuate("nowhere");
  EXPECT_EQ(world.Ask(Request(1)).status, 200U);
  EXPECT_EQ(world.a().runs(), 1);
  EXPECT_TRUE(absl::StrContains(world.Log(), R"("zone":"nowhere","known_zone":false)"))
      << world.Log();
}

TEST(EvacuationContractTest, GatewayKnowsTheOrderFromItsFirstConfigurationOn) {
  PlatformWorld world;
  world.store().Put("op/evacuate/near", "{}");
  world.Start();
  EXPECT_EQ(world.Ask(Request(1)).status, 200U);
  EXPECT_EQ(world.a().seen().size(), 0U);
}

TEST(EvacuationContractTest, OrderOutlivesAnOutageOfTheStore) {
  PlatformWorld world;
  world.Start();
  world.Evacuate("near");
  world.store().faults().silent = true;
  EXPECT_EQ(world.Ask(Request(1)).status, 200U);
  EXPECT_EQ(world.a().seen().size(), 0U);
  // Taken back meanwhile: known once the store replies again.
  world.store().Remove("op/evacuate/near");
  world.store().faults().silent = false;
  EXPECT_TRUE(world.RunUntil([&] { return world.gateway().state().evacuated_zones.size() == 0; }));
}

TEST(RegionContractTest, RequestsStayInTheRegionsOfTheirRoute) {
  PlatformWorld world;
  world.Start();
  std::string document = StandardConfiguration(2);
  const std::string from = R"("name":"safe",)";
  document.replace(document.find(from), from.size(), from + R"("allowedRegions":["abroad"],)");
  const std::string kept = R"("name":"kept",)";
  document.replace(document.find(kept), kept.size(), kept + R"("allowedRegions":["here"],)");
  world.PutConfiguration(2, document);
  for (int number = 0; number < 10; ++number) {
    EXPECT_EQ(world.Ask(Request(number)).status, 200U);
  }
  EXPECT_EQ(world.a().seen().size(), 0U);
  EXPECT_EQ(world.b().runs(), 10);
  world.Evacuate("far");
  EXPECT_EQ(world.Ask(Request(10)).status, 503U) << "none left in its regions";
  EXPECT_EQ(world.Ask(Request(11, "/unsafe/1")).status, 200U) << "other routes are unaffected";
  // Replicas of the ledger may be abroad: the text of such a turn can't be stored.
  EXPECT_EQ(world.Ask(Request(12, "/streamkept/1")).status, 503U);
  EXPECT_EQ(world.a().runs(), 1);
}

}  // namespace
}  // namespace martenyard::testing
