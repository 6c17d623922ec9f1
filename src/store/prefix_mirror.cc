#include "store/prefix_mirror.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/clock.h"

namespace martenyard::store {
namespace {

using async_http::Task;

/// Share of the store's history that a watch may wait; the rest covers the round trip.
constexpr double kWatchShareOfHistory = 0.85;
/// The store limits a watch to 30 s.
constexpr absl::Duration kLongestWatch = absl::Seconds(28);
/// Share of the bound for detecting a lost watch; the rest is for the next call and for propagating
/// the changes.
constexpr double kProofShareOfBound = 2.0 / 3;
constexpr absl::Duration kShortestWatch = absl::Milliseconds(100);
/// Watches up to this length aren't restarted after an outage: their end shows if they were lost.
constexpr absl::Duration kProvesItself = absl::Seconds(2);
constexpr absl::Duration kFirstBackoff = absl::Milliseconds(100);
constexpr absl::Duration kLongestBackoff = absl::Milliseconds(800);
constexpr absl::Duration kIdlePause = absl::Milliseconds(200);
/// Removals retained for peers that are behind; a peer that is further behind gets all items.
constexpr std::size_t kMostRemovals = 1000;

}  // namespace

absl::Duration WatchPatience(absl::Duration history) {
  return std::min(history * kWatchShareOfHistory, kLongestWatch);
}

absl::Duration WatchPatienceWithin(absl::Duration bound) {
  return std::max(bound * kProofShareOfBound - AnswerPatience::kLeast, kShortestWatch);
}

PrefixMirror::PrefixMirror(async_http::asio::io_context& context, MetadataStore& store,
                           std::string prefix, ChangeHandler on_change, ContactHandler on_contact,
                           const MirrorOptions& options)
    : context_(context),
      store_(store),
      prefix_(std::move(prefix)),
      on_change_(std::move(on_change)),
      on_contact_(std::move(on_contact)),
      options_(options),
      resumed_(context),
      woken_(context),
      backoff_(kFirstBackoff) {
  store_.contact().Follow(this, [this] { woken_.Notify(); });
}

PrefixMirror::~PrefixMirror() { store_.contact().Unfollow(this); }

void PrefixMirror::Start() {
  async_http::asio::co_spawn(context_, Follow(), async_http::asio::detached);
}

absl::Duration PrefixMirror::Staleness() const { return SteadyNow() - confirmed_; }

std::optional<absl::Duration> PrefixMirror::Waiting() const {
  return call_began_ ? std::make_optional(SteadyNow() - *call_began_) : std::nullopt;
}

void PrefixMirror::SetWatching(bool watching) {
  if (watching && !watching_) {
    asked_ = false;
    reachable_ = false;
  }
  watching_ = watching;
}

void PrefixMirror::SetPaused(bool paused) {
  paused_ = paused;
  if (!paused) {
    resumed_.Notify();
  }
}

void PrefixMirror::Refresh() {
  if (refreshing_) {
    return;
  }
  refreshing_ = true;
  async_http::asio::co_spawn(
      context_,
      [this]() -> Task<void> {
        co_await ReadAll();
        refreshing_ = false;
      },
      async_http::asio::detached);
}

Task<void> PrefixMirror::Follow() {
  while (true) {
    if (paused_) {
      co_await resumed_.Wait(kIdlePause);
      continue;
    }
    if (complete_ && !watching_) {
      co_await async_http::Sleep(context_, kIdlePause);
      continue;
    }
    absl::Time began = SteadyNow();
    call_began_ = began;
    bool done = false;
    if (complete_) {
      done = co_await WatchOnce();
    } else {
      done = co_await ReadAll();
    }
    call_began_.reset();
    if (done) {
      backoff_ = kFirstBackoff;
      continue;
    }
    // The time that the failed call took counts towards the backoff.
    absl::Duration pause = backoff_ - (SteadyNow() - began);
    if (pause > absl::ZeroDuration()) {
      co_await woken_.Wait(pause);
    }
    backoff_ = std::min(backoff_ * 2, kLongestBackoff);
  }
}

Task<bool> PrefixMirror::ReadAll() {
  absl::Time began = SteadyNow();
  ReadAnswer answer = co_await store_.Range(prefix_);
  NoteEnd(began, answer.status);
  NoteContact(began, answer.status == StoreStatus::kDone, answer.status);
  if (answer.status != StoreStatus::kDone) {
    co_return false;
  }
  std::set<std::string> present;
  for (StoreItem& item : answer.items) {
    present.insert(item.key);
    Take({item.key, std::move(item.value), item.revision}, answer.revision);
  }
  std::vector<std::string> gone;
  for (const auto& [key, item] : items_) {
    if (!present.contains(key)) {
      gone.push_back(key);
    }
  }
  for (const std::string& key : gone) {
    Take({key, std::nullopt, answer.revision}, answer.revision);
  }
  // Pages aren't a snapshot: a change newer than the first page may precede one that is missing.
  last_change_ = std::min(last_change_, answer.revision);
  std::erase_if(removals_, [&](const auto& entry) { return entry.second <= answer.revision; });
  removals_since_ = std::max(removals_since_, answer.revision);
  revision_ = answer.revision;
  complete_ = true;
  co_return true;
}

Task<bool> PrefixMirror::WatchOnce() {
  auto call = std::make_shared<WatchCall>();
  call->began = SteadyNow();
  // While reachability is unknown, request an immediate reply.
  call->wait = reachable_ ? options_.watch_patience : absl::ZeroDuration();
  std::uint64_t returns = store_.contact().returns();
  absl::Time end = call->began + call->wait + answer_patience_.limit();
  async_http::asio::co_spawn(context_, RunWatch(call), async_http::asio::detached);
  while (!call->ended && !IsInDoubt(*call, returns) && SteadyNow() < end) {
    co_await woken_.Wait(end - SteadyNow());
  }
  call_began_.reset();
  if (call->ended) {
    bool early = SteadyNow() - call->began < call->wait;
    if (call->brought_changes || early) {
      co_await async_http::Sleep(context_, options_.watch_spacing);
    }
    co_return call->done;
  }
  // A late reply is still processed, since the store may only be slow.
  call->given_up = true;
  if (IsInDoubt(*call, returns)) {
    co_return true;
  }
  answer_patience_.NoteSilence();
  store_.contact().NoteSilence(call->began);
  NoteContact(call->began, false, StoreStatus::kUnknown);
  co_return false;
}

bool PrefixMirror::IsInDoubt(const WatchCall& call, std::uint64_t returns) const {
  return call.wait > kProvesItself && store_.contact().returns() != returns;
}

Task<void> PrefixMirror::RunWatch(std::shared_ptr<WatchCall> call) {
  WatchAnswer answer = co_await store_.Watch(prefix_, revision_, call->wait);
  call->ended = true;
  call->brought_changes = !answer.changes.empty();
  call->done = TakeAnswer(*call, answer);
  woken_.Notify();
}

bool PrefixMirror::TakeAnswer(const WatchCall& call, const WatchAnswer& answer) {
  absl::Time now = SteadyNow();
  bool waited_in_vain = answer.changes.empty() && answer.status == StoreStatus::kDone;
  if (waited_in_vain) {
    answer_patience_.NoteAnswer(now - call.began - call.wait);
  }
  if (call.given_up && answer.status != StoreStatus::kDone) {
    return false;  // A later call reports the current state.
  }
  NoteEnd(call.began, answer.status);
  if (answer.status == StoreStatus::kHistoryGone) {
    // A mirror that no longer watches is updated by its peers; the next watch detects this again.
    complete_ = !watching_;
    return true;
  }
  NoteContact(call.began, answer.status == StoreStatus::kDone, answer.status);
  if (answer.status != StoreStatus::kDone) {
    return false;
  }
  for (const StoreChange& change : answer.changes) {
    Take(change, answer.revision);
  }
  revision_ = std::max(revision_, answer.revision);
  return true;
}

void PrefixMirror::NoteEnd(absl::Time began, StoreStatus status) {
  if (status == StoreStatus::kUnknown) {
    store_.contact().NoteSilence(began);
  } else {
    store_.contact().NoteAnswer(SteadyNow());
  }
}

void PrefixMirror::Take(const StoreChange& change, Revision as_of) {
  auto known = items_.find(change.key);
  if (!change.value) {
    Revision& removed = removals_[change.key];
    removed = std::max(removed, change.revision);
    PruneRemovals();
    NoteChange(change.revision);
    if (known != items_.end() && known->second.revision <= change.revision) {
      items_.erase(known);
      on_change_(change);
    }
    return;
  }
  if (known != items_.end() && known->second.revision >= change.revision) {
    return;  // A page may be older than the result of a watch.
  }
  if (known == items_.end() && as_of < removals_since_) {
    return;  // Removed: the mirror was complete at a newer revision without this key.
  }
  auto removed = removals_.find(change.key);
  if (removed != removals_.end() && removed->second >= change.revision) {
    return;  // The sending peer doesn't know the removal yet.
  }
  NoteChange(change.revision);
  items_[change.key] = {change.key, *change.value, change.revision};
  on_change_(change);
}

void PrefixMirror::PruneRemovals() {
  if (removals_.size() <= kMostRemovals) {
    return;
  }
  std::vector<Revision> revisions;
  for (const auto& [key, revision] : removals_) {
    revisions.push_back(revision);
  }
  auto middle = revisions.begin() + static_cast<std::ptrdiff_t>(revisions.size() / 2);
  std::nth_element(revisions.begin(), middle, revisions.end());
  removals_since_ = std::max(removals_since_, *middle);
  std::erase_if(removals_, [&](const auto& entry) { return entry.second <= removals_since_; });
}

mirror_delta PrefixMirror::ChangesSince(Revision last_change) const {
  mirror_delta delta;
  delta.m_last_change = last_change_;
  delta.m_full = last_change == 0 || last_change < removals_since_;
  for (const auto& [key, item] : items_) {
    if (delta.m_full || item.revision > last_change) {
      delta.m_items.push_back({key, item.value, item.revision});
    }
  }
  for (const auto& [key, revision] : removals_) {
    if (revision > last_change && !items_.contains(key)) {
      delta.m_removals.push_back({key, revision});
    }
  }
  return delta;
}

void PrefixMirror::TakeDelta(const mirror_delta& delta) {
  if (delta.m_last_change <= last_change_) {
    return;  // Already known.
  }
  if (!delta.m_full && last_change_ == 0) {
    return;  // Meant for an earlier process at this address; there is no state to apply it to.
  }
  std::set<std::string> present;
  for (const relayed_item& item : delta.m_items) {
    present.insert(item.m_key);
    Take({item.m_key, item.m_value, item.m_revision}, delta.m_last_change);
  }
  for (const relayed_removal& removal : delta.m_removals) {
    Take({removal.m_key, std::nullopt, removal.m_revision}, delta.m_last_change);
  }
  std::vector<std::string> gone;
  for (const auto& [key, item] : items_) {
    if (delta.m_full && !present.contains(key) && item.revision <= delta.m_last_change) {
      gone.push_back(key);
    }
  }
  for (const std::string& key : gone) {
    Take({key, std::nullopt, delta.m_last_change}, delta.m_last_change);
  }
  if (!complete_ || delta.m_full) {
    removals_since_ = std::max(removals_since_, delta.m_last_change);
  }
  complete_ = true;
  NoteChange(delta.m_last_change);
  revision_ = std::max(revision_, delta.m_last_change);
}

void PrefixMirror::NoteContact(absl::Time began, bool reachable, StoreStatus status) {
  last_wait_ = SteadyNow() - began;
  if (!asked_ || reachable != reachable_) {
    asked_ = true;
    reachable_ = reachable;
    on_contact_(reachable,
                status);  // Before `confirmed_` changes: the handler may read Staleness().
  }
  if (reachable) {
    confirmed_ = SteadyNow();
  }
}

}  // namespace martenyard::store
