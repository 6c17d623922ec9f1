// Runner selection of RequestHandler: collects the candidates and their costs.
#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "base/hash.h"
#include "forwarding/placement/candidate_load.h"
#include "forwarding/request_handler.h"

namespace martenyard::forwarding {

using event_log::Line;

namespace {

/// Engines accept the ranks 0 to 9. Requests are ranked by tenant priority first, then by one of
/// three route priorities.
constexpr int kRoutePriorities = 3;
constexpr int kLastPriority = 9;

}  // namespace

std::uint64_t RequestHandler::ConnectionShare(const ServiceName& service) const {
  const Service* found = routes_->configuration().FindService(service);
  std::uint64_t limit = found == nullptr ? 64 : found->max_connections;
  return std::max<std::uint64_t>(4, limit / std::max<std::uint32_t>(1, state_->gateway_count));
}

std::vector<Candidate> RequestHandler::Candidates() {
  absl::Time now = SteadyNow();
  auto steady_now = std::chrono::steady_clock::now();
  std::vector<Candidate> candidates;
  std::uint64_t share = ConnectionShare(service_name_);
  const Service* service = routes_->configuration().FindService(service_name_);
  candidate_load load(steady_now, state_->runners, service_name_, PlacementMechanisms(),
                      service != nullptr && service->engine ? service->engine->cache_tokens : 0);
  bool only_reachable = DisregardsUnreachable();
  std::set<std::string> ended = turn_ledger::runners_of(crashes_);
  for (discovery::RunnerState* runner : state_->runners.OfService(service_name_)) {
    bool reachable = !only_reachable || state_->IsReachable(runner->runner.zone);
    if (!reachable || !IsAllowed(runner->runner)) {
      continue;
    }
    if (!ended.empty() && ended.contains(process_of(runner->runner))) {
      continue;
    }
    bool draining = runner->IsDraining();
    if (draining && runner->draining_since + state_->options.max_draining_runner_use < now) {
      continue;
    }
    Candidate candidate;
    candidate.id = runner->runner.id.value;
    candidate.same_zone = runner->runner.zone.value == state_->zone;
    candidate.slots = runner->runner.slots;
    candidate.active = runner->Active();
    candidate.cached_tokens = state_->prefixes.CachedTokens(now, info_.prompt, runner->short_id);
    candidate.loss_rate = runner->failure_rate.rate(steady_now);
    candidate.draining = draining;
    std::uint32_t shunned = IsSuspect() ? runner->own_suspects : runner->own_strong_suspects;
    candidate.avoided = runner->avoid_until > now || runner->full_until > now || shunned > 0;
    candidate.tried = tried_.contains(candidate.id);
    candidate.at_connection_limit = state_->pool.OpenCount(runner->runner.id) >= share &&
                                    state_->pool.IdleCount(runner->runner.id) == 0;
    bool held = now < std::max(runner->held_back_until, state_->slow_starts_held_until);
    candidate.held_back = runner->cold_until > now && held;
    load.apply(*runner, candidate);
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

bool RequestHandler::DisregardsUnreachable() const {
  if (state_->reachability == nullptr || state_->reachability->all_reachable()) {
    return false;
  }
  std::vector<discovery::RunnerState*> runners = state_->runners.OfService(service_name_);
  return std::any_of(runners.begin(), runners.end(), [this](const discovery::RunnerState* runner) {
    bool takes_requests = !runner->IsDraining() && IsAllowed(runner->runner);
    return takes_requests && state_->IsReachable(runner->runner.zone);
  });
}

overload_options RequestHandler::PlacementMechanisms() const {
  overload_options mechanisms = state_->options.overload;
  bool applies = info_.prompt_tokens == 0 || mechanisms.m_balance_prompts;
  mechanisms.m_runner_speeds = mechanisms.m_runner_speeds && applies;
  mechanisms.m_memory_placement = mechanisms.m_memory_placement && applies;
  mechanisms.m_load_bound = mechanisms.m_load_bound && applies;
  return mechanisms;
}

bool RequestHandler::IsAllowed(const discovery::Runner& runner) const {
  if (state_->evacuated_zones.Contains(runner.zone) || !ContinuesStream(runner)) {
    return false;
  }
  return !regions_.restricted() || regions_.allows(state_->RegionOf(runner.zone));
}

async_http::Task<std::optional<discovery::Runner>> RequestHandler::ChooseAdmitted() {
  send_before_ = absl::InfiniteFuture();
  while (!exchange_->client_gone() && TimeLeft() > kMinAttemptTime) {
    if (!crashes_.empty() && RisksLastRunner()) {
      suspect_refusal_ = reject_reason::suspect_deferred;
      break;
    }
    std::optional<discovery::Runner> runner = Choose();
    if (!runner && origin_ && !origin_open_ && MayChangeOrigin()) {
      origin_open_ = true;
      continue;
    }
    if (!runner) {
      break;
    }
    if (!co_await TakePermit(*runner)) {
      continue;
    }
    if (!co_await RecordOrigin(*runner)) {
      break;
    }
    // The operator may have evacuated the zone meanwhile.
    if (!IsAllowed(*runner)) {
      continue;
    }
    if (!co_await ReserveCrash(*runner)) {
      break;
    }
    co_return runner;
  }
  co_return std::nullopt;
}

async_http::Task<bool> RequestHandler::TakePermit(const discovery::Runner& runner) {
  const Service* service = routes_->configuration().FindService(runner.service);
  discovery::RunnerState* state = state_->runners.Find(runner.id);
  absl::Time now = SteadyNow();
  bool limited = service != nullptr && service->slow_start_rate > 0 && state->cold_until > now;
  if (!limited) {
    co_return true;
  }
  if (!IsAvailable(Prerequisite::kLedgerGroups)) {
    state_->slow_starts_held_until = now + state_->options.retry_after;
    co_return false;
  }
  slow_start_permit permit = co_await state_->slow_starts->request_permit(
      runner.id, service->slow_start_rate, routes_->configuration().version, deadline_);
  if (permit.m_verdict == permit_verdict::granted) {
    send_before_ = permit.m_send_before;
    co_return true;
  }
  bool unknown = permit.m_verdict == permit_verdict::unknown;
  absl::Time held_until = SteadyNow() + permit.m_retry_after;
  if (unknown) {
    state_->slow_starts_held_until = held_until;
  } else if ((state = state_->runners.Find(runner.id)) != nullptr) {
    state->held_back_until = held_until;
  }
  state_->log.Write(Line("slow_start_held_back")
                        .Text("request", info_.id.value)
                        .Text("runner", runner.id.value)
                        .Flag("ledger_replied", !unknown)
                        .Real("rate", service->slow_start_rate)
                        .Number("retry_after_ms", absl::ToInt64Milliseconds(permit.m_retry_after)));
  co_return false;
}

reject_reason RequestHandler::NoRunnerReason() {
  if (TimeLeft() <= kMinAttemptTime) {
    return reject_reason::deadline_passed;
  }
  if (suspect_refusal_) {
    return *suspect_refusal_;
  }
  if (IsResumption()) {
    return reject_reason::stream_version_unavailable;
  }
  std::size_t evacuated = 0;
  std::size_t outside_regions = 0;
  std::size_t usable = 0;
  for (const WeightedService& part : route_->services) {
    for (const discovery::RunnerState* runner : state_->runners.OfService(part.service)) {
      if (!regions_.allows(state_->RegionOf(runner->runner.zone))) {
        ++outside_regions;
      } else if (state_->evacuated_zones.Contains(runner->runner.zone)) {
        ++evacuated;
      } else {
        ++usable;
      }
    }
  }
  if (usable == 0 && evacuated > 0) {
    return reject_reason::zones_evacuated;
  }
  if (usable == 0 && outside_regions > 0) {
    return reject_reason::region_without_runner;
  }
  return reject_reason::no_runner;
}

double RequestHandler::LossCost() const {
  const ChoiceOptions& options = state_->options.choice;
  if (route_->Repeatable()) {
    return options.repeatable_loss_ms;
  }
  return route_->kind == RouteKind::kStream ? options.turn_loss_ms : options.call_loss_ms;
}

std::uint32_t RequestHandler::ExpectedTokens() const {
  return info_.prompt_tokens == 0 ? 0 : info_.prompt_tokens + info_.max_output_tokens;
}

std::optional<Choice> RequestHandler::PickRunner(std::vector<Candidate>& candidates) {
  ChoiceRequest request;
  request.prompt_tokens = info_.prompt_tokens;
  request.loss_ms = LossCost();
  request.isolated = IsSuspect();
  request.rendezvous_key = info_.prompt.empty() ? 0 : info_.prompt.front().id;
  if (request.rendezvous_key == 0 && route_->sticky && !info_.affinity.empty()) {
    request.rendezvous_key = StableHash(info_.affinity);
  }
  request.sample_key = StableHash(info_.id.value);
  request.expected_tokens = ExpectedTokens();
  ChoiceOptions options = state_->options.choice;
  options.load_bound = PlacementMechanisms().m_load_bound && !IsSuspect();
  candidates = Candidates();
  auto choice = ChooseRunner(candidates, request, options);
  const ServiceName preferred = service_name_;
  for (const WeightedService& part : route_->services) {
    if (choice || part.service == preferred) {
      continue;
    }
    service_name_ = part.service;
    candidates = Candidates();
    choice = ChooseRunner(candidates, request, options);
  }
  if (!choice) {
    service_name_ = preferred;
  }
  return choice;
}

std::optional<discovery::Runner> RequestHandler::Choose() {
  std::vector<Candidate> candidates;
  std::optional<Choice> choice = PickRunner(candidates);
  if (!choice) {
    return std::nullopt;
  }
  last_choice_ = *choice;
  const Candidate& chosen = candidates[choice->index];
  discovery::RunnerState* runner = state_->runners.Find(discovery::RunnerId(chosen.id));
  state_->log.Write(
      Line("runner_chosen")
          .Text("request", info_.id.value)
          .Text("runner", chosen.id)
          .Text("version", runner->runner.version)
          .Number("configuration", static_cast<std::int64_t>(routes_->configuration().version))
          .Number("candidates", static_cast<std::int64_t>(candidates.size()))
          .Number("active", chosen.active)
          .Flag("cold", runner->cold_until > SteadyNow())
          .Number("evacuated_zones", static_cast<std::int64_t>(state_->evacuated_zones.size()))
          .Number("kept_tokens", chosen.cached_tokens)
          .Number("prompt_tokens", info_.prompt_tokens)
          .Real("loss_rate", chosen.loss_rate)
          .Real("relative_service_time", chosen.relative_service_time)
          .Number("held_tokens", static_cast<std::int64_t>(chosen.held_tokens))
          .Real("cost_ms", choice->cost_ms));
  return runner->runner;
}

int RequestHandler::PriorityRank() const {
  int tenant_rank = tenant_ == nullptr ? 0 : tenant_->m_priority;
  return std::clamp(tenant_rank * kRoutePriorities + route_->priority, 0, kLastPriority);
}

}  // namespace martenyard::forwarding
