#include "store/store_contact.h"

#include <algorithm>
#include <utility>

namespace martenyard::store {
namespace {

/// Ratio of the limit to the latency of the last reply.
constexpr double kLatenessMargin = 3;
/// The limit falls to no less than this share at each reply, so that one fast reply of a slow
/// store doesn't make the next call time out.
constexpr double kEasing = 0.5;
constexpr double kGrowth = 2;

}  // namespace

void StoreContact::NoteSilence(absl::Time began) { silent_ = silent_ || began > returned_at_; }

void StoreContact::NoteAnswer(absl::Time now) {
  if (!silent_) {
    return;
  }
  silent_ = false;
  returned_at_ = now;
  ++returns_;
  for (const auto& [follower, on_return] : followers_) {
    on_return();
  }
}

void StoreContact::Follow(const void* follower, std::function<void()> on_return) {
  followers_[follower] = std::move(on_return);
}

void AnswerPatience::NoteAnswer(absl::Duration late) {
  limit_ = std::clamp(std::max(late * kLatenessMargin, limit_ * kEasing), kLeast, kMost);
}

void AnswerPatience::NoteSilence() { limit_ = std::min(limit_ * kGrowth, kMost); }

}  // namespace martenyard::store
