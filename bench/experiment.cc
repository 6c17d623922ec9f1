#include "bench/experiments.h"
namespace martenyard::bench {
int RunExperiment(const BenchOptions&) { return 1; }
}  // namespace martenyard::bench
