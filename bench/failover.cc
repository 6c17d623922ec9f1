// Callers make one notice after the other, each until it is answered, while daemons are killed or
// stopped. The unavailable time of a trial is the longest that any caller waited for one notice.
#include <signal.h>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <map>
#include <memory>
#include <thread>

#include "base/clock.h"
#include "base/logging.h"
#include "bench/experiments.h"
#include "bench/local_system.h"
#include "bench/report.h"
#include "sim/world.h"

namespace martenyard::bench {
namespace {

using nlohmann::json;

constexpr int kCallers = 8;

/// One caller with its own program and thread.
class NoticeCaller {
 public:
  NoticeCaller(LocalSystem& system, int number)
      : system_(system),
        program_("caller-" + std::to_string(number)),
        client_(http::Client::Create()) {
    thread_ = std::thread([this] { Run(); });
  }
  ~NoticeCaller() { Stop(); }

  void Stop() {
    stopping_ = true;
    if (thread_.joinable()) {
      thread_.join();
    }
  }
  /// @return the longest wait for one notice since the last look, in seconds.
  double TakeLongest() { return longest_.exchange(0.0); }
  int answered() const { return answered_; }
  /// @return how many notices are over, answered or given up.
  int ended() const { return ended_; }
  int unknown() const { return unknown_; }
  int failed_tries() const { return failed_tries_; }
  const std::string& program() const { return program_; }
  const std::vector<std::string>& ran() const { return ran_; }
  const std::string& last_refusal() const { return last_refusal_; }

 private:
  void Run() {
    for (int number = 0; !stopping_; ++number) {
      std::string key = "n" + std::to_string(number);
      absl::Time start = SteadyNow();
      bool ended = false;
      while (!ended && !stopping_) {
        ended = Try(key);
        if (!ended) {
          ++failed_tries_;
          absl::SleepFor(absl::Milliseconds(10));
        }
      }
      double waited = absl::ToDoubleSeconds(SteadyNow() - start);
      longest_ = std::max(longest_.load(), waited);
      ++ended_;
    }
  }

  bool Try(const std::string& key) {
    http::ClientRequest request;
    request.method = "POST";
    request.url = system_.Url(turn_ % system_.size()) + "/v1/programs/" + program_ + "/calls";
    request.body = LocalSystem::NoticeCall().dump();
    request.headers = {system_.Authorization(), "Idempotency-Key: " + key};
    request.timeout = absl::Seconds(5);
    http::ClientResult result = client_->Fetch(std::move(request));
    if (result.ok()) {
      ++answered_;
      ran_.push_back(key);
      return true;
    }
    last_refusal_ = std::to_string(result.status) + " " + result.body + result.error;
    ++turn_;  // The next daemon.
    json body = json::parse(result.body, nullptr, false);
    bool final_unknown =
        body.is_object() && body.value("outcome", "") == "unknown" && !body.contains("retry_with");
    unknown_ += final_unknown ? 1 : 0;
    return final_unknown;
  }

