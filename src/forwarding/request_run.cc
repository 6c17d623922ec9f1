#include "forwarding/request_run.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"
#include "base/clock.h"
#include "base/hash.h"

namespace martenyard::forwarding {

using async_http::HttpHead;
using async_http::Task;
using event_log::Line;

namespace http = boost::beast::http;

namespace {

absl::string_view View(boost::beast::string_view text) { return {text.data(), text.size()}; }

/// Headers that concern one connection only, or that this hop writes itself.
bool IsHopHeader(absl::string_view name) {
  static constexpr absl::string_view kHopHeaders[] = {
      "connection", "keep-alive", "proxy-connection", "transfer-encoding", "content-length", "te",
      "trailer",    "upgrade",    "expect",
  };
  std::string lower = absl::AsciiStrToLower(name);
  return std::find(std::begin(kHopHeaders), std::end(kHopHeaders), lower) != std::end(kHopHeaders);
}

/// @return the header names that a Connection header lists, in lower case.
std::set<std::string> ListedByConnection(const http::fields& fields) {
  std::set<std::string> listed;
  auto range = fields.equal_range(http::field::connection);
  for (auto field = range.first; field != range.second; ++field) {
    for (absl::string_view item : absl::StrSplit(View(field->value()), ',')) {
      listed.insert(absl::AsciiStrToLower(absl::StripAsciiWhitespace(item)));
    }
  }
  return listed;
}

/// Copies what may pass a hop.
void CopyEndToEnd(const http::fields& from, http::fields& to) {
  std::set<std::string> listed = ListedByConnection(from);
  for (const auto& field : from) {
    absl::string_view name = View(field.name_string());
    if (!IsHopHeader(name) && !listed.contains(absl::AsciiStrToLower(name))) {
      to.insert(field.name_string(), field.value());
    }
  }
}

const char* NameOf(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kNotSent:
      return "not_sent";
    case AttemptEnd::kNotRun:
      return "not_run";
    case AttemptEnd::kAnswered:
      return "answered";
    case AttemptEnd::kNoAnswer:
      return "no_answer";
    case AttemptEnd::kBrokeOff:
      return "broke_off";
    case AttemptEnd::kTimedOut:
      return "timed_out";
    case AttemptEnd::kClientGone:
      return "client_gone";
  }
  return "unknown";
}

/// A point in [0, 1) for the choice of a split route's part.
double SplitPoint(const RequestInfo& info, Random& random) {
  constexpr double kRange = 18446744073709551616.0;  // 2^64.
  if (!info.program.value.empty()) {
    return static_cast<double>(StableHash(info.program.value)) / kRange;
  }
  return random.Uniform();
}

}  // namespace

RequestRun::RequestRun(std::shared_ptr<GatewayState> state,
                       std::shared_ptr<async_http::Exchange> exchange)
    : state_(std::move(state)), exchange_(std::move(exchange)) {}

Task<void> RequestRun::Run() {
  info_ = ReadRequestInfo(exchange_->request(), state_->names);
  if (!co_await FindRoute()) {
    co_return;
  }
  body_ = std::make_shared<std::string>(std::move(exchange_->request().body()));
  if (!co_await AdmitTurn()) {
    co_return;
  }
  exchange_->OnClientGone([this] {
    if (attempt_ != nullptr) {
      attempt_->Abort(AttemptEnd::kClientGone);
    }
  });
  co_await TryRunners();
  exchange_->ClearOnClientGone();
  SettleLater(TokensDelivered());
}

// ---- Admission ----

absl::Duration RequestRun::TimeLeft() const { return deadline_ - SteadyNow(); }

bool RequestRun::Knows(Knowledge what) const {
  return what == Knowledge::kRoutes ? state_->routes != nullptr : state_->ledger->groups() > 0;
}

Task<void> RequestRun::WaitFor(Knowledge what) {
  absl::Duration allowed = info_.deadline.value_or(absl::Seconds(1)) / 4;
  absl::Time end = exchange_->received_at() + std::min(state_->options.start_patience, allowed);
  while (!Knows(what) && SteadyNow() < end) {
    co_await state_->informed.Wait(end - SteadyNow());
  }
}

