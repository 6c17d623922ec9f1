// Stream origin part of RequestHandler: a resumable stream is continued only by runners of the
// service and software version that delivered its first event, in this response and in those to
// later requests of the client, which any gateway may get.
//
// The ledger keeps the origin. A turn with a token budget records it with its reservation, before
// the runner gets the request. Other streams record it when they start: until the record is
// committed, a resumption is refused.
#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "forwarding/request_handler.h"
#include "turn_ledger/streams/origin_record.h"

namespace martenyard::forwarding {

using async_http::Task;
using event_log::Line;
using turn_ledger::stream_origin;

namespace {

stream_origin OriginOf(const discovery::Runner& runner) { return {runner.service, runner.version}; }

const char* NameOf(OriginSource source) {
  switch (source) {
    case OriginSource::kLedger:
      return "ledger";
    case OriginSource::kSoleVersion:
      return "sole_version";
  }
  return "unknown";
}

}  // namespace

bool RequestHandler::IsResumable() const {
  return route_->kind == RouteKind::kStream && route_->resumable && !route_->keeps_turns;
}

bool RequestHandler::IsResumption() const {
  return route_->kind == RouteKind::kStream && route_->resumable && !info_.last_event_id.empty();
}

bool RequestHandler::MayChangeOrigin() const {
  return !IsResumption() && !exchange_->stream_started();
}

bool RequestHandler::ContinuesStream(const discovery::Runner& runner) const {
  return !origin_ || origin_open_ || *origin_ == OriginOf(runner);
}

ProgramId RequestHandler::OriginAccount(const turn_ledger::TurnId& stream) const {
  return program_.value.empty() && !info_.token_budget ? ProgramId(stream.value) : program_;
}

std::optional<turn_ledger::origin_query> RequestHandler::OriginQuery() const {
  if (!IsResumption()) {
    return std::nullopt;
  }
  if (!info_.resumes) {
    // A stream that isn't named is one of its program's. Only with a budget is each of them
    // recorded before it begins.
    bool has_account = !info_.program.value.empty() && info_.token_budget;
    return has_account ? std::make_optional(turn_ledger::origin_query{program_, {}}) : std::nullopt;
  }
  absl::string_view tenant = tenant_ == nullptr ? absl::string_view() : tenant_->m_name;
  turn_ledger::TurnId stream(tenancy::scoped_id(tenant, info_.resumes->value));
  return turn_ledger::origin_query{OriginAccount(stream), stream};
}

std::optional<stream_origin> RequestHandler::SoleOrigin() const {
  std::optional<std::string> version = state_->runners.SoleVersion(service_name_);
  if (!version || route_->services.size() > 1) {
    return std::nullopt;
  }
  return stream_origin{service_name_, *std::move(version)};
}

Task<std::optional<stream_origin>> RequestHandler::ProveSoleOrigin() {
  absl::Duration kept = std::max(absl::Milliseconds(RetentionMilliseconds()), route_->timeout);
  absl::Time kept_since = SteadyNow() - kept;
  auto is_proven = [&] { return state_->runners.SoleVersionSince(service_name_) <= kept_since; };
  // A gateway that has just started has not read the runners yet.
  bool may_be_proven = !state_->runners_read || is_proven();
  if (!may_be_proven || !state_->store_reachable || !state_->confirm_runners) {
    co_return std::nullopt;
  }
  bool confirmed = co_await state_->confirm_runners();
  if (!confirmed || !is_proven()) {
    co_return std::nullopt;
  }
  co_return SoleOrigin();
}

void RequestHandler::PlanOrigin() {
  origin_ = SoleOrigin();
  if (!origin_) {
    std::vector<Candidate> candidates;
    if (auto choice = PickRunner(candidates)) {
      discovery::RunnerId id(candidates[choice->index].id);
      origin_ = OriginOf(state_->runners.Find(id)->runner);
    }
  }
  if (origin_) {
    reservation_id_ = turn_ledger::recording_id(turn_, {++origin_generation_, *origin_});
  }
}

Task<bool> RequestHandler::RecordOrigin(const discovery::Runner& runner) {
  stream_origin origin = OriginOf(runner);
  bool records = reserved_ && IsResumable() && !IsResumption();
  if (!records || origin_ == origin) {
    co_return true;
  }
  turn_ledger::ReserveTurn record;
  record.program = program_;
  record.turn = turn_ledger::recording_id(turn_, {++origin_generation_, origin});
  record.retention_ms = RetentionMilliseconds();
  absl::Time start = SteadyNow();
  absl::Time end =
      std::min(deadline_ - state_->options.response_margin, start + state_->options.ledger_timeout);
  turn_ledger::CallResult result = co_await state_->ledger->Call(group_, record, end);
  bool recorded = result && result->verdict == turn_ledger::Verdict::kDone;
  state_->log.Write(Line("stream_origin_changed")
                        .Text("request", info_.id.value)
                        .Text("service", origin.m_service.value)
                        .Text("version", origin.m_version)
                        .Number("generation", origin_generation_)
                        .Flag("recorded", recorded)
                        .Real("ms", absl::ToDoubleMilliseconds(SteadyNow() - start)));
  origin_ = std::move(origin);
  co_return recorded;
}

void RequestHandler::StartStream(const discovery::Runner& runner) {
  origin_ = OriginOf(runner);
  origin_open_ = false;
  if (IsResumable() && !IsResumption() && !reserved_) {
    RecordOriginInBackground();
  }
}

void RequestHandler::RecordOriginInBackground() {
  if (!IsAvailable(Prerequisite::kLedgerGroups)) {
    return;
  }
  turn_ledger::ReserveTurn record;
  record.program = OriginAccount(turn_);
  record.turn = turn_ledger::recording_id(turn_, {++origin_generation_, *origin_});
  record.retention_ms = RetentionMilliseconds();
  async_http::asio::co_spawn(
      state_->context,
      [state = state_, record = std::move(record), request = info_.id,
       origin = *origin_]() -> Task<void> {
        GroupId group = state->ledger->GroupOf(record.program);
        absl::Time end = SteadyNow() + state->options.ledger_timeout;
        auto result = co_await state->ledger->Call(group, record, end);
        if (!result) {
          state->log.Write(Line("stream_origin_unrecorded")
                               .Text("request", request.value)
                               .Text("service", origin.m_service.value)
                               .Text("version", origin.m_version));
        }
      },
      async_http::asio::detached);
}

Task<bool> RequestHandler::FindOrigin() {
  std::optional<turn_ledger::origin_query> query = OriginQuery();
  co_await WaitFor(Prerequisite::kLedgerGroups);
  if (!IsAvailable(Prerequisite::kLedgerGroups)) {
    co_await Refuse(reject_reason::ledger_unknown);
    co_return false;
  }
  // Reads through the log, so that no leader answers without the latest record.
  turn_ledger::FindTurn find;
  find.turn = query->m_stream;
  find.retention_ms = RetentionMilliseconds();
  turn_ledger::Operation operation = find;
  turn_ledger::LedgerQueries queries;
  queries.origin = query;
  GroupId group = state_->ledger->GroupOf(query->m_account);
  absl::Time end = std::min(deadline_ - state_->options.response_margin,
                            SteadyNow() + state_->options.ledger_timeout);
  turn_ledger::CallResult result = co_await state_->ledger->Call(
      group, operation, end, turn_ledger::Relaying::kAllowed, turn_ledger::Programs::kAll, queries);
  if (rejecting_) {
    co_return false;
  }
  if (!result) {
    bool overloaded = result.status == turn_ledger::CallStatus::kOverloaded;
    co_await Refuse(overloaded ? reject_reason::ledger_overloaded : reject_reason::ledger_silent);
    co_return false;
  }
  co_return co_await AdoptOrigin(std::move(result->origin), OriginSource::kLedger);
}

Task<bool> RequestHandler::AdoptOrigin(std::optional<stream_origin> origin, OriginSource source) {
  if (!info_.resumes && origin != SoleOrigin()) {
    origin.reset();  // Runners of another version serve, too.
  }
  state_->metrics.CountResumption(origin ? NameOf(source) : "unknown");
  state_->log.Write(Line("client_resumption")
                        .Text("request", info_.id.value)
                        .Text("resumes", info_.resumes ? info_.resumes->value : "")
                        .Text("after", info_.last_event_id)
                        .Text("source", NameOf(source))
                        .Text("service", origin ? origin->m_service.value : "")
                        .Text("version", origin ? origin->m_version : ""));
  reject_reason reason =
      info_.resumes ? reject_reason::stream_unknown : reject_reason::stream_unnamed;
  if (origin) {
    bool in_route =
        std::any_of(route_->services.begin(), route_->services.end(),
                    [&](const WeightedService& part) { return part.service == origin->m_service; });
    if (in_route) {
      origin_ = std::move(origin);
      service_name_ = origin_->m_service;
      service_ = routes_->configuration().FindService(service_name_);
      co_return true;
    }
    reason = reject_reason::stream_version_unavailable;
  }
  SettleInBackground(0);
  co_await Refuse(reason);
  co_return false;
}

}  // namespace martenyard::forwarding
