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
constexpr absl::Duration kMaxWatch = absl::Seconds(28);
/// Share of the bound for detecting a lost watch; the rest is for the next call and for propagating
/// the changes.
constexpr double kDetectionShareOfBound = 2.0 / 3;
constexpr absl::Duration kMinWatch = absl::Milliseconds(100);
/// Watches up to this length aren't restarted after an outage: their end shows if they were lost.
constexpr absl::Duration kMaxUnrestartedWatch = absl::Seconds(2);
constexpr absl::Duration kInitialBackoff = absl::Milliseconds(100);
constexpr absl::Duration kMaxBackoff = absl::Milliseconds(800);
constexpr absl::Duration kIdlePollInterval = absl::Milliseconds(200);
/// Removals retained for peers that are behind; a peer that is further behind gets all items.
constexpr std::size_t kMaxRemovals = 1000;

std::size_t SizeOf(const StoreItem& item) { return item.key.size() + item.value.size(); }

}  // namespace

absl::Duration MaxWatchTimeout(absl::Duration history) {
  return std::min(history * kWatchShareOfHistory, kMaxWatch);
}

absl::Duration MaxWatchTimeoutWithin(absl::Duration bound) {
  return std::max(bound * kDetectionShareOfBound - ReplyTimeout::kMin, kMinWatch);
}

PrefixMirror::PrefixMirror(async_http::asio::io_context& context, MetadataStore& store,
                           std::string prefix, ChangeHandler on_change,
                           ReachabilityHandler on_reachability, const MirrorOptions& options)
    : context_(context),
      store_(store),
      prefix_(std::move(prefix)),
      on_change_(std::move(on_change)),
      on_reachability_(std::move(on_reachability)),
      options_(options),
      resumed_(context),
      woken_(context),
      backoff_(kInitialBackoff) {
  store_.reachability().AddListener(this, [this] { woken_.Notify(); });
}

PrefixMirror::~PrefixMirror() { store_.reachability().RemoveListener(this); }

void PrefixMirror::Start() { async_http::asio::co_spawn(context_, Run(), async_http::kRethrow); }

absl::Duration PrefixMirror::Staleness() const { return SteadyNow() - last_confirmed_; }

std::optional<absl::Duration> PrefixMirror::PendingCallTime() const {
  return call_began_ ? std::make_optional(SteadyNow() - *call_began_) : std::nullopt;
}

