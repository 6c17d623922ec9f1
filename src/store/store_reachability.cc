#include "store/store_reachability.h"

#include <algorithm>
#include <utility>

namespace martenyard::store {
namespace {

/// Ratio of the limit to the delay of the last reply past its due time.
constexpr double kLatenessMargin = 3;
/// The limit falls to no less than this share at each reply, so that one fast reply of a slow
/// store doesn't make the next call time out.
constexpr double kDecayFactor = 0.5;
constexpr double kGrowthFactor = 2;

}  // namespace

void StoreReachability::RecordTimeout(absl::Time began) {
  unreachable_ = unreachable_ || began > recovered_at_;
}

void StoreReachability::RecordReply(absl::Time now) {
  if (!unreachable_) {
    return;
  }
  unreachable_ = false;
  recovered_at_ = now;
  ++recoveries_;
  for (const auto& [listener, on_recovery] : listeners_) {
    on_recovery();
  }
}

void StoreReachability::AddListener(const void* listener, std::function<void()> on_recovery) {
  listeners_[listener] = std::move(on_recovery);
}

void ReplyTimeout::RecordReply(absl::Duration late) {
  limit_ = std::clamp(std::max(late * kLatenessMargin, limit_ * kDecayFactor), kMin, kMax);
}

void ReplyTimeout::RecordTimeout() { limit_ = std::min(limit_ * kGrowthFactor, kMax); }

}  // namespace martenyard::store
