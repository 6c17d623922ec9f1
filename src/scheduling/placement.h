// Placement policies: which engine a model call is sent to. Pure functions over a snapshot of the
// engines.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/random.h"

namespace martenyard::scheduling {

enum class PlacementPolicy {
  kRoundRobin,
  kLeastLoaded,
  kSticky,       ///< The engine that ran the program last, else the least loaded.
  kWaitRebuild,  ///< The least `ExpectedCost`.
};

std::optional<PlacementPolicy> ParsePlacementPolicy(const std::string& name);

/// A gateway's view of an engine that can run the call.
struct EngineView {
  BackendName name;
  int slots = 1;
  int in_flight = 0;
  int queued = 0;
  bool same_zone = true;
  bool owned_by_caller = true;     ///< Else another partner lends it.
  std::int64_t cached_tokens = 0;  ///< Of this program's context, expected in the engine's cache.
};

/// The call to place.
struct CallView {
  std::int64_t context_tokens = 0;  ///< The program's history and the new turn.
  BackendName last_engine;          ///< The engine that ran the program last; may be empty.
};

/// Parameters of `ExpectedCost`.
struct CostModel {
  double prefill_tokens_per_second = 8000.0;
  double mean_service_seconds = 2.0;  ///< Of one call.
  double cross_zone_seconds = 0.02;
  double borrowing_penalty_seconds = 0.5;  ///< Makes borrowing pay only for a clearly shorter wait.
};

/// @return the estimated seconds until the call's first token on this engine (queueing and prefill
/// of the uncached context), plus the penalties for other zones and borrowed engines.
double ExpectedCost(const EngineView& engine, const CallView& call, const CostModel& model);

/// @param round_robin the caller's counter; advanced by kRoundRobin.
/// @return the index of the chosen engine, or nothing if there are no engines.
std::optional<std::size_t> ChooseEngine(PlacementPolicy policy,
                                        const std::vector<EngineView>& engines,
                                        const CallView& call, const CostModel& model,
                                        std::uint64_t& round_robin, Random& random);

}  // namespace martenyard::scheduling