void PrefixMirror::SetWatching(bool watching) {
  if (watching && !watching_) {
    reachability_known_ = false;
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

Task<bool> PrefixMirror::Confirm() {
  if (complete_) {
    WatchResult result = co_await store_.Watch(prefix_, revision_, absl::ZeroDuration());
    if (result.status == StoreStatus::kDone) {
      for (const StoreChange& change : result.changes) {
        ApplyChange(change, result.revision);
      }
      revision_ = std::max(revision_, result.revision);
      co_return true;
    }
    if (result.status != StoreStatus::kCompacted) {
      co_return false;
    }
  }
  co_return co_await ReadAll();
}

Task<void> PrefixMirror::Run() {
  while (true) {
    if (paused_) {
      co_await resumed_.Wait(kIdlePollInterval);
      continue;
    }
    if (complete_ && !watching_) {
      co_await async_http::Sleep(context_, kIdlePollInterval);
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
      backoff_ = kInitialBackoff;
      continue;
    }
    // The time that the failed call took counts towards the backoff.
    absl::Duration pause = backoff_ - (SteadyNow() - began);
    if (pause > absl::ZeroDuration()) {
      co_await woken_.Wait(pause);
    }
    backoff_ = std::min(backoff_ * 2, kMaxBackoff);
  }
}

Task<bool> PrefixMirror::ReadAll() {
  absl::Time began = SteadyNow();
  ReadResult result = co_await store_.Range(prefix_);
  RecordCallResult(began, result.status);
  UpdateReachability(began, result.status == StoreStatus::kDone, result.status);
  if (result.status != StoreStatus::kDone) {
    co_return false;
  }
  std::set<std::string> present;
  for (StoreItem& item : result.items) {
    present.insert(item.key);
    ApplyChange({item.key, std::move(item.value), item.revision}, result.revision);
  }
  std::vector<std::string> missing_keys;
  for (const auto& [key, item] : items_) {
    if (!present.contains(key)) {
      missing_keys.push_back(key);
    }
  }
  for (const std::string& key : missing_keys) {
    ApplyChange({key, std::nullopt, result.revision}, result.revision);
  }
  // Pages aren't a snapshot: a change newer than the first page may precede one that is missing.
  last_change_ = std::min(last_change_, result.revision);
  std::erase_if(removals_, [&](const auto& entry) { return entry.second <= result.revision; });
  removals_since_ = std::max(removals_since_, result.revision);
  revision_ = result.revision;
  complete_ = true;
  covers_prefix_ = true;
  co_return true;
}

Task<bool> PrefixMirror::WatchOnce() {
  auto call = std::make_shared<WatchCall>();
  call->began = SteadyNow();
  // While reachability is unknown, request an immediate reply.
  call->wait = reachable_ ? options_.watch_timeout : absl::ZeroDuration();
  std::uint64_t recoveries = store_.reachability().recoveries();
  absl::Time end = call->began + call->wait + reply_timeout_.limit();
  async_http::asio::co_spawn(context_, RunWatch(call), async_http::asio::detached);
  while (!call->ended && !MayBeLost(*call, recoveries) && SteadyNow() < end) {
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
  call->abandoned = true;
  if (MayBeLost(*call, recoveries)) {
    co_return true;
  }
  reply_timeout_.RecordTimeout();
  store_.reachability().RecordTimeout(call->began);
  UpdateReachability(call->began, false, StoreStatus::kUnknown);
  co_return false;
}

bool PrefixMirror::MayBeLost(const WatchCall& call, std::uint64_t recoveries) const {
  return call.wait > kMaxUnrestartedWatch && store_.reachability().recoveries() != recoveries;
}

Task<void> PrefixMirror::RunWatch(std::shared_ptr<WatchCall> call) {
  WatchResult result = co_await store_.Watch(prefix_, revision_, call->wait);
  call->ended = true;
  call->brought_changes = !result.changes.empty();
  call->done = ApplyWatchResult(*call, result);
  woken_.Notify();
}

bool PrefixMirror::ApplyWatchResult(const WatchCall& call, const WatchResult& result) {
  absl::Time now = SteadyNow();
  bool without_changes = result.changes.empty() && result.status == StoreStatus::kDone;
  if (without_changes) {
    reply_timeout_.RecordReply(now - call.began - call.wait);
  }
  if (call.abandoned && result.status != StoreStatus::kDone) {
    return false;  // A later call reports the current state.
  }
  RecordCallResult(call.began, result.status);
  if (result.status == StoreStatus::kCompacted) {
    // A mirror that no longer watches is updated by its peers; the next watch detects this again.
    complete_ = !watching_;
    return true;
  }
  UpdateReachability(call.began, result.status == StoreStatus::kDone, result.status);
  if (result.status != StoreStatus::kDone) {
    return false;
  }
  for (const StoreChange& change : result.changes) {
    ApplyChange(change, result.revision);
  }
  revision_ = std::max(revision_, result.revision);
  return true;
}

void PrefixMirror::RecordCallResult(absl::Time began, StoreStatus status) {
  if (status == StoreStatus::kUnknown) {
    store_.reachability().RecordTimeout(began);
  } else {
    store_.reachability().RecordReply(SteadyNow());
  }
}

void PrefixMirror::ApplyChange(const StoreChange& change, Revision as_of) {
  auto known = items_.find(change.key);
  if (!change.value) {
    Revision& removed = removals_[change.key];
    removed = std::max(removed, change.revision);
    PruneRemovals();
    AdvanceLastChange(change.revision);
    if (known != items_.end() && known->second.revision <= change.revision) {
      bytes_ -= SizeOf(known->second);
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
  AdvanceLastChange(change.revision);
  StoreItem& item = items_[change.key];
  bytes_ -= SizeOf(item);
  item = {change.key, *change.value, change.revision};
  bytes_ += SizeOf(item);
  on_change_(change);
}

void PrefixMirror::PruneRemovals() {
  if (removals_.size() <= kMaxRemovals) {
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
  if (options_.announces_prefix && covers_prefix_) {
    delta.m_items.push_back({prefix_, "", 0});
  }
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

bool PrefixMirror::CoversPrefix(const mirror_delta& delta) const {
  return !options_.announces_prefix ||
         std::any_of(delta.m_items.begin(), delta.m_items.end(),
                     [this](const relayed_item& item) { return item.m_key == prefix_; });
}

void PrefixMirror::ApplyDelta(const mirror_delta& delta) {
  bool covers = CoversPrefix(delta);
  bool completes = covers && delta.m_full && !complete_ && delta.m_last_change == last_change_;
  if (delta.m_last_change <= last_change_ && !completes) {
    return;  // Already known.
  }
  if (!delta.m_full && last_change_ == 0) {
    return;  // Meant for an earlier process at this address; there is no state to apply it to.
  }
  for (const relayed_item& item : delta.m_items) {
    if (item.m_key != prefix_) {
      ApplyChange({item.m_key, item.m_value, item.m_revision}, delta.m_last_change);
    }
  }
  for (const relayed_removal& removal : delta.m_removals) {
    ApplyChange({removal.m_key, std::nullopt, removal.m_revision}, delta.m_last_change);
  }
  AdvanceLastChange(delta.m_last_change);
  if (!covers) {
    covers_prefix_ = false;
    complete_ = false;  // Other keys of the prefix may have changed: read from the store.
    return;
  }
  RemoveMissing(delta);
  if (!covers_prefix_ && !delta.m_full) {
    return;
  }
  if (!complete_ || delta.m_full) {
    removals_since_ = std::max(removals_since_, delta.m_last_change);
  }
  complete_ = true;
  covers_prefix_ = true;
  revision_ = std::max(revision_, delta.m_last_change);
}

void PrefixMirror::RemoveMissing(const mirror_delta& delta) {
  if (!delta.m_full) {
    return;
  }
  std::set<std::string> present;
  for (const relayed_item& item : delta.m_items) {
    present.insert(item.m_key);
  }
  std::vector<std::string> missing_keys;
  for (const auto& [key, item] : items_) {
    if (!present.contains(key) && item.revision <= delta.m_last_change) {
      missing_keys.push_back(key);
    }
  }
  for (const std::string& key : missing_keys) {
    ApplyChange({key, std::nullopt, delta.m_last_change}, delta.m_last_change);
  }
}

void PrefixMirror::UpdateReachability(absl::Time began, bool reachable, StoreStatus status) {
  last_wait_ = SteadyNow() - began;
  if (!reachability_known_ || reachable != reachable_) {
    reachability_known_ = true;
    reachable_ = reachable;
    // Called before `last_confirmed_` changes: the handler may read Staleness().
    on_reachability_(reachable, status);
  }
  if (reachable) {
    last_confirmed_ = SteadyNow();
  }
}

}  // namespace martenyard::store
