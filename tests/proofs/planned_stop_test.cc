// Planned stops soon after starts in which messages are lost and late, at seeded moments.
//
// Symptom: a daemon that was asked to stop stayed until the stop limit of 30 s was over. All calls
// under way there had run, and each ended after 20 s with 503 "the result could not be stored".
// Cause: the leader's first entries reached a founder of the group before the directory did, which
// says who founds it. That replica knew no voters from then on, since its own founding was passed
// over, so it never stood for election; the leader handed over to it again and again, and a leader
// that hands over stores nothing. What showed it: the groups as printed below when a stop does not
// end. The target follows the right leader, has the whole log and knows 0 voters (seeds 25, 329,
// 374).
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <numeric>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "support/proof_world.h"

namespace martenyard::testing {
namespace {

constexpr std::uint64_t kStarts = 400;
constexpr double kMostLoss = 0.5;
constexpr absl::Duration kMostJitter = absl::Milliseconds(200);
constexpr absl::Duration kMostWaitBeforeStop = absl::Milliseconds(500);
constexpr absl::Duration kStopLimit = absl::Seconds(30);
constexpr int kCalls = 5;

/// @return what each replica of each group knows, for the message of a failed check.
std::string DescribeGroups(sim::World& world) {
  std::string text;
  for (std::size_t index = 0; index < world.size(); ++index) {
    if (world.node(index) == nullptr) {
      continue;
    }
    for (const auto& [group, replica] : world.node(index)->replicas().replicas()) {
      const consensus::Raft& raft = replica->raft();
      absl::StrAppend(&text, "daemon ", index, " (node ", world.node(index)->Self().value,
                      "), group ", group.value, ": term ", raft.term(), ", leader ",
                      raft.leader().value, ", ", raft.configuration().voters.size(),
                      " voters known, log to ", raft.last_index(), "\n");
    }
  }
  return text;
}

bool EverybodyKnowsTheGroups(sim::World& world) {
  for (std::size_t index = 0; index < world.size(); ++index) {
    if (!world.node(index)->IsReady()) {
      return false;
    }
  }
  return world.AllGroupsLed();
}

std::vector<std::shared_ptr<Told>> StartCalls(ProofWorld& proof, std::size_t gateway) {
  std::vector<std::shared_ptr<Told>> calls;
  for (int number = 0; number < kCalls; ++number) {
    ProgramId program(absl::StrCat("p", number));
    EXPECT_EQ(proof.Create(gateway, program), ledger::Verdict::kDone);
    calls.push_back(proof.Call(gateway, program, "k", ledger::CallKind::kModel, true));
  }
  return calls;
}

void StopSoonAfterStart(std::uint64_t seed) {
  ProofWorld proof(ProofOptions{}, seed);
  sim::World& world = proof.world();
  world.network().drop = kMostLoss * world.random().Uniform();
  world.network().jitter = kMostJitter * world.random().Uniform();
  ASSERT_TRUE(world.RunUntil([&] { return EverybodyKnowsTheGroups(world); }, absl::Seconds(60)));
  world.network() = sim::NetworkFaults{};
  ASSERT_TRUE(proof.Start());
  world.Run(kMostWaitBeforeStop * world.random().Uniform());

  std::size_t stopping = seed % world.size();
  std::vector<std::shared_ptr<Told>> calls = StartCalls(proof, stopping);
  world.node(stopping)->BeginStop(world.queue().now());
  EXPECT_TRUE(world.RunUntil([&] { return world.node(stopping)->CanExit(); }, kStopLimit))
      << DescribeGroups(world);
  for (const auto& call : calls) {
    ASSERT_TRUE(proof.Await(call));
    EXPECT_EQ(call->end.outcome, ledger::CallState::kRan) << call->end.title;
  }
}

/// What happens to the three daemons at nearly the same time.
struct Overlap {
  const char* name;
  std::size_t stopped;
  bool other_killed;
};

class OverlappingStopsTest : public ::testing::TestWithParam<Overlap> {};

constexpr std::uint64_t kOverlaps = 60;
constexpr absl::Duration kMostBetweenStops = absl::Milliseconds(100);
constexpr int kCallsPerGateway = 4;

/// Stops daemons one after the other and ends each process as soon as it may exit.
class OverlappingStops {
 public:
  OverlappingStops(const Overlap& overlap, std::uint64_t seed)
      : overlap_(overlap), proof_(ProofOptions{}, seed), world_(proof_.world()) {}

