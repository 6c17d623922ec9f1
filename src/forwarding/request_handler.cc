#include "forwarding/request_handler.h"

#include <algorithm>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "base/clock.h"
#include "base/hash.h"
#include "forwarding/headers/end_to_end.h"
#include "forwarding/headers/status_code.h"

namespace martenyard::forwarding {

using async_http::HttpHead;
using async_http::Task;
using event_log::Line;

namespace http = boost::beast::http;

namespace {

absl::string_view View(boost::beast::string_view text) { return {text.data(), text.size()}; }

const char* NameOf(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kNotSent:
      return "not_sent";
    case AttemptOutcome::kWithdrawn:
      return "withdrawn";
    case AttemptOutcome::kNotRun:
      return "not_run";
    case AttemptOutcome::kCompleted:
      return "answered";
    case AttemptOutcome::kNoResponse:
      return "no_answer";
    case AttemptOutcome::kTruncated:
      return "broke_off";
    case AttemptOutcome::kTimedOut:
      return "timed_out";
    case AttemptOutcome::kClientGone:
      return "client_gone";
  }
  return "unknown";
}

}  // namespace

RequestHandler::RequestHandler(std::shared_ptr<GatewayState> state,
                               std::shared_ptr<async_http::Exchange> exchange)
    : state_(std::move(state)), exchange_(std::move(exchange)), rejection_ended_(state_->context) {}

Task<void> RequestHandler::Run() {
  info_ = ReadRequestInfo(exchange_->request(), state_->names);
  if (!co_await FindRoute() || !co_await CheckKey()) {
    co_return;
  }
  body_ = std::make_shared<std::string>(std::move(exchange_->request().body()));
  Identify();
  if (!co_await AdmitUnlessIsolated() || !co_await CheckCrashes()) {
    co_return;
  }
  exchange_->OnClientGone([this] {
    if (attempt_ != nullptr) {
      attempt_->Abort(AttemptOutcome::kClientGone);
    }
  });
  co_await TryRunners();
  exchange_->ClearOnClientGone();
  WithdrawCrash();
  SettleInBackground(TokensDelivered());
}

