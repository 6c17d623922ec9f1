// The experiments of martenyard-bench. Each prints a table and writes JSON into `out`.
#pragma once

#include <cstdint>
#include <string>

namespace martenyard::bench {

struct BenchOptions {
  std::string out;  ///< Folder for JSON and plots; empty: none.
  std::uint64_t seed = 1;
  int trials = 10;
  double rate = 100.0;    ///< Calls or programs a second, open loop.
  double seconds = 10.0;  ///< Length of a run.
  int daemons = 3;
  bool durable = true;
  std::string sizes;  ///< fleet: comma-separated numbers of daemons.
};

/// Time that martenyard adds to a model call over asking the engine directly.
int RunOverhead(const BenchOptions& options);
/// Unavailable time after kills and planned stops of real processes, and after a zone cut in
/// virtual time; calls lost and run twice.
int RunFailover(const BenchOptions& options);
/// Hollow daemons in virtual time: cost per daemon, time until deaths and rolls are known.
int RunFleet(const BenchOptions& options);
/// Cost of a ledger's records and commands.
int RunLedger(const BenchOptions& options);
/// Scheduling policies under program workloads in virtual time.
int RunExperiment(const BenchOptions& options);

}  // namespace martenyard::bench
