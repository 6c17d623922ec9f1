// Real processes of gateways on loopback under outages of the store that come in series and
// overlap, with kills, stops and freezes of gateways, changes of the configuration and runners that
// leave. Clients keep their connections until a process is gone. What gateways do is judged against
// what the store had acknowledged; the days that showed why are told in
// store/store_outage_test.cc.
//
// By hand, longer or larger, with these variables of the environment:
//   MARTENYARD_SOAK_SEED, _SECONDS, _GATEWAYS, _OUTAGES (that overlap, at most), and _KEEP (a
//   folder that settings and logs are copied to when a bound was broken).
#include <gtest/gtest.h>

#include <csignal>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "async_http/connection.h"
#include "base/clock.h"
#include "base/random.h"
#include "bench/local_system.h"
#include "emulator/platform/runner_stand_in.h"
#include "emulator/platform/store_stand_in.h"
#include "platform/support/freshness_judge.h"
#include "platform/support/machine.h"
#include "platform/support/platform_client.h"
#include "platform/support/soak_loop.h"
#include "platform/support/soak_setup.h"

namespace martenyard::testing {
namespace {

using async_http::Task;
using emulator::StoreFaults;

constexpr int kRunners = 5;
constexpr int kVersionsApart = 12;  ///< Routes of so many versions stand in a configuration.
constexpr absl::Duration kPollInterval = absl::Milliseconds(5);
constexpr absl::Duration kStartPatience = absl::Seconds(60);
constexpr absl::Duration kEndPatience = absl::Seconds(30);
constexpr int kGraceS = 4;
/// A leaving runner serves on for the bound and a while; then it is listed anew.
constexpr absl::Duration kLeavesFor = absl::Seconds(5);

struct OutageSize {
  int seconds = SoakNumber("SECONDS", 30);
  int gateways = SoakNumber("GATEWAYS", 4);
  int overlapping = SoakNumber("OUTAGES", 3);
};

class OutageSoak : private SoakLoop {
 public:
  OutageSoak(std::uint64_t seed, const OutageSize& size)
      : seed_(seed), size_(size), random_(seed), store_(loop_.context()), judge_({}) {
    store_.Listen(0);
    for (int number = 0; number < kRunners; ++number) {
      runners_.push_back(
          std::make_unique<emulator::RunnerStandIn>(loop_.context(), absl::StrCat("r", number)));
      List(*runners_.back(), "ready");
    }
    Configure();
    ledger_ = MakeMachine(true, 0);
    for (int number = 0; number < size_.gateways; ++number) {
      gateways_.push_back(MakeMachine(false, number));
    }
  }

  /// @return the broken bounds' report; empty when all held.
  std::string Run() {
    ledger_->Start();
    for (auto& gateway : gateways_) {
      gateway->Start();
      judge_.NoteTrouble(gateway->name(), SteadyNow());
      Spawn(AskAlways(*gateway));
    }
    if (!RunUntil(kStartPatience, [this] { return answered_ >= size_.gateways; })) {
      return "LIVE: the gateways did not start\n";
    }
    absl::Time end = SteadyNow() + absl::Seconds(size_.seconds);
    Spawn(OutageLine(random_.NextId(), end));
    Spawn(GatewayLine(random_.NextId(), end));
    Spawn(TurnedAwayLine(random_.NextId(), end));
    Spawn(OperatorLine(random_.NextId(), end));
    Spawn(RunnerLine(random_.NextId(), end));
    std::string report;
    int clients = size_.gateways;
    if (!RunUntil(absl::Seconds(size_.seconds) + kEndPatience,
                  [this, clients] { return tasks_ == clients; })) {
      report += "LIVE: the troubles did not end\n";
    }
    report += ProveLatest();
    stopping_ = true;
    RunUntil(kEndPatience, [this] { return tasks_ == 0; });
    report += judge_.report();
    Summarize();
    KeepSoak(report, folder_.path(), absl::StrCat("outage-", seed_));
    return report;
  }

  int judged() const { return judge_.judged(); }

 private:
  // ---- The system ----

  std::unique_ptr<Machine> MakeMachine(bool storage, int number) {
    MachineOptions options;
    options.folder = folder_.path();
    options.storage = storage;
    options.number = number;
    options.address =
        absl::StrCat("127.", storage ? 75 : 76, ".", range_.number(), ".", number + 1);
    options.store_port = store_.port();
    options.grace_s = kGraceS;
    if (!storage) {
      doors_.push_back(&store_.OpenDoor());
      options.store_port = doors_.back()->port();
    }
    return std::make_unique<Machine>(std::move(options));
  }

