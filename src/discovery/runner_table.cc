#include "discovery/runner_table.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace martenyard::discovery {

bool RunnerTable::Upsert(absl::Time now, const Runner& runner) {
  auto [entry, is_new] = runners_.try_emplace(runner.id);
  RunnerState& state = entry->second;
  bool counted =
      !is_new && state.runner.service == runner.service && state.runner.version == runner.version;
  if (!is_new && !counted) {
    UncountVersion(now, state.runner);
  }
  if (!counted) {
    CountVersion(now, runner);
  }
  bool restarted = state.runner.started != absl::UnixEpoch() &&
                   runner.started != absl::UnixEpoch() && state.runner.started != runner.started;
  if (restarted) {
    // Requests in flight to the previous process are counted until they end.
    RunnerState fresh;
    fresh.own_active = state.own_active;
    fresh.own_suspects = state.own_suspects;
    fresh.own_strong_suspects = state.own_strong_suspects;
    fresh.peers_active = state.peers_active;
    fresh.own_tokens = state.own_tokens;
    state = std::move(fresh);
  }
  state.runner = runner;
  if (runner.cold_for > absl::ZeroDuration()) {
    state.MarkCold(now + runner.cold_for);
  }
  state.short_id = static_cast<std::uint32_t>(StableHash(runner.id.value));
  by_short_id_[state.short_id] = &state;
  state.gone = false;
  if (runner.draining) {
    state.draining_since = std::min(state.draining_since, now);
  } else {
    state.draining_since = absl::InfiniteFuture();
  }
  return restarted;
}

void RunnerTable::Remove(absl::Time now, const RunnerId& id) {
  auto found = runners_.find(id);
  if (found != runners_.end()) {
    found->second.gone = true;
    found->second.draining_since = std::min(found->second.draining_since, now);
  }
}

void RunnerTable::RecordSignal(absl::Time now, const RunnerId& id, RunnerSignal signal) {
  RunnerState* state = Find(id);
  if (state == nullptr) {
    return;
  }
  switch (signal) {
    case RunnerSignal::kServed:
      state->consecutive_failures = 0;
      state->avoid_until = absl::InfinitePast();
      return;
    case RunnerSignal::kRejected:
      state->full_until = now + options_.full_backoff;
      return;
    case RunnerSignal::kDraining:
      state->draining_since = std::min(state->draining_since, now);
      return;
    case RunnerSignal::kUnreachable:
      state->consecutive_failures =
          std::max(state->consecutive_failures, options_.failure_threshold - 1);
      break;
    case RunnerSignal::kFailed:
      break;
  }
  ++state->consecutive_failures;
  int excess = state->consecutive_failures - options_.failure_threshold;
  if (excess < 0) {
    return;
  }
  absl::Duration avoidance = options_.initial_avoidance * (1 << std::min(excess, 4));
  state->avoid_until = now + std::min(avoidance, options_.max_avoidance);
}

void RunnerTable::RecordOutcome(const RunnerId& id, const request_outcomes& outcome) {
  RecordOutcome(std::chrono::steady_clock::now(), id, outcome);
}

void RunnerTable::RecordOutcome(Instant now, const RunnerId& id, const request_outcomes& outcome) {
  if (RunnerState* state = Find(id)) {
    state->failure_rate.record(now, outcome);
    state->service_time.record_completions(now, outcome.m_served);
    state->unreported.m_served += outcome.m_served;
    state->unreported.m_lost += outcome.m_lost;
  }
}

void RunnerTable::BeginRequest(Instant now, RunnerState& state, std::uint32_t tokens) {
  ++state.own_active;
  state.own_tokens += tokens;
  state.service_time.set_own_active(now, state.own_active, state.runner.slots);
  if (tokens > 0) {
    token_means_[state.runner.service].add(tokens);
  }
}

void RunnerTable::EndRequest(Instant now, const RunnerId& id, std::uint32_t tokens) {
  if (RunnerState* state = Find(id)) {
    --state->own_active;
    state->own_tokens -= std::min<std::uint64_t>(state->own_tokens, tokens);
    state->service_time.set_own_active(now, state->own_active, state->runner.slots);
  }
}

