#include "scheduling/order.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace martenyard::scheduling {
namespace {

/// Smaller goes first.
using Rank = std::tuple<int, int, double, double>;

Rank RankOf(OrderPolicy policy, const WaitingView& call, const OrderModel& model) {
  int owner_rank = call.own ? 0 : 1;
  int lift = static_cast<int>(call.waited_seconds / model.seconds_per_class);
  int class_rank = -std::min(9, call.priority + lift);
  double service = 0.0;
  if (policy == OrderPolicy::kAttainedService) {
    service = static_cast<double>(call.attained_tokens) -
              call.waited_seconds * model.aging_tokens_per_second;
  }
  return {owner_rank, class_rank, service, -call.waited_seconds};
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

std::optional<std::size_t> ChooseNext(OrderPolicy policy, const std::vector<WaitingView>& waiting,
                                      const OrderModel& model) {
  std::optional<std::size_t> best;
  Rank best_rank;
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    Rank rank = RankOf(policy, waiting[i], model);
    if (!best || rank < best_rank) {
      best = i;
      best_rank = rank;
    }
  }
  return best;
}

}  // namespace martenyard::scheduling
