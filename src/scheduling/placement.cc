#include "scheduling/placement.h"

#include <algorithm>
#include <functional>

namespace martenyard::scheduling {
namespace {

double Load(const EngineView& engine) {
  return static_cast<double>(engine.in_flight + engine.queued) / std::max(1, engine.slots);
}

/// Ties are broken at random, so that gateways with the same stale view do not herd.
std::optional<std::size_t> Cheapest(const std::vector<EngineView>& engines, Random& random,
                                    const std::function<double(const EngineView&)>& cost) {
  std::optional<std::size_t> best;
  double best_cost = 0.0;
  std::uint64_t equal = 0;
  for (std::size_t i = 0; i < engines.size(); ++i) {
    double candidate = cost(engines[i]);
    if (!best || candidate < best_cost) {
      best = i;
      best_cost = candidate;
      equal = 1;
    } else if (candidate == best_cost) {
      ++equal;
      if (random.Below(equal) == 0) {
        best = i;
      }
    }
  }
  return best;
}

double LeastLoadedCost(const EngineView& engine) {
  constexpr double kForeignEngine = 1000.0;
  return Load(engine) + (engine.own ? 0.0 : kForeignEngine);
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
  double ahead = engine.in_flight + engine.queued - engine.slots + 1;
  double wait = std::max(0.0, ahead) * model.mean_service_seconds / std::max(1, engine.slots);
  std::int64_t missing = std::max<std::int64_t>(0, call.context_tokens - engine.held_tokens);
  double rebuild = static_cast<double>(missing) / model.prefill_tokens_per_second;
  double zone = engine.same_zone ? 0.0 : model.other_zone_seconds;
  double borrowed = engine.own ? 0.0 : model.borrowed_seconds;
  return wait + rebuild + zone + borrowed;
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
