#include "forwarding/runner_choice.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <utility>

#include "base/hash.h"

namespace martenyard::forwarding {
namespace {

/// Above all other costs of one request.
constexpr double kIsolationCostMs = 100000;

/// @return the cost of the requests that are preempted when the engine's cache is full: their
/// prompts are read again.
double PreemptionCost(const Candidate& candidate, const ChoiceRequest& request,
                      const ChoiceOptions& options) {
  if (candidate.cache_tokens == 0) {
    return 0;
  }
  double needed = candidate.held_tokens + static_cast<double>(request.expected_tokens);
  double excess = std::max(0.0, needed - static_cast<double>(candidate.cache_tokens));
  return 2 * excess / options.tokens_per_ms;
}

/// @param free_share share of the service's slots that is free.
double Cost(const Candidate& candidate, const ChoiceRequest& request, const ChoiceOptions& options,
            double free_share) {
  bool engine = request.prompt_tokens > 0;
  double queued = std::max(
      0.0, static_cast<double>(candidate.active) + 1 - static_cast<double>(candidate.slots));
  double cost = queued * (engine ? options.engine_wait_ms : options.plain_wait_ms);
  cost += static_cast<double>(std::min(candidate.active, candidate.slots)) *
          (engine ? options.active_cost_ms : options.plain_active_cost_ms);
  cost *= candidate.relative_service_time;
  if (engine) {
    double uncached = std::max(0.0, static_cast<double>(request.prompt_tokens) -
                                        static_cast<double>(candidate.cached_tokens));
    double running = std::min(candidate.active, candidate.slots);
    // Like the extra service time, the extra prefill counts less as the slots fill.
    double scale = 1 + (candidate.relative_service_time - 1) * free_share;
    cost += uncached / options.tokens_per_ms * (1 + running * options.read_stall_share) * scale;
    cost += PreemptionCost(candidate, request, options) * candidate.relative_service_time;
  }
  cost += candidate.extra_service_ms * options.extra_service_share * free_share;
  cost += candidate.loss_rate * request.loss_ms;
  cost += request.isolated ? static_cast<double>(candidate.active) * kIsolationCostMs : 0;
  cost += candidate.same_zone ? 0.0 : options.other_zone_ms;
  cost += request.rendezvous_key == 0
              ? 0.0
              : (1.0 - StableUnitPoint(candidate.id, request.rendezvous_key)) * options.home_ms;
  return cost;
}

/// @return whether the candidate may be chosen at all.
bool IsUsable(const Candidate& candidate) {
  return !candidate.tried && !candidate.at_connection_limit && !candidate.held_back;
}

/// @return the candidate's tier; a higher one is used only when the lower ones are empty.
int PreferenceTier(const Candidate& candidate) {
  return (candidate.draining ? 4 : 0) + (candidate.avoided ? 2 : 0);
}

double Work(const Candidate& candidate) {
  return static_cast<double>(candidate.active) * candidate.relative_service_time;
}

/// Decides which candidates are above the load bound.
class LoadBound {
 public:
  LoadBound(const std::vector<Candidate>& candidates, const ChoiceRequest& request,
            const ChoiceOptions& options)
      : loss_ms_(request.loss_ms), options_(options) {
    for (const Candidate& candidate : candidates) {
      if (SharesLoad(candidate)) {
        work_ += Work(candidate);
        slots_ += candidate.slots;
      }
    }
  }

  bool IsAbove(const Candidate& candidate) const {
    if (!options_.load_bound) {
      return false;
    }
    if (!SharesLoad(candidate)) {
      return true;
    }
    double mean = slots_ > 0 ? work_ / slots_ * candidate.slots : 0;
    double work = Work(candidate);
    return work > options_.max_load_ratio * mean && work > mean + options_.min_load_excess;
  }

  /// @return the work above the mean, from 0 at the mean to 1 at the bound.
  double Approach(const Candidate& candidate) const {
    double mean = slots_ > 0 ? work_ / slots_ * candidate.slots : 0;
    double allowed = std::max((options_.max_load_ratio - 1) * mean, options_.min_load_excess);
    return options_.load_bound ? std::clamp((Work(candidate) - mean) / allowed, 0.0, 1.0) : 0;
  }

