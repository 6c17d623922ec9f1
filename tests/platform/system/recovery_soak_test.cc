// Real processes on loopback that are killed or stopped, all at once or in part, while the store is
// away, comes back or turns silent, with lost disks, changes of the configuration, runners that
// start again under their id and entries of other writers. Clients keep their connections until a
// process is gone. Machines that are back must serve again whether the store answers or not, go by
// the latest configuration once it does, and never by an older one; kept turns outlive all of it.
// Why is told in platform/recovery_contract_test.cc and storage/power_loss_test.cc.
//
// By hand, longer or larger, with these variables of the environment:
//   MARTENYARD_SOAK_SEED, _SECONDS, _GATEWAYS, and _KEEP (a folder that settings and logs are
//   copied to when a bound was broken).
#include <gtest/gtest.h>

#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "async_http/connection.h"
#include "base/clock.h"
#include "base/random.h"
#include "bench/local_system.h"
#include "emulator/platform/runner_stand_in.h"
#include "emulator/platform/store_stand_in.h"
#include "explain/explain.h"
#include "platform/support/machine.h"
#include "platform/support/platform_client.h"
#include "platform/support/soak_loop.h"
#include "platform/support/soak_setup.h"

namespace martenyard::testing {
namespace {

using async_http::Task;
using emulator::StoreFaults;

constexpr int kLedgers = 3;
constexpr int kRunners = 4;
constexpr absl::Duration kPollInterval = absl::Milliseconds(5);
constexpr absl::Duration kStartPatience = absl::Seconds(60);
/// From the machines' return until each serves: half of what deployments allow, since busy machines
/// run the tests.
constexpr absl::Duration kRecoveryBound = absl::Seconds(6);
/// From the store's return until the latest configuration is in force.
constexpr absl::Duration kLatestBound = absl::Milliseconds(5500);
/// A lost disk is replaced within this; the next one is lost later only.
constexpr absl::Duration kDiskPatience = absl::Seconds(20);

struct RecoverySize {
  int seconds = SoakNumber("SECONDS", 25);
  int gateways = SoakNumber("GATEWAYS", 4);
};

class RecoverySoak : private SoakLoop {
 public:
  RecoverySoak(std::uint64_t seed, const RecoverySize& size)
      : seed_(seed),
        size_(size),
        random_(seed),
        store_(loop_.context()),
        foreign_(loop_.context(), "i-foreign") {
    store_.Listen(0);
    for (int number = 0; number < kRunners; ++number) {
      runners_.push_back(
          std::make_unique<emulator::RunnerStandIn>(loop_.context(), absl::StrCat("r", number)));
      List(*runners_.back());
    }
    Configure();
    for (int number = 0; number < kLedgers; ++number) {
      seeds_.push_back(absl::StrCat("127.77.", range_.number(), ".", number + 1));
    }
    for (int number = 0; number < kLedgers; ++number) {
      ledgers_.push_back(MakeMachine(true, number, seeds_[static_cast<std::size_t>(number)]));
    }
    for (int number = 0; number < size_.gateways; ++number) {
      std::string address = absl::StrCat("127.78.", range_.number(), ".", number + 1);
      gateways_.push_back(MakeMachine(false, number, address));
    }
  }

  /// @return the broken bounds' report; empty when all held.
  std::string Run() {
    for (Machine* machine : All()) {
      machine->Start();
    }
    if (!RunUntil(kStartPatience, [this] { return EachServes(); })) {
      report_ = "LIVE: the system did not start\n";
      KeepSoak(report_, folder_.path(), absl::StrCat("recovery-", seed_));
      return report_;
    }
    for (auto& gateway : gateways_) {
      Spawn(AskAlways(*gateway));
    }
    TakeTurn();
    absl::Time end = SteadyNow() + absl::Seconds(size_.seconds);
    while (SteadyNow() < end && report_.empty()) {
      OneRound();
    }
    stopping_ = true;
    RunUntil(kStartPatience, [this] { return tasks_ == 0; });
    CheckLogs();
    Summarize();
    KeepSoak(report_, folder_.path(), absl::StrCat("recovery-", seed_));
    return report_;
  }

