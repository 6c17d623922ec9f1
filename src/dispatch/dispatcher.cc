#include "dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

namespace martenyard::dispatch {

Dispatcher::Dispatcher(const DispatcherOptions& options, absl::Time now)
    : options_(options), started_(now), now_(now) {}

void Dispatcher::SetEngines(absl::Time now, const std::vector<EngineConfig>& engines) {
  now_ = std::max(now_, now);
  std::map<BackendName, Engine> configured;
  for (const EngineConfig& config : engines) {
    auto found = engines_.find(config.name);
    if (found == engines_.end()) {
      Engine engine;
      engine.added_at = now_;
      // Shortly after this daemon's own start all engines are new to it, but not newly added.
      engine.newly_added = now_ - started_ > options_.slow_start;
      found = engines_.emplace(config.name, std::move(engine)).first;
    }
    found->second.config = config;
    configured[config.name] = std::move(found->second);
  }
  engines_ = std::move(configured);
  for (auto& [name, engine] : engines_) {
    ServeQueue(engine);
  }
}

bool Dispatcher::IsDraining(const Engine& engine) const {
  return engine.config.draining || now_ < engine.draining_until;
}

void Dispatcher::OnSync(absl::Time now, NodeId gateway, const PermitSync& sync) {
  now_ = std::max(now_, now);
  for (const PermitAsk& request : sync.requests) {
    HandleRequest(gateway, request);
  }
}

void Dispatcher::HandleRequest(NodeId gateway, const PermitAsk& request) {
  auto found = engines_.find(request.engine);
  if (found == engines_.end()) {
    AddReply(gateway, QueueEntry{gateway, request, now_, now_, false},
             request.holds_permit ? PermitVerdict::kGranted : PermitVerdict::kRefused);
    return;
  }
  Engine& engine = found->second;
  auto existing = engine.entries.find(request.grant);
  if (existing != engine.entries.end()) {
    QueueEntry& entry = existing->second;
    entry.expires = now_ + options_.request_ttl;
    if (request.holds_permit && !entry.granted) {
      entry.granted = true;
      CountInFlight(engine, entry, 1);
    }
    AddReply(gateway, entry, entry.granted ? PermitVerdict::kGranted : PermitVerdict::kQueued);
    return;
  }
  QueueEntry entry{gateway, request, now_, now_ + options_.request_ttl, request.holds_permit};
  if (request.holds_permit) {
    // Granted by an earlier dispatcher; the call is already running.
    CountInFlight(engine, entry, 1);
  } else if (IsDraining(engine)) {
    AddReply(gateway, entry, PermitVerdict::kRefused);
    return;
  } else if (engine.entries.size() >= options_.max_queued) {
    AddReply(gateway, entry, PermitVerdict::kFull);
    return;
  }
  engine.entries[request.grant] = std::move(entry);
  ServeQueue(engine);
}

void Dispatcher::OnRelease(absl::Time now, NodeId gateway, const PermitRelease& release) {
  now_ = std::max(now_, now);
  auto found = engines_.find(release.engine);
  if (found == engines_.end()) {
    return;
  }
  Engine& engine = found->second;
  if (release.engine_draining) {
    engine.draining_until = now_ + options_.draining_hold;
  }
  auto entry = engine.entries.find(release.grant);
  if (entry == engine.entries.end() || entry->second.gateway != gateway) {
    return;
  }
  if (entry->second.granted) {
    CountInFlight(engine, entry->second, -1);
  }
  engine.entries.erase(entry);
  ServeQueue(engine);
}

void Dispatcher::Tick(absl::Time now) {
  now_ = std::max(now_, now);
  for (auto& [name, engine] : engines_) {
    for (auto entry = engine.entries.begin(); entry != engine.entries.end();) {
      if (entry->second.expires > now_) {
        ++entry;
        continue;
      }
      if (entry->second.granted) {
        CountInFlight(engine, entry->second, -1);
      }
      entry = engine.entries.erase(entry);
    }
    ServeQueue(engine);
  }
}

bool Dispatcher::IsFromOwner(const Engine& engine, const QueueEntry& entry) {
  return entry.request.partner == engine.config.owner;
}

int Dispatcher::UsableSlots(const Engine& engine) const {
  int slots = engine.config.slots;
  absl::Duration age = now_ - engine.added_at;
  if (!engine.newly_added || age >= options_.slow_start) {
    return slots;
  }
  double share = absl::FDivDuration(age, options_.slow_start);
  return std::max(1, static_cast<int>(share * slots));
}

bool Dispatcher::MayStart(const Engine& engine, const QueueEntry& entry) const {
  if (IsFromOwner(engine, entry)) {
    return true;
  }
  int limit = static_cast<int>(engine.config.lend_share * engine.config.slots);
  return engine.config.lends && engine.borrowed < limit;
}

void Dispatcher::ServeQueue(Engine& engine) {
  if (IsDraining(engine)) {
    for (auto entry = engine.entries.begin(); entry != engine.entries.end();) {
      if (entry->second.granted) {
        ++entry;
        continue;
      }
      AddReply(entry->second.gateway, entry->second, PermitVerdict::kRefused);
      entry = engine.entries.erase(entry);
    }
    return;
  }
  while (engine.in_flight < UsableSlots(engine)) {
    std::vector<QueueEntry*> candidates;
    std::vector<scheduling::QueuedCall> views;
    for (auto& [grant, entry] : engine.entries) {
      if (entry.granted || !MayStart(engine, entry)) {
        continue;
      }
      candidates.push_back(&entry);
      views.push_back({entry.request.priority, entry.request.attained,
                       absl::ToDoubleSeconds(now_ - entry.arrived), IsFromOwner(engine, entry)});
    }
    auto next = scheduling::ChooseNext(options_.order, views, options_.order_options);
    if (!next) {
      return;
    }
    QueueEntry& chosen = *candidates[*next];
    chosen.granted = true;
    CountInFlight(engine, chosen, 1);
    AddReply(chosen.gateway, chosen, PermitVerdict::kGranted);
  }
}

void Dispatcher::CountInFlight(Engine& engine, const QueueEntry& entry, int change) {
  engine.in_flight += change;
  if (!IsFromOwner(engine, entry)) {
    engine.borrowed += change;
  }
}

void Dispatcher::AddReply(NodeId gateway, const QueueEntry& entry, PermitVerdict verdict) {
  updates_[gateway].replies.push_back({entry.request.grant, entry.request.engine, verdict});
}

std::vector<EngineLoad> Dispatcher::Loads() const {
  std::vector<EngineLoad> loads;
  for (const auto& [name, engine] : engines_) {
    auto total = static_cast<std::int32_t>(engine.entries.size());
    loads.push_back({name, engine.in_flight, total - engine.in_flight});
  }
  return loads;
}

std::vector<OutgoingPermitUpdate> Dispatcher::TakeUpdates() {
  std::vector<OutgoingPermitUpdate> taken;
  for (auto& [gateway, update] : updates_) {
    taken.push_back({gateway, std::move(update)});
  }
  updates_.clear();
  return taken;
}

}  // namespace martenyard::dispatch
