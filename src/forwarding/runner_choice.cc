#include "forwarding/runner_choice.h"

#include <algorithm>

#include "base/hash.h"

namespace martenyard::forwarding {
namespace {

double Cost(const Candidate& candidate, const ChoiceRequest& request,
            const ChoiceOptions& options) {
  bool engine = request.prompt_tokens > 0;
  double queued = std::max(
      0.0, static_cast<double>(candidate.active) + 1 - static_cast<double>(candidate.slots));
  double cost = queued * (engine ? options.engine_wait_ms : options.plain_wait_ms);
  cost += static_cast<double>(std::min(candidate.active, candidate.slots)) *
          (engine ? options.active_cost_ms : options.plain_active_cost_ms);
  if (engine) {
    double uncached = std::max(0.0, static_cast<double>(request.prompt_tokens) -
                                        static_cast<double>(candidate.cached_tokens));
    double running = std::min(candidate.active, candidate.slots);
    cost += uncached / options.tokens_per_ms * (1 + running * options.read_stall_share);
  }
  cost += candidate.loss_rate * request.loss_ms;
  cost += candidate.same_zone ? 0.0 : options.other_zone_ms;
  cost += request.rendezvous_key == 0
              ? 0.0
              : (1.0 - StableUnitPoint(candidate.id, request.rendezvous_key)) * options.home_ms;
  return cost;
}

/// @return the candidate's tier; a higher one is used only when the lower ones are empty.
int PreferenceTier(const Candidate& candidate) {
  return (candidate.draining ? 2 : 0) + (candidate.avoided ? 1 : 0);
}

}  // namespace

std::optional<Choice> ChooseRunner(const std::vector<Candidate>& candidates,
                                   const ChoiceRequest& request, const ChoiceOptions& options) {
  std::optional<Choice> best;
  int best_tier = 0;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const Candidate& candidate = candidates[index];
    if (candidate.tried || candidate.at_connection_limit || candidate.held_back) {
      continue;
    }
    int tier = PreferenceTier(candidate);
    double cost = Cost(candidate, request, options);
    bool better = !best || tier < best_tier || (tier == best_tier && cost < best->cost_ms);
    if (better) {
      best = Choice{index, cost};
      best_tier = tier;
    }
  }
  return best;
}

}  // namespace martenyard::forwarding
