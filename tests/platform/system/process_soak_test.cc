// Guards against real processes that don't start or end by themselves: those of a deployment of the
// shape of dosan-cardyard on loopback, under kills, stops, freezes, signals, lost disks and outages
// of the store that come in series and overlap. Clients use their connections until the process is
// gone. Single faults are in process_end_test.cc.
//
// By hand, longer or with other seeds, with these variables of the environment:
//   MARTENYARD_SOAK_SEED, _SECONDS, _LINES (of restarts, that overlap), and _KEEP (a folder that
//   settings and logs are copied to when a check failed).
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "async_http/connection.h"
#include "base/clock.h"
#include "base/random.h"
#include "bench/local_system.h"
#include "emulator/platform/runner_stand_in.h"
#include "emulator/platform/store_stand_in.h"
#include "platform/support/machine.h"
#include "platform/support/platform_client.h"
#include "platform/support/soak_loop.h"
#include "platform/support/soak_setup.h"

namespace martenyard::testing {
namespace {

using async_http::Task;
using emulator::StoreFaults;

// The shape of dosan-cardyard.
constexpr int kLedgers = 3;
constexpr int kGateways = 8;
constexpr int kRunners = 2;
constexpr int kClientsOfGateway = 2;

constexpr int kGraceS = 4;
constexpr int kKilled = 128 + SIGKILL;  ///< The exit code.
constexpr int kRoundsOfSeries = 4;      ///< At most.
constexpr absl::Duration kPollInterval = absl::Milliseconds(5);
constexpr absl::Duration kStopInterval = absl::Milliseconds(100);
constexpr absl::Duration kGroupPollInterval = absl::Milliseconds(150);
/// Long beside what a busy machine needs for a start or an end.
constexpr absl::Duration kPatience = absl::Seconds(60);
/// A disk is not lost if the group does not become whole for so long.
constexpr absl::Duration kWholePatience = absl::Seconds(10);
constexpr std::size_t kReportedBytes = 2000;

class ProcessSoak : private SoakLoop {
 public:
  explicit ProcessSoak(std::uint64_t seed) : seed_(seed), random_(seed), store_(loop_.context()) {
    store_.Listen(0);
    for (int number = 0; number < kRunners; ++number) {
      std::string id = absl::StrCat("r", number);
      runners_.push_back(std::make_unique<emulator::RunnerStandIn>(loop_.context(), id));
      store_.Put("servers/" + id, emulator::RunnerEntry({.port = runners_.back()->port(),
                                                         .zone = absl::StrCat("z", number),
                                                         .slots = 32}));
    }
    store_.Put("op/config", StandardConfiguration(1));
    for (int number = 0; number < kLedgers; ++number) {
      ledgers_.push_back(MakeMachine(true, number));
      all_.push_back(ledgers_.back().get());
    }
    for (int number = 0; number < kGateways; ++number) {
      gateways_.push_back(MakeMachine(false, number));
      all_.push_back(gateways_.back().get());
    }
  }

  /// @return the failed checks' report; empty when all held.
  std::string Run() {
    for (Machine* machine : all_) {
      machine->Start();
    }
    for (auto& gateway : gateways_) {
      for (int client = 0; client < kClientsOfGateway; ++client) {
        Spawn(AskAlways(*gateway, client));
      }
    }
    ProveAll("at the start");
    if (report_.empty() && !RunUntil(kPatience, [this] { return GroupIsWhole(ledgers_); })) {
      report_ += "START: the ledger's group is not whole\n";
    }
    if (report_.empty()) {
      Trouble();
      ProveAll("at the end");
    }
    StopAll();
    JudgeEnds();
    std::cout << "seed " << seed_ << ": starts " << Starts() << ", kills " << kills_ << ", stops "
              << stops_ << ", pauses " << pauses_ << ", hang-ups " << hang_ups_ << ", disks lost "
              << disks_lost_ << ", store outages " << outages_ << ", requests answered "
              << answered_ << std::endl;
    KeepSoak(report_, folder_.path(), absl::StrCat("process-", seed_));
    return report_;
  }

  int kills() const { return kills_; }
  int stops() const { return stops_; }
  int answered() const { return answered_; }

 private:
  // ---- The system ----

  std::unique_ptr<Machine> MakeMachine(bool storage, int number) {
    MachineOptions options;
    options.folder = folder_.path();
    options.storage = storage;
    options.number = number;
    options.address =
        absl::StrCat("127.", storage ? 86 : 87, ".", range_.number(), ".", number + 1);
    options.store_port = store_.port();
    options.grace_s = kGraceS;
    return std::make_unique<Machine>(std::move(options));
  }