  int rounds() const { return rounds_; }

 private:
  // ---- The system ----

  std::unique_ptr<Machine> MakeMachine(bool storage, int number, const std::string& address) {
    MachineOptions options;
    options.folder = folder_.path();
    options.storage = storage;
    options.number = number;
    options.address = address;
    options.store_port = store_.port();
    options.seeds = seeds_;
    return std::make_unique<Machine>(std::move(options));
  }

  std::vector<Machine*> All() {
    std::vector<Machine*> all;
    for (auto& machine : ledgers_) {
      all.push_back(machine.get());
    }
    for (auto& machine : gateways_) {
      all.push_back(machine.get());
    }
    return all;
  }

  void List(const emulator::RunnerStandIn& runner, std::int64_t born = 1000) {
    store_.Put(
        "servers/" + runner.id(),
        emulator::RunnerEntry({.port = runner.port(), .zone = "z0", .slots = 32, .born = born}));
  }

  /// Puts the next version in force; its route /since/VERSION/ tells it from others.
  void Configure() {
    ++version_;
    nlohmann::json document = nlohmann::json::parse(StandardConfiguration(version_));
    nlohmann::json route = document["routes"][0];
    route["name"] = "since";
    route["pathPrefix"] = absl::StrCat("/since/", version_, "/");
    document["routes"].push_back(route);
    document["services"][0]["maxConnections"] = 512;
    store_.Put("op/config", document.dump());
  }

  /// An entry that names no runner; its address would answer.
  void ListForeign() {
    std::string whole = emulator::RunnerEntry({.port = foreign_.port(), .zone = "z0", .slots = 99});
    nlohmann::json entry = nlohmann::json::parse(whole);
    static constexpr const char* kFields[] = {"zone", "slots", "state", "version"};
    const char* field = kFields[random_.Below(std::size(kFields))];
    switch (random_.Below(4)) {
      case 0:
        entry.erase(field);
        break;
      case 1:
        entry[field] = nlohmann::json::array({field});
        break;
      case 2:
        entry["state"] = "asleep";
        break;
      default:
        store_.Put("servers/i-foreign", "\xff\xfe{{");
        return;
    }
    store_.Put("servers/i-foreign", entry.dump());
  }

  // ---- Waiting ----

  bool RunUntil(absl::Duration patience, const std::function<bool()>& condition) {
    for (absl::Time end = SteadyNow() + patience; SteadyNow() < end;) {
      if (condition()) {
        return true;
      }
      loop_.RunRound(kPollInterval);
    }
    return condition();
  }
  void Wait(int least_ms, int most_ms) {
    absl::Time end = SteadyNow() + Draw(random_, least_ms, most_ms);
    RunUntil(absl::Seconds(60), [end] { return SteadyNow() >= end; });
  }

  // ---- Clients ----

  std::optional<unsigned> StatusAt(Machine& gateway, const std::string& target) {
    ClientRequest request;
    request.method = "GET";
    request.id = absl::StrCat("probe-", ++asked_);
    request.target = target;
    request.deadline_ms = 1000;
    auto dialogue = StartDialogue(loop_, gateway.frontend(), RequestText(request));
    bool done = RunUntil(absl::Milliseconds(1500), [&] { return dialogue->done; });
    return done ? std::make_optional(dialogue->answer.status) : std::nullopt;
  }
  bool EachAnswers(const std::string& target) {
    for (auto& gateway : gateways_) {
      if (StatusAt(*gateway, target) != 200U) {
        return false;
      }
    }
    return true;
  }
  bool EachServes() { return EachAnswers("/safe/x") && !TryTurn(false).has_value(); }