Task<bool> RequestRun::FindRoute() {
  co_await WaitFor(Knowledge::kRoutes);
  routes_ = state_->routes;
  if (!routes_) {
    deadline_ = exchange_->received_at() + info_.deadline.value_or(absl::Seconds(1));
    co_await Refuse("no configuration yet");
    co_return false;
  }
  const auto& request = exchange_->request();
  route_ = routes_->Match(View(request[http::field::host]), View(request.target()));
  if (route_ == nullptr) {
    deadline_ = exchange_->received_at() + info_.deadline.value_or(absl::Seconds(1));
    if (state_->store_reachable) {
      co_await AnswerOwn(404, "no such route", std::nullopt);
    } else {
      co_await Refuse("no such route known, and the configuration may be old");
    }
    co_return false;
  }
  absl::Duration allowed = std::min(info_.deadline.value_or(route_->timeout), route_->timeout);
  deadline_ = exchange_->received_at() + allowed;
  service_name_ = ChooseService(*route_, SplitPoint(info_, state_->random));
  service_ = routes_->configuration().FindService(service_name_);
  co_return true;
}

Task<bool> RequestRun::AdmitTurn() {
  bool keeps = route_->keeps_turns;
  if (!info_.token_budget && !keeps) {
    co_return true;
  }
  co_await WaitFor(Knowledge::kLedgerGroups);
  if (!Knows(Knowledge::kLedgerGroups)) {
    co_await Refuse("the turn ledger is not known yet");
    co_return false;
  }
  group_ = state_->ledger->GroupOf(info_.program);
  if (!info_.token_budget && !info_.previous_turn) {
    co_return true;
  }
  turn_ledger::ReserveTurn reserve;
  reserve.program = info_.program;
  reserve.turn = turn_ledger::TurnId(info_.id.value);
  reserve.tokens = info_.most_output_tokens;
  reserve.budget = info_.token_budget;
  reserve.retention_ms =
      static_cast<std::uint32_t>(absl::ToInt64Milliseconds(route_->turn_retention));
  std::optional<history_fetch> fetch;
  if (keeps && info_.previous_turn) {
    reserve.previous = turn_ledger::TurnId(info_.previous_turn->value);
    reserve.has_previous = true;
    bool readable = state_->options.reads_replicas && !state_->relaying;
    if (!readable && state_->turns.Find(*info_.previous_turn) == nullptr) {
      reserve.has_previous = false;  // The replicas can't be read: the answer brings the chain.
    } else {
      fetch.emplace(state_, info_.program, *info_.previous_turn);
    }
  }
  absl::Time began = SteadyNow();
  absl::Time patience =
      std::min(deadline_ - state_->options.answer_margin, began + state_->options.ledger_patience);
  reserved_ = true;
  turn_ledger::CallResult result = co_await Reserve(reserve, patience);
  state_->metrics.Observe(Stage::kLedger, SteadyNow() - began);
  Line line("turn_admission");
  line.Text("request", info_.id.value).Text("program", info_.program.value);
  line.Real("ms", absl::ToDoubleMilliseconds(SteadyNow() - began));
  if (result.end == turn_ledger::CallEnd::kOverloaded) {
    reserved_ = false;
    state_->log.Write(line.Text("verdict", "overloaded"));
    co_await Refuse("the turn ledger is overloaded");
    co_return false;
  }
  if (!result) {
    state_->log.Write(line.Text("verdict", "no_answer"));
    SettleLater(0);
    co_await Refuse("the turn ledger did not answer");
    co_return false;
  }
  line.Number("most", reserve.tokens).Number("spent", static_cast<std::int64_t>(result->spent));
  line.Number("reserved", static_cast<std::int64_t>(result->reserved));
  line.Number("budget", static_cast<std::int64_t>(info_.token_budget.value_or(0)));
  switch (result->verdict) {
    case turn_ledger::Verdict::kDone:
      break;
    case turn_ledger::Verdict::kBudgetSpent:
      reserved_ = false;
      state_->log.Write(line.Text("verdict", "budget_spent"));
      co_await AnswerOwn(402, "the program's budget is spent", std::nullopt);
      co_return false;
    case turn_ledger::Verdict::kUnknownPrevious:
      reserved_ = false;
      state_->log.Write(
          line.Text("verdict", "unknown_previous").Text("previous", info_.previous_turn->value));
      co_await AnswerOwn(404, "no such turn", std::nullopt);
      co_return false;
    case turn_ledger::Verdict::kSettledBefore:
      reserved_ = false;
      state_->log.Write(line.Text("verdict", "settled_before"));
      co_await Refuse("this try was given up before");
      co_return false;
  }
  const turn_ledger::TurnPlace& place = result->previous_place;
  if (place.runner != 0 && state_->options.uses_turn_places) {
    state_->prefixes.NoteBeginning(SteadyNow(), info_.prompt, place.tokens, place.runner);
    line.Number("previous_runner", place.runner);
  }
  if (foreign_history_ != nullptr) {
    history_ = foreign_history_;
    line.Text("history", name_of(history_source::other_group));
    body_ = std::make_shared<std::string>(absl::StrCat(*history_, *body_));
  } else if (reserve.previous && !reserve.has_previous) {
    TakeRelayedHistory(std::move(result->history), line);
  } else if (fetch && !co_await TakeHistory(*fetch, reserve, patience, line)) {
    co_return false;
  }
  state_->log.Write(line.Text("verdict", "admitted"));
  co_return true;
}

