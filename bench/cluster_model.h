// A queueing model of engines and agent programs in virtual time. Placement is scheduling's own
// code and every engine's queue is a real dispatch::Dispatcher; only the engines are modelled.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bench/report.h"
#include "scheduling/order.h"
#include "scheduling/placement.h"

namespace martenyard::bench {

/// What the dispatchers take for a program's rank under OrderPolicy::kAttainedService.
enum class RankSource {
  kAttained,     ///< Service it has had.
  kEstimated,    ///< Work left, learned from the program kind's past.
  kClairvoyant,  ///< Work left, as only the model can know: the bound.
};

/// One policy under test.
struct PolicyUnderTest {
  std::string name;
  scheduling::PlacementPolicy placement = scheduling::PlacementPolicy::kWaitRebuild;
  scheduling::OrderPolicy order = scheduling::OrderPolicy::kArrival;
  RankSource rank = RankSource::kAttained;
  double aging_tokens_per_second = 0.0;
};

/// The deployment and the load.
struct ModelOptions {
  int engines = 12;
  int slots = 8;
  double cache_tokens = 150000;
  double prefill_tokens_per_second = 8000;
  double decode_tokens_per_second = 40;
  double load_report_lag = 0.25;  ///< Seconds.
  double arrivals_per_second = 2.4;
  double warm_up_seconds = 500;
  double measured_seconds = 3000;
  std::uint64_t seed = 1;
};

/// What came out of one run.
struct ModelResult {
  Samples latency;                  ///< Seconds of whole programs.
  Samples excess;                   ///< Seconds over running alone with the cache kept.
  double wasted_share = 0.0;        ///< Of the prefilled tokens: some engine had held them before.
  double load_max_over_mean = 0.0;  ///< Busiest engine's slot time over the mean.
  std::uint64_t decisions = 0;
};

ModelResult RunClusterModel(const ModelOptions& options, const PolicyUnderTest& policy);

}  // namespace martenyard::bench
