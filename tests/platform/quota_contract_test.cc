// The contract on tenants' limits, end to end over sockets.
#include <gtest/gtest.h>

#include <string>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "platform/support/platform_world.h"

namespace martenyard::testing {
namespace {

constexpr char kTenants[] = R"([{"name":"small","apiKeys":["small"],"ratePerS":1,"burst":0},
                               {"name":"large","apiKeys":["large"],"ratePerS":1000,"burst":1000},
                               {"name":"free","apiKeys":["free"]}])";

/// What became of some requests with one key.
struct Outcome {
  int served = 0;
  int refused = 0;
  std::string retry_after;
};

class QuotaWorld : public PlatformWorld {
 public:
  QuotaWorld() {
    Start(/*configured=*/false);
    store().Put("op/config", TenantConfiguration(1, kTenants));
    RunUntil([&] { return gateway().ready(); });
  }

  Outcome AskMany(const std::string& key, int count) {
    Outcome outcome;
    for (int number = 0; number < count; ++number) {
      ClientRequest request;
      request.id = absl::StrCat(key, "-", number);
      request.headers = {"Api-Key: " + key};
      ClientAnswer answer = Ask(request);
      outcome.served += answer.status == 200 ? 1 : 0;
      if (answer.status == 429) {
        ++outcome.refused;
        outcome.retry_after = answer.headers["retry-after"];
      }
    }
    return outcome;
  }
};

TEST(QuotaContractTest, RequestsBeyondTheLimitAre429AndNeverRun) {
  QuotaWorld world;
  Outcome outcome = world.AskMany("small", 60);
  EXPECT_EQ(outcome.served + outcome.refused, 60);
  EXPECT_GT(outcome.refused, 0);
  // A second's worth, and the room that the bound leaves.
  EXPECT_LE(outcome.served, 40);
  EXPECT_EQ(world.a().runs() + world.b().runs(), outcome.served);
  double retry_after = 0;
  ASSERT_TRUE(absl::SimpleAtod(outcome.retry_after, &retry_after)) << outcome.retry_after;
  EXPECT_GT(retry_after, 0);
  EXPECT_TRUE(absl::StrContains(world.Log(), "quota_refused"));
}

TEST(QuotaContractTest, OneTenantsLimitTakesNothingFromTheOthers) {
  QuotaWorld world;
  world.AskMany("small", 60);
  EXPECT_EQ(world.AskMany("large", 40).served, 40);
  EXPECT_EQ(world.AskMany("free", 40).served, 40);
}

TEST(QuotaContractTest, WithoutTheLedgerLimitedRequestsAreRefusedAsNotRun) {
  QuotaWorld world;
  world.disk().fails = true;
  // A turn's reservation makes the failing disk known: the replica then leads no more.
  ClientRequest turn;
  turn.target = "/stream/1";
  turn.headers = {"Api-Key: free", "Program-Id: p", "Token-Budget: 250", "Token-Usage: 10,100"};
  EXPECT_EQ(world.Ask(turn).status, 503U);
  ClientRequest request;
  request.id = "limited";
  request.headers = {"Api-Key: small"};
  ClientAnswer answer = world.Ask(request);
  EXPECT_EQ(answer.status, 503U) << "nobody knows that the limit is reached: no 429";
  EXPECT_FALSE(answer.headers["retry-after"].empty());
  request.id = "unlimited";
  request.headers = {"Api-Key: free"};
  EXPECT_EQ(world.Ask(request).status, 200U);
}

}  // namespace
}  // namespace martenyard::testing