std::string RequestHandler::RequestHead(const discovery::Runner& runner) const {
  const auto& request = exchange_->request();
  const HeaderNames& names = state_->names;
  http::fields fields;
  copy_end_to_end(request, fields);
  remove_internal(names, fields);
  if (tenant_ != nullptr) {
    fields.set(names.tenant, tenant_->m_name);
  }
  if (!info_.id.value.empty()) {
    fields.set(names.request_id, info_.id.value);  // Even if a Connection header lists it.
  }
  absl::Duration remaining = std::max(TimeLeft(), absl::Milliseconds(1));
  fields.set(names.deadline_ms, absl::StrCat(absl::ToInt64Milliseconds(remaining)));
  fields.set(names.expected_runner, runner.id.value);
  if (delivered_.can_be_resumed()) {
    fields.set(names.last_event_id, delivered_.last_id());
  }
  if (route_->kind == RouteKind::kStream) {
    fields.set(names.priority, absl::StrCat(PriorityRank()));
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

AttemptPlan RequestHandler::MakePlan(const discovery::Runner& runner) {
  AttemptPlan plan;
  plan.runner = runner;
  plan.head = RequestHead(runner);
  plan.body = body_;
  plan.request_id = info_.id;
  plan.head_request = exchange_->request().method() == http::verb::head;
  plan.stream = route_->kind == RouteKind::kStream;
  plan.deadline = deadline_;
  plan.send_before = send_before_;
  // A first-byte timeout is useful only if the request may be sent to another runner.
  bool can_retry = route_->Repeatable() && sent_attempts_ + 1 < route_->max_attempts;
  if (can_retry) {
    absl::Duration first_byte_timeout =
        std::max(route_->target_latency * state_->options.first_byte_timeout_factor,
                 state_->options.min_first_byte_timeout);
    plan.first_byte_deadline = SteadyNow() + first_byte_timeout;
  }
  return plan;
}

RetryState RequestHandler::CurrentRetryState() const {
  RetryState retry_state;
  retry_state.repeatable = route_->Repeatable();
  retry_state.can_resume =
      route_->kind == RouteKind::kStream && route_->resumable && delivered_.can_be_resumed();
  retry_state.response_started = exchange_->stream_started();
  retry_state.may_have_run = may_have_run_;
  retry_state.attempts_left = IsHeldBack() ? 0 : route_->max_attempts - sent_attempts_;
  retry_state.time_left = TimeLeft();
  return retry_state;
}

Task<AttemptResult> RequestHandler::RunAttempt(const discovery::Runner& runner,
                                               stream_forwarder& forwarder) {
  discovery::RunnerState* entry = state_->runners.Find(runner.id);
  double runner_load = entry->Active() / std::max(1.0, static_cast<double>(runner.slots));
  std::uint32_t tokens = ExpectedTokens();
  state_->runners.BeginRequest(SteadyInstant(), *entry, tokens);
  last_runner_ = entry->short_id;
  delivered_.expect_stride(state_->event_id_strides.stride_of({runner.service, runner.version}));
  absl::Time start = SteadyNow();
  auto sent_at = SteadyInstant();
  CountSuspect(runner.id, 1);
  Attempt attempt(*state_, MakePlan(runner));
  attempt_ = &attempt;
  if (exchange_->client_gone()) {
    attempt.Abort(AttemptOutcome::kClientGone);
  }
  auto end = absl::MakeCleanup([&] {
    attempt_ = nullptr;
    CountSuspect(runner.id, -1);
    state_->runners.EndRequest(SteadyInstant(), runner.id, tokens);
  });
  AttemptResult result = co_await attempt.Run(forwarder);
  std::move(end).Invoke();
  if (forwarder.sent_head()) {
    head_runner_ = runner.id.value;
  }
  RecordResult(runner, result);
  LogAttempt(runner, result, forwarder, start);
  RecordTurnTimes(result, forwarder, runner_load, start);
  co_await JudgeAttempt(runner, result, sent_at);
  co_return result;
}

void RequestHandler::RecordTurnTimes(const AttemptResult& result, const stream_forwarder& forwarder,
                                     double runner_load, absl::Time start) {
  bool ended =
      result.outcome == AttemptOutcome::kCompleted || result.outcome == AttemptOutcome::kTimedOut;
  // A resumed stream has fewer events than are counted, and a slow client holds the stream up.
  bool whole = sent_attempts_ == 1 && info_.last_event_id.empty() && !result.client_slow;
  auto first_event_at = forwarder.first_event_at();
  if (!reserved_ || !ended || !whole || !first_event_at || !state_->admissions.enabled()) {
    return;
  }
  auto now = SteadyInstant();
  scheduling::turn_times turn;
  turn.m_events = static_cast<std::uint32_t>(delivered_.count());
  scheduling::seconds_f total = absl::ToChronoNanoseconds(SteadyNow() - start);
  scheduling::seconds_f streamed = now - *first_event_at;
  turn.m_first_event = total - streamed;
  turn.m_per_event = turn.m_events > 1 ? streamed / (turn.m_events - 1) : scheduling::seconds_f(0);
  turn.m_runner_load = runner_load;
  state_->admissions.record_turn(now, service_name_, turn);
}

void RequestHandler::RecordResult(const discovery::Runner& runner, const AttemptResult& result) {
  using discovery::RunnerSignal;
  absl::Time now = SteadyNow();
  bool ran = result.sent && result.outcome != AttemptOutcome::kNotRun;
  may_have_run_ = may_have_run_ || ran;
  sent_attempts_ += result.sent && !result.wrong_runner ? 1 : 0;
  tried_.insert(runner.id.value);
  last_detail_ = result.detail;
  auto report = [&](RunnerSignal signal) { state_->runners.RecordSignal(now, runner.id, signal); };
  switch (result.outcome) {
    case AttemptOutcome::kCompleted:
      report(is_server_error(result.status) ? RunnerSignal::kFailed : RunnerSignal::kServed);
      break;
    case AttemptOutcome::kNotRun:
      report(result.wrong_runner ? RunnerSignal::kDraining : RunnerSignal::kRejected);
      break;
    case AttemptOutcome::kNotSent:
      report(RunnerSignal::kUnreachable);
      break;
    case AttemptOutcome::kNoResponse:
    case AttemptOutcome::kTruncated:
    case AttemptOutcome::kTimedOut:
      if (!result.client_slow) {
        report(RunnerSignal::kFailed);
      }
      break;
    case AttemptOutcome::kWithdrawn:
    case AttemptOutcome::kClientGone:
      break;
  }
  if (!result.client_slow) {
    MarkPossibleRestart(runner, result.outcome);
    RecordRunnerOutcome(runner, result);
  }
}

void RequestHandler::MarkPossibleRestart(const discovery::Runner& runner, AttemptOutcome outcome) {
  bool connection_lost = outcome == AttemptOutcome::kNotSent ||
                         outcome == AttemptOutcome::kNoResponse ||
                         outcome == AttemptOutcome::kTruncated;
  const Service* service = routes_->configuration().FindService(runner.service);
  discovery::RunnerState* state = state_->runners.Find(runner.id);
  if (connection_lost && service != nullptr && state != nullptr) {
    state->MarkCold(SteadyNow() + service->slow_start);
  }
}

void RequestHandler::LogAttempt(const discovery::Runner& runner, const AttemptResult& result,
                                const stream_forwarder& forwarder, absl::Time start) {
  state_->metrics.CountAttempt(NameOf(result.outcome));
  state_->log.Write(
      Line("attempt_ended")
          .Text("request", info_.id.value)
          .Text("runner", runner.id.value)
          .Text("version", runner.version)
          .Text("end", NameOf(result.outcome))
          .Number("status", result.status)
          .Number("events", static_cast<std::int64_t>(delivered_.count()))
          .Text("first_event", forwarder.first_event_id())
          .Number("unfinished_bytes", static_cast<std::int64_t>(forwarder.unfinished_bytes()))
          .Text("framing", result.framing)
          .Flag("reused", result.reused)
          .Text("detail", result.detail)
          .Flag("client_slow", result.client_slow)
          .Flag("connection_lost", result.connection_lost)
          .Flag("refused", result.refused)
          .Text("fingerprint", FingerprintText())
          .Real("ms", absl::ToDoubleMilliseconds(SteadyNow() - start)));
}

void RequestHandler::RecordRunnerOutcome(const discovery::Runner& runner,
                                         const AttemptResult& result) {
  bool streams = route_->kind == RouteKind::kStream;
  discovery::request_outcomes outcome;
  switch (result.outcome) {
    case AttemptOutcome::kCompleted: {
      // A 5xx of a tool is its result; a 5xx of an engine means that the turn is lost.
      bool failed = streams && is_server_error(result.status);
      (failed ? outcome.m_lost : outcome.m_served) = 1;
      break;
    }
    case AttemptOutcome::kNoResponse:
    case AttemptOutcome::kTruncated:
      outcome.m_lost = 1;
      break;
    default:
      return;
  }
  state_->runners.RecordOutcome(runner.id, outcome);
}

Task<void> RequestHandler::TryRunners() {
  while (true) {
    if (exchange_->client_gone()) {
      EndRequest("client_gone");
      co_return;
    }
    if (!KeyStillValid()) {
      co_await RejectRevokedKey();
      co_return;
    }
    std::optional<discovery::Runner> runner;
    if (TimeLeft() > kMinAttemptTime) {
      runner = co_await ChooseAdmitted();
    }
    if (exchange_->client_gone() || !KeyStillValid()) {
      WithdrawCrash();
      continue;  // Changed while a permit was requested.
    }
    if (!runner && IsHeldBack()) {
      co_await RejectHeldBack();
      co_return;
    }
    AttemptOutcome outcome = AttemptOutcome::kNotSent;
    AttemptResult result;
    // One forwarder per attempt: the head and partial event of a failed attempt are discarded.
    stream_forwarder forwarder(
        *exchange_, delivered_, [this] { RecordPlacement(); }, [&] { StartStream(*runner); });
    RetryState retry_state = CurrentRetryState();
    if (runner) {
      result = co_await RunAttempt(*runner, forwarder);
      outcome = result.outcome;
      retry_state = CurrentRetryState();
      retry_state.streamed = result.streamed;
    } else {
      retry_state.attempts_left = 0;  // No runner is available.
    }
    // A 400 of the runner is forwarded even if the request did not run.
    bool client_fault = outcome == AttemptOutcome::kNotRun && !retry_state.response_started &&
                        result.response.head.result_int() == 400;
    switch (client_fault ? NextStep::kForward : DecideNextStep(outcome, retry_state)) {
      case NextStep::kForward:
        if (head_runner_.empty()) {
          head_runner_ = runner->id.value;
        }
        co_await ForwardResponse(result, forwarder);
        co_return;
      case NextStep::kRetry:
        origin_open_ = MayChangeOrigin();
        continue;
      case NextStep::kResume:
        state_->log.Write(Line("stream_resumed")
                              .Text("request", info_.id.value)
                              .Text("after", delivered_.last_id()));
        continue;
      case NextStep::kRefuse: {
        reject_reason reason = runner ? reject_reason::not_taken : NoRunnerReason();
        co_await Refuse(reason);
        co_return;
      }
      case NextStep::kFail:
        co_await SendError(
            502, IsHeldBack() ? reject_reason::runners_ended : reject_reason::runner_failed,
            std::nullopt);
        co_return;
      case NextStep::kTimeOut:
        co_await SendError(504, reject_reason::runner_late, std::nullopt);
        co_return;
      case NextStep::kAbort:
        exchange_->Break();
        EndRequest("broken");
        co_return;
      case NextStep::kNone:
        EndRequest("client_gone");
        co_return;
    }
  }
}

void RequestHandler::RecordPlacement() {
  state_->prefixes.RecordAll(SteadyNow(), info_.prompt, last_runner_);
  // For stored turns the ledger provides the placement to any gateway.
  if (!info_.prompt.empty() && !route_->keeps_turns && state_->on_placement) {
    state_->on_placement(info_.prompt.back(), last_runner_);
  }
}

Task<void> RequestHandler::ForwardResponse(AttemptResult& result, stream_forwarder& forwarder) {
  if (result.streamed) {
    co_await FinishStream(forwarder);
    co_return;
  }
  HttpHead head = forwarded_head(result.response.head);
  bool is_head = exchange_->request().method() == http::verb::head;
  copy_length_without_body(result.response.head, is_head, head);
  SettleInBackground(0);
  bool sent = co_await exchange_->Send(std::move(head), std::move(result.response.body));
  EndRequest(sent ? "answered" : "client_gone");
}

Task<void> RequestHandler::FinishStream(stream_forwarder& forwarder) {
  if (!co_await forwarder.forward_unfinished()) {
    EndRequest("client_gone");
    co_return;
  }
  if (auto stride = delivered_.stride(); stride && origin_) {
    state_->event_id_strides.record(*origin_, *stride);
  }
  if (route_->keeps_turns && !co_await CommitTurn()) {
    exchange_->Break();
    EndRequest("commit_unknown");
    co_return;
  }
  SettleInBackground(TokensDelivered());
  bool finished = co_await exchange_->Finish();
  EndRequest(finished ? "answered" : "client_gone");
}

Task<void> RequestHandler::Refuse(reject_reason reason) {
  co_await SendError(503, reason, state_->options.retry_after);
}

Task<void> RequestHandler::SendError(unsigned status, reject_reason reason,
                                     std::optional<absl::Duration> retry_after) {
  if (rejecting_ && exchange_->answered()) {
    co_return;  // The request was rejected while it waited.
  }
  constexpr unsigned kServiceUnavailable = 503;
  if (status == kServiceUnavailable && !retry_after) {
    retry_after = state_->options.retry_after;
  }
  absl::string_view text = text_of(reason);
  last_detail_ = absl::StrCat(text, last_detail_.empty() ? "" : ": ", last_detail_);
  head_runner_.clear();
  HttpHead head = async_http::MakeHead(status);
  head.set(http::field::content_type, "application/json");
  if (!info_.id.value.empty()) {
    head.set(state_->names.request_id, info_.id.value);
  }
  if (retry_after) {
    head.set(state_->names.retry_after,
             absl::StrFormat("%.2f", absl::ToDoubleSeconds(*retry_after)));
  }
  co_await exchange_->Send(std::move(head), absl::StrCat("{\"error\":\"", text, "\"}"));
  EndRequest(absl::StrCat("own_", status));
}

void RequestHandler::EndRequest(absl::string_view outcome) {
  absl::Duration took = SteadyNow() - exchange_->received_at();
  state_->metrics.CountRequest(std::string(outcome));
  state_->metrics.Observe(Stage::kTotal, took);
  state_->log.Write(Line("request_ended")
                        .Text("request", info_.id.value)
                        .Text("route", route_ == nullptr ? "" : route_->name)
                        .Text("outcome", outcome)
                        .Text("detail", last_detail_)
                        .Text("head_of", head_runner_)
                        .Text("fingerprint", FingerprintText())
                        .Number("sent_to", sent_attempts_)
                        .Number("events", static_cast<std::int64_t>(delivered_.count()))
                        .Real("ms", absl::ToDoubleMilliseconds(took)));
}

}  // namespace martenyard::forwarding
