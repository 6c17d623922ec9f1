// Derives the store's reachability from the results of a process's calls. Decision logic: no I/O,
// no clock.
//
// A pending watch without changes can't be told from one that the store has lost. An unanswered
// call shows that the store was unreachable, and the next reply that it is reachable again. Watches
// that were pending in between may be lost and have to be restarted.
#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "absl/time/time.h"

namespace martenyard::store {

class StoreReachability {
 public:
  /// A call that began at `began` got no reply. Ignored if it began before the last recovery.
  void RecordTimeout(absl::Time began);
  /// A call got a reply at `now`, whatever its status.
  void RecordReply(absl::Time now);
  /// @return number of times that the store replied again after an unanswered call.
  std::uint64_t recoveries() const { return recoveries_; }

  /// Calls `on_recovery` at each recovery until `RemoveListener`; one callback per listener.
  void AddListener(const void* listener, std::function<void()> on_recovery);
  void RemoveListener(const void* listener) { listeners_.erase(listener); }

 private:
  bool unreachable_ = false;
  std::uint64_t recoveries_ = 0;
  absl::Time recovered_at_ = absl::InfinitePast();
  std::map<const void*, std::function<void()>> listeners_;
};

/// Adaptive timeout for a reply that is due, after which its call counts as unanswered. Kept as
/// short as the store's latency allows, to detect an outage early.
class ReplyTimeout {
 public:
  absl::Duration limit() const { return limit_; }
  /// A reply arrived `late` after it was due.
  void RecordReply(absl::Duration late);
  /// No reply arrived within the limit; raises it, since the store may only be slow.
  void RecordTimeout();

  /// Covers a store that is 60 to 90 times slower than the usual 4 ms, and a process limited to an
  /// eighth of a core.
  static constexpr absl::Duration kMin = absl::Milliseconds(500);
  /// Equals the timeout of the other calls to the store.
  static constexpr absl::Duration kMax = absl::Milliseconds(1500);

 private:
  absl::Duration limit_ = kMin;
};

}  // namespace martenyard::store
