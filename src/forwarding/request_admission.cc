// Admission part of RequestHandler: finds the route, checks the API key and the tenant's quota,
// reserves the turn's tokens and loads the history of the previous turns.
#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/hash.h"
#include "forwarding/headers/end_to_end.h"
#include "forwarding/request_handler.h"

namespace martenyard::forwarding {

using async_http::Task;
using event_log::Line;

namespace http = boost::beast::http;

namespace {

/// Makes the point of a program independent of the one that selects the service of a split route.
constexpr std::uint64_t kAdmissionSeed = 1;

absl::string_view View(boost::beast::string_view text) { return {text.data(), text.size()}; }

/// @return a point in [0, 1) that selects the service of a split route, stable within a program.
double SplitPoint(const RequestInfo& info, Random& random) {
  if (!info.program.value.empty()) {
    return StableUnitPoint(info.program.value);
  }
  return random.Uniform();
}

}  // namespace

absl::Duration RequestHandler::TimeLeft() const { return deadline_ - SteadyNow(); }

bool RequestHandler::IsAvailable(Prerequisite prerequisite) const {
  switch (prerequisite) {
    case Prerequisite::kRoutes:
      return state_->routes != nullptr;
    case Prerequisite::kLedgerGroups:
      return state_->ledger->groups() > 0;
    case Prerequisite::kLease:
      return state_->lease.is_valid(std::chrono::steady_clock::now());
  }
  return false;
}

Task<void> RequestHandler::WaitFor(Prerequisite prerequisite) {
  absl::Duration allowed = info_.deadline.value_or(absl::Seconds(1)) / 4;
  absl::Time end = exchange_->received_at() + std::min(state_->options.startup_timeout, allowed);
  // An isolated gateway gets neither the lease nor a reply of the ledger groups.
  auto is_unavailable = [&] {
    return prerequisite != Prerequisite::kRoutes && state_->isolation.closed();
  };
  while (!IsAvailable(prerequisite) && !is_unavailable() && SteadyNow() < end) {
    co_await state_->prerequisite_changed.Wait(end - SteadyNow());
  }
}

Task<bool> RequestHandler::FindRoute() {
  co_await WaitFor(Prerequisite::kRoutes);
  routes_ = state_->routes;
  if (!routes_) {
    deadline_ = exchange_->received_at() + info_.deadline.value_or(absl::Seconds(1));
    co_await Refuse(reject_reason::no_configuration);
    co_return false;
  }
  const auto& request = exchange_->request();
  route_ = routes_->Match(View(request[http::field::host]), View(request.target()));
  if (route_ == nullptr) {
    deadline_ = exchange_->received_at() + info_.deadline.value_or(absl::Seconds(1));
    if (state_->store_reachable) {
      co_await SendError(404, reject_reason::no_such_route, std::nullopt);
    } else {
      co_await Refuse(reject_reason::route_unknown);
    }
    co_return false;
  }
  absl::Duration allowed = std::min(info_.deadline.value_or(route_->timeout), route_->timeout);
  deadline_ = exchange_->received_at() + allowed;
  service_name_ = ChooseService(*route_, SplitPoint(info_, state_->random));
  service_ = routes_->configuration().FindService(service_name_);
  if (route_->kind == RouteKind::kStream && route_->resumable) {
    delivered_ = delivered_events(info_.last_event_id);
  }
  if (!route_->keeps_turns) {
    delivered_.discard_data();
  }
  co_return true;
}

Task<bool> RequestHandler::CheckKey() {
  const auto& tenants = routes_->configuration().tenants;
  if (!tenants.empty() && !state_->lease.last_confirmed()) {
    co_await WaitFor(Prerequisite::kLease);
  }
  auto keys = values_of(exchange_->request(), state_->names.api_key);
  tenancy::key_check check = tenants.check(keys, route_->is_public, state_->key_hasher);
  if (check.m_verdict != tenancy::key_verdict::allowed) {
    bool missing = check.m_verdict == tenancy::key_verdict::missing;
    if (IsAvailable(Prerequisite::kLease)) {
      co_await SendError(401, missing ? reject_reason::key_missing : reject_reason::key_unknown,
                         std::nullopt);
    } else {
      co_await RefuseWithoutLease(reject_reason::key_unverifiable);
    }
    co_return false;
  }
  tenant_ = check.m_tenant;
  regions_ =
      region_restriction(route_->allowed_regions,
                         tenant_ == nullptr ? std::set<std::string>() : tenant_->m_allowed_regions);
  ScopeIds();
  if (tenant_ != nullptr && !IsAvailable(Prerequisite::kLease)) {
    co_await RefuseWithoutLease(reject_reason::key_revocable);
    co_return false;
  }
  co_return true;
}

Task<bool> RequestHandler::CheckQuota() {
  if (tenant_ == nullptr || !tenant_->m_limit.limited()) {
    co_return true;
  }
  co_await WaitFor(Prerequisite::kLedgerGroups);
  if (!IsAvailable(Prerequisite::kLedgerGroups)) {
    co_await Refuse(reject_reason::quota_owner_unknown);
    co_return false;
  }
  absl::Time start = SteadyNow();
  absl::Time deadline =
      std::min(start + state_->options.quota_timeout, deadline_ - state_->options.response_margin);
  std::uint64_t program = program_.value.empty() ? 0 : StableHash(program_.value);
  std::uint64_t version = routes_->configuration().version;
  quota_decision decision = co_await state_->quotas->admit(*tenant_, version, program, deadline);
  if (rejecting_) {
    co_return false;
  }
  state_->metrics.Observe(Stage::kQuota, SteadyNow() - start);
  if (decision.m_verdict == quota_verdict::granted) {
    if (decision.m_wait.count() > 0) {
      co_await async_http::Sleep(state_->context, absl::FromChrono(decision.m_wait));
    }
    co_return true;
  }
  state_->log.Write(Line("quota_refused")
                        .Text("request", info_.id.value)
                        .Text("tenant", tenant_->m_name)
                        .Flag("known", decision.m_verdict == quota_verdict::refused)
                        .Real("rate", tenant_->m_limit.m_rate)
                        .Real("burst", tenant_->m_limit.m_burst)
                        .Number("configuration", static_cast<std::int64_t>(version))
                        .Number("retry_after_ms", decision.m_retry_after.count())
                        .Real("ms", absl::ToDoubleMilliseconds(SteadyNow() - start)));
  if (decision.m_verdict == quota_verdict::unknown) {
    co_await Refuse(reject_reason::quota_unknown);
    co_return false;
  }
  // Jitter of up to 25 %, so that clients refused together don't retry together.
  absl::Duration retry_delay =
      absl::FromChrono(decision.m_retry_after) * (1 + state_->random.Uniform() / 4);
  co_await SendError(429, reject_reason::quota_exceeded, retry_delay);
  co_return false;
}

bool RequestHandler::KeyStillValid() const {
  if (tenant_ == nullptr) {
    return true;
  }
  if (!IsAvailable(Prerequisite::kLease)) {
    return false;
  }
  if (state_->routes == routes_) {
    return true;
  }
  auto keys = values_of(exchange_->request(), state_->names.api_key);
  const auto& tenants = state_->routes->configuration().tenants;
  auto check = tenants.check(keys, /*is_public=*/false, state_->key_hasher);
  return check.m_tenant != nullptr && check.m_tenant->m_name == tenant_->m_name;
}

Task<void> RequestHandler::RefuseWithoutLease(reject_reason reason) {
  // Jitter of +-25 %, so that clients refused together don't retry together.
  absl::Duration retry_delay =
      state_->options.lease_retry_after * (0.75 + 0.5 * state_->random.Uniform());
  if (state_->isolation.closed()) {
    state_->isolation.count_rejection();
    retry_delay = MoveDelay();
  }
  co_await SendError(503, reason, retry_delay);
}

bool RequestHandler::NeedsLedger() const {
  bool limited = tenant_ != nullptr && tenant_->m_limit.limited();
  bool needs_origin = OriginQuery().has_value();
  return limited || needs_origin || info_.token_budget.has_value() || route_->keeps_turns;
}

Task<bool> RequestHandler::AdmitUnlessIsolated() {
  if (NeedsLedger() && state_->isolation.closed()) {
    co_await RejectIsolated();
    co_return false;
  }
  bool admitted = false;
  {
    std::optional<isolation_gate::waiting_request> waiting;
    if (NeedsLedger()) {
      waiting.emplace(state_->isolation, [this] { StartRejection(); });
    }
    admitted = co_await CheckQuota();
    admitted = admitted && !rejecting_ && co_await AdmitTurn();
  }
  if (!rejecting_) {
    co_return admitted;
  }
  while (sending_rejection_) {
    co_await rejection_ended_.Wait(absl::Seconds(1));
  }
  SettleInBackground(0);
  co_return false;
}

void RequestHandler::StartRejection() {
  if (exchange_->answered() || exchange_->client_gone()) {
    return;
  }
  rejecting_ = true;
  sending_rejection_ = true;
  // The handler waits for the end of this coroutine.
  async_http::asio::co_spawn(
      state_->context,
      [this]() -> Task<void> {
        co_await RejectIsolated();
        sending_rejection_ = false;
        rejection_ended_.Notify();
      },
      async_http::asio::detached);
}

Task<void> RequestHandler::RejectIsolated() {
  state_->isolation.count_rejection();
  co_await SendError(503, reject_reason::isolated, MoveDelay());
}

absl::Duration RequestHandler::MoveDelay() {
  auto isolated_for = std::chrono::duration_cast<std::chrono::milliseconds>(
      SteadyInstant() - state_->isolation.isolated_since().value_or(SteadyInstant()));
  return absl::FromChrono(move_delay(isolated_for, state_->random.Uniform()));
}

Task<void> RequestHandler::RejectRevokedKey() {
  if (exchange_->stream_started()) {
    exchange_->Break();
    EndRequest("broken");
  } else if (may_have_run_) {
    co_await SendError(502, reject_reason::key_revoked_after_sending, std::nullopt);
  } else {
    co_await RefuseWithoutLease(reject_reason::key_revoked_meanwhile);
  }
}

void RequestHandler::ScopeIds() {
  absl::string_view tenant = tenant_ == nullptr ? absl::string_view() : tenant_->m_name;
  turn_ = turn_ledger::TurnId(tenancy::scoped_id(tenant, info_.id.value));
  reservation_id_ = turn_;
  program_ = ProgramId(tenancy::scoped_id(tenant, info_.program.value));
  if (info_.previous_turn) {
    previous_turn_ = RequestId(tenancy::scoped_id(tenant, info_.previous_turn->value));
  }
}

Task<bool> RequestHandler::AdmitTurn() {
  bool stores_turn = route_->keeps_turns;
  bool asks_ledger = false;  // For the origin of the stream that the client resumes.
  if (IsResumption()) {
    asks_ledger = OriginQuery().has_value();
    if (!asks_ledger) {
      std::optional<turn_ledger::stream_origin> origin = co_await ProveSoleOrigin();
      if (!co_await AdoptOrigin(std::move(origin), OriginSource::kSoleVersion)) {
        co_return false;
      }
    }
  }
  if (!info_.token_budget && !stores_turn) {
    if (!asks_ledger) {
      co_return true;
    }
    co_return co_await FindOrigin();
  }
  if (stores_turn && !info_.last_event_id.empty()) {
    // The events that the client already has are unknown here and can't be stored.
    co_await SendError(503, reject_reason::kept_turn_resumed, std::nullopt);
    co_return false;
  }
  // The ledger places its replicas in any region.
  if (stores_turn &&
      !regions_.allows_storing(state_->regions, state_->RegionOf(ZoneName(state_->zone)))) {
    co_await Refuse(reject_reason::storage_region_not_allowed);
    co_return false;
  }
  co_await WaitFor(Prerequisite::kLedgerGroups);
  if (!IsAvailable(Prerequisite::kLedgerGroups)) {
    co_await Refuse(reject_reason::ledger_unknown);
    co_return false;
  }
  Identify();
  group_ = state_->ledger->GroupOf(program_);
  if (!info_.token_budget && !previous_turn_) {
    co_return true;
  }
  turn_ledger::ReserveTurn reserve;
  reserve.program = program_;
  reserve.tokens = info_.max_output_tokens;
  reserve.budget = info_.token_budget;
  reserve.retention_ms = RetentionMilliseconds();
  std::optional<history_fetch> fetch;
  if (stores_turn && previous_turn_) {
    reserve.previous = turn_ledger::TurnId(previous_turn_->value);
    reserve.has_previous = true;
    bool readable = state_->options.reads_replicas && !state_->ledger_relayed;
    if (!readable && state_->turns.Find(*previous_turn_) == nullptr) {
      reserve.has_previous = false;  // Replicas can't be read: the leader sends the chain.
    } else {
      fetch.emplace(state_, program_, *previous_turn_);
    }
  }
  absl::Time start = SteadyNow();
  absl::Time ledger_deadline =
      std::min(deadline_ - state_->options.response_margin, start + state_->options.ledger_timeout);
  engine_load load = EngineLoad();
  turn_ledger::Programs programs = AdmittedPrograms(load);
  if (IsResumable() && !IsResumption()) {
    PlanOrigin();
  }
  reserve.turn = reservation_id_;
  reserved_ = true;
  turn_ledger::CallResult result = co_await Reserve(reserve, ledger_deadline, programs);
  state_->metrics.Observe(Stage::kLedger, SteadyNow() - start);
  Line line("turn_admission");
  line.Text("request", info_.id.value).Text("program", info_.program.value);
  line.Real("ms", absl::ToDoubleMilliseconds(SteadyNow() - start));
  line.Number("active", load.m_active).Number("slots", load.m_slots);
  line.Number("most", static_cast<std::int64_t>(reserve.tokens));
  if (admission_) {
    line.Real("limit", admission_->m_limit).Number("rank", admission_->m_rank);
    line.Real("slowdown", admission_->m_slowdown.value_or(0));
    line.Text("reason", scheduling::name_of(admission_->m_decision.m_reason));
  }
  if (!co_await HandleVerdict(result, line)) {
    co_return false;
  }
  if (asks_ledger && !co_await AdoptOrigin(std::move(result->origin), OriginSource::kLedger)) {
    co_return false;
  }
  const turn_ledger::TurnPlace& place = result->previous_place;
  if (place.runner != 0 && state_->options.uses_turn_places) {
    state_->prefixes.RecordPrefix(SteadyNow(), info_.prompt, place.tokens, place.runner);
    line.Number("previous_runner", place.runner);
  }
  if (other_group_history_ != nullptr) {
    line.Text("history", name_of(history_source::other_group));
    PrependHistory(other_group_history_);
  } else if (reserve.previous && !reserve.has_previous) {
    UseLeaderHistory(std::move(result->history), line);
  } else if (fetch && !co_await LoadHistory(*fetch, reserve, ledger_deadline, line)) {
    co_return false;
  }
  state_->log.Write(line.Text("verdict", "admitted"));
  co_return true;
}

turn_ledger::Programs RequestHandler::AdmittedPrograms(const engine_load& load) {
  using scheduling::admitted_programs;
  using turn_ledger::Programs;
  // The ranks of tenants and routes together are too many for the distances between their limits:
  // the lowest ones would be refused while half of the slots are free.
  bool ranked_by_tenants = tenant_ != nullptr;
  if (!state_->admissions.enabled() || ranked_by_tenants) {
    return admits_program(load, state_->options.admission) ? Programs::kAll : Programs::kKnownOnly;
  }
  gateway_view view{.m_engines = load, .m_gateways = state_->gateway_count};
  for (const discovery::RunnerState* runner : state_->runners.OfService(service_name_)) {
    view.m_own_active += runner->own_active;
    ++view.m_runners;
  }
  turn_arrival arrival;
  arrival.m_tenant_priority = tenant_ == nullptr ? 0 : tenant_->m_priority;
  arrival.m_route_priority = route_->priority;
  arrival.m_point = program_.value.empty() ? state_->random.Uniform()
                                           : StableUnitPoint(program_.value, kAdmissionSeed);
  if (info_.program_deadline) {
    arrival.m_remaining = absl::ToChronoMilliseconds(*info_.program_deadline);
  }
  arrival.m_token_budget = info_.token_budget;
  arrival.m_draw = state_->random.Uniform();
  arrival.m_jitter = state_->random.Uniform();
  admission_ = state_->admissions.decide(SteadyInstant(), service_name_, view, arrival);
  switch (admission_->m_decision.m_programs) {
    case admitted_programs::all:
      return Programs::kAll;
    case admitted_programs::known_or_waiting:
      return Programs::kKnownOrWaiting;
    case admitted_programs::known:
      return Programs::kKnownOnly;
  }
  return Programs::kAll;
}

absl::Duration RequestHandler::ProgramRetryDelay() const {
  if (admission_ && state_->options.overload.m_rank_admission) {
    return absl::FromChrono(admission_->m_decision.m_retry_delay);
  }
  std::optional<std::chrono::milliseconds> remaining;
  if (info_.program_deadline) {
    remaining = std::chrono::milliseconds(absl::ToInt64Milliseconds(*info_.program_deadline));
  }
  return absl::FromChrono(
      program_retry_delay(remaining, state_->random.Uniform(), state_->options.admission));
}

Task<bool> RequestHandler::HandleVerdict(const turn_ledger::CallResult& result, Line& line) {
  if (result.status == turn_ledger::CallStatus::kDeadlineExceeded) {
    state_->log.Write(line.Text("verdict", "no_answer"));
    SettleInBackground(0);
    co_await Refuse(reject_reason::ledger_silent);
    co_return false;
  }
  line.Number("spent", static_cast<std::int64_t>(result->spent));
  line.Number("reserved", static_cast<std::int64_t>(result->reserved));
  line.Number("budget", static_cast<std::int64_t>(info_.token_budget.value_or(0)));
  bool admitted = result && result->verdict == turn_ledger::Verdict::kDone;
  if (admitted) {
    if (admission_) {
      // A program without spent or reserved tokens has no turn yet.
      bool first = result->spent + result->reserved == 0;
      state_->admissions.record_admitted(SteadyInstant(), service_name_, *admission_, first);
    }
    co_return true;
  }
  reserved_ = false;
  if (result.status == turn_ledger::CallStatus::kOverloaded) {
    state_->log.Write(line.Text("verdict", "overloaded"));
    co_await Refuse(reject_reason::ledger_overloaded);
  } else if (result->verdict == turn_ledger::Verdict::kUnknownProgram) {
    if (admission_) {
      state_->admissions.record_refused(SteadyInstant(), service_name_, *admission_);
    }
    state_->log.Write(line.Text("verdict", "engines_full"));
    co_await SendError(503, reject_reason::engines_full, ProgramRetryDelay());
  } else if (result->verdict == turn_ledger::Verdict::kBudgetSpent) {
    state_->log.Write(line.Text("verdict", "budget_spent"));
    co_await SendError(402, reject_reason::budget_spent, std::nullopt);
  } else if (result->verdict == turn_ledger::Verdict::kUnknownPrevious) {
    state_->log.Write(
        line.Text("verdict", "unknown_previous").Text("previous", info_.previous_turn->value));
    co_await SendError(404, reject_reason::previous_turn_unknown, std::nullopt);
  } else {
    state_->log.Write(line.Text("verdict", "settled_before"));
    co_await Refuse(reject_reason::settled_before);
  }
  co_return false;
}

engine_load RequestHandler::EngineLoad() const {
  engine_load load;
  bool only_reachable = DisregardsUnreachable();
  for (const discovery::RunnerState* runner : state_->runners.OfService(service_name_)) {
    if (only_reachable && !state_->IsReachable(runner->runner.zone)) {
      continue;  // Requests that hang there use no capacity elsewhere.
    }
    load.m_active += runner->Active();
    bool takes_requests = !runner->IsDraining() && IsAllowed(runner->runner);
    load.m_slots += takes_requests ? runner->runner.slots : 0;
  }
  return load;
}

Task<turn_ledger::CallResult> RequestHandler::Reserve(turn_ledger::ReserveTurn reserve,
                                                      absl::Time ledger_deadline,
                                                      turn_ledger::Programs programs) {
  turn_ledger::LedgerQueries queries;
  queries.origin = OriginQuery();
  queries.crash_account = CrashAccount();
  turn_ledger::CallResult result = co_await state_->ledger->Call(
      group_, reserve, ledger_deadline, turn_ledger::Relaying::kAllowed, programs, queries);
  if (result) {
    crashes_known_ = queries.crash_account.has_value();
    LearnCrashes(result.result);
  }
  bool unknown = result && result->verdict == turn_ledger::Verdict::kUnknownPrevious;
  if (unknown && state_->ledger->groups() > 1) {
    result = co_await ReserveAfterOtherGroupsTurn(std::move(reserve), ledger_deadline);
  }
  co_return result;
}

Task<turn_ledger::CallResult> RequestHandler::ReserveAfterOtherGroupsTurn(
    turn_ledger::ReserveTurn reserve, absl::Time ledger_deadline) {
  other_groups_result search =
      co_await search_other_groups(state_, group_, *previous_turn_, ledger_deadline);
  if (search.m_chain != nullptr) {
    // The chain is stored in this program's group as the start of the new turn.
    other_group_history_ = search.m_chain;
    reserve.previous.reset();
    co_return co_await state_->ledger->Call(group_, reserve, ledger_deadline);
  }
  turn_ledger::CallResult result;
  if (search.m_complete) {
    result.status = turn_ledger::CallStatus::kDone;
    result.result.verdict = turn_ledger::Verdict::kUnknownPrevious;
  }
  co_return result;
}

void RequestHandler::PrependHistory(std::shared_ptr<const std::string> history) {
  history_ = std::move(history);
  body_ = std::make_shared<std::string>(absl::StrCat(*history_, *body_));
}

void RequestHandler::UseLeaderHistory(std::string history, Line& line) {
  auto chain = std::make_shared<const std::string>(std::move(history));
  state_->turns.Put(program_, *previous_turn_, chain);
  line.Text("history", name_of(history_source::leader));
  line.Number("history_bytes", static_cast<std::int64_t>(chain->size()));
  PrependHistory(std::move(chain));
}

Task<bool> RequestHandler::LoadHistory(history_fetch& fetch, turn_ledger::ReserveTurn reserve,
                                       absl::Time ledger_deadline, Line& line) {
  std::shared_ptr<const std::string> chain = co_await fetch.wait();
  history_source source = fetch.source();
  if (chain == nullptr) {
    // No replica had the chain yet: ask the leader. Repeating a reservation is idempotent.
    reserve.has_previous = false;
    auto result = co_await state_->ledger->Call(group_, reserve, ledger_deadline);
    if (!result || result->verdict != turn_ledger::Verdict::kDone) {
      state_->log.Write(line.Text("verdict", "no_history"));
      SettleInBackground(0);
      co_await Refuse(reject_reason::history_unreadable);
      co_return false;
    }
    chain = std::make_shared<const std::string>(std::move(result->history));
    state_->turns.Put(program_, *previous_turn_, chain);
    source = history_source::leader;
  }
  line.Text("history", name_of(source));
  line.Number("history_bytes", static_cast<std::int64_t>(chain->size()));
  PrependHistory(std::move(chain));
  co_return true;
}

}  // namespace martenyard::forwarding
