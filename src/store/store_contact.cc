#include "store/store_contact.h"

#include <algorithm>
#include <utility>

namespace martenyard::store {
namespace {

/// Of an answer's lateness: the next one may be as much later.
constexpr double kLatenessMargin = 3;
/// For each answer the limit comes back by this much, so that one quick answer of a slow store
/// doesn't make the next call fail.
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