  /// Takes the next turn of the chain, at any gateway. @return what went wrong.
  std::optional<std::string> TryTurn(bool goes_on) {
    ClientRequest request;
    request.id = absl::StrCat("turn-", ++asked_);
    request.target = "/streamkept/1";
    request.body = "said|";
    request.headers = {"Program-Id: p", "Token-Budget: 10000000", "Token-Usage: 10,200"};
    if (goes_on) {
      request.headers.push_back("Previous-Turn: " + turn_);
    }
    Machine& gateway = *gateways_[random_.Below(gateways_.size())];
    auto dialogue = StartDialogue(loop_, gateway.frontend(), RequestText(request));
    RunUntil(absl::Seconds(5), [&] { return dialogue->done; });
    if (dialogue->answer.status == 200U && dialogue->answer.whole) {
      turn_ = request.id;
      return std::nullopt;
    }
    return absl::StrCat(request.id, " after ", turn_, " at ", gateway.name(), ": ",
                        dialogue->answer.status);
  }

  /// A turn that was kept must be known for ever; it may be refused for a while.
  void TakeTurn() {
    std::optional<std::string> wrong;
    bool taken = RunUntil(kRecoveryBound, [&] {
      wrong = TryTurn(!turn_.empty());
      return !wrong.has_value();
    });
    if (!taken) {
      absl::StrAppend(&report_, "TURN: ", *wrong, "\n");
    }
  }

  /// One client of a gateway: it keeps its connection until that is closed.
  Task<void> AskAlways(Machine& gateway) {
    std::unique_ptr<async_http::Connection> connection;
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
      request.method = "GET";
      request.id = absl::StrCat(gateway.name(), "-", ++asked_);
      std::optional<unsigned> status = co_await AskOn(*connection, RequestText(request));
      NoteStatus(gateway, status.value_or(0));
      if (!status || !connection->MayBeReused()) {
        connection.reset();
      }
      co_await Pause(absl::Milliseconds(25));
    }
  }

  /// Every version has this route, and no runner answers but with 200.
  void NoteStatus(const Machine& gateway, unsigned status) {
    ++statuses_[status];
    if (status >= 300 && status < 500) {
      absl::StrAppend(&report_, "STATUS: ", gateway.name(), " answered ", status, "\n");
    }
  }

  // ---- Troubles ----

  void OneRound() {
    ++rounds_;
    Wait(200, 1500);
    static constexpr bool StoreFaults::*kOutages[] = {&StoreFaults::silent, &StoreFaults::reset,
                                                      &StoreFaults::down, nullptr};
    bool StoreFaults::*outage = kOutages[random_.Below(std::size(kOutages))];
    bool before = random_.Below(2) == 0;
    ChangeSomething();
    if (before) {
      Begin(outage);
      Wait(0, 600);
    }
    std::vector<Machine*> some = ChooseMachines();
    bool stop = random_.Below(4) == 0;
    for (Machine* machine : some) {
      stop ? machine->Stop() : machine->Kill();
    }
    if (!before) {
      Begin(outage);
    }
    RunUntil(kStartPatience, [&] {
      return std::none_of(some.begin(), some.end(),
                          [](Machine* machine) { return machine->Poll(); });
    });
    Wait(0, 800);
    for (Machine* machine : some) {
      machine->Start();
    }
    std::string told = absl::StrCat(some.size(), " machines ", stop ? "stopped" : "killed",
                                    outage == nullptr ? "" : ", the store away");
    bool disk_lost = LoseDisk();
    Expect(kRecoveryBound, "/safe/x", told + ", not served again");
    TakeTurn();
    if (disk_lost) {
      WaitForDisks(told);  // Also while the store is away.
    }
    Wait(0, 2500);
    if (outage != nullptr) {
      store_.faults().*outage = false;
      store_.WakeWaiting();
    }
    Configure();
    Expect(kLatestBound, absl::StrCat("/since/", version_, "/x"), told + ", latest not in force");
  }

  void Begin(bool StoreFaults::*outage) {
    if (outage != nullptr) {
      store_.faults().*outage = true;
      if (random_.Below(2) == 0) {
        store_.ResetWaiting();
      }
    }
  }

  /// The last moment at which processes can learn of it may be just before they end.
  void ChangeSomething() {
    if (random_.Below(2) == 0) {
      Configure();
    }
    if (random_.Below(2) == 0) {
      ListForeign();
    }
    if (random_.Below(2) == 0) {
      List(*runners_[random_.Below(runners_.size())], ++born_);
    }
    Wait(0, 1200);
  }

