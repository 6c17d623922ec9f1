// Keeps a copy of all keys under a prefix, by reading them once and watching on.
//
// While the store can't be reached the last known copy stays: silence is no removal.
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

/// @return how long a watch may wait at a store that remembers its changes for `history`: what it
/// answers at its end must still go on from where it began.
absl::Duration WatchPatience(absl::Duration history);

/// @return how long a watch may wait where the copy must be the newest again `bound` after a
/// trouble ended: its end is the proof that it was heard.
absl::Duration WatchPatienceWithin(absl::Duration bound);

/// Tunables of a mirror.
struct MirrorOptions {
  /// Changes that come in quick succession are fetched together.
  absl::Duration watch_spacing = absl::Milliseconds(200);
  /// How long a watch waits for a change. One that waits for longer than the store remembers its
  /// changes ends with the need to read everything anew. One that is lost is found out at its end,
  /// or when other calls show that the store was silent meanwhile.
  absl::Duration watch_patience = WatchPatienceWithin(absl::Seconds(3));
};

class PrefixMirror {
 public:
  /// Told of each key that changed; the value is absent when the key was removed.
  using ChangeHandler = std::function<void(const StoreChange& change)>;
  /// Told when the store is lost (false) and regained (true).
  using ContactHandler = std::function<void(bool reachable, StoreStatus status)>;

  PrefixMirror(async_http::asio::io_context& context, MetadataStore& store, std::string prefix,
               ChangeHandler on_change, ContactHandler on_contact,
               const MirrorOptions& options = {});

  ~PrefixMirror();
  PrefixMirror(const PrefixMirror&) = delete;
  PrefixMirror& operator=(const PrefixMirror&) = delete;

  /// Starts following; runs until the loop ends.
  void Start();
  bool complete() const { return complete_; }
  const std::string& prefix() const { return prefix_; }
  const std::map<std::string, StoreItem>& items() const { return items_; }
  /// @return for how long the store has not confirmed the copy; infinite if it never did.
  absl::Duration Staleness() const;
  /// @return for how long the call under way has waited; nothing while none is.
  std::optional<absl::Duration> Waiting() const;
  /// @return how long the call waited that told last of the store; for contact handlers.
  absl::Duration last_wait() const { return last_wait_; }
  /// True while the store answered last.
  bool reachable() const { return reachable_; }
  /// A mirror that doesn't watch lives by what its peers tell; a watch under way goes on.
  /// What the store answered before it begins to watch proves nothing any more.
  void SetWatching(bool watching);
  /// A paused mirror asks nothing of the store, even if it never read anything; a call under way
  /// goes on.
  void SetPaused(bool paused);
  /// Reads all keys again, beside a watch that may hang: something newer is known to be there.
  void Refresh();
  /// @return the revision of the last change known.
  Revision last_change() const { return last_change_; }
  /// @return what changed after `last_change`, for a peer's mirror of the same prefix.
  mirror_delta ChangesSince(Revision last_change) const;
  /// Takes what a peer's mirror told.
  void TakeDelta(const mirror_delta& delta);

 private:
  async_http::Task<void> Follow();
  async_http::Task<bool> ReadAll();
  async_http::Task<bool> WatchOnce();
  /// One watch at the store. It may go on after the mirror has asked anew.
  struct WatchCall {
    absl::Time began;
    absl::Duration wait;
    bool given_up = false;
    bool ended = false;
    bool done = false;  ///< The store answered what was asked.
    bool brought_changes = false;
  };
  async_http::Task<void> RunWatch(std::shared_ptr<WatchCall> call);
  bool TakeAnswer(const WatchCall& call, const WatchAnswer& answer);
  /// @return whether the store may have lost the watch while it waited.
  bool IsInDoubt(const WatchCall& call, std::uint64_t returns) const;
  /// @param as_of what told of the change knows everything up to this revision.
  void Take(const StoreChange& change, Revision as_of);
  void PruneRemovals();
  /// What a call's end tells of the way to the store.
  void NoteEnd(absl::Time began, StoreStatus status);
  /// @param began when the call was made that told.
  void NoteContact(absl::Time began, bool reachable, StoreStatus status);
  void NoteChange(Revision revision) { last_change_ = std::max(last_change_, revision); }

  async_http::asio::io_context& context_;
  MetadataStore& store_;
  std::string prefix_;
  ChangeHandler on_change_;
  ContactHandler on_contact_;
  std::map<std::string, StoreItem> items_;
  std::map<std::string, Revision> removals_;  // Of keys that were removed since the last reading.
  /// The copy was whole as of this revision; earlier removals are not known.
  Revision removals_since_ = 0;
  Revision last_change_ = 0;
  Revision revision_ = 0;
  MirrorOptions options_;
  AnswerPatience answer_patience_;
  async_http::Signal resumed_;
  async_http::Signal woken_;  ///< A watch ended, or the store answered others again.
  bool watching_ = true;
  bool paused_ = false;
  bool complete_ = false;
  bool refreshing_ = false;
  bool asked_ = false;  ///< Once, with an answer or none.
  bool reachable_ = false;
  absl::Time confirmed_ = absl::InfinitePast();
  std::optional<absl::Time> call_began_;  ///< Of the one that is waited for.
  absl::Duration last_wait_ = absl::ZeroDuration();
  absl::Duration backoff_;
};

}  // namespace martenyard::store
