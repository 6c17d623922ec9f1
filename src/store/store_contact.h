// What a process's calls tell of its way to the store. Decision code: no I/O, no clock.
//
// A watch is silent by right while nothing changes, and looks the same when nobody hears it any
// more. Another call that got no answer shows that the way was lost meanwhile; the next answer
// shows that it is there again. Watches that waited through this may be lost and are to be asked
// anew.
#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "absl/time/time.h"

namespace martenyard::store {

class StoreContact {
 public:
  /// A call that began at `began` got no answer. One from before the last return tells nothing new.
  void NoteSilence(absl::Time began);
  /// A call was answered now, whatever it was told.
  void NoteAnswer(absl::Time now);
  /// @return how often the store answered again after silence.
  std::uint64_t returns() const { return returns_; }

  /// `on_return` runs at each return until `Unfollow`. One a follower.
  void Follow(const void* follower, std::function<void()> on_return);
  void Unfollow(const void* follower) { followers_.erase(follower); }

 private:
  bool silent_ = false;
  std::uint64_t returns_ = 0;
  absl::Time returned_at_ = absl::InfinitePast();
  std::map<const void*, std::function<void()>> followers_;
};

/// For how long an answer that is due may be on its way before its call counts as unanswered: as
/// short as the store's own pace allows, since nothing is known until then.
class AnswerPatience {
 public:
  absl::Duration limit() const { return limit_; }
  /// An answer came `late` after it was due.
  void NoteAnswer(absl::Duration late);
  /// None came within the limit: the store may only be slow.
  void NoteSilence();

  /// A store whose answers take sixty to ninety times the usual 4 ms answers within it, and a
  /// machine with an eighth of a core gets round to reading.
  static constexpr absl::Duration kLeast = absl::Milliseconds(500);
  /// As long as any other call to the store may take.
  static constexpr absl::Duration kMost = absl::Milliseconds(1500);

 private:
  absl::Duration limit_ = kLeast;
};

}  // namespace martenyard::store
