#include "scheduling/order.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace martenyard::scheduling {
namespace {

/// Sort key of a waiting call; the smallest is started first.
using Rank = std::tuple<int, int, double, double>;

Rank RankOf(OrderPolicy policy, const QueuedCall& call, const OrderOptions& options) {
  int ownership_rank = call.from_owner ? 0 : 1;
  int aging_boost = static_cast<int>(call.waited_seconds / options.seconds_per_priority);
  int priority_rank = -std::min(9, call.priority + aging_boost);
  double aged_service = 0.0;
  if (policy == OrderPolicy::kAttainedService) {
    aged_service = static_cast<double>(call.attained_tokens) -
                   call.waited_seconds * options.aging_tokens_per_second;
  }
  return {ownership_rank, priority_rank, aged_service, -call.waited_seconds};
}

}  // namespace

std::optional<OrderPolicy> ParseOrderPolicy(const std::string& name) {
  if (name == "arrival") {
    return OrderPolicy::kArrival;
  }
  if (name == "attained_service") {
    return OrderPolicy::kAttainedService;
  }
  return std::nullopt;
}

std::optional<std::size_t> ChooseNext(OrderPolicy policy, const std::vector<QueuedCall>& waiting,
                                      const OrderOptions& options) {
  std::optional<std::size_t> best;
  Rank best_rank;
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    Rank rank = RankOf(policy, waiting[i], options);
    if (!best || rank < best_rank) {
      best = i;
      best_rank = rank;
    }
  }
  return best;
}

}  // namespace martenyard::scheduling