  std::string LogPath(const Machine& machine, std::size_t start) const {
    return absl::StrCat(folder_.path(), "/", machine.name(), "/log-", start);
  }

  std::string LogOf(const Machine& machine, std::size_t start) const {
    std::ifstream file(LogPath(machine, start));
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  }

  /// From its first line on the process handles the signals that it is sent.
  bool HasLogged(const Machine& machine) const {
    std::error_code error;
    auto size = std::filesystem::file_size(LogPath(machine, machine.lives().size()), error);
    return !error && size > 0;
  }

  static bool HasEvent(const std::string& log, const std::string& event) {
    return absl::StrContains(log, absl::StrCat("\"event\":\"", event, "\""));
  }

  static bool HasStarted(const Machine& machine) {
    std::string log = machine.LatestLog();
    return HasEvent(log, "started") && (!machine.storage() || HasEvent(log, "disk_opened"));
  }

  std::size_t Starts() const {
    std::size_t starts = 0;
    for (Machine* machine : all_) {
      starts += machine->lives().size();
    }
    return starts;
  }

  // ---- Waiting ----

  bool RunUntil(absl::Duration patience, const std::function<bool()>& condition) {
    for (absl::Time end = SteadyNow() + patience; SteadyNow() < end;) {
      if (condition()) {
        return true;
      }
      loop_.RunRound(kPollInterval);
      for (Machine* machine : all_) {
        machine->Poll();
      }
    }
    return condition();
  }

  Task<bool> Until(std::function<bool()> condition, absl::Duration patience,
                   absl::Duration interval = kPollInterval) {
    absl::Time end = SteadyNow() + patience;
    while (!condition() && SteadyNow() < end) {
      co_await Pause(interval);
    }
    co_return condition();
  }

  // ---- Clients ----

  /// One client of a gateway: it keeps its connection until that is closed.
  Task<void> AskAlways(Machine& gateway, int client) {
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
      ClientRequest request;
      request.id = absl::StrCat(gateway.name(), ".", client, ".", ++asked);
      std::string text = RequestText(request);
      std::optional<unsigned> status = co_await AskOn(*connection, text);
      answered_ += status == 200U ? 1 : 0;
      if (!connection->MayBeReused()) {
        connection.reset();
      }
      co_await Pause(absl::Milliseconds(25));
    }
  }

  // ---- Signals ----

  void KillTogether(const std::vector<Machine*>& machines) {
    std::vector<Machine*> killed;
    for (Machine* machine : machines) {
      if (machine->Poll()) {
        ++kills_;
        asked_to_die_.insert(machine->process());
        machine->Signal(SIGKILL);
        killed.push_back(machine);
      }
    }
    // `Machine::Kill` would not tell how a process ended that crashed first.
    for (Machine* machine : killed) {
      while (machine->Poll()) {
        std::this_thread::sleep_for(std::chrono::microseconds(200));
      }
    }
  }

  /// @return whether the process could be asked to end: it runs and handles signals.
  Task<bool> StopOnceItListens(Machine& machine) {
    std::function<bool()> ready = [this, &machine] {
      return !machine.Poll() || HasLogged(machine);
    };
    if (!co_await Until(ready, kPatience)) {
      absl::StrAppend(&report_, "START: ", machine.process(), " logs nothing\n");
    }
    if (!machine.Poll() || !HasLogged(machine)) {
      co_return false;
    }
    ++stops_;
    machine.Stop();
    co_return true;
  }

  void Begin(Machine& machine, Random& random) {
    if (machine.Poll()) {
      return;
    }
    machine.Start();
    if (random.Below(2) == 0) {
      Spawn(HangUpAtStart(machine, random.NextId()));
    }
  }

  Task<void> HangUpAtStart(Machine& machine, std::uint64_t seed) {
    Random random(seed);
    std::string process = machine.process();
    while (machine.process() == process && machine.Poll() && !HasLogged(machine)) {
      co_await Pause(absl::Microseconds(300));
    }
    for (std::uint64_t left = 1 + random.Below(10); left > 0 && machine.process() == process;
         --left) {
      HangUp(machine);
      co_await Pause(absl::Microseconds(random.Below(3000)));
    }
  }