  LocalSystem& system_;
  std::string program_;
  std::unique_ptr<http::Client> client_;
  std::atomic<bool> stopping_{false};
  std::atomic<double> longest_{0.0};
  std::atomic<int> answered_{0};
  std::atomic<int> ended_{0};
  std::atomic<int> unknown_{0};
  std::atomic<int> failed_tries_{0};
  std::size_t turn_ = 0;
  std::vector<std::string> ran_;
  std::string last_refusal_;
  std::thread thread_;
};

struct TrialResult {
  Samples unavailable;
  int failed_tries = 0;
  int unknown = 0;
};

void PauseForLoad() { absl::SleepFor(absl::Milliseconds(1000)); }

/// Waits until every caller was through with the notice under way and one more.
void AwaitNextNotices(const std::vector<std::unique_ptr<NoticeCaller>>& callers) {
  std::vector<int> before;
  for (const auto& caller : callers) {
    before.push_back(caller->ended());
  }
  WaitUntil([&] {
    for (std::size_t number = 0; number < callers.size(); ++number) {
      if (callers[number]->ended() < before[number] + 2) {
        return false;
      }
    }
    return true;
  });
}

/// Takes one daemon after the other down by `signal` and up again, under load.
TrialResult RunSignalTrials(LocalSystem& system,
                            std::vector<std::unique_ptr<NoticeCaller>>& callers, int signal,
                            int trials) {
  TrialResult result;
  int tries_before = 0;
  int unknown_before = 0;
  for (const auto& caller : callers) {
    tries_before += caller->failed_tries();
    unknown_before += caller->unknown();
  }
  for (int trial = 0; trial < trials; ++trial) {
    std::size_t victim = static_cast<std::size_t>(trial) % system.size();
    PauseForLoad();
    for (const auto& caller : callers) {
      caller->TakeLongest();
    }
    system.daemon(victim).Signal(signal);
    system.daemon(victim).Wait();
    AwaitNextNotices(callers);
    double longest = 0.0;
    for (const auto& caller : callers) {
      longest = std::max(longest, caller->TakeLongest());
    }
    result.unavailable.Add(longest);
    system.StartDaemon(victim);
    WaitUntil([&] { return system.IsReady(victim); });
  }
  for (const auto& caller : callers) {
    result.failed_tries += caller->failed_tries();
    result.unknown += caller->unknown();
  }
  result.failed_tries -= tries_before;
  result.unknown -= unknown_before;
  return result;
}

struct Audit {
  int lost = 0;
  int twice = 0;
  int answered = 0;
};

/// Compares what callers were told with the halls' own records and the stored histories.
Audit AuditRecords(LocalSystem& system, const std::vector<std::unique_ptr<NoticeCaller>>& callers) {
  std::map<std::string, int> runs;
  json records = system.Records();
  for (const auto& [name, service] : records["services"].items()) {
    for (const auto& [key, count] : service["ran"].items()) {
      runs[key] += count.get<int>();
    }
  }
  Audit audit;
  for (const auto& [key, count] : runs) {
    audit.twice += count > 1 ? 1 : 0;
  }
  for (const auto& caller : callers) {
    json history = json::parse(system
                                   .Send(0, "GET", "/v1/programs/" + caller->program() + "/history",
                                         "", {system.Authorization()})
                                   .body,
                               nullptr, false);
    std::map<std::string, std::string> stored;
    for (const json& turn : history.value("turns", json::array())) {
      stored[turn.value("call_id", "")] = turn.value("outcome", "");
    }
    for (const std::string& key : caller->ran()) {
      ++audit.answered;
      bool kept = stored[key] == "ran" && runs[caller->program() + "/" + key] == 1;
      audit.lost += kept ? 0 : 1;
    }
  }
  return audit;
}

std::vector<std::string> Row(const std::string& name, int trials, const TrialResult& result) {
  return {name,
          std::to_string(trials),
          Number(result.unavailable.Quantile(0.5), 3),
          Number(result.unavailable.Quantile(0.99), 3),
          std::to_string(result.failed_tries),
          std::to_string(result.unknown)};
}

/// Virtual time: a whole zone is cut off; how long until every group leads again outside of it.
Samples ZoneCutTimes(std::uint64_t seed, int trials) {
  InitLogging("off", LogFormat::kText);
  Samples times;
  for (int trial = 0; trial < trials; ++trial) {
    sim::World world(sim::WorldOptions{}, seed + static_cast<std::uint64_t>(trial));
    daemon::NodeOptions node;
    node.bootstrap_daemons = 3;
    node.seeds = {{"10.0.0.0", 7000}, {"10.0.0.1", 7000}, {"10.0.0.2", 7000}};
    for (int zone = 0; zone < 3; ++zone) {
      world.AddDaemon(ZoneName("zone-" + std::to_string(zone)), true, node);
    }
    world.RunUntil([&] { return world.AllGroupsLed(); }, absl::Seconds(30));
    world.Run(absl::Seconds(2) + absl::Milliseconds(world.random().Below(1000)));
    world.CutZone(ZoneName("zone-0"));
    absl::Time cut = world.queue().now();
    auto led_outside = [&] {
      std::set<GroupId> led;
      for (std::size_t index = 1; index < world.size(); ++index) {
        for (const auto& [group, replica] : world.node(index)->replicas().replicas()) {
          if (replica->raft().LeaderIsCurrent()) {
            led.insert(group);
          }
        }
      }
      return static_cast<int>(led.size()) == node.groups;
    };
    world.RunUntil(led_outside, absl::Seconds(30));
    times.Add(absl::ToDoubleSeconds(world.queue().now() - cut));
  }
  return times;
}

}  // namespace

int RunFailover(const BenchOptions& options) {
  LocalSystemOptions system_options;
  system_options.durable = options.durable;
  system_options.groups = 8;
  LocalSystem system(system_options);
  if (!system.Start()) {
    std::cerr << "the system did not start\n" << system.LogOf(0);
    return 1;
  }
  std::vector<std::unique_ptr<NoticeCaller>> callers;
  for (int number = 0; number < kCallers; ++number) {
    system.CreateProgram(0, "caller-" + std::to_string(number));
  }
  for (int number = 0; number < kCallers; ++number) {
    callers.push_back(std::make_unique<NoticeCaller>(system, number));
  }
  TrialResult stops = RunSignalTrials(system, callers, SIGTERM, options.trials);
  TrialResult kills = RunSignalTrials(system, callers, SIGKILL, options.trials);
  for (const auto& caller : callers) {
    caller->Stop();
  }
  Audit audit = AuditRecords(system, callers);
  Samples cuts = ZoneCutTimes(options.seed, options.trials * 10);
  Table table("Failover, 3 daemons, " + std::to_string(kCallers) +
                  " callers; seconds that the slowest caller waited for one notice",
              {"event", "trials", "p50", "p99", "tries turned away", "unknown outcomes"});
  table.AddRow(Row("planned stop", options.trials, stops));
  table.AddRow(Row("kill", options.trials, kills));
  table.AddRow({"zone cut (virtual; until all groups lead)", std::to_string(cuts.size()),
                Number(cuts.Quantile(0.5), 3), Number(cuts.Quantile(0.99), 3), "-", "-"});
  table.Print();
  std::cout << "notices answered " << audit.answered << ", lost " << audit.lost << ", run twice "
            << audit.twice << "\n";
  json report = table.ToJson();
  report["answered"] = audit.answered;
  report["lost"] = audit.lost;
  report["run_twice"] = audit.twice;
  WriteJson(options.out, "failover", report);
  return audit.lost + audit.twice == 0 ? 0 : 1;
}

}  // namespace martenyard::bench