  /// @return the share of the slots that is free.
  double FreeShare() const { return slots_ > 0 ? std::max(0.0, 1 - work_ / slots_) : 0; }

 private:
  /// Runners that should get no requests would lower the mean, and all others would be above it.
  bool SharesLoad(const Candidate& candidate) const {
    return PreferenceTier(candidate) == 0 && !candidate.held_back &&
           candidate.loss_rate * loss_ms_ <= options_.max_bound_loss_ms;
  }

  double loss_ms_;
  const ChoiceOptions& options_;
  double work_ = 0;
  double slots_ = 0;
};

/// Keeps the `count` indexes of the greatest values, in any order.
template <typename Value>
std::vector<std::size_t> Greatest(std::vector<std::size_t> indexes, std::size_t count,
                                  Value value) {
  count = std::min(count, indexes.size());
  std::partial_sort(indexes.begin(), indexes.begin() + static_cast<std::ptrdiff_t>(count),
                    indexes.end(),
                    [&](std::size_t a, std::size_t b) { return value(a) > value(b); });
  indexes.resize(count);
  return indexes;
}

/// @return the indexes that the request considers: those drawn by its key, its home, and the
/// runners that have cached most of its prompt. The preferred one comes first.
std::vector<std::size_t> Sample(const std::vector<Candidate>& candidates,
                                const std::vector<std::size_t>& indexes,
                                const ChoiceRequest& request, const ChoiceOptions& options) {
  auto drawn = [&](std::size_t index) {
    // Weighted sampling (Efraimidis and Spirakis). Equal work means active requests in inverse
    // proportion to the service time, and their rate is that number divided by the service time.
    const Candidate& candidate = candidates[index];
    double weight = std::max<std::uint32_t>(1, candidate.slots) /
                    (candidate.relative_service_time * candidate.relative_service_time);
    return std::log(StableUnitPoint(candidate.id, request.sample_key)) / weight;
  };
  std::vector<std::size_t> sample = Greatest(indexes, options.sampled_runners, drawn);
  if (request.rendezvous_key != 0) {
    std::vector<std::size_t> home = Greatest(indexes, 1, [&](std::size_t index) {
      return StableUnitPoint(candidates[index].id, request.rendezvous_key);
    });
    // The keys of plain requests are those of single clients. Those of prompts are shared by many
    // programs, whose home would be above the bound.
    bool preferred = request.prompt_tokens == 0;
    sample.insert(preferred ? sample.begin() : sample.end(), home.begin(), home.end());
  }
  std::vector<std::size_t> caching;
  std::copy_if(indexes.begin(), indexes.end(), std::back_inserter(caching),
               [&](std::size_t index) { return candidates[index].cached_tokens > 0; });
  caching = Greatest(caching, options.sampled_runners, [&](std::size_t index) {
    return std::make_pair(candidates[index].cached_tokens, drawn(index));
  });
  sample.insert(sample.end(), caching.begin(), caching.end());
  return sample;
}

}  // namespace

std::optional<Choice> ChooseRunner(const std::vector<Candidate>& candidates,
                                   const ChoiceRequest& request, const ChoiceOptions& options) {
  LoadBound bound(candidates, request, options);
  std::vector<std::size_t> best_tier;
  int tier = 0;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const Candidate& candidate = candidates[index];
    if (!IsUsable(candidate)) {
      continue;
    }
    int own = PreferenceTier(candidate) + (bound.IsAbove(candidate) ? 1 : 0);
    if (best_tier.empty() || own < tier) {
      best_tier.clear();
      tier = own;
    }
    if (own == tier) {
      best_tier.push_back(index);
    }
  }
  std::vector<std::size_t> considered = best_tier;
  if (options.load_bound) {
    considered = Sample(candidates, best_tier, request, options);
  }
  double tolerance = options.load_bound ? options.sample_tolerance_ms : 0;
  std::optional<Choice> best;
  for (std::size_t index : considered) {
    double cost = Cost(candidates[index], request, options, bound.FreeShare()) +
                  options.bound_approach_ms * bound.Approach(candidates[index]);
    if (!best) {
      best = Choice{index, cost};
    } else if (cost + tolerance < best->cost_ms) {
      best = Choice{index, cost};
      tolerance = 0;
    }
  }
  return best;
}

}  // namespace martenyard::forwarding