  void HangUp(Machine& machine) {
    if (machine.Poll() && HasLogged(machine)) {
      ++hang_ups_;
      machine.Signal(SIGHUP);
    }
  }

  // ---- Troubles ----

  void Trouble() {
    int before = tasks_;
    end_ = SteadyNow() + absl::Seconds(SoakNumber("SECONDS", 30));
    for (int line = 0; line < SoakNumber("LINES", 3); ++line) {
      Spawn(RestartLine(random_.NextId()));
    }
    Spawn(PauseLine(random_.NextId()));
    Spawn(HangUpLine(random_.NextId()));
    Spawn(StoreLine(random_.NextId()));
    Spawn(DiskLine(random_.NextId()));
    if (!RunUntil(end_ - SteadyNow() + 3 * kPatience,
                  [this, before] { return tasks_ == before; })) {
      report_ += "LIVE: the troubles did not end\n";
    }
  }

  bool Ended() const { return SteadyNow() >= end_; }

  /// One machine, some, all gateways, all ledgers or all, less those that another line has.
  std::vector<Machine*> TakeSome(Random& random) {
    std::uint64_t draw = random.Below(8);
    Machine* one = all_[random.Below(all_.size())];
    std::vector<Machine*> some;
    for (Machine* machine : all_) {
      bool chosen = draw < 2    ? machine == one
                    : draw < 5  ? random.Below(2) == 0
                    : draw == 5 ? !machine->storage()
                    : draw == 6 ? machine->storage()
                                : true;
      bool may_be = !machine->storage() || !losing_disk_;
      if (chosen && may_be && taken_.insert(machine).second) {
        some.push_back(machine);
      }
    }
    return some;
  }

  Task<void> RestartLine(std::uint64_t seed) {
    Random random(seed);
    while (!Ended()) {
      co_await Pause(Draw(random, 10, 800));
      std::vector<Machine*> some = TakeSome(random);
      std::uint64_t kind = random.Below(4);
      std::uint64_t rounds = 1 + random.Below(kRoundsOfSeries);
      for (std::uint64_t round = 0; round < rounds && !Ended(); ++round) {
        if (kind == 0) {
          KillTogether(some);
          for (Machine* machine : some) {
            Begin(*machine, random);
          }
        } else {
          auto open = std::make_shared<int>(0);
          for (Machine* machine : some) {
            ++*open;
            Spawn(StopAndStart(*machine, kind, random.NextId(), open));
          }
          std::function<bool()> done = [open] { return *open == 0; };
          co_await Until(done, 2 * kPatience);
        }
        co_await Pause(Draw(random, 0, random.Below(2) == 0 ? 30 : 600));
      }
      for (Machine* machine : some) {
        co_await UntilStarted(*machine);
        taken_.erase(machine);
      }
    }
  }

  /// Starts as soon as the process has ended.
  /// @param kind 1: one SIGTERM. 2: repeated. 3: cut by SIGKILL.
  Task<void> StopAndStart(Machine& machine, std::uint64_t kind, std::uint64_t seed,
                          std::shared_ptr<int> open) {
    Random random(seed);
    if (co_await StopOnceItListens(machine)) {
      std::function<bool()> ended = [&machine] { return !machine.Poll(); };
      if (kind == 3) {
        co_await Until(ended, Draw(random, 0, 1500), absl::Milliseconds(1));
      } else {
        absl::Time last = SteadyNow() + absl::Seconds(kGraceS) + kPatience;
        while (machine.Poll() && SteadyNow() < last) {
          co_await Until(ended, kStopInterval, absl::Milliseconds(1));
          if (kind == 2 && machine.Poll()) {
            machine.Signal(SIGTERM);
          }
        }
        if (machine.Poll()) {
          absl::StrAppend(&report_, "STOP: ", machine.process(), " did not end\n");
        }
      }
      KillTogether({&machine});
    }
    Begin(machine, random);
    --*open;
  }

  Task<void> UntilStarted(Machine& machine) {
    std::function<bool()> started = [&machine] { return !machine.Poll() || HasStarted(machine); };
    if (!co_await Until(started, kPatience, absl::Milliseconds(30))) {
      absl::StrAppend(&report_, "START: ", machine.process(), " did not start\n", Tail(machine));
    }
  }

