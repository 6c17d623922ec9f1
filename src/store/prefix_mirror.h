// Mirrors all keys under a prefix: reads them once, then watches for changes.
//
// While the store is unreachable the last known state is retained.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "store/metadata_store.h"
#include "store/relay/mirror_delta.h"

namespace martenyard::store {

/// @return how long a watch may wait at a store that retains its changes for `history`, so that the
/// revision it began at is not compacted before it ends.
absl::Duration MaxWatchTimeout(absl::Duration history);

/// @return how long a watch may wait if the mirror must be up to date `bound` after an outage. A
/// lost watch is detected only when its wait ends.
absl::Duration MaxWatchTimeoutWithin(absl::Duration bound);

/// Tuning parameters of a mirror.
struct MirrorOptions {
  /// Delay before the next watch, so that changes in quick succession are fetched together.
  absl::Duration watch_spacing = absl::Milliseconds(200);
  /// How long a watch waits for a change. If it exceeds the store's history, all keys have to be
  /// read again. A lost watch is detected when its wait ends, or when other calls show that the
  /// store was unreachable in between.
  absl::Duration watch_timeout = MaxWatchTimeoutWithin(absl::Seconds(3));
  /// Deltas name the prefix, as an item without a value. Set for a prefix that earlier builds
  /// mirror only in part: a delta without this item comes from such a build, and the mirror has to
  /// be read from the store.
  bool announces_prefix = false;
};

class PrefixMirror {
 public:
  /// Called for each changed key; the value is absent if the key was removed.
  using ChangeHandler = std::function<void(const StoreChange& change)>;
  /// Called when the store becomes unreachable (false) or reachable (true).
  using ReachabilityHandler = std::function<void(bool reachable, StoreStatus status)>;

  PrefixMirror(async_http::asio::io_context& context, MetadataStore& store, std::string prefix,
               ChangeHandler on_change, ReachabilityHandler on_reachability,
               const MirrorOptions& options = {});

  ~PrefixMirror();
  PrefixMirror(const PrefixMirror&) = delete;
  PrefixMirror& operator=(const PrefixMirror&) = delete;

  /// Starts mirroring; runs until the event loop ends.
  void Start();
  bool complete() const { return complete_; }
  const std::string& prefix() const { return prefix_; }
  const std::map<std::string, StoreItem>& items() const { return items_; }
  /// @return the size of all keys and values.
  std::size_t bytes() const { return bytes_; }
  /// @return time since the store last confirmed the mirror; infinite if it never did.
  absl::Duration Staleness() const;
  /// @return time that the pending call has waited; nullopt if there is none.
  std::optional<absl::Duration> PendingCallTime() const;
  /// @return duration of the call that last updated the reachability; for reachability handlers.
  absl::Duration last_wait() const { return last_wait_; }
  /// @return whether the last call succeeded.
  bool reachable() const { return reachable_; }
  /// A mirror that doesn't watch is updated by its peers only; a pending watch continues.
  /// Enabling it resets the reachability, since earlier replies say nothing of the present.
  void SetWatching(bool watching);
  /// A paused mirror sends no calls to the store, even before its first read; a pending call
  /// continues.
  void SetPaused(bool paused);
  /// Reads all keys again, in parallel to a watch that may be lost. For a known newer revision.
  void Refresh();
  /// Asks the store for what this mirror doesn't know yet.
  /// @return whether the mirror has all changes that were made before this call.
  async_http::Task<bool> Confirm();
  /// @return revision of the last known change.
  Revision last_change() const { return last_change_; }
  /// @return the changes after `last_change`, for a peer's mirror of the same prefix.
  mirror_delta ChangesSince(Revision last_change) const;
  /// Applies the changes sent by a peer's mirror.
  void ApplyDelta(const mirror_delta& delta);

 private:
  async_http::Task<void> Run();
  async_http::Task<bool> ReadAll();
  async_http::Task<bool> WatchOnce();
  /// A watch call. It may still be pending after the mirror has started the next one.
  struct WatchCall {
    absl::Time began;
    absl::Duration wait;
    bool abandoned = false;
    bool ended = false;
    bool done = false;  ///< The store replied with the requested changes.
    bool brought_changes = false;
  };
  async_http::Task<void> RunWatch(std::shared_ptr<WatchCall> call);
  bool ApplyWatchResult(const WatchCall& call, const WatchResult& result);
  /// @return whether the store may have lost the watch while it waited.
  bool MayBeLost(const WatchCall& call, std::uint64_t recoveries) const;
  /// @param as_of revision up to which the source of the change is complete.
  void ApplyChange(const StoreChange& change, Revision as_of);
  void PruneRemovals();
  /// @return whether the sender of the delta mirrors the whole prefix.
  bool CoversPrefix(const mirror_delta& delta) const;
  void RemoveMissing(const mirror_delta& delta);
  /// Updates the store's reachability from the result of a call.
  void RecordCallResult(absl::Time began, StoreStatus status);
  /// @param began start of the call that showed it.
  void UpdateReachability(absl::Time began, bool reachable, StoreStatus status);
  void AdvanceLastChange(Revision revision) { last_change_ = std::max(last_change_, revision); }

  async_http::asio::io_context& context_;
  MetadataStore& store_;
  std::string prefix_;
  ChangeHandler on_change_;
  ReachabilityHandler on_reachability_;
  std::map<std::string, StoreItem> items_;
  std::size_t bytes_ = 0;
  std::map<std::string, Revision> removals_;  // Keys removed since the last full read.
  /// The mirror was complete as of this revision; earlier removals are unknown.
  Revision removals_since_ = 0;
  Revision last_change_ = 0;
  Revision revision_ = 0;
  MirrorOptions options_;
  ReplyTimeout reply_timeout_;
  async_http::Signal resumed_;
  async_http::Signal woken_;  ///< A watch ended, or the store is reachable again.
  bool watching_ = true;
  bool paused_ = false;
  bool complete_ = false;
  bool covers_prefix_ = true;  ///< No change came from a build that mirrors a part of the prefix.
  bool refreshing_ = false;
  bool reachability_known_ = false;  ///< At least one call has ended, with or without a reply.
  bool reachable_ = false;
  absl::Time last_confirmed_ = absl::InfinitePast();
  std::optional<absl::Time> call_began_;  ///< Start of the pending call.
  absl::Duration last_wait_ = absl::ZeroDuration();
  absl::Duration backoff_;
};

}  // namespace martenyard::store
