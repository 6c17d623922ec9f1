// Which engine a model call goes to: pure policies over a view of the engines.
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
  kSticky,       ///< Where the program's context is, else the least loaded.
  kWaitRebuild,  ///< Least expected wait + rebuild of the context + zone distance.
};

std::optional<PlacementPolicy> ParsePlacementPolicy(const std::string& name);

/// What a gateway knows of one engine that could take the call.
struct EngineView {
  BackendName name;
  int slots = 1;
  int in_flight = 0;
  int queued = 0;
  bool same_zone = true;
  bool own = true;               ///< Owned by the caller's partner; others only lend.
  std::int64_t held_tokens = 0;  ///< Of this program's context, believed held there.
};

/// The call to place.
struct CallView {
  std::int64_t context_tokens = 0;  ///< History and new turn together.
  BackendName last_engine;          ///< Where the program ran before; may be empty.
};

/// What waiting and rebuilding cost; learned or set.
struct CostModel {
  double prefill_tokens_per_second = 8000.0;
  double mean_service_seconds = 2.0;  ///< Of one call in a slot.
  double other_zone_seconds = 0.02;
  double borrowed_seconds = 0.5;  ///< Keeps a call at home unless borrowing clearly pays.
};

/// @return seconds until the call's first token on this engine, as far as can be told.
double ExpectedCost(const EngineView& engine, const CallView& call, const CostModel& model);

/// @param round_robin a counter that the caller keeps; advanced by kRoundRobin.
/// @return the index of the chosen engine, or nothing when there is none.
std::optional<std::size_t> ChooseEngine(PlacementPolicy policy,
                                        const std::vector<EngineView>& engines,
                                        const CallView& call, const CostModel& model,
                                        std::uint64_t& round_robin, Random& random);

}  // namespace martenyard::scheduling