  /// Also of machines that are being stopped or started.
  Task<void> PauseLine(std::uint64_t seed) {
    Random random(seed);
    while (!Ended()) {
      co_await Pause(Draw(random, 100, 1500));
      std::uint64_t share = 1 + random.Below(4);
      std::vector<Machine*> some;
      for (Machine* machine : all_) {
        if (random.Below(share) == 0 && !(machine->storage() && losing_disk_)) {
          some.push_back(machine);
        }
      }
      ++pausing_;
      std::uint64_t times = 1 + random.Below(4);
      for (std::uint64_t time = 0; time < times; ++time) {
        for (Machine* machine : some) {
          pauses_ += machine->Poll() ? 1 : 0;
          machine->Signal(SIGSTOP);
        }
        co_await Pause(Draw(random, 1, random.Below(3) == 0 ? 2500 : 300));
        for (Machine* machine : some) {
          machine->Signal(SIGCONT);
        }
        co_await Pause(Draw(random, 1, 100));
      }
      --pausing_;
    }
  }

  Task<void> HangUpLine(std::uint64_t seed) {
    Random random(seed);
    while (!Ended()) {
      co_await Pause(Draw(random, 50, 1000));
      bool every = random.Below(3) == 0;
      Machine* one = all_[random.Below(all_.size())];
      for (std::uint64_t left = 1 + random.Below(30); left > 0; --left) {
        for (Machine* machine : all_) {
          if (every || machine == one) {
            HangUp(*machine);
          }
        }
        co_await Pause(absl::Microseconds(random.Below(8000)));
      }
    }
  }

  Task<void> StoreLine(std::uint64_t seed) {
    Random random(seed);
    while (!Ended()) {
      co_await Pause(Draw(random, 200, 2500));
      std::uint64_t kind = random.Below(4);
      absl::Duration time = Draw(random, 100, 4000);
      if (losing_disk_) {
        continue;
      }
      ++outages_;
      ++store_faults_;
      StoreFaults& faults = store_.faults();
      (kind < 2 ? faults.silent : kind == 2 ? faults.down : faults.reset) = true;
      if (kind == 1) {
        store_.SilenceWaiting();
      } else if (kind == 3) {
        store_.ResetWaiting();
      }
      co_await Pause(time);
      faults = StoreFaults();
      --store_faults_;
    }
  }

  /// The deployment bears one lost disk at a time: meanwhile no other ledger is touched, and the
  /// store, which the machine comes back through, answers.
  Task<void> DiskLine(std::uint64_t seed) {
    Random random(seed);
    while (!Ended()) {
      co_await Pause(Draw(random, 3000, 12000));
      std::uint64_t number = random.Below(ledgers_.size());
      losing_disk_ = true;
      std::set<Machine*> held;
      std::function<bool()> alone = [this, &held] {
        for (auto& ledger : ledgers_) {
          if (!held.contains(ledger.get()) && taken_.insert(ledger.get()).second) {
            held.insert(ledger.get());
          }
        }
        return held.size() == ledgers_.size() && store_faults_ == 0 && pausing_ == 0;
      };
      std::function<bool()> whole = [this] { return GroupIsWhole(ledgers_); };
      bool may_be = co_await Until(alone, kPatience);
      may_be = may_be && co_await Until(whole, kWholePatience, kGroupPollInterval);
      if (may_be) {
        ++disks_lost_;
        Machine& ledger = *ledgers_[number];
        KillTogether({&ledger});
        ledger.LoseDisk();
        co_await UntilStarted(ledger);
        if (!co_await Until(whole, kPatience, kGroupPollInterval)) {
          report_ += "LIVE: the ledger's group did not become whole after a lost disk\n";
        }
      }
      for (Machine* machine : held) {
        taken_.erase(machine);
      }
      losing_disk_ = false;
    }
  }

  // ---- Checks ----

  /// All processes run and have started, and each gateway answers 200.
  void ProveAll(const std::string& when) {
    for (Machine* machine : all_) {
      RunUntil(kPatience, [machine] { return !machine->Poll() || HasStarted(*machine); });
      if (!machine->Poll()) {
        absl::StrAppend(&report_, "RUN: ", machine->process(), " does not run ", when, "\n");
      } else if (!HasStarted(*machine)) {
        absl::StrAppend(&report_, "START: ", machine->process(), " has not started ", when, "\n",
                        Tail(*machine));
      }
    }
    for (auto& gateway : gateways_) {
      unsigned status = 0;
      for (absl::Time last = SteadyNow() + kPatience;
           status != 200 && SteadyNow() < last && gateway->Poll();) {
        ClientRequest request;
        request.id = absl::StrCat("proof-", ++proofs_);
        auto dialogue = StartDialogue(loop_, gateway->frontend(), RequestText(request));
        RunUntil(kPatience, [&] { return dialogue->done; });
        status = dialogue->answer.whole ? dialogue->answer.status : 0;
      }
      if (status != 200) {
        absl::StrAppend(&report_, "RUN: ", gateway->process(), " answers ", status, " ", when,
                        "\n");
      }
    }
  }