  std::vector<Machine*> ChooseMachines() {
    std::vector<Machine*> some;
    std::uint64_t kind = random_.Below(4);
    for (Machine* machine : All()) {
      bool chosen = kind == 0 || (kind == 1 && !machine->storage()) ||
                    (kind == 2 && machine->storage()) || (kind == 3 && random_.Below(2) == 0);
      if (chosen) {
        some.push_back(machine);
      }
    }
    return some;
  }

  bool LoseDisk() {
    bool lost = random_.Below(3) == 0;
    if (lost) {
      ++disks_lost_;
      ledgers_[random_.Below(ledgers_.size())]->LoseDisk();
    }
    return lost;
  }
  /// Only one disk may be lost at once.
  void WaitForDisks(const std::string& told) {
    if (!RunUntil(kDiskPatience, [this] { return GroupIsWhole(ledgers_); })) {
      absl::StrAppend(&report_, "LIVE: ", told, ", a lost disk was not replaced\n");
    }
  }

  void Expect(absl::Duration bound, const std::string& target, const std::string& what) {
    absl::Time began = SteadyNow();
    if (!RunUntil(bound, [&] { return EachAnswers(target); })) {
      absl::StrAppend(&report_, "LIVE: ", what, " within ", absl::FormatDuration(bound), "\n");
      return;
    }
    longest_ = std::max(longest_, SteadyNow() - began);
  }

  // ---- The end ----

  /// Within one life a gateway never goes back, and no process ends by itself.
  void CheckLogs() {
    for (auto& gateway : gateways_) {
      std::int64_t version = 0;
      for (const explain::LogLine& line : explain::ParseLogLines(gateway->Log())) {
        if (line.event == "started") {
          version = 0;
        }
        if (line.event == "configuration_applied") {
          std::int64_t next = nlohmann::json::parse(line.text)["version"].get<std::int64_t>();
          if (next < version) {
            absl::StrAppend(&report_, "BACK: ", gateway->name(), " went from ", version, " to ",
                            next, "\n");
          }
          version = next;
        }
      }
    }
    for (Machine* machine : All()) {
      for (const ProcessLife& life : machine->lives()) {
        if (life.exit_code && !life.killed && !life.stopped) {
          absl::StrAppend(&report_, "END: ", life.name, " ended by itself\n");
        }
      }
    }
    if (!foreign_.seen().empty()) {
      absl::StrAppend(&report_, "FOREIGN: an entry that names no runner got ",
                      foreign_.seen().size(), " requests\n");
    }
  }

  void Summarize() const {
    std::cout << "seed " << seed_ << ": " << rounds_ << " rounds, versions " << version_
              << ", disks lost " << disks_lost_ << ", longest " << longest_;
    for (const auto& [status, count] : statuses_) {
      std::cout << ", " << status << " x" << count;
    }
    std::cout << std::endl;
  }

  std::uint64_t seed_;
  RecoverySize size_;
  Random random_;
  AddressRange range_;
  bench::TemporaryFolder folder_;
  emulator::StoreStandIn store_;
  emulator::RunnerStandIn foreign_;  // Only entries of other writers name it.
  std::vector<std::unique_ptr<emulator::RunnerStandIn>> runners_;
  std::vector<std::string> seeds_;
  std::vector<std::unique_ptr<Machine>> ledgers_;
  std::vector<std::unique_ptr<Machine>> gateways_;
  std::map<unsigned, int> statuses_;
  std::string report_;
  std::string turn_;  // The last one kept.
  int version_ = 0;
  int rounds_ = 0;
  int asked_ = 0;
  int disks_lost_ = 0;
  std::int64_t born_ = 1000;
  absl::Duration longest_ = absl::ZeroDuration();
  bool stopping_ = false;
};

TEST(RecoverySoak, MachinesThatAreBackServeWhetherTheStoreAnswersOrNot) {
  auto seed = static_cast<std::uint64_t>(SoakNumber("SEED", 5));
  RecoverySoak soak(seed, {});
  EXPECT_EQ(soak.Run(), "") << "seed " << seed;
  EXPECT_GT(soak.rounds(), 1) << "a soak without troubles proves nothing";
}

}  // namespace
}  // namespace martenyard::testing
