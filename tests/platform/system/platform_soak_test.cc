// Real processes of the platform's roles on loopback, against the stand-ins, under random kills,
// lost disks and freezes. What a client was told must stay true.
#include <gtest/gtest.h>

#include <csignal>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/random.h"
#include "bench/local_system.h"
#include "emulator/platform/runner_stand_in.h"
#include "emulator/platform/store_stand_in.h"
#include "platform/support/machine.h"
#include "platform/support/platform_client.h"

namespace martenyard::testing {
namespace {

constexpr int kLedgers = 3;
constexpr int kGateways = 2;

class PlatformSoakTest : public ::testing::Test {
 protected:
  PlatformSoakTest()
      : store_(loop_.context()), near_(loop_.context(), "i-1"), far_(loop_.context(), "i-2") {
    store_.Listen(0);
    for (const auto* runner : {&near_, &far_}) {
      store_.Put("servers/" + runner->id(),
                 emulator::RunnerEntry({.port = runner->port(), .zone = "z0"}));
    }
    store_.Put("op/config", StandardConfiguration(1));
    for (int number = 0; number < kLedgers; ++number) {
      ledgers_.push_back(MakeMachine(true, number));
    }
    for (int number = 0; number < kGateways; ++number) {
      gateways_.push_back(MakeMachine(false, number));
    }
    for (auto* machines : {&ledgers_, &gateways_}) {
      for (auto& machine : *machines) {
        machine->Start();
      }
    }
  }

  std::unique_ptr<Machine> MakeMachine(bool storage, int number) {
    MachineOptions options;
    options.folder = folder_.path();
    options.storage = storage;
    options.number = number;
    options.address = absl::StrCat("127.0.", storage ? 71 : 72, ".", number + 1);
    options.store_port = store_.port();
    return std::make_unique<Machine>(std::move(options));
  }

  ClientAnswer Ask(Machine& gateway, const ClientRequest& request) {
    auto dialogue = StartDialogue(loop_, gateway.frontend(), RequestText(request));
    RunLoopUntil(loop_, [&] { return dialogue->done; });
    return dialogue->answer;
  }

  /// Takes a kept turn until it is whole, as a patient client would. @return the whole try's id.
  std::string TakeTurn(const std::string& name, const std::string& previous) {
    for (int attempt = 0; attempt < 400; ++attempt) {
      ClientRequest request;
      request.id = absl::StrCat(name, "-", attempt);
      request.target = "/streamkept/1";
      request.body = absl::StrCat("[", name, "]");
      request.headers = {"Program-Id: chain", "Token-Usage: 1,100"};
      if (!previous.empty()) {
        request.headers.push_back("Previous-Turn: " + previous);
      }
      ClientAnswer answer = Ask(*gateways_[attempt % kGateways], request);
      if (answer.whole && answer.status == 200) {
        return request.id;
      }
      EXPECT_NE(answer.status, 404U) << "a whole turn is never unknown";
      loop_.RunRound(absl::Milliseconds(50));
    }
    return "";
  }

  /// The deployment bears one lost disk at a time: the next goes only when all hold the log again.
  void LoseDisk(Machine& ledger) {
    ASSERT_TRUE(RunLoopUntil(loop_, [&] { return GroupIsWhole(ledgers_); }));
    ledger.LoseDisk();
  }

  /// Lets one thing go wrong.
  void Break(Random& random) {
    Machine& ledger = *ledgers_[random.Below(kLedgers)];
    Machine& gateway = *gateways_[random.Below(kGateways)];
    switch (random.Below(6)) {
      case 0:
        LoseDisk(ledger);
        break;
      case 1:
        ledger.Kill();
        ledger.Start();
        break;
      case 2:
        gateway.Kill();
        gateway.Start();
        break;
      case 3:
        for (auto& each : ledgers_) {
          each->Kill();
        }
        for (auto& each : ledgers_) {
          each->Start();
        }
        break;
      case 4:
        store_.faults().down = !store_.faults().down;
        break;
      default:
        // A machine that lost its disk counts as lost until its replacement votes: freezing another
        // before would be the second loss at once, and the freeze lasts until a turn is taken.
        ASSERT_TRUE(RunLoopUntil(loop_, [&] { return GroupIsWhole(ledgers_); }));
        ledger.Signal(SIGSTOP);
        TakeTurn(absl::StrCat("frozen", random.NextId()), "");
        ledger.Signal(SIGCONT);
        break;
    }
  }

  bench::TemporaryFolder folder_;
  wire::EventLoop loop_;
  emulator::StoreStandIn store_;
  emulator::RunnerStandIn near_;
  emulator::RunnerStandIn far_;
  std::vector<std::unique_ptr<Machine>> ledgers_;
  std::vector<std::unique_ptr<Machine>> gateways_;
};

TEST_F(PlatformSoakTest, ChainsAndBudgetsStayTrueUnderRandomFaults) {
  Random random(20261202);
  std::string said = "event-1\nevent-2\nevent-3\nevent-4\n";
  std::string previous = TakeTurn("first", "");
  ASSERT_FALSE(previous.empty());
  std::string chain = "[first]" + said;
  constexpr int kRounds = 12;
  for (int round = 0; round < kRounds; ++round) {
    Break(random);
    std::string name = absl::StrCat("turn", round);
    std::string next = TakeTurn(name, previous);
    ASSERT_FALSE(next.empty()) << "round " << round;
    bool found = false;
    for (const auto* runner : {&near_, &far_}) {
      for (const emulator::SeenRequest& seen : runner->seen()) {
        found = found || (seen.id == next && seen.body == absl::StrCat(chain, "[", name, "]"));
      }
    }
    EXPECT_TRUE(found) << "round " << round << ": the runner got the whole chain";
    absl::StrAppend(&chain, "[", name, "]", said);
    previous = next;
  }

  // A budget that holds two turns of 100 tokens, asked for until it is refused for good.
  store_.faults().down = false;
  int served = 0;
  unsigned status = 0;
  for (int attempt = 0; attempt < 200 && status != 402; ++attempt) {
    ClientRequest request;
    request.id = absl::StrCat("budget-", attempt);
    request.target = "/stream/1";
    request.headers = {"Program-Id: spender", "Token-Usage: 1,100", "Token-Budget: 250"};
    if (attempt == 1) {
      LoseDisk(*ledgers_[0]);
    }
    ClientAnswer answer = Ask(*gateways_[attempt % kGateways], request);
    status = answer.status;
    served += answer.whole && status == 200 ? 1 : 0;
  }
  EXPECT_EQ(status, 402U);
  EXPECT_LE(served, 2);
}

}  // namespace
}  // namespace martenyard::testing