void RunnerTable::RecordPeerLoads(Instant now) {
  for (auto& [id, state] : runners_) {
    state.service_time.set_peers_active(now, state.peers_active, state.runner.slots);
  }
}

runner_speeds RunnerTable::SpeedsOf(Instant now, const ServiceName& service) const {
  runner_speeds speeds;
  for (const auto& [id, state] : runners_) {
    if (state.runner.service == service) {
      speeds.add(state.service_time.sample(now));
    }
  }
  return speeds;
}

double RunnerTable::MeanTokens(const ServiceName& service) const {
  auto found = token_means_.find(service);
  return found == token_means_.end() ? 0 : found->second.value();
}

ServiceBalance RunnerTable::Balance(Instant now, bool uses_speeds) const {
  struct Sums {
    runner_speeds speeds;
    double work = 0;
    double slots = 0;
    double busiest = 0;
    double slowest = 1;
  };
  std::map<ServiceName, Sums> services;
  for (const auto& [id, state] : runners_) {
    services[state.runner.service].speeds.add(state.service_time.sample(now));
  }
  for (const auto& [id, state] : runners_) {
    if (state.IsDraining()) {
      continue;
    }
    Sums& sums = services[state.runner.service];
    double relative = uses_speeds ? sums.speeds.relative(state.service_time.sample(now),
                                                         state.failure_rate.rate(now))
                                  : 1;
    double slots = std::max<std::uint32_t>(1, state.runner.slots);
    double work = state.Active() * relative;
    sums.work += work;
    sums.slots += slots;
    sums.busiest = std::max(sums.busiest, work / slots);
    sums.slowest = std::max(sums.slowest, relative);
  }
  ServiceBalance worst;
  for (const auto& [service, sums] : services) {
    if (sums.work > 0) {
      worst.busiest_to_mean =
          std::max(worst.busiest_to_mean, sums.busiest / (sums.work / sums.slots));
    }
    worst.slowest = std::max(worst.slowest, sums.slowest);
  }
  return worst;
}

void RunnerTable::Prune(absl::Time now, absl::Duration retention) {
  for (auto entry = runners_.begin(); entry != runners_.end();) {
    const RunnerState& state = entry->second;
    bool expired = state.gone && state.own_active == 0 && state.draining_since + retention < now;
    if (!expired) {
      ++entry;
      continue;
    }
    UncountVersion(now, state.runner);
    by_short_id_.erase(state.short_id);
    entry = runners_.erase(entry);
  }
}

void RunnerTable::CountVersion(absl::Time now, const Runner& runner) {
  auto [counts, is_first] = versions_.try_emplace(runner.service);
  std::size_t& runners = counts->second.runners[runner.version];
  if (++runners == 1 && !is_first) {
    counts->second.unchanged_since = now;
  }
}

void RunnerTable::UncountVersion(absl::Time now, const Runner& runner) {
  VersionCounts& counts = versions_.find(runner.service)->second;
  auto version = counts.runners.find(runner.version);
  if (--version->second == 0) {
    counts.runners.erase(version);
    counts.unchanged_since = now;
  }
}

std::optional<std::string> RunnerTable::SoleVersion(const ServiceName& service) const {
  auto found = versions_.find(service);
  if (found == versions_.end() || found->second.runners.size() != 1) {
    return std::nullopt;
  }
  return found->second.runners.begin()->first;
}

absl::Time RunnerTable::SoleVersionSince(const ServiceName& service) const {
  auto found = versions_.find(service);
  return found == versions_.end() ? absl::InfiniteFuture()
                                  : std::max(history_start_, found->second.unchanged_since);
}

RunnerState* RunnerTable::Find(const RunnerId& id) {
  auto found = runners_.find(id);
  return found == runners_.end() ? nullptr : &found->second;
}

RunnerState* RunnerTable::FindByShortId(std::uint32_t short_id) {
  auto found = by_short_id_.find(short_id);
  return found == by_short_id_.end() ? nullptr : found->second;
}

std::vector<RunnerState*> RunnerTable::OfService(const ServiceName& service) {
  std::vector<RunnerState*> found;
  for (auto& [id, state] : runners_) {
    if (state.runner.service == service) {
      found.push_back(&state);
    }
  }
  return found;
}

}  // namespace martenyard::discovery
