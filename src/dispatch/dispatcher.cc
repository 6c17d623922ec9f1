#include "dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

namespace martenyard::dispatch {

Dispatcher::Dispatcher(const DispatcherOptions& options, absl::Time now)
    : options_(options), started_(now), now_(now) {}

void Dispatcher::SetEngines(absl::Time now, const std::vector<EngineConfig>& engines) {
  now_ = std::max(now_, now);
  std::map<BackendName, Engine> kept;
  for (const EngineConfig& config : engines) {
    auto found = engines_.find(config.name);
    if (found == engines_.end()) {
      Engine engine;
      engine.known_since = now_;
      // When this daemon itself is new, so are all engines to it: that says nothing of them.
      engine.fresh = now_ - started_ > options_.slow_start;
      found = engines_.emplace(config.name, std::move(engine)).first;
    }
    found->second.config = config;
    kept[config.name] = std::move(found->second);
  }
  engines_ = std::move(kept);
  for (auto& [name, engine] : engines_) {
    Pump(engine);
  }
}

bool Dispatcher::Leaves(const Engine& engine) const {
  return engine.config.leaving || now_ < engine.leaving_until;
}

void Dispatcher::OnSync(absl::Time now, NodeId gateway, const PermitSync& sync) {
  now_ = std::max(now_, now);
  for (const PermitAsk& wish : sync.asks) {
    TakeAsk(gateway, wish);
  }
}

void Dispatcher::TakeAsk(NodeId gateway, const PermitAsk& wish) {
  auto found = engines_.find(wish.engine);
  if (found == engines_.end()) {
    Tell(gateway, Ask{gateway, wish, now_, now_, false},
         wish.holding ? PermitVerdict::kGranted : PermitVerdict::kRefused);
    return;
  }
  Engine& engine = found->second;
  auto known = engine.asks.find(wish.grant);
  if (known != engine.asks.end()) {
    Ask& ask = known->second;
    ask.expires = now_ + options_.ask_lease;
    if (wish.holding && !ask.granted) {
      ask.granted = true;
      Count(engine, ask, 1);
    }
    Tell(gateway, ask, ask.granted ? PermitVerdict::kGranted : PermitVerdict::kQueued);
    return;
  }
  Ask ask{gateway, wish, now_, now_ + options_.ask_lease, wish.holding};
  if (wish.holding) {
    // Granted by an earlier dispatcher: what runs is a fact.
    Count(engine, ask, 1);
  } else if (Leaves(engine)) {
    Tell(gateway, ask, PermitVerdict::kRefused);
    return;
  } else if (engine.asks.size() >= options_.max_queued) {
    Tell(gateway, ask, PermitVerdict::kFull);
    return;
  }
  engine.asks[wish.grant] = std::move(ask);
  Pump(engine);
}

void Dispatcher::OnRelease(absl::Time now, NodeId gateway, const PermitRelease& release) {
  now_ = std::max(now_, now);
  auto found = engines_.find(release.engine);
  if (found == engines_.end()) {
    return;
  }
  Engine& engine = found->second;
  if (release.engine_leaves) {
    engine.leaving_until = now_ + options_.leaving_memory;
  }
  auto ask = engine.asks.find(release.grant);
  if (ask == engine.asks.end() || ask->second.gateway != gateway) {
    return;
  }
  if (ask->second.granted) {
    Count(engine, ask->second, -1);
  }
  engine.asks.erase(ask);
  Pump(engine);
}

void Dispatcher::Tick(absl::Time now) {
  now_ = std::max(now_, now);
  for (auto& [name, engine] : engines_) {
    for (auto ask = engine.asks.begin(); ask != engine.asks.end();) {
      if (ask->second.expires > now_) {
        ++ask;
        continue;
      }
      if (ask->second.granted) {
        Count(engine, ask->second, -1);
      }
      ask = engine.asks.erase(ask);
    }
    Pump(engine);
  }
}

bool Dispatcher::IsOwn(const Engine& engine, const Ask& ask) {
  return ask.ask.partner == engine.config.owner;
}

int Dispatcher::OpenSlots(const Engine& engine) const {
  int slots = engine.config.slots;
  absl::Duration age = now_ - engine.known_since;
  if (!engine.fresh || age >= options_.slow_start) {
    return slots;
  }
  double share = absl::FDivDuration(age, options_.slow_start);
  return std::max(1, static_cast<int>(share * slots));
}

bool Dispatcher::MayStart(const Engine& engine, const Ask& ask) const {
  if (IsOwn(engine, ask)) {
    return true;
  }
  int limit = static_cast<int>(engine.config.lend_share * engine.config.slots);
  return engine.config.lends && engine.borrowed < limit;
}

void Dispatcher::Pump(Engine& engine) {
  if (Leaves(engine)) {
    for (auto ask = engine.asks.begin(); ask != engine.asks.end();) {
      if (ask->second.granted) {
        ++ask;
        continue;
      }
      Tell(ask->second.gateway, ask->second, PermitVerdict::kRefused);
      ask = engine.asks.erase(ask);
    }
    return;
  }
  while (engine.in_flight < OpenSlots(engine)) {
    std::vector<Ask*> candidates;
    std::vector<scheduling::QueuedCall> views;
    for (auto& [grant, ask] : engine.asks) {
      if (ask.granted || !MayStart(engine, ask)) {
        continue;
      }
      candidates.push_back(&ask);
      views.push_back({ask.ask.priority, ask.ask.attained,
                       absl::ToDoubleSeconds(now_ - ask.arrived), IsOwn(engine, ask)});
    }
    auto next = scheduling::ChooseNext(options_.order, views, options_.order_options);
    if (!next) {
      return;
    }
    Ask& chosen = *candidates[*next];
    chosen.granted = true;
    Count(engine, chosen, 1);
    Tell(chosen.gateway, chosen, PermitVerdict::kGranted);
  }
}

void Dispatcher::Count(Engine& engine, const Ask& ask, int change) {
  engine.in_flight += change;
  if (!IsOwn(engine, ask)) {
    engine.borrowed += change;
  }
}

void Dispatcher::Tell(NodeId gateway, const Ask& ask, PermitVerdict verdict) {
  news_[gateway].answers.push_back({ask.ask.grant, ask.ask.engine, verdict});
}

std::vector<EngineLoad> Dispatcher::Loads() const {
  std::vector<EngineLoad> loads;
  for (const auto& [name, engine] : engines_) {
    auto total = static_cast<std::int32_t>(engine.asks.size());
    loads.push_back({name, engine.in_flight, total - engine.in_flight});
  }
  return loads;
}

std::vector<NewsTo> Dispatcher::TakeNews() {
  std::vector<NewsTo> taken;
  for (auto& [gateway, news] : news_) {
    taken.push_back({gateway, std::move(news)});
  }
  news_.clear();
  return taken;
}

}  // namespace martenyard::dispatch