  void List(const emulator::RunnerStandIn& runner, const std::string& state) {
    store_.Put(
        "servers/" + runner.id(),
        emulator::RunnerEntry({.port = runner.port(), .zone = "z0", .state = state, .slots = 32}));
  }

  /// The next version: routes /since/K/ of versions up to it, and /until/K/ of versions from it on.
  void Configure() {
    ++version_;
    std::vector<std::string> routes;
    auto add = [&routes](const std::string& path) {
      routes.push_back(absl::StrCat(R"({"name":"r)", routes.size(),
                                    R"(","host":"h.example","pathPrefix":"/)", path,
                                    R"(/","type":"idempotent","timeoutMs":4000,)",
                                    R"("targetLatencyMs":200,"service":"s","maxAttempts":3})"));
    };
    add("safe");
    for (int apart = 0; apart < kVersionsApart; ++apart) {
      add(absl::StrCat("since/", version_ - apart));
      add(absl::StrCat("until/", version_ + apart));
    }
    store_.Put("op/config", absl::StrCat(R"({"version":)", version_, R"(,"routes":[)",
                                         absl::StrJoin(routes, ","),
                                         R"(],"services":[{"name":"s","maxConnections":256}],)",
                                         R"("limits":{"maxHeaderBytes":16384,)",
                                         R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,)",
                                         R"("idleTimeoutMs":15000}})"));
    judge_.NoteAcknowledged(version_, SteadyNow());
  }

  // ---- Waiting ----

  bool RunUntil(absl::Duration patience, const std::function<bool()>& condition) {
    for (absl::Time end = SteadyNow() + patience; SteadyNow() < end;) {
      if (condition()) {
        return true;
      }
      loop_.RunRound(kPollInterval);
      NoteArrivals();
    }
    return condition();
  }

  /// What reached the runners since the last round; a request's id begins with its gateway's name.
  void NoteArrivals() {
    absl::Time now = SteadyNow();
    for (auto& runner : runners_) {
      std::size_t& noted = arrivals_[runner->id()];
      for (; noted < runner->seen().size(); ++noted) {
        std::vector<std::string> parts = absl::StrSplit(runner->seen()[noted].id, '.');
        judge_.NoteArrival(parts.front(), runner->id(), now);
      }
    }
  }

  // ---- Clients ----

  /// One client of a gateway: it keeps its connection until that is closed.
  Task<void> AskAlways(Machine& gateway) {
    std::unique_ptr<async_http::Connection> connection;
    int asked = 0;
    while (!stopping_) {
      if (connection == nullptr || connection->IsStale()) {
        connection = std::make_unique<async_http::Connection>(loop_.context(), gateway.frontend());
        if (!co_await connection->Connect()) {
          connection.reset();
          co_await Pause(absl::Milliseconds(20));
          continue;
        }
      }
      co_await AskOnce(gateway, *connection, ++asked);
      if (!connection->MayBeReused()) {
        connection.reset();
      }
      co_await Pause(absl::Milliseconds(15));
    }
  }

  Task<void> AskOnce(Machine& gateway, async_http::Connection& connection, int number) {
    absl::Time sent = SteadyNow();
    std::optional<int> owed = judge_.VersionOwed(gateway.name(), sent);
    int kind = owed && *owed > 1 ? number % 3 : 0;
    ClientRequest request;
    request.method = "GET";
    request.id = absl::StrCat(gateway.name(), ".", number);
    request.target = "/safe/x";
    if (kind == 1) {
      request.target = absl::StrCat("/since/", *owed, "/x");
    } else if (kind == 2) {
      request.target = absl::StrCat("/until/", *owed - 1, "/x");
    }
    std::optional<unsigned> status = co_await AskOn(connection, RequestText(request));
    answered_ += status == 200U ? 1 : 0;
    ++statuses_[status.value_or(0)];
    if (kind == 0 || !status) {
      co_return;
    }
    // Only a route that the version owed has, or no longer has, tells.
    bool as_owed = kind == 1 ? *status == 200U : *status != 200U;
    judge_.NoteHandled(gateway.name(), sent, as_owed,
                       absl::StrCat(request.target, " ended ", *status, ", version ", *owed,
                                    " is owed, ", version_, " is the latest"));
  }

  // ---- Troubles ----

  struct LastingFault {
    const char* name;
    bool StoreFaults::*fault;
    bool ends_waiting;  ///< Watches that wait are lost with it.
  };

  /// Series of outages that overlap, with times between them in which gateways are bound again.
  Task<void> OutageLine(std::uint64_t seed, absl::Time end) {
    Random random(seed);
    while (SteadyNow() < end) {
      auto open = std::make_shared<int>(0);
      std::uint64_t outages = 1 + random.Below(static_cast<std::uint64_t>(size_.overlapping));
      for (std::uint64_t outage = 0; outage < outages; ++outage) {
        ++*open;
        Spawn(CountedOutage(random.NextId(), open));
        co_await Pause(Draw(random, 50, 1500));
      }
      while (*open > 0) {
        co_await Pause(kPollInterval);
      }
      co_await Pause(Draw(random, 4000, 7500));
    }
  }

  Task<void> CountedOutage(std::uint64_t seed, std::shared_ptr<int> open) {
    Random random(seed);
    co_await OneOutage(random);
    --*open;
  }

  Task<void> OneOutage(Random& random) {
    static constexpr LastingFault kLasting[] = {
        {"silent", &StoreFaults::silent, false},
        {"silent, watches lost", &StoreFaults::silent, true},
        {"resets", &StoreFaults::reset, true},
        {"unavailable", &StoreFaults::down, false},
        {"throttled", &StoreFaults::throttle, false},
        {"answers lost", &StoreFaults::lose_answers, false}};
    std::uint64_t draw = random.Below(std::size(kLasting) + 4);
    if (draw < std::size(kLasting)) {
      co_await Last(kLasting[draw], Draw(random, 100, 5000));
      co_return;
    }
    judge_.NoteTrouble(FreshnessJudge::kStore, SteadyNow());
    switch (draw - std::size(kLasting)) {
      case 0:
        ++counts_["open connections silent"];
        store_.SilenceWaiting();
        co_return;
      case 1:
        ++counts_["open connections reset"];
        store_.ResetWaiting();
        co_return;
      case 2:
        ++counts_["history gone"];
        store_.Compact();
        co_return;
      default:
        co_await Slow(random);
    }
  }

  /// Faults of one kind may overlap: each holds until the last of them ends.
  Task<void> Last(const LastingFault& fault, absl::Duration time) {
    ++counts_[fault.name];
    judge_.BeginTrouble(FreshnessJudge::kStore, SteadyNow());
    ++holding_[fault.name];
    store_.faults().*fault.fault = true;
    ++faults_;
    if (fault.ends_waiting) {
      store_.ResetWaiting();
    }
    co_await Pause(time);
    --faults_;
    --holding_[fault.name];
    store_.faults().*fault.fault = holding_[fault.name] > 0;
    judge_.EndTrouble(FreshnessJudge::kStore, SteadyNow());
  }

  Task<void> Slow(Random& random) {
    ++counts_["slow"];
    judge_.BeginTrouble(FreshnessJudge::kStore, SteadyNow());
    store_.faults().delay = Draw(random, 100, 400);
    co_await Pause(Draw(random, 500, 4000));
    store_.faults().delay = absl::ZeroDuration();
    judge_.EndTrouble(FreshnessJudge::kStore, SteadyNow());
  }

  Task<void> GatewayLine(std::uint64_t seed, absl::Time end) {
    Random random(seed);
    while (SteadyNow() < end) {
      co_await Pause(Draw(random, 2000, 9000));
      std::vector<Machine*> some;
      for (auto& gateway : gateways_) {
        if (random.Below(2) == 0) {
          some.push_back(gateway.get());
        }
      }
      for (Machine* gateway : some) {
        judge_.BeginTrouble(gateway->name(), SteadyNow());
      }
      co_await TroubleGateways(some, random);
      for (Machine* gateway : some) {
        judge_.EndTrouble(gateway->name(), SteadyNow());
      }
    }
  }

  Task<void> TroubleGateways(const std::vector<Machine*>& some, Random& random) {
    std::uint64_t kind = random.Below(3);
    ++counts_[kind == 0 ? "gateways killed" : kind == 1 ? "gateways stopped" : "gateways frozen"];
    for (Machine* gateway : some) {
      if (kind == 0) {
        gateway->Kill();
      } else if (kind == 1) {
        gateway->Stop();
      } else {
        gateway->Signal(SIGSTOP);
      }
    }
    co_await Pause(Draw(random, 50, 1500));
    for (Machine* gateway : some) {
      if (kind == 2) {
        gateway->Signal(SIGCONT);
        continue;
      }
      absl::Time patience = SteadyNow() + absl::Seconds(kGraceS) + kEndPatience;
      while (gateway->Poll() && SteadyNow() < patience) {
        co_await Pause(kPollInterval);
      }
      gateway->Kill();
      gateway->Start();
    }
  }

  /// The store refuses some gateways, perhaps all that watch it, and serves the others and the
  /// operator: these are bound as ever.
  Task<void> TurnedAwayLine(std::uint64_t seed, absl::Time end) {
    Random random(seed);
    static constexpr bool StoreFaults::*kRefusals[] = {&StoreFaults::reset, &StoreFaults::down,
                                                       &StoreFaults::throttle};
    while (SteadyNow() < end) {
      co_await Pause(Draw(random, 1000, 9000));
      bool StoreFaults::*refusal = kRefusals[random.Below(std::size(kRefusals))];
      std::vector<std::size_t> some;
      for (std::size_t number = 0; number < gateways_.size(); ++number) {
        if (random.Below(3) != 0) {
          some.push_back(number);
        }
      }
      ++counts_["gateways turned away"];
      for (std::size_t number : some) {
        judge_.BeginTrouble(gateways_[number]->name(), SteadyNow());
        doors_[number]->faults().*refusal = true;
      }
      store_.WakeWaiting();
      co_await Pause(Draw(random, 500, 6000));
      for (std::size_t number : some) {
        doors_[number]->faults().*refusal = false;
        judge_.EndTrouble(gateways_[number]->name(), SteadyNow());
      }
    }
  }

  /// An operator's and a runner's writes wait while the store answers nobody.
  Task<void> WhenTheStoreAnswers() {
    while (faults_ > 0) {
      co_await Pause(kPollInterval);
    }
  }

  Task<void> OperatorLine(std::uint64_t seed, absl::Time end) {
    Random random(seed);
    while (SteadyNow() < end) {
      co_await Pause(Draw(random, 100, 3000));
      co_await WhenTheStoreAnswers();
      Configure();
    }
  }

  Task<void> RunnerLine(std::uint64_t seed, absl::Time end) {
    Random random(seed);
    while (SteadyNow() < end) {
      co_await Pause(Draw(random, 100, 4000));
      co_await WhenTheStoreAnswers();
      emulator::RunnerStandIn& runner = *runners_[random.Below(runners_.size())];
      bool says_so = random.Below(2) == 0;
      if (says_so) {
        List(runner, "draining");
      } else {
        store_.Remove("servers/" + runner.id());
      }
      judge_.NoteLeaving(runner.id(), SteadyNow());
      ++counts_["runners left"];
      co_await Pause(kLeavesFor);
      judge_.NoteReturned(runner.id());
      co_await WhenTheStoreAnswers();
      List(runner, "ready");
    }
  }

  // ---- The end ----

  /// After the last trouble every gateway goes by the latest version.
  std::string ProveLatest() {
    absl::Time calm = SteadyNow() + FreshnessBounds().contact + absl::Seconds(1);
    RunUntil(kEndPatience, [calm] { return SteadyNow() > calm; });
    std::string report;
    for (auto& gateway : gateways_) {
      ClientRequest request;
      request.method = "GET";
      request.id = absl::StrCat(gateway->name(), ".last");
      request.target = absl::StrCat("/since/", version_, "/x");
      auto dialogue = StartDialogue(loop_, gateway->frontend(), RequestText(request));
      RunUntil(kEndPatience, [&] { return dialogue->done; });
      if (dialogue->answer.status != 200U) {
        absl::StrAppend(&report, "LIVE: ", gateway->name(), " has not version ", version_,
                        " after the end: ", dialogue->answer.status, "\n");
      }
    }
    return report;
  }

  void Summarize() const {
    std::cout << "seed " << seed_ << ": " << judge_.judged() << " judged, versions " << version_
              << ", store calls " << store_.calls();
    for (const auto& [status, count] : statuses_) {
      std::cout << ", " << status << " x" << count;
    }
    for (const auto& [what, count] : counts_) {
      std::cout << ", " << what << " " << count;
    }
    std::cout << std::endl;
  }

  std::uint64_t seed_;
  OutageSize size_;
  Random random_;
  AddressRange range_;
  bench::TemporaryFolder folder_;
  emulator::StoreStandIn store_;
  FreshnessJudge judge_;
  std::vector<std::unique_ptr<emulator::RunnerStandIn>> runners_;
  std::unique_ptr<Machine> ledger_;
  std::vector<std::unique_ptr<Machine>> gateways_;
  std::vector<emulator::StoreStandIn::Door*> doors_;  // One a gateway.
  std::map<std::string, std::size_t> arrivals_;
  std::map<std::string, int> holding_;
  std::map<std::string, int> counts_;
  std::map<unsigned, int> statuses_;
  int version_ = 0;
  int faults_ = 0;  ///< Under way, that keep operators and runners from writing.
  int answered_ = 0;
  bool stopping_ = false;
};

TEST(StoreOutageSoak, GatewaysGoByWhatTheStoreHasAcknowledged) {
  auto seed = static_cast<std::uint64_t>(SoakNumber("SEED", 3));
  OutageSoak soak(seed, {});
  EXPECT_EQ(soak.Run(), "") << "seed " << seed;
  EXPECT_GT(soak.judged(), 100) << "a soak that judged nothing proves nothing";
}

}  // namespace
}  // namespace martenyard::testing