Task<turn_ledger::CallResult> RequestRun::Reserve(turn_ledger::ReserveTurn reserve,
                                                  absl::Time patience) {
  turn_ledger::CallResult result = co_await state_->ledger->Call(group_, reserve, patience);
  bool unknown = result && result->verdict == turn_ledger::Verdict::kUnknownPrevious;
  if (unknown && state_->ledger->groups() > 1) {
    result = co_await ReserveOnForeignTurn(std::move(reserve), patience);
  }
  co_return result;
}

Task<turn_ledger::CallResult> RequestRun::ReserveOnForeignTurn(turn_ledger::ReserveTurn reserve,
                                                               absl::Time patience) {
  foreign_search search =
      co_await search_other_groups(state_, group_, *info_.previous_turn, patience);
  if (search.m_chain != nullptr) {
    // Kept from now on in this program's group, as the new turn's own beginning.
    foreign_history_ = search.m_chain;
    reserve.previous.reset();
    co_return co_await state_->ledger->Call(group_, reserve, patience);
  }
  turn_ledger::CallResult result;
  if (search.m_complete) {
    result.end = turn_ledger::CallEnd::kDone;
    result.result.verdict = turn_ledger::Verdict::kUnknownPrevious;
  }
  co_return result;
}

void RequestRun::TakeRelayedHistory(std::string history, Line& line) {
  history_ = std::make_shared<std::string>(std::move(history));
  state_->turns.Put(info_.program, *info_.previous_turn, history_);
  line.Text("history", name_of(history_source::leader));
  line.Number("history_bytes", static_cast<std::int64_t>(history_->size()));
  body_ = std::make_shared<std::string>(absl::StrCat(*history_, *body_));
}

Task<bool> RequestRun::TakeHistory(history_fetch& fetch, turn_ledger::ReserveTurn reserve,
                                   absl::Time patience, Line& line) {
  history_ = co_await fetch.wait();
  history_source source = fetch.source();
  if (history_ == nullptr) {
    // No replica asked had it yet. The same reservation again is no second one.
    reserve.has_previous = false;
    auto result = co_await state_->ledger->Call(group_, reserve, patience);
    if (!result || result->verdict != turn_ledger::Verdict::kDone) {
      state_->log.Write(line.Text("verdict", "no_history"));
      SettleLater(0);
      co_await Refuse("the turn's history could not be read");
      co_return false;
    }
    history_ = std::make_shared<std::string>(std::move(result->history));
    state_->turns.Put(info_.program, *info_.previous_turn, history_);
    source = history_source::leader;
  }
  line.Text("history", name_of(source));
  line.Number("history_bytes", static_cast<std::int64_t>(history_->size()));
  body_ = std::make_shared<std::string>(absl::StrCat(*history_, *body_));
  co_return true;
}

// ---- Choosing ----

std::uint64_t RequestRun::ConnectionShare(const ServiceName& service) const {
  const Service* found = routes_->configuration().FindService(service);
  std::uint64_t most = found == nullptr ? 64 : found->max_connections;
  return std::max<std::uint64_t>(4, most / std::max<std::uint32_t>(1, state_->gateways));
}