  /// While clients go on asking.
  void StopAll() {
    for (Machine* machine : all_) {
      if (machine->Poll()) {
        ++stops_;
        machine->Stop();
      }
    }
    RunUntil(absl::Seconds(kGraceS) + kPatience, [this] {
      return std::none_of(all_.begin(), all_.end(),
                          [](Machine* machine) { return machine->Poll(); });
    });
    for (Machine* machine : all_) {
      if (machine->Poll()) {
        absl::StrAppend(&report_, "STOP: ", machine->process(), " did not end\n", Tail(*machine));
      }
    }
    KillTogether(all_);
    stopping_ = true;
    if (!RunUntil(kPatience, [this] { return tasks_ == 0; })) {
      report_ += "LIVE: clients wait although all processes are gone\n";
    }
  }

  /// Every end was asked for, and no log tells of a crash or of a start that failed.
  void JudgeEnds() {
    for (Machine* machine : all_) {
      for (std::size_t start = 1; start <= machine->lives().size(); ++start) {
        const ProcessLife& life = machine->lives()[start - 1];
        std::string log = LogOf(*machine, start);
        bool stopped = life.stopped && life.exit_code == 0;
        bool killed = asked_to_die_.contains(life.name) && life.exit_code == kKilled;
        std::string fault;
        if (!stopped && !killed) {
          fault = absl::StrCat("ended with ", life.exit_code.value_or(-1),
                               life.stopped ? " after SIGTERM" : " unasked");
        }
        for (const char* event : {"process_crashed", "start_failed"}) {
          if (HasEvent(log, event)) {
            absl::StrAppend(&fault, fault.empty() ? "" : ", ", "logged ", event);
          }
        }
        if (stopped && !HasEvent(log, "started")) {
          absl::StrAppend(&fault, fault.empty() ? "" : ", ", "never logged started");
        }
        if (!fault.empty()) {
          absl::StrAppend(&report_, "END: ", life.name, " ", fault, "\n", Last(log));
        }
      }
    }
  }

  static std::string Last(const std::string& log) {
    return absl::StrCat(log.substr(log.size() - std::min(log.size(), kReportedBytes)), "\n");
  }

  static std::string Tail(const Machine& machine) { return Last(machine.LatestLog()); }

  std::uint64_t seed_;
  Random random_;
  AddressRange range_;
  bench::TemporaryFolder folder_;
  emulator::StoreStandIn store_;
  std::vector<std::unique_ptr<emulator::RunnerStandIn>> runners_;
  std::vector<std::unique_ptr<Machine>> ledgers_;
  std::vector<std::unique_ptr<Machine>> gateways_;
  std::vector<Machine*> all_;
  std::set<Machine*> taken_;            ///< By lines that stop and start them.
  std::set<std::string> asked_to_die_;  ///< Names of processes that were sent SIGKILL.
  absl::Time end_;                      ///< Of the troubles.
  bool losing_disk_ = false;
  int pausing_ = 0;
  int store_faults_ = 0;
  bool stopping_ = false;
  int kills_ = 0;
  int stops_ = 0;
  int pauses_ = 0;
  int hang_ups_ = 0;
  int disks_lost_ = 0;
  int outages_ = 0;
  int answered_ = 0;
  int proofs_ = 0;
  std::string report_;
};

TEST(ProcessSoakTest, ProcessesStartAndEndOnlyAsAsked) {
  int chosen = SoakNumber("SEED", 0);
  std::vector<std::uint64_t> seeds = {1, 2};
  if (chosen > 0) {
    seeds = {static_cast<std::uint64_t>(chosen)};
  }
  for (std::uint64_t seed : seeds) {
    ProcessSoak soak(seed);
    EXPECT_EQ(soak.Run(), "") << "seed " << seed;
    // What was judged had something to judge in it.
    EXPECT_GT(soak.kills(), 0) << "seed " << seed;
    EXPECT_GT(soak.stops(), kLedgers + kGateways) << "seed " << seed;
    EXPECT_GT(soak.answered(), 0) << "seed " << seed;
  }
}

}  // namespace
}  // namespace martenyard::testing
