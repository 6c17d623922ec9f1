// martenyard-bench: load and experiments.
#include <signal.h>

#include <iostream>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "bench/experiments.h"

ABSL_FLAG(std::string, out, "", "Folder for JSON and plots.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed; the same seed replays a virtual run.");
ABSL_FLAG(int, trials, 10, "failover: how often each event is caused.");
ABSL_FLAG(double, rate, 100.0, "overhead: calls a second.");
ABSL_FLAG(double, seconds, 10.0, "overhead: length of the run.");
ABSL_FLAG(bool, durable, true, "overhead, failover: daemons have data folders.");
ABSL_FLAG(std::string, sizes, "", "fleet: numbers of daemons, like 10,100,1400.");

namespace {

namespace bench = martenyard::bench;

constexpr int kExitUsage = 2;
constexpr char kUsage[] =
    "martenyard-bench EXPERIMENT [FLAGS]\n"
    "  overhead    time that martenyard adds to a model call\n"
    "  failover    unavailable time after kills, planned stops and a zone cut\n"
    "  fleet       hollow daemons: cost and speed of control at many sizes\n"
    "  ledger      memory and time of program records\n"
    "  experiment  scheduling policies under program workloads, in virtual time\n"
    "Flags: --out DIR --seed N --trials N --rate R --seconds S --durable BOOL --sizes A,B,C";

bench::BenchOptions ReadOptions() {
  bench::BenchOptions options;
  options.out = absl::GetFlag(FLAGS_out);
  options.seed = absl::GetFlag(FLAGS_seed);
  options.trials = absl::GetFlag(FLAGS_trials);
  options.rate = absl::GetFlag(FLAGS_rate);
  options.seconds = absl::GetFlag(FLAGS_seconds);
  options.durable = absl::GetFlag(FLAGS_durable);
  options.sizes = absl::GetFlag(FLAGS_sizes);
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  absl::SetProgramUsageMessage(kUsage);
  std::vector<char*> words = absl::ParseCommandLine(argc, argv);
  std::string name = words.size() == 2 ? words[1] : "";
  if (name == "overhead") {
    return bench::RunOverhead(ReadOptions());
  }
  if (name == "failover") {
    return bench::RunFailover(ReadOptions());
  }
  if (name == "fleet") {
    return bench::RunFleet(ReadOptions());
  }
  if (name == "ledger") {
    return bench::RunLedger(ReadOptions());
  }
  if (name == "experiment") {
    return bench::RunExperiment(ReadOptions());
  }
  std::cerr << kUsage << "\n";
  return kExitUsage;
}
