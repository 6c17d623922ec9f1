#include "scheduling/placement.h"

#include <algorithm>
#include <functional>

namespace martenyard::scheduling {
namespace {

double Load(const EngineView& engine) {
  return static_cast<double>(engine.in_flight + engine.queued) / std::max(1, engine.slots);
}

/// Breaks ties at random, so that gateways with the same stale view don't all pick one engine.
std::optional<std::size_t> Cheapest(const std::vector<EngineView>& engines, Random& random,
                                    const std::function<double(const EngineView&)>& cost) {
  std::optional<std::size_t> best;
  double best_cost = 0.0;
  std::uint64_t tied = 0;
  for (std::size_t i = 0; i < engines.size(); ++i) {
    double candidate = cost(engines[i]);
    if (!best || candidate < best_cost) {
      best = i;
      best_cost = candidate;
      tied = 1;
    } else if (candidate == best_cost) {
      ++tied;
      if (random.Below(tied) == 0) {
        best = i;
      }
    }
  }
  return best;
}

double LeastLoadedCost(const EngineView& engine) {
  constexpr double kBorrowedEnginePenalty = 1000.0;
  return Load(engine) + (engine.owned_by_caller ? 0.0 : kBorrowedEnginePenalty);
}

}  // namespace

std::optional<PlacementPolicy> ParsePlacementPolicy(const std::string& name) {
  if (name == "round_robin") {
    return PlacementPolicy::kRoundRobin;
  }
  if (name == "least_loaded") {
    return PlacementPolicy::kLeastLoaded;
  }
  if (name == "sticky") {
    return PlacementPolicy::kSticky;
  }
  if (name == "wait_rebuild") {
    return PlacementPolicy::kWaitRebuild;
  }
  return std::nullopt;
}

double ExpectedCost(const EngineView& engine, const CallView& call, const CostModel& model) {
  double calls_ahead = engine.in_flight + engine.queued - engine.slots + 1;
  double queueing_seconds =
      std::max(0.0, calls_ahead) * model.mean_service_seconds / std::max(1, engine.slots);
  std::int64_t uncached_tokens =
      std::max<std::int64_t>(0, call.context_tokens - engine.cached_tokens);
  double prefill_seconds = static_cast<double>(uncached_tokens) / model.prefill_tokens_per_second;
  double zone_seconds = engine.same_zone ? 0.0 : model.cross_zone_seconds;
  double borrowing_seconds = engine.owned_by_caller ? 0.0 : model.borrowing_penalty_seconds;
  return queueing_seconds + prefill_seconds + zone_seconds + borrowing_seconds;
}

std::optional<std::size_t> ChooseEngine(PlacementPolicy policy,
                                        const std::vector<EngineView>& engines,
                                        const CallView& call, const CostModel& model,
                                        std::uint64_t& round_robin, Random& random) {
  if (engines.empty()) {
    return std::nullopt;
  }
  switch (policy) {
    case PlacementPolicy::kRoundRobin:
      return round_robin++ % engines.size();
    case PlacementPolicy::kSticky: {
      auto last = std::find_if(engines.begin(), engines.end(), [&](const EngineView& engine) {
        return engine.name == call.last_engine;
      });
      if (last != engines.end()) {
        return static_cast<std::size_t>(last - engines.begin());
      }
      return Cheapest(engines, random, LeastLoadedCost);
    }
    case PlacementPolicy::kLeastLoaded:
      return Cheapest(engines, random, LeastLoadedCost);
    case PlacementPolicy::kWaitRebuild:
      return Cheapest(engines, random,
                      [&](const EngineView& engine) { return ExpectedCost(engine, call, model); });
  }
  return std::nullopt;
}

}  // namespace martenyard::scheduling
