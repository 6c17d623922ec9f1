#include "gateway/call_coordinator.h"

#include <algorithm>
#include <utility>

#include "gateway/prompt.h"

namespace martenyard::gateway {
namespace {

using ledger::CallKind;
using ledger::CallState;
using ledger::Verdict;

constexpr int kRetryAfterSeconds = 1;
constexpr absl::Duration kBackoffBase = absl::Milliseconds(50);
constexpr absl::Duration kMaxBackoff = absl::Seconds(2);
constexpr absl::Duration kRenewTimeout = absl::Seconds(1);

/// How a verdict that rejects a call is reported. All of them are final: the ledger keeps the key
/// void or the reason is permanent, so that no late duplicate of the request runs.
struct Rejection {
  Verdict verdict;
  int status;
  const char* title;
};

constexpr Rejection kRejections[] = {
    {Verdict::kUnknownProgram, 404, "no such program"},
    {Verdict::kProgramEnded, 409, "the program has ended"},
    {Verdict::kNotAllowed, 403, "the bundle does not let this program call the service"},
    {Verdict::kKeyReused, 422, "the Idempotency-Key was used for another request"},
    {Verdict::kBudgetExhausted, 409, "the program's budget does not cover this call"},
    {Verdict::kTooManyCalls, 409, "the program made as many calls as its bundle allows"},
    {Verdict::kTooLong, 409, "the program's wall time is over"},
    {Verdict::kHistoryFull, 409, "the program's history is as long as its bundle allows"},
};

clients::BackendKind BackendKindOf(CallKind kind) {
  return kind == CallKind::kTool ? clients::BackendKind::kTool : clients::BackendKind::kApplication;
}

CallEnd NotRun(int status, const std::string& title) {
  CallEnd end;
  end.status = status;
  end.title = title;
  end.outcome = CallState::kNotRun;
  end.started = false;
  return end;
}

/// The request was rejected and started nothing, but earlier requests with its key may have run.
CallEnd NotAdmitted(int status, const std::string& title) {
  CallEnd end;
  end.status = status;
  end.title = title;
  end.outcome = CallState::kUnknown;
  end.started = false;
  end.retry_after_seconds = kRetryAfterSeconds;
  return end;
}

}  // namespace

CallCoordinator::CallCoordinator(CallHost& host, const CoordinatorOptions& options,
                                 std::uint64_t seed)
    : host_(host),
      options_(options),
      random_(seed),
      next_renewal_(host.Now()),
      retry_budget_(options.retry_budget_cap) {}

CallCoordinator::Call* CallCoordinator::Find(CallId id) {
  auto found = calls_.find(id);
  return found == calls_.end() ? nullptr : &found->second;
}

// ---- Admission ----

void CallCoordinator::Start(const CallSpec& spec, std::shared_ptr<CallSink> sink) {
  auto known = by_key_.find({spec.program, spec.key});
  if (known != by_key_.end()) {
    Call& call = calls_.at(known->second);
    bool same = call.spec.request_hash == spec.request_hash && call.spec.partner == spec.partner;
    if (!same) {
      sink->OnEnd(NotRun(422, "the Idempotency-Key was used for another request"));
      return;
    }
    if (!call.text.empty()) {
      sink->OnText(call.text);
    }
    call.sinks.push_back(std::move(sink));
    return;
  }
  if (!admitting_) {
    sink->OnEnd(NotAdmitted(503, "this daemon is stopping"));
    return;
  }
  if (calls_.size() >= options_.max_active) {
    sink->OnEnd(NotAdmitted(503, "this daemon has too many calls under way"));
    return;
  }
  ++stats_.calls_started;
  CallId id = ++last_call_id_;
  Call& call = calls_[id];
  call.id = id;
  call.admission = AdmissionId(random_.NextId());
  call.spec = spec;
  call.sinks.push_back(std::move(sink));
  by_key_[{spec.program, spec.key}] = id;
  Admit(call);
}

void CallCoordinator::Admit(Call& call) {
  const CallSpec& spec = call.spec;
  ledger::BeginCall begin;
  begin.program = spec.program;
  begin.partner = spec.partner;
  begin.permitted_kinds = spec.permitted_kinds;
  begin.key = spec.key;
  begin.request_hash = spec.request_hash;
  begin.kind = spec.kind;
  begin.repeatable = spec.repeatable;
  begin.admission = call.admission;
  begin.gateway = host_.Self();
  begin.reserve = spec.Reservation();
  begin.epoch = spec.epoch;
  begin.turn = spec.turn;
  call.requested_at = host_.Now();
  host_.SendLedgerRequest(host_.GroupOf(spec.program), ledger::Operation(std::move(begin)),
                          spec.deadline, [this, id = call.id](const LedgerResult& ledger_result) {
                            OnBeginResult(id, ledger_result);
                          });
}

void CallCoordinator::OnBeginResult(CallId id, const LedgerResult& ledger_result) {
  Call* call = Find(id);
  if (call == nullptr) {
    return;
  }
  if (ledger_result.reply.status == ledger::ReplyStatus::kDraining) {
    // The leader has no record of this call, nor does it add one.
    End(*call, NotAdmitted(503, "the program's ledger is stopping"));
    return;
  }
  if (ledger_result.status == LedgerResult::Status::kNotProposed) {
    End(*call, NotAdmitted(503, "the program's ledger can't be reached"));
    return;
  }
  if (ledger_result.status == LedgerResult::Status::kUncertain) {
    VoidAdmission(*call);
    return;
  }
  const ledger::ApplyResult& result = ledger_result.reply.result;
  if (result.verdict == Verdict::kDone) {
    AcceptGrant(*call, result);
  } else if (result.verdict == Verdict::kAlready && result.call) {
    EndFromRecord(*call, *result.call);
  } else {
    RejectAdmission(*call, result.verdict);
  }
}

void CallCoordinator::VoidAdmission(Call& call) {
  call.status_if_not_run = 504;
  call.reason = "the call did not get its turn in time";
  ledger::VoidCall command{call.spec.program, call.spec.key, call.spec.request_hash};
  host_.SendLedgerRequest(
      host_.GroupOf(call.spec.program), ledger::Operation(std::move(command)),
      host_.Now() + options_.void_timeout,
      [this, id = call.id](const LedgerResult& ledger_result) { OnVoidResult(id, ledger_result); });
}

void CallCoordinator::OnVoidResult(CallId id, const LedgerResult& ledger_result) {
  Call* call = Find(id);
  if (call == nullptr) {
    return;
  }
  const auto& record = ledger_result.reply.result.call;
  bool answered = ledger_result.status == LedgerResult::Status::kAnswered && record;
  if (!answered && !admitting_) {
    // Whether the intent was committed stays open, but this daemon starts nothing any more.
    End(*call, NotAdmitted(503, "this daemon is stopping"));
    return;
  }
  if (!answered) {
    EndWithUnknownOutcome(*call, 503, "the program's ledger did not answer in time");
    return;
  }
  bool admitted_here = record->state == CallState::kRunning && record->admission == call->admission;
  if (admitted_here) {
    // The intent is committed but nothing was sent to a back end, so the call surely did not run.
    call->granted = true;
    call->grant = {call->spec.program, call->spec.key, record->attempt};
    Commit(*call, CallState::kNotRun, "");
    return;
  }
  if (record->state != CallState::kNotRun) {
    call->reason.clear();
  }
  EndFromRecord(*call, *record);
}

void CallCoordinator::RejectAdmission(Call& call, Verdict verdict) {
  if (verdict == Verdict::kBusy) {
    End(call, NotAdmitted(429, "too many calls of this program wait for their turn"));
    return;
  }
  if (verdict == Verdict::kStaleEpoch) {
    End(call, NotAdmitted(503, "a newer bundle is in force and not yet known here"));
    return;
  }
  for (const Rejection& rejection : kRejections) {
    if (rejection.verdict == verdict) {
      End(call, NotRun(rejection.status, rejection.title));
      return;
    }
  }
  EndWithUnknownOutcome(call, 503, "the ledger gave an answer that is not understood");
}

void CallCoordinator::AcceptGrant(Call& call, const ledger::ApplyResult& result) {
  call.granted = true;
  call.grant = {call.spec.program, call.spec.key, result.call->attempt};
  call.priority = host_.PriorityOf(call.spec.partner, result.program_kind);
  call.attained = result.attained;
  if (!result.engines.empty()) {
    call.last_engine = result.engines.back();
  }
  if (call.spec.kind == CallKind::kModel) {
    call.messages = BuildMessages(result.history, call.spec.turn);
    call.context_tokens = EstimateTokens(call.messages);
  }
  StartWork(call);
}

bool CallCoordinator::GrantIsFresh(const Call& call) const {
  return host_.Now() < call.requested_at + options_.grant_lease * options_.usable_lease_fraction;
}

void CallCoordinator::StartWork(Call& call) {
  if (!GrantIsFresh(call)) {
    // Admission took long, or this process was suspended: the grant may have lapsed.
    call.stage = Stage::kRenewingGrant;
    Renew(host_.GroupOf(call.spec.program), {call.grant});
    return;
  }
  if (call.spec.kind == CallKind::kModel) {
    Place(call);
  } else {
    RunService(call);
  }
}

// ---- Model calls ----

void CallCoordinator::Place(Call& call) {
  call.stage = Stage::kPlacing;
  call.resume_at = host_.Now() + options_.placement_retry;
  std::vector<EngineCandidate> usable;
  for (EngineCandidate& candidate : host_.EnginesFor(call.spec.partner, call.spec.service)) {
    auto cooling_down = call.cooling_down.find(candidate.backend.name);
    if (cooling_down != call.cooling_down.end() && cooling_down->second > host_.Now()) {
      continue;
    }
    if (candidate.backend.name == call.last_engine) {
      candidate.view.cached_tokens = call.context_tokens - call.spec.turn_tokens;
    }
    usable.push_back(std::move(candidate));
  }
  std::vector<scheduling::EngineView> views;
  views.reserve(usable.size());
  for (const EngineCandidate& candidate : usable) {
    views.push_back(candidate.view);
  }
  scheduling::CallView view{call.context_tokens, call.last_engine};
  auto chosen = scheduling::ChooseEngine(options_.placement, views, view, options_.costs,
                                         round_robin_, random_);
  if (!chosen) {
    call.reason = "no engine is available for this model";
    return;  // Retried by `Tick` until the deadline.
  }
  call.backend = usable[*chosen].backend;
  RequestPermit(call);
}

void CallCoordinator::RequestPermit(Call& call) {
  call.stage = Stage::kWaitingForPermit;
  host_.SendPermitRequests({MakePermitRequest(call)});
}

dispatch::PermitAsk CallCoordinator::MakePermitRequest(const Call& call) const {
  dispatch::PermitAsk request;
  request.grant = call.grant;
  request.engine = call.backend.name;
  request.partner = call.spec.partner;
  request.priority = call.priority;
  request.attained = call.attained;
  request.holds_permit = call.holds_permit;
  return request;
}

void CallCoordinator::OnPermitUpdate(const dispatch::PermitNews& update) {
  for (const dispatch::PermitReply& reply : update.replies) {
    Call* call = FindGranted(reply.grant);
    bool at_engine = call != nullptr && call->backend.name == reply.engine;
    bool current = at_engine && call->stage == Stage::kWaitingForPermit;
    if (current && reply.verdict == dispatch::PermitVerdict::kGranted) {
      call->holds_permit = true;
      if (GrantIsFresh(*call)) {
        RunModel(*call);
      } else {
        ReleaseEngine(*call, /*engine_draining=*/false);
        StartWork(*call);
      }
    } else if (current && reply.verdict != dispatch::PermitVerdict::kQueued) {
      call->cooling_down[reply.engine] = host_.Now() + options_.engine_cooldown;
      Place(*call);
    } else if (!current && reply.verdict == dispatch::PermitVerdict::kGranted) {
      // A late permit must not hold a slot, unless it is for the engine that this call uses now.
      bool in_use = at_engine && call->holds_permit;
      if (!in_use) {
        host_.SendPermitRelease({reply.grant, reply.engine, false});
      }
    }
  }
}

/// Clears `reason`: an earlier dispatch's failure must not be reported for this one.
void CallCoordinator::BeginDispatch(Call& call) {
  call.stage = Stage::kRunning;
  ++call.dispatches;
  call.reason.clear();
}

void CallCoordinator::RunModel(Call& call) {
  BeginDispatch(call);
  clients::ModelRequest request;
  request.url = call.backend.url;
  request.request_id = call.spec.program.value + "/" + call.spec.key.value + "/" +
                       std::to_string(call.grant.attempt) + "." + std::to_string(call.dispatches);
  request.context_id = call.spec.program.value;
  request.model = call.spec.service;
  request.messages = call.messages;
  request.resume_text = call.text;
  call.resumed = !call.text.empty();
  request.max_tokens = call.spec.max_tokens;
  request.priority = call.priority;
  request.timeout = std::max(absl::Milliseconds(1), call.spec.deadline - host_.Now());
  CallId id = call.id;
  call.handle = host_.Backends().StartModel(
      request,
      [this, id](const std::string& text) {
        if (Call* running = Find(id)) {
          running->text += text;
          for (const auto& sink : running->sinks) {
            sink->OnText(text);
          }
        }
      },
      [this, id](const clients::ModelOutcome& outcome) { OnModelDone(id, outcome); });
}

void CallCoordinator::OnModelDone(CallId id, const clients::ModelOutcome& outcome) {
  Call* call = Find(id);
  if (call == nullptr || call->stage != Stage::kRunning) {
    return;
  }
  call->handle = 0;
  using Status = clients::ModelOutcome::Status;
  ReleaseEngine(*call, outcome.status == Status::kDraining);
  call->may_have_run = call->may_have_run || outcome.status == Status::kBroken;
  switch (outcome.status) {
    case Status::kFinished:
      call->usage = TotalUsage(*call, outcome.usage);
      stats_.prompt_tokens += static_cast<std::uint64_t>(outcome.usage.prompt_tokens);
      stats_.cached_tokens += static_cast<std::uint64_t>(outcome.usage.cached_tokens);
      retry_budget_ =
          std::min(options_.retry_budget_cap, retry_budget_ + options_.retry_budget_per_call);
      Commit(*call, CallState::kRan,
             BuildModelResult(call->text, call->usage.prompt_tokens, call->usage.cached_tokens,
                              call->usage.completion_tokens));
      break;
    case Status::kRejected:
      call->status_if_not_run = 422;
      call->reason = "the engine rejected the request: " + outcome.detail;
      Commit(*call, OutcomeIfAbandoned(*call), "");
      break;
    case Status::kDraining:
    case Status::kRefused:
    case Status::kBroken:
      Redispatch(*call, "the engine failed or refused: " + outcome.detail);
      break;
  }
}

/// The report of the engine that finished may cover only its own part of a resumed text, or be
/// missing. In both cases at least the estimated tokens of the whole text are counted.
clients::ModelUsage CallCoordinator::TotalUsage(const Call& call,
                                                const clients::ModelUsage& reported) {
  clients::ModelUsage usage = reported;
  if (call.resumed || usage.completion_tokens == 0) {
    usage.completion_tokens = std::max(usage.completion_tokens, EstimateTokens(call.text));
  }
  return usage;
}

void CallCoordinator::ReleaseEngine(Call& call, bool engine_draining) {
  if (call.holds_permit || call.stage == Stage::kWaitingForPermit) {
    host_.SendPermitRelease({call.grant, call.backend.name, engine_draining});
  }
  call.holds_permit = false;
}

/// Continues the call on another engine, from the text generated so far.
void CallCoordinator::Redispatch(Call& call, const std::string& reason) {
  call.cooling_down[call.backend.name] = host_.Now() + options_.engine_cooldown;
  call.reason = reason;
  call.status_if_not_run = 503;
  ++stats_.redispatches;
  if (call.dispatches >= options_.max_dispatches) {
    Commit(call, OutcomeIfAbandoned(call), "");
    return;
  }
  Place(call);
}

// ---- Tool and application calls ----

void CallCoordinator::RunService(Call& call) {
  std::vector<clients::Backend> backends =
      host_.ServicesFor(call.spec.partner, BackendKindOf(call.spec.kind), call.spec.service);
  std::vector<clients::Backend> fresh;
  for (const clients::Backend& backend : backends) {
    auto cooling_down = call.cooling_down.find(backend.name);
    if (cooling_down == call.cooling_down.end() || cooling_down->second <= host_.Now()) {
      fresh.push_back(backend);
    }
  }
  if (fresh.empty()) {
    call.reason = "no back end is available for this service";
    call.stage = Stage::kBackingOff;
    call.resume_at = host_.Now() + options_.placement_retry;
    return;
  }
  call.backend = fresh[random_.Below(fresh.size())];
  BeginDispatch(call);
  clients::ServiceRequest request;
  request.url = call.backend.url;
  request.request_key = call.spec.program.value + "/" + call.spec.key.value;
  request.arguments = call.spec.turn;
  request.timeout = std::max(absl::Milliseconds(1), call.spec.deadline - host_.Now());
  CallId id = call.id;
  call.handle = host_.Backends().StartService(
      request, [this, id](const clients::ServiceOutcome& outcome) { OnServiceDone(id, outcome); });
}

void CallCoordinator::OnServiceDone(CallId id, const clients::ServiceOutcome& outcome) {
  Call* call = Find(id);
  if (call == nullptr || call->stage != Stage::kRunning) {
    return;
  }
  call->handle = 0;
  using Status = clients::ServiceOutcome::Status;
  if (outcome.status == Status::kRan) {
    retry_budget_ =
        std::min(options_.retry_budget_cap, retry_budget_ + options_.retry_budget_per_call);
    Commit(*call, CallState::kRan, outcome.result);
    return;
  }
  call->reason = "the service failed: " + outcome.detail;
  call->status_if_not_run = 503;
  call->may_have_run = call->may_have_run || outcome.status == Status::kUnknown;
  bool may_run_again = outcome.status == Status::kNotRun || call->spec.repeatable;
  if (may_run_again && call->dispatches < options_.max_dispatches && ConsumeRetry()) {
    ++stats_.redispatches;
    call->cooling_down[call->backend.name] = host_.Now() + options_.engine_cooldown;
    absl::Duration backoff =
        std::min(kMaxBackoff, kBackoffBase * (std::int64_t{1} << std::min(call->dispatches, 10)));
    call->stage = Stage::kBackingOff;
    call->resume_at = host_.Now() + backoff * (0.5 + 0.5 * random_.Uniform());
    return;
  }
  // An earlier dispatch of a repeatable call may have run even if the last one did not.
  bool surely_not_run =
      outcome.status == Status::kNotRun && (!call->spec.repeatable || call->dispatches == 1);
  Commit(*call, surely_not_run ? CallState::kNotRun : CallState::kUnknown, "");
}

bool CallCoordinator::ConsumeRetry() {
  if (retry_budget_ < 1.0) {
    ++stats_.retries_denied;
    return false;
  }
  retry_budget_ -= 1.0;
  return true;
}

// ---- Completion ----

void CallCoordinator::Commit(Call& call, CallState outcome, std::string result) {
  call.stage = Stage::kCommitting;
  ledger::FinishCall finish;
  finish.grant = call.grant;
  finish.outcome = outcome;
  finish.result = std::move(result);
  if (call.spec.kind == CallKind::kModel) {
    finish.used = call.spec.turn_tokens + call.usage.completion_tokens;
    finish.engine = call.backend.name;
  }
  host_.SendLedgerRequest(
      host_.GroupOf(call.spec.program), ledger::Operation(std::move(finish)),
      host_.Now() + options_.commit_timeout,
      [this, id = call.id](const LedgerResult& ledger_result) { OnCommitted(id, ledger_result); });
}

void CallCoordinator::OnCommitted(CallId id, const LedgerResult& ledger_result) {
  Call* call = Find(id);
  if (call == nullptr) {
    return;
  }
  bool stored =
      ledger_result.status == LedgerResult::Status::kAnswered && ledger_result.reply.result.call;
  if (!stored) {
    EndWithUnknownOutcome(*call, 503, "the result could not be stored");
    return;
  }
  EndFromRecord(*call, *ledger_result.reply.result.call);
}

void CallCoordinator::EndFromRecord(Call& call, const ledger::CallRecord& record) {
  switch (record.state) {
    case CallState::kRan: {
      CallEnd end;
      end.outcome = CallState::kRan;
      end.record = record;
      End(call, end);
      return;
    }
    case CallState::kNotRun: {
      std::string title = call.reason.empty() ? "the call was not run before" : call.reason;
      CallEnd end = NotRun(call.status_if_not_run, title + "; its key is void");
      if (call.status_if_not_run >= 500) {
        end.retry_after_seconds = kRetryAfterSeconds;
      }
      End(call, end);
      return;
    }
    case CallState::kRunning:
    case CallState::kUnknown:
      EndWithUnknownOutcome(
          call, 504, call.reason.empty() ? "it is not known whether the call ran" : call.reason);
      return;
  }
}

void CallCoordinator::EndWithUnknownOutcome(Call& call, int status, const std::string& title) {
  CallEnd end;
  end.status = status;
  end.title = title;
  end.outcome = CallState::kUnknown;
  if (call.spec.repeatable) {
    end.retry_after_seconds = kRetryAfterSeconds;
  }
  End(call, end);
}

void CallCoordinator::End(Call& call, const CallEnd& end) {
  bool not_admitted = !end.started && end.outcome == CallState::kUnknown;
  switch (end.outcome) {
    case CallState::kRan:
      ++stats_.calls_ran;
      break;
    case CallState::kNotRun:
      ++stats_.calls_not_run;
      break;
    default:
      ++(not_admitted ? stats_.calls_refused : stats_.calls_unknown);
      break;
  }
  StopWork(call);
  std::vector<std::shared_ptr<CallSink>> sinks = std::move(call.sinks);
  by_key_.erase({call.spec.program, call.spec.key});
  calls_.erase(call.id);
  for (const auto& sink : sinks) {
    sink->OnEnd(end);
  }
}

void CallCoordinator::StopWork(Call& call) {
  if (call.handle != 0) {
    host_.Backends().Cancel(call.handle);
    call.handle = 0;
  }
  ReleaseEngine(call, /*engine_draining=*/false);
}

// ---- Timers ----

void CallCoordinator::Tick() {
  std::vector<CallId> ids;
  for (const auto& [id, call] : calls_) {
    ids.push_back(id);
  }
  for (CallId id : ids) {
    Call* call = Find(id);
    if (call == nullptr) {
      continue;
    }
    CheckTimeouts(*call);
    call = Find(id);
    if (call == nullptr || host_.Now() < call->resume_at) {
      continue;
    }
    if (call->stage == Stage::kPlacing) {
      Place(*call);
    } else if (call->stage == Stage::kBackingOff) {
      RunService(*call);
    }
  }
  if (host_.Now() >= next_renewal_) {
    next_renewal_ = host_.Now() + options_.renew_interval;
    RenewGrants();
    RenewPermits();
  }
}

void CallCoordinator::CheckTimeouts(Call& call) {
  bool working = call.granted && call.stage != Stage::kCommitting;
  if (!working) {
    return;
  }
  if (call.stage != Stage::kRenewingGrant && !GrantIsFresh(call)) {
    EndWithUnknownOutcome(call, 503, "the program's ledger can't be reached");
    return;
  }
  if (host_.Now() < call.spec.deadline) {
    return;
  }
  CallState outcome = OutcomeIfAbandoned(call);
  call.status_if_not_run = 504;
  if (call.reason.empty()) {
    call.reason = "the deadline passed";
  }
  StopWork(call);
  Commit(call, outcome, "");
}

CallState CallCoordinator::OutcomeIfAbandoned(const Call& call) {
  bool may_have_run = call.may_have_run || call.handle != 0;
  return may_have_run ? CallState::kUnknown : CallState::kNotRun;
}

void CallCoordinator::RenewGrants() {
  std::map<GroupId, std::vector<ledger::Grant>> by_group;
  for (const auto& [id, call] : calls_) {
    if (call.granted) {
      by_group[host_.GroupOf(call.spec.program)].push_back(call.grant);
    }
  }
  for (auto& [group, grants] : by_group) {
    Renew(group, std::move(grants));
  }
}

void CallCoordinator::Renew(GroupId group, std::vector<ledger::Grant> grants) {
  auto on_answer = [this, grants, requested_at = host_.Now()](const LedgerResult& ledger_result) {
    OnRenewed(grants, requested_at, ledger_result);
  };
  host_.SendLedgerRequest(group, ledger::RenewGrants{std::move(grants)},
                          host_.Now() + kRenewTimeout, std::move(on_answer));
}

CallCoordinator::Call* CallCoordinator::FindGranted(const ledger::Grant& grant) {
  auto known = by_key_.find({grant.program, grant.key});
  Call* call = known == by_key_.end() ? nullptr : Find(known->second);
  return call != nullptr && call->granted && call->grant == grant ? call : nullptr;
}

void CallCoordinator::OnRenewed(const std::vector<ledger::Grant>& renewed, absl::Time requested_at,
                                const LedgerResult& ledger_result) {
  if (ledger_result.status != LedgerResult::Status::kAnswered) {
    return;
  }
  for (const ledger::Grant& lost : ledger_result.reply.grants_lost) {
    Call* call = FindGranted(lost);
    // While a result is being committed, the ledger's reply to that decides.
    if (call != nullptr && call->stage != Stage::kCommitting) {
      EndWithUnknownOutcome(*call, 503, "this daemon lost the call, or the program was ended");
    }
  }
  for (const ledger::Grant& grant : renewed) {
    Call* call = FindGranted(grant);
    if (call == nullptr) {
      continue;
    }
    call->requested_at = std::max(call->requested_at, requested_at);
    if (call->stage == Stage::kRenewingGrant) {
      StartWork(*call);
    }
  }
}

void CallCoordinator::RenewPermits() {
  std::vector<dispatch::PermitAsk> requests;
  for (const auto& [id, call] : calls_) {
    if (call.holds_permit || call.stage == Stage::kWaitingForPermit) {
      requests.push_back(MakePermitRequest(call));
    }
  }
  if (!requests.empty()) {
    host_.SendPermitRequests(requests);
  }
}

std::set<GroupId> CallCoordinator::GroupsInUse() const {
  std::set<GroupId> groups;
  for (const auto& [id, call] : calls_) {
    groups.insert(host_.GroupOf(call.spec.program));
  }
  return groups;
}

std::map<BackendName, int> CallCoordinator::CountByEngine() const {
  std::map<BackendName, int> counts;
  for (const auto& [id, call] : calls_) {
    if (call.holds_permit || call.stage == Stage::kWaitingForPermit) {
      ++counts[call.backend.name];
    }
  }
  return counts;
}

}  // namespace martenyard::gateway