  void Run() {
    ASSERT_TRUE(proof_.Start());
    for (std::size_t daemon = 0; daemon < world_.size(); ++daemon) {
      StartCalls(daemon);
    }
    world_.Run(kMostWaitBeforeStop * world_.random().Uniform());
    std::vector<std::size_t> order(world_.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::shuffle(order.begin(), order.end(), world_.random().engine());
    if (overlap_.other_killed) {
      killed_ = order.back();
      world_.Kill(*killed_);
    }
    order.resize(overlap_.stopped);
    for (std::size_t daemon : order) {
      Stop(daemon);
      RunWithExits(kMostBetweenStops * world_.random().Uniform());
    }
    bool ended = world_.RunUntil(
        [&] {
          EndExited();
          return stopping_.empty();
        },
        kStopLimit);
    EXPECT_TRUE(ended) << DescribeGroups(world_) << Blockers();
    Judge();
  }

 private:
  struct StartedCall {
    std::size_t gateway;
    std::shared_ptr<Told> told;
  };

  void StartCalls(std::size_t gateway) {
    for (int number = 0; number < kCallsPerGateway; ++number) {
      ProgramId program(absl::StrCat("p", gateway, "-", number));
      ASSERT_EQ(proof_.Create(gateway, program), ledger::Verdict::kDone);
      calls_.push_back(
          {gateway, proof_.Call(gateway, program, "k", ledger::CallKind::kModel, true)});
    }
  }

  void Stop(std::size_t daemon) {
    world_.node(daemon)->BeginStop(world_.queue().now());
    world_.Settle(daemon);
    stopping_.insert(daemon);
  }

  void RunWithExits(absl::Duration time) {
    absl::Time end = world_.queue().now() + time;
    while (world_.queue().now() < end) {
      world_.Run(absl::Milliseconds(5));
      EndExited();
    }
  }

  void EndExited() {
    std::erase_if(stopping_, [this](std::size_t daemon) {
      bool exits = world_.node(daemon)->CanExit();
      if (exits) {
        world_.Kill(daemon);
      }
      return exits;
    });
  }

  std::string Blockers() {
    std::string text;
    for (std::size_t daemon : stopping_) {
      absl::StrAppend(&text, "daemon ", daemon, ": ", world_.node(daemon)->StopBlockers(), "\n");
    }
    return text;
  }

  /// A daemon that was stopped has ended each of its calls: with its result, or as not admitted.
  void Judge() {
    for (const StartedCall& call : calls_) {
      bool stopped = world_.node(call.gateway) == nullptr && call.gateway != killed_;
      if (!stopped) {
        continue;
      }
      EXPECT_TRUE(call.told->ended);
      bool rejected = call.told->ended && !call.told->end.started;
      EXPECT_TRUE(rejected || call.told->end.outcome == ledger::CallState::kRan)
          << call.told->end.title;
    }
  }

  Overlap overlap_;
  ProofWorld proof_;
  sim::World& world_;
  std::vector<StartedCall> calls_;
  std::set<std::size_t> stopping_;
  std::optional<std::size_t> killed_;
};

/// Guards against leadership that goes to a stopping daemon, and against voters that exit while
/// calls of other stopping daemons still have results to store.
TEST_P(OverlappingStopsTest, CutNoCall) {
  for (std::uint64_t seed = 1; seed <= kOverlaps; ++seed) {
    SCOPED_TRACE(absl::StrCat("seed ", seed));
    OverlappingStops(GetParam(), seed).Run();
  }
}

INSTANTIATE_TEST_SUITE_P(Overlaps, OverlappingStopsTest,
                         ::testing::Values(Overlap{"AllStop", 3, false},
                                           Overlap{"TwoOfThreeStop", 2, false},
                                           Overlap{"TwoStopAndTheThirdIsKilled", 2, true}),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(PlannedStopTest, StopSoonAfterAStartEndsWithinItsLimitAndCutsNoCall) {
  for (std::uint64_t seed = 1; seed <= kStarts; ++seed) {
    SCOPED_TRACE(absl::StrCat("seed ", seed));
    StopSoonAfterStart(seed);
  }
}

}  // namespace
}  // namespace martenyard::testing
