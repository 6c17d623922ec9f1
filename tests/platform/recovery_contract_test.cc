// All machines lost power while the store answered nobody, and nothing was served until it was
// back. A gateway has no disk and learned the configuration, the runners and the ledger's machines
// from the store or from another gateway; when all start at once, none of them knows anything. The
// storage machines were up within a tenth of a second, with their replicas, and knew nothing of
// these either.
//
// What settled it: days on which all machines start again without the store, on five deployments:
// 0 of 37 to 0 of 333 requests served, each gateway with `store_lost` for four copies and
// `own_503` "no configuration yet" until the end, each storage machine with `disk_opened` and a
// leader elected. With the store there, the same days are served from 0.1 s after the start on.
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "platform/support/platform_client.h"
#include "platform/support/platform_world.h"
#include "roles/directory_keys.h"

namespace martenyard::testing {
namespace {

/// A deployment gives its machines 12 s to serve again after the last of them is back.
constexpr absl::Duration kRecoveryBound = absl::Seconds(3);
/// Limit for the copies of the first life to be written. A slow disk may take seconds for each.
constexpr absl::Duration kKeptWithin = absl::Seconds(25);

using StoreFault = bool emulator::StoreFaults::*;

/// One deployment whose processes all end and start again.
class RestartedDeployment {
 public:
  RestartedDeployment() {
    std::string pattern = ::testing::TempDir() + "recovery-XXXXXX";
    remains_.data_folder = mkdtemp(pattern.data());
    for (std::uint16_t* port :
         {&remains_.ledger_port, &remains_.gateway_port, &remains_.near_port, &remains_.far_port}) {
      *port = FreePort();
    }
  }
  ~RestartedDeployment() { std::filesystem::remove_all(remains_.data_folder); }

  /// Its first life, with version `version` in force at the end.
  /// @param use called once the processes serve.
  void Live(int version, const std::function<void(PlatformWorld&)>& use = {}) {
    PlatformWorld world({}, remains_);
    world.Start();
    if (use) {
      use(world);
    }
    for (int next = 2; next <= version; ++next) {
      world.store().Put("op/config", StandardConfiguration(next));
    }
    ASSERT_TRUE(Within(world, kKeptWithin, [&] { return KeepsAllCopies(world, version); }))
        << world.Log();
    remains_.first_start = false;
  }
  static void Run(PlatformWorld& world, absl::Duration time) {
    absl::Time end = SteadyNow() + time;
    world.RunUntil([end] { return SteadyNow() >= end; });
  }
  static bool Within(PlatformWorld& world, absl::Duration time,
                     const std::function<bool()>& condition) {
    absl::Time end = SteadyNow() + time;
    bool holds = false;
    world.RunUntil([&] {
      holds = holds || condition();
      return holds || SteadyNow() >= end;
    });
    return holds;
  }
  const WorldRemains& remains() const { return remains_; }

 private:
  /// @return whether the disk has what the first life knew at its end.
  bool KeepsAllCopies(PlatformWorld& world, int version) const {
    return CopyContains("configuration", absl::StrCat("\"version\":", version)) &&
           CopyContains("runners", "i-near") && CopyContains("runners", "i-far") &&
           CopyContains("runners", absl::StrCat("\"version\":\"", world.a().version, "\"")) &&
           CopyContains("ledger_directory", "storage-1") &&
           CopyContains("ledger_directory", roles::kLedgerGroupsKey) &&
           CopyContains("aggregators", "edge-1");
  }
  bool CopyContains(const std::string& copy, const std::string& text) const {
    std::ifstream file(remains_.data_folder + "/copy-" + copy, std::ios::binary);
    std::stringstream bytes;
    bytes << file.rdbuf();
    return absl::StrContains(bytes.str(), text);
  }

