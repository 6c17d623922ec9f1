// Open loop: calls start at their own times, whatever became of those before. Every second call
// goes straight to an engine, the others through martenyard, all in one run.
#include <algorithm>
#include <atomic>
#include <cmath>
#include <iostream>
#include <mutex>
#include <thread>

#include "absl/time/clock.h"
#include "base/clock.h"
#include "base/random.h"
#include "bench/experiments.h"
#include "bench/local_system.h"
#include "bench/report.h"

namespace martenyard::bench {
namespace {

using nlohmann::json;

constexpr int kAnswerTokens = 8;

/// Counts what is under way and keeps the latencies, in milliseconds.
class Recorder {
 public:
  void Started() { ++under_way_; }
  void Ended(bool good, absl::Duration latency) {
    std::lock_guard lock(mutex_);
    if (good) {
      samples_.Add(absl::ToDoubleMilliseconds(latency));
    } else {
      ++failed_;
    }
    --under_way_;
  }
  bool AllEnded() const { return under_way_ == 0; }
  const Samples& samples() const { return samples_; }
  int failed() const { return failed_; }

 private:
  std::mutex mutex_;
  Samples samples_;
  int failed_ = 0;
  std::atomic<int> under_way_{0};
};

http::ClientRequest DirectRequest(const LocalSystem& system, int number) {
  json body = {{"messages", json::array({{{"role", "user"}, {"content", "direct"}}})},
               {"max_tokens", kAnswerTokens},
               {"stream", true},
               {"request_id", "direct-" + std::to_string(number)},
               {"context_id", "direct-" + std::to_string(number)}};
  http::ClientRequest request;
  request.method = "POST";
  request.url = system.PlatformUrl() + "/engines/engine-" + std::to_string(number % 3) +
                "/v1/chat/completions";
  request.body = body.dump();
  return request;
}

http::ClientRequest ThroughRequest(const LocalSystem& system, int number) {
  json body = LocalSystem::ModelCall("through");
  body["max_tokens"] = kAnswerTokens;
  body["stream"] = true;
  http::ClientRequest request;
  request.method = "POST";
  request.url = system.Url(static_cast<std::size_t>(number) % system.size()) + "/v1/programs/b" +
                std::to_string(number) + "/calls";
  request.body = body.dump();
  request.headers = {system.Authorization(), "Idempotency-Key: k"};
  return request;
}

void Launch(LocalSystem& system, http::ClientRequest request, Recorder& recorder) {
  recorder.Started();
  absl::Time start = SteadyNow();
  system.client().Start(std::move(request), nullptr, [&recorder, start](http::ClientResult result) {
    bool whole = result.ok() && (result.body.find("[DONE]") != std::string::npos ||
                                 result.body.find("event: done") != std::string::npos);
    recorder.Ended(whole, SteadyNow() - start);
  });
}

std::vector<std::string> Row(const std::string& name, const Recorder& recorder) {
  const Samples& samples = recorder.samples();
  return {name,
          std::to_string(samples.size()),
          std::to_string(recorder.failed()),
          Number(samples.Quantile(0.5), 2),
          Number(samples.Quantile(0.9), 2),
          Number(samples.Quantile(0.99), 2),
          Number(samples.Max(), 2)};
}

}  // namespace

int RunOverhead(const BenchOptions& options) {
  LocalSystemOptions system_options;
  system_options.durable = options.durable;
  system_options.one_zone = true;
  system_options.groups = 8;
  system_options.engine_slots = 64;
  system_options.prefill_tokens_per_second = 1e6;
  system_options.decode_tokens_per_second = 1e5;
  LocalSystem system(system_options);
  if (!system.Start()) {
    std::cerr << "the system did not start\n" << system.LogOf(0);
    return 1;
  }
  int calls = static_cast<int>(options.rate * options.seconds);
  for (int number = 0; number < calls; number += 2) {
    if (!system.CreateProgram(0, "b" + std::to_string(number)).ok()) {
      std::cerr << "a program could not be created\n";
      return 1;
    }
  }
  Recorder direct;
  Recorder through;
  Random random(options.seed);
  absl::Time next = SteadyNow();
  for (int number = 0; number < calls; ++number) {
    next += absl::Seconds(-std::log(1.0 - random.Uniform()) / options.rate);
    absl::SleepFor(next - SteadyNow());
    if (number % 2 == 0) {
      Launch(system, ThroughRequest(system, number), through);
    } else {
      Launch(system, DirectRequest(system, number), direct);
    }
  }
  WaitUntil([&] { return direct.AllEnded() && through.AllEnded(); });
  Table table("Model calls of " + std::to_string(kAnswerTokens) + " tokens, " +
                  Number(options.rate, 0) + " a second, 3 daemons in one zone, " +
                  (options.durable ? "synced logs" : "logs in memory") + ", milliseconds",
              {"way", "calls", "failed", "p50", "p90", "p99", "max"});
  table.AddRow(Row("engine asked directly", direct));
  table.AddRow(Row("through martenyard", through));
  auto added = [&](double share) {
    return through.samples().Quantile(share) - direct.samples().Quantile(share);
  };
  table.AddRow(
      {"added", "", "", Number(added(0.5), 2), Number(added(0.9), 2), Number(added(0.99), 2), ""});
  table.Print();
  WriteJson(options.out, options.durable ? "overhead" : "overhead-memory", table.ToJson());
  return direct.failed() + through.failed() == 0 ? 0 : 1;
}

}  // namespace martenyard::bench