std::vector<Candidate> RequestRun::Candidates() {
  absl::Time now = SteadyNow();
  auto steady_now = std::chrono::steady_clock::now();
  std::vector<Candidate> candidates;
  std::uint64_t share = ConnectionShare(service_name_);
  for (discovery::RunnerState* runner : state_->runners.OfService(service_name_)) {
    bool leaving = runner->Leaving();
    if (leaving && runner->left_at + state_->options.gone_usable < now) {
      continue;
    }
    Candidate candidate;
    candidate.id = runner->runner.id.value;
    candidate.same_zone = runner->runner.zone.value == state_->zone;
    candidate.slots = runner->runner.slots;
    candidate.active = runner->Active();
    candidate.kept_tokens = state_->prefixes.KeptTokens(now, info_.prompt, runner->short_id);
    candidate.loss_rate = runner->losses.rate(steady_now);
    candidate.leaving = leaving;
    candidate.avoided = runner->avoid_until > now || runner->full_until > now;
    candidate.tried = tried_.contains(candidate.id);
    candidate.no_connection =
        state_->pool.Open(runner->runner.id) >= share && state_->pool.Idle(runner->runner.id) == 0;
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

double RequestRun::LossCost() const {
  const ChoiceOptions& options = state_->options.choice;
  if (route_->Repeatable()) {
    return options.repeatable_loss_ms;
  }
  return route_->kind == RouteKind::kStream ? options.turn_loss_ms : options.call_loss_ms;
}

std::optional<discovery::Runner> RequestRun::Choose() {
  std::vector<Candidate> candidates = Candidates();
  ChoiceRequest request;
  request.prompt_tokens = info_.prompt_tokens;
  request.loss_ms = LossCost();
  request.home_key = info_.prompt.empty() ? 0 : info_.prompt.front().id;
  if (request.home_key == 0 && route_->sticky && !info_.affinity.empty()) {
    request.home_key = StableHash(info_.affinity);
  }
  auto choice = ChooseRunner(candidates, request, state_->options.choice);
  if (!choice) {
    // Another part of a split route may have one.
    for (const WeightedService& part : route_->services) {
      if (choice || part.service == service_name_) {
        continue;
      }
      service_name_ = part.service;
      candidates = Candidates();
      choice = ChooseRunner(candidates, request, state_->options.choice);
    }
  }
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
          .Number("configuration", static_cast<std::int64_t>(routes_->configuration().version))
          .Number("candidates", static_cast<std::int64_t>(candidates.size()))
          .Number("active", chosen.active)
          .Number("kept_tokens", chosen.kept_tokens)
          .Number("prompt_tokens", info_.prompt_tokens)
          .Real("loss_rate", chosen.loss_rate)
          .Real("cost_ms", choice->cost_ms));
  return runner->runner;
}

// ---- Trying ----

std::string RequestRun::RequestHead(const discovery::Runner& runner) const {
  const auto& request = exchange_->request();
  const HeaderNames& names = state_->names;
  http::fields fields;
  CopyEndToEnd(request, fields);
  absl::Duration left = std::max(TimeLeft(), absl::Milliseconds(1));
  fields.set(names.deadline_ms, absl::StrCat(absl::ToInt64Milliseconds(left)));
  fields.set(names.expected_runner, runner.id.value);
  if (stream_head_ && !events_.last_event_id().empty()) {
    fields.set(names.last_event_id, events_.last_event_id());
  }
  if (route_->kind == RouteKind::kStream) {
    fields.set(names.priority, absl::StrCat(std::clamp(route_->priority, 0, 9)));
  }
  bool bodiless = body_->empty() &&
                  (request.method() == http::verb::get || request.method() == http::verb::head);
  std::string text =
      absl::StrCat(View(request.method_string()), " ", View(request.target()), " HTTP/1.1\r\n");
  for (const auto& field : fields) {
    absl::StrAppend(&text, View(field.name_string()), ": ", View(field.value()), "\r\n");
  }
  if (!bodiless) {
    absl::StrAppend(&text, "Content-Length: ", body_->size(), "\r\n");
  }
  text.append("\r\n");
  return text;
}

AttemptPlan RequestRun::MakePlan(const discovery::Runner& runner) {
  AttemptPlan plan;
  plan.runner = runner;
  plan.head = RequestHead(runner);
  plan.body = body_;
  plan.request_id = info_.id;
  plan.head_request = exchange_->request().method() == http::verb::head;
  plan.stream = route_->kind == RouteKind::kStream;
  plan.deadline = deadline_;
  bool may_repeat = route_->Repeatable() && sent_to_ < route_->max_attempts;
  if (may_repeat) {
    absl::Duration silence = std::max(route_->target_latency * state_->options.silence_targets,
                                      state_->options.least_silence);
    plan.first_byte_by = SteadyNow() + silence;
  }
  return plan;
}

RequestSituation RequestRun::Situation() const {
  RequestSituation situation;
  situation.repeatable = route_->Repeatable();
  situation.can_resume =
      route_->kind == RouteKind::kStream && route_->resumable && !events_.last_event_id().empty();
  situation.answer_started = exchange_->stream_started();
  situation.may_have_run = may_have_run_;
  situation.attempts_left = route_->max_attempts - sent_to_;
  situation.time_left = TimeLeft();
  return situation;
}

Task<AttemptResult> RequestRun::RunOnce(const discovery::Runner& runner) {
  discovery::RunnerState* entry = state_->runners.Find(runner.id);
  ++entry->own_active;
  std::uint32_t short_id = entry->short_id;
  last_runner_ = short_id;
  state_->prefixes.NoteAll(SteadyNow(), info_.prompt, short_id);
  // Of kept turns the ledger tells it, to whichever gateway gets the next one.
  if (!info_.prompt.empty() && !route_->keeps_turns && state_->on_placement) {
    state_->on_placement(info_.prompt.back(), short_id);
  }
  absl::Time began = SteadyNow();
  Attempt attempt(*state_, MakePlan(runner));
  attempt_ = &attempt;
  if (exchange_->client_gone()) {
    attempt.Abort(AttemptEnd::kClientGone);
  }
  AttemptResult result = co_await attempt.Run(*this);
  attempt_ = nullptr;
  if (discovery::RunnerState* after = state_->runners.Find(runner.id)) {
    --after->own_active;
  }
  NoteResult(runner, result, began);
  co_return result;
}

void RequestRun::NoteResult(const discovery::Runner& runner, const AttemptResult& result,
                            absl::Time began) {
  using discovery::RunnerSignal;
  absl::Time now = SteadyNow();
  bool ran = result.sent && result.end != AttemptEnd::kNotRun;
  may_have_run_ = may_have_run_ || ran;
  sent_to_ += result.sent && !result.wrong_runner ? 1 : 0;
  tried_.insert(runner.id.value);
  last_detail_ = result.detail;
  auto note = [&](RunnerSignal signal) { state_->runners.Note(now, runner.id, signal); };
  switch (result.end) {
    case AttemptEnd::kAnswered:
      note(result.streamed || result.answer.head.result_int() < 500 ? RunnerSignal::kServed
                                                                    : RunnerSignal::kFailed);
      break;
    case AttemptEnd::kNotRun:
      note(result.wrong_runner ? RunnerSignal::kLeaves : RunnerSignal::kTurnedAway);
      break;
    case AttemptEnd::kNotSent:
      note(RunnerSignal::kUnreachable);
      break;
    case AttemptEnd::kNoAnswer:
    case AttemptEnd::kBrokeOff:
    case AttemptEnd::kTimedOut:
      note(RunnerSignal::kFailed);
      break;
    case AttemptEnd::kClientGone:
      break;
  }
  NoteOutcome(runner, result);
  state_->metrics.CountAttempt(NameOf(result.end));
  state_->log.Write(Line("attempt_ended")
                        .Text("request", info_.id.value)
                        .Text("runner", runner.id.value)
                        .Text("end", NameOf(result.end))
                        .Number("status", result.answer.head.result_int())
                        .Number("events", static_cast<std::int64_t>(events_.events()))
                        .Flag("reused", result.reused)
                        .Text("detail", result.detail)
                        .Real("ms", absl::ToDoubleMilliseconds(now - began)));
}

void RequestRun::NoteOutcome(const discovery::Runner& runner, const AttemptResult& result) {
  bool streams = route_->kind == RouteKind::kStream;
  discovery::request_outcomes outcome;
  switch (result.end) {
    case AttemptEnd::kAnswered: {
      // A tool's own failure is its answer; a turn that its engine failed is lost.
      bool failed = streams && !result.streamed && result.answer.head.result_int() >= 500;
      (failed ? outcome.m_lost : outcome.m_served) = 1;
      break;
    }
    case AttemptEnd::kNoAnswer:
    case AttemptEnd::kBrokeOff:
      outcome.m_lost = 1;
      break;
    default:
      return;
  }
  state_->runners.NoteOutcome(runner.id, outcome);
}

Task<void> RequestRun::TryRunners() {
  while (true) {
    if (exchange_->client_gone()) {
      Close("client_gone");
      co_return;
    }
    std::optional<discovery::Runner> runner;
    if (TimeLeft() > kLeastUsefulTime) {
      runner = Choose();
    }
    AttemptEnd end = AttemptEnd::kNotSent;
    AttemptResult result;
    RequestSituation situation = Situation();
    if (runner) {
      result = co_await RunOnce(*runner);
      end = result.end;
      situation = Situation();
    } else {
      situation.attempts_left = 0;  // There is nobody to send it to.
    }
    // A client's own fault is told by the runner's answer, also where it did not run.
    bool client_fault = end == AttemptEnd::kNotRun && result.answer.head.result_int() == 400;
    switch (client_fault ? NextStep::kPassOn : DecideNextStep(end, situation)) {
      case NextStep::kPassOn:
        co_await PassOn(result);
        co_return;
      case NextStep::kTryAnother:
        continue;
      case NextStep::kResume:
        events_.DropPartial();
        state_->log.Write(Line("stream_resumed")
                              .Text("request", info_.id.value)
                              .Text("after", events_.last_event_id()));
        continue;
      case NextStep::kRefuse:
        co_await Refuse(runner ? "no runner took it" : "no runner to send it to");
        co_return;
      case NextStep::kFail:
        co_await AnswerOwn(502, "the runner broke off", std::nullopt);
        co_return;
      case NextStep::kTimeOut:
        co_await AnswerOwn(504, "no answer in time", std::nullopt);
        co_return;
      case NextStep::kBreak:
        exchange_->Break();
        Close("broken");
        co_return;
      case NextStep::kNothing:
        Close("client_gone");
        co_return;
    }
  }
}

// ---- Answering ----

void RequestRun::OnHead(const HttpHead& head) {
  if (stream_head_) {
    return;  // A resumed stream keeps its first runner's head.
  }
  HttpHead passed;
  passed.result(head.result());
  passed.reason(head.reason());
  CopyEndToEnd(head, passed);
  stream_head_ = std::move(passed);
}

Task<bool> RequestRun::OnBytes(std::string bytes) {
  std::string whole = events_.Feed(bytes);
  if (whole.empty()) {
    co_return true;
  }
  if (!exchange_->stream_started() && !co_await exchange_->StartStream(*stream_head_)) {
    co_return false;
  }
  co_return co_await exchange_->Write(whole);
}

Task<void> RequestRun::PassOn(AttemptResult& result) {
  if (result.streamed) {
    co_await FinishStream();
    co_return;
  }
  HttpHead passed;
  passed.result(result.answer.head.result());
  passed.reason(result.answer.head.reason());
  CopyEndToEnd(result.answer.head, passed);
  SettleLater(0);
  bool sent = co_await exchange_->Send(std::move(passed), std::move(result.answer.body));
  Close(sent ? "answered" : "client_gone");
}

Task<void> RequestRun::FinishStream() {
  if (!exchange_->stream_started() && !co_await exchange_->StartStream(*stream_head_)) {
    Close("client_gone");
    co_return;
  }
  if (!events_.partial().empty() && !co_await exchange_->Write(events_.partial())) {
    Close("client_gone");
    co_return;
  }
  if (route_->keeps_turns && !co_await CommitTurn()) {
    exchange_->Break();
    Close("commit_unknown");
    co_return;
  }
  SettleLater(TokensDelivered());
  bool finished = co_await exchange_->Finish();
  Close(finished ? "answered" : "client_gone");
}

Task<bool> RequestRun::CommitTurn() {
  turn_ledger::SettleTurn settle;
  settle.program = info_.program;
  settle.turn = turn_ledger::TurnId(info_.id.value);
  settle.tokens = TokensDelivered();
  settle.retention_ms =
      static_cast<std::uint32_t>(absl::ToInt64Milliseconds(route_->turn_retention));
  turn_ledger::CompletedTurn completed;
  bool goes_on = history_ != nullptr && foreign_history_ == nullptr;
  std::size_t known = goes_on ? history_->size() : 0;
  if (goes_on) {
    completed.previous = turn_ledger::TurnId(info_.previous_turn->value);
  }
  completed.input = body_->substr(known);
  completed.output = events_.data();
  auto made = static_cast<std::uint32_t>(TokensDelivered());
  completed.place = {last_runner_, info_.prompt_tokens + made};
  settle.completed = std::move(completed);
  settled_ = true;
  absl::Time began = SteadyNow();
  auto result =
      co_await state_->ledger->Call(group_, settle, began + state_->options.commit_patience);
  state_->log.Write(Line("turn_committed")
                        .Text("request", info_.id.value)
                        .Number("events", static_cast<std::int64_t>(events_.events()))
                        .Flag("known", static_cast<bool>(result))
                        .Real("ms", absl::ToDoubleMilliseconds(SteadyNow() - began)));
  if (!result) {
    co_return false;
  }
  state_->turns.Put(info_.program, info_.id,
                    std::make_shared<std::string>(absl::StrCat(*body_, events_.data())));
  co_return true;
}

std::uint64_t RequestRun::TokensDelivered() const {
  bool engine = service_ != nullptr && service_->engine;
  return events_.events() * (engine ? service_->engine->tokens_per_event : 1);
}

void RequestRun::SettleLater(std::uint64_t tokens) {
  if (!reserved_ || settled_) {
    return;
  }
  settled_ = true;
  turn_ledger::SettleTurn settle;
  settle.program = info_.program;
  settle.turn = turn_ledger::TurnId(info_.id.value);
  settle.tokens = tokens;
  settle.retention_ms =
      static_cast<std::uint32_t>(absl::ToInt64Milliseconds(route_->turn_retention));
  async_http::asio::co_spawn(
      state_->context,
      [state = state_, group = group_, settle = std::move(settle)]() -> Task<void> {
        co_await state->ledger->Call(group, settle, SteadyNow() + state->options.settle_patience);
      },
      async_http::asio::detached);
}

Task<void> RequestRun::Refuse(absl::string_view reason) {
  co_await AnswerOwn(503, reason, state_->options.retry_after);
}

Task<void> RequestRun::AnswerOwn(unsigned status, absl::string_view reason,
                                 std::optional<absl::Duration> retry_after) {
  last_detail_ = absl::StrCat(reason, last_detail_.empty() ? "" : ": ", last_detail_);
  HttpHead head;
  head.result(status);
  head.set(http::field::content_type, "application/json");
  if (!info_.id.value.empty()) {
    head.set(state_->names.request_id, info_.id.value);
  }
  if (retry_after) {
    head.set(state_->names.retry_after,
             absl::StrFormat("%.2f", absl::ToDoubleSeconds(*retry_after)));
  }
  co_await exchange_->Send(std::move(head), absl::StrCat("{\"error\":\"", reason, "\"}"));
  Close(absl::StrCat("own_", status));
}

void RequestRun::Close(absl::string_view outcome) {
  absl::Duration took = SteadyNow() - exchange_->received_at();
  state_->metrics.CountRequest(std::string(outcome));
  state_->metrics.Observe(Stage::kWhole, took);
  state_->log.Write(Line("request_ended")
                        .Text("request", info_.id.value)
                        .Text("route", route_ == nullptr ? "" : route_->name)
                        .Text("outcome", outcome)
                        .Text("detail", last_detail_)
                        .Number("sent_to", sent_to_)
                        .Number("events", static_cast<std::int64_t>(events_.events()))
                        .Real("ms", absl::ToDoubleMilliseconds(took)));
}

}  // namespace martenyard::forwarding