  WorldRemains remains_;
};

int VersionOf(PlatformWorld& world) {
  const auto& routes = world.gateway().state().routes;
  return routes ? static_cast<int>(routes->configuration().version) : 0;
}

bool Serves(PlatformWorld& world) {
  return world.gateway().ready() && world.gateway().state().ledger->has_replicas() &&
         world.gateway().state().runners.all().size() == 2;
}

TEST(RecoveryContractTest, AllServeAgainWhileTheStoreAnswersNobody) {
  const std::pair<const char*, StoreFault> faults[] = {
      {"silent", &emulator::StoreFaults::silent},
      {"unavailable", &emulator::StoreFaults::down},
      {"resets", &emulator::StoreFaults::reset}};
  RestartedDeployment deployment;
  deployment.Live(3);
  for (const auto& [name, fault] : faults) {
    PlatformWorld world({}, deployment.remains());
    world.store().faults().*fault = true;
    world.StartRoles();
    ASSERT_TRUE(RestartedDeployment::Within(world, kRecoveryBound, [&] { return Serves(world); }))
        << name << "\n"
        << world.Log();
    EXPECT_EQ(VersionOf(world), 3) << name;
    EXPECT_EQ(world.Ask({}).status, 200U) << name;
    ClientRequest unknown;
    unknown.target = "/added-meanwhile/1";
    EXPECT_EQ(world.Ask(unknown).status, 503U) << "the store may have a newer configuration";
  }
}

TEST(RecoveryContractTest, StreamsAreContinuedAtTheirVersionAfterAllHaveRestarted) {
  ClientRequest stream;
  stream.target = "/stream/1";
  stream.headers = {"Program-Id: p", "Token-Budget: 100000", "Token-Usage: 10,200"};
  RestartedDeployment deployment;
  deployment.Live(3, [&](PlatformWorld& world) {
    world.a().version = "v2";
    world.ListRunner(world.a(), "near");
    ASSERT_TRUE(world.RunUntil([&] {
      return !world.gateway().state().runners.SoleVersion(ServiceName("s")).has_value();
    }));
    world.a().Script({emulator::RunnerBehavior::kShed, emulator::RunnerBehavior::kServe});
    world.b().Script({emulator::RunnerBehavior::kBreakMidEvent});
    ASSERT_FALSE(world.Ask(stream).whole);
    ASSERT_EQ(world.b().runs(), 1) << "it began at v1";
  });
  PlatformWorld world({}, deployment.remains());
  world.store().faults().silent = true;
  world.StartRoles();
  ASSERT_TRUE(RestartedDeployment::Within(world, kRecoveryBound, [&] { return Serves(world); }))
      << world.Log();
  stream.id = "attempt-2";
  stream.headers.emplace_back("Last-Event-Id: 2");
  stream.headers.emplace_back("Resumes: attempt-1");
  ClientAnswer answer;
  // A new leader reads its log first.
  RestartedDeployment::Within(world, kRecoveryBound, [&] {
    answer = world.Ask(stream);
    return answer.whole && answer.status == 200;
  });
  EXPECT_EQ(answer.headers["server-signature"], "sig-i-far-attempt-2") << world.Log();
  EXPECT_EQ(world.a().runs(), 0);
}

TEST(RecoveryContractTest, KeptCopiesYieldToTheStoreAndNothingGoesBack) {
  RestartedDeployment deployment;
  deployment.Live(3);
  PlatformWorld world({}, deployment.remains());
  // As many changes as before, and another one: the store's revisions only grow.
  for (int change = 0; change < 50; ++change) {
    world.ListRunner(world.a(), "near");
  }
  world.ListRunner(world.b(), "far", "draining");
  world.store().Put("op/config", StandardConfiguration(9));
  world.store().faults().silent = true;
  world.StartRoles();
  ASSERT_TRUE(RestartedDeployment::Within(world, kRecoveryBound, [&] { return Serves(world); }))
      << world.Log();
  EXPECT_EQ(VersionOf(world), 3);
  world.store().faults().silent = false;
  EXPECT_TRUE(RestartedDeployment::Within(world, kRecoveryBound, [&] {
    return VersionOf(world) == 9;
  })) << world.Log();
  auto leaves = [&] {
    auto* far = world.gateway().state().runners.Find(discovery::RunnerId(world.b().id()));
    return far != nullptr && far->runner.draining;
  };
  EXPECT_TRUE(RestartedDeployment::Within(world, kRecoveryBound, leaves)) << world.Log();
  RestartedDeployment::Run(world, absl::Seconds(1));
  EXPECT_EQ(VersionOf(world), 9);
  EXPECT_FALSE(absl::StrContains(world.Log(), "configuration_older")) << world.Log();
}

TEST(RecoveryContractTest, DamagedCopiesAreToldAndNothingIsWorseThanWithout) {
  RestartedDeployment deployment;
  deployment.Live(2);
  int files = 0;
  for (const auto& file : std::filesystem::directory_iterator(deployment.remains().data_folder)) {
    if (file.is_regular_file() && absl::StrContains(file.path().string(), "copy-")) {
      std::filesystem::resize_file(file.path(), file.file_size() / 2);
      ++files;
    }
  }
  EXPECT_EQ(files, 4);
  PlatformWorld world({}, deployment.remains());
  world.store().faults().silent = true;
  world.StartRoles();
  EXPECT_FALSE(
      RestartedDeployment::Within(world, absl::Seconds(1), [&] { return VersionOf(world) != 0; }));
  EXPECT_TRUE(absl::StrContains(world.Log(), "kept_copy_unreadable")) << world.Log();
  ClientAnswer refusal = world.Ask({});
  EXPECT_EQ(refusal.status, 503U);
  EXPECT_TRUE(refusal.headers.contains("retry-after"));
  world.store().faults().silent = false;
  world.ListRunner(world.a(), "near");
  world.ListRunner(world.b(), "far");
  world.Configure();
  EXPECT_TRUE(world.RunUntil([&] { return VersionOf(world) == 1; })) << "the store is asked";
}

}  // namespace
}  // namespace martenyard::testing
