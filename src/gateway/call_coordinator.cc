#include "gateway/call_coordinator.h"

#include <algorithm>
#include <utility>

#include "gateway/prompt.h"

namespace martenyard::gateway {
namespace {

using ledger::CallKind;
using ledger::CallState;
using ledger::Verdict;

constexpr int kRetrySoonSeconds = 1;
constexpr absl::Duration kBackoffBase = absl::Milliseconds(50);
constexpr absl::Duration kBackoffCap = absl::Seconds(2);
constexpr absl::Duration kRenewPatience = absl::Seconds(1);

/// How a refusal to begin is told. All of these are for good: the ledger either keeps the key void
/// or the reason can't go away, so that no late duplicate of the request runs.
struct RefusalText {
  Verdict verdict;
  int status;
  const char* title;
};

constexpr RefusalText kRefusals[] = {
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

/// The request was turned away before its ledger could tell what the key's earlier requests did.
CallEnd TurnedAway(int status, const std::string& title) {
  CallEnd end;
  end.status = status;
  end.title = title;
  end.outcome = CallState::kUnknown;
  end.started = false;
  end.retry_after_seconds = kRetrySoonSeconds;
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
    sink->OnEnd(TurnedAway(503, "this daemon is stopping"));
    return;
  }
  if (calls_.size() >= options_.max_active) {
    sink->OnEnd(TurnedAway(503, "this daemon has too many calls under way"));
    return;
  }
  ++stats_.calls_started;
  CallId id = ++last_call_;
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
  call.asked_at = host_.Now();
  host_.AskLedger(host_.GroupOf(spec.program), ledger::Operation(std::move(begin)), spec.deadline,
                  [this, id = call.id](const LedgerAnswer& answer) { OnBegun(id, answer); });
}

void CallCoordinator::OnBegun(CallId id, const LedgerAnswer& answer) {
  Call* call = Find(id);
  if (call == nullptr) {
    return;
  }
  if (answer.status == LedgerAnswer::Status::kNotProposed) {
    End(*call, TurnedAway(503, "the program's ledger can't be reached"));
    return;
  }
  if (answer.status == LedgerAnswer::Status::kUncertain) {
    VoidAdmission(*call);
    return;
  }
  const ledger::ApplyResult& result = answer.reply.result;
  if (result.verdict == Verdict::kDone) {
    TakeGrant(*call, result);
  } else if (result.verdict == Verdict::kAlready && result.call) {
    EndFromRecord(*call, *result.call);
  } else {
    RefuseAdmission(*call, result.verdict);
  }
}

void CallCoordinator::VoidAdmission(Call& call) {
  call.status_if_not_run = 504;
  call.reason = "the call did not get its turn in time";
  ledger::VoidCall order{call.spec.program, call.spec.key, call.spec.request_hash};
  host_.AskLedger(host_.GroupOf(call.spec.program), ledger::Operation(std::move(order)),
                  host_.Now() + options_.void_patience,
                  [this, id = call.id](const LedgerAnswer& answer) { OnVoided(id, answer); });
}

void CallCoordinator::OnVoided(CallId id, const LedgerAnswer& answer) {
  Call* call = Find(id);
  if (call == nullptr) {
    return;
  }
  const auto& record = answer.reply.result.call;
  if (answer.status != LedgerAnswer::Status::kAnswered || !record) {
    EndUnknown(*call, 503, "the program's ledger did not answer in time");
    return;
  }
  bool began_here = record->state == CallState::kRunning && record->admission == call->admission;
  if (began_here) {
    // Its intent was committed, but nothing was sent: that can be settled truthfully.
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

void CallCoordinator::RefuseAdmission(Call& call, Verdict verdict) {
  if (verdict == Verdict::kBusy) {
    End(call, TurnedAway(429, "too many calls of this program wait for their turn"));
    return;
  }
  if (verdict == Verdict::kStaleEpoch) {
    End(call, TurnedAway(503, "a newer bundle is in force and not yet known here"));
    return;
  }
  for (const RefusalText& refusal : kRefusals) {
    if (refusal.verdict == verdict) {
      End(call, NotRun(refusal.status, refusal.title));
      return;
    }
  }
  EndUnknown(call, 503, "the ledger gave an answer that is not understood");
}

void CallCoordinator::TakeGrant(Call& call, const ledger::ApplyResult& result) {
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
  BeginWork(call);
}

bool CallCoordinator::GrantIsFresh(const Call& call) const {
  return host_.Now() < call.asked_at + options_.grant_lease * options_.lease_share_used;
}

void CallCoordinator::BeginWork(Call& call) {
  if (!GrantIsFresh(call)) {
    // The call waited long for its turn, or this daemon was frozen: the grant may be lost by now.
    call.stage = Stage::kConfirming;
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
    auto avoided = call.avoided.find(candidate.backend.name);
    if (avoided != call.avoided.end() && avoided->second > host_.Now()) {
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
    return;  // Tried again until the deadline.
  }
  call.backend = usable[*chosen].backend;
  AskPermit(call);
}

void CallCoordinator::AskPermit(Call& call) {
  call.stage = Stage::kWaitingForPermit;
  host_.SendPermitRequests({AskOf(call)});
}

dispatch::PermitAsk CallCoordinator::AskOf(const Call& call) const {
  dispatch::PermitAsk ask;
  ask.grant = call.grant;
  ask.engine = call.backend.name;
  ask.partner = call.spec.partner;
  ask.priority = call.priority;
  ask.attained = call.attained;
  ask.holds_permit = call.holds_permit;
  return ask;
}

void CallCoordinator::OnPermitUpdate(const dispatch::PermitNews& news) {
  for (const dispatch::PermitReply& answer : news.replies) {
    Call* call = FindGranted(answer.grant);
    bool at_engine = call != nullptr && call->backend.name == answer.engine;
    bool current = at_engine && call->stage == Stage::kWaitingForPermit;
    if (current && answer.verdict == dispatch::PermitVerdict::kGranted) {
      call->holds_permit = true;
      if (GrantIsFresh(*call)) {
        RunModel(*call);
      } else {
        LeaveEngine(*call, /*engine_draining=*/false);
        BeginWork(*call);
      }
    } else if (current && answer.verdict != dispatch::PermitVerdict::kQueued) {
      call->avoided[answer.engine] = host_.Now() + options_.engine_penalty;
      Place(*call);
    } else if (!current && answer.verdict == dispatch::PermitVerdict::kGranted) {
      // A late grant for what is no longer wanted must not hold a slot; but an engine that this
      // very call uses right now is not given back.
      bool in_use = at_engine && call->holds_permit;
      if (!in_use) {
        host_.SendPermitRelease({answer.grant, answer.engine, false});
      }
    }
  }
}

/// How an earlier dispatch failed is not why this one ends.
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
  LeaveEngine(*call, outcome.status == Status::kLeaving);
  call->may_have_run = call->may_have_run || outcome.status == Status::kBroken;
  switch (outcome.status) {
    case Status::kFinished:
      call->usage = UsageOfAnswer(*call, outcome.usage);
      stats_.prompt_tokens += static_cast<std::uint64_t>(outcome.usage.prompt_tokens);
      stats_.cached_tokens += static_cast<std::uint64_t>(outcome.usage.cached_tokens);
      retry_budget_ =
          std::min(options_.retry_budget_cap, retry_budget_ + options_.retry_budget_share);
      Commit(*call, CallState::kRan,
             BuildModelResult(call->text, call->usage.prompt_tokens, call->usage.cached_tokens,
                              call->usage.completion_tokens));
      break;
    case Status::kRejected:
      call->status_if_not_run = 422;
      call->reason = "the engine rejected the request: " + outcome.detail;
      Commit(*call, OutcomeWhenGivenUp(*call), "");
      break;
    case Status::kLeaving:
    case Status::kRefused:
    case Status::kBroken:
      Redispatch(*call, "the engine failed or refused: " + outcome.detail);
      break;
  }
}

/// The engine that finished reports on its own run. Of an answer that went on from another
/// engine's, nothing tells whether the report is of the whole; one without a report is not free
/// either. Both count at least what the text is estimated at.
clients::ModelUsage CallCoordinator::UsageOfAnswer(const Call& call,
                                                   const clients::ModelUsage& reported) {
  clients::ModelUsage usage = reported;
  if (call.resumed || usage.completion_tokens == 0) {
    usage.completion_tokens = std::max(usage.completion_tokens, EstimateTokens(call.text));
  }
  return usage;
}

void CallCoordinator::LeaveEngine(Call& call, bool engine_draining) {
  if (call.holds_permit || call.stage == Stage::kWaitingForPermit) {
    host_.SendPermitRelease({call.grant, call.backend.name, engine_draining});
  }
  call.holds_permit = false;
}

/// Another engine goes on where this one stopped: the caller sees one whole answer.
void CallCoordinator::Redispatch(Call& call, const std::string& reason) {
  call.avoided[call.backend.name] = host_.Now() + options_.engine_penalty;
  call.reason = reason;
  call.status_if_not_run = 503;
  ++stats_.redispatches;
  if (call.dispatches >= options_.max_dispatches) {
    Commit(call, OutcomeWhenGivenUp(call), "");
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
    auto avoided = call.avoided.find(backend.name);
    if (avoided == call.avoided.end() || avoided->second <= host_.Now()) {
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
        std::min(options_.retry_budget_cap, retry_budget_ + options_.retry_budget_share);
    Commit(*call, CallState::kRan, outcome.result);
    return;
  }
  call->reason = "the service failed: " + outcome.detail;
  call->status_if_not_run = 503;
  call->may_have_run = call->may_have_run || outcome.status == Status::kUnknown;
  bool may_run_again = outcome.status == Status::kNotRun || call->spec.repeatable;
  if (may_run_again && call->dispatches < options_.max_dispatches && MayRetry()) {
    ++stats_.redispatches;
    call->avoided[call->backend.name] = host_.Now() + options_.engine_penalty;
    absl::Duration backoff =
        std::min(kBackoffCap, kBackoffBase * (std::int64_t{1} << std::min(call->dispatches, 10)));
    call->stage = Stage::kBackingOff;
    call->resume_at = host_.Now() + backoff * (0.5 + 0.5 * random_.Uniform());
    return;
  }
  // An earlier try of a repeatable call may have run even if the last one surely did not.
  bool surely_not_run =
      outcome.status == Status::kNotRun && (!call->spec.repeatable || call->dispatches == 1);
  Commit(*call, surely_not_run ? CallState::kNotRun : CallState::kUnknown, "");
}

bool CallCoordinator::MayRetry() {
  if (retry_budget_ < 1.0) {
    ++stats_.retries_denied;
    return false;
  }
  retry_budget_ -= 1.0;
  return true;
}

// ---- The end ----

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
  host_.AskLedger(host_.GroupOf(call.spec.program), ledger::Operation(std::move(finish)),
                  host_.Now() + options_.commit_patience,
                  [this, id = call.id](const LedgerAnswer& answer) { OnCommitted(id, answer); });
}

void CallCoordinator::OnCommitted(CallId id, const LedgerAnswer& answer) {
  Call* call = Find(id);
  if (call == nullptr) {
    return;
  }
  bool stored = answer.status == LedgerAnswer::Status::kAnswered && answer.reply.result.call;
  if (!stored) {
    EndUnknown(*call, 503, "the result could not be stored");
    return;
  }
  EndFromRecord(*call, *answer.reply.result.call);
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
        end.retry_after_seconds = kRetrySoonSeconds;
      }
      End(call, end);
      return;
    }
    case CallState::kRunning:
    case CallState::kUnknown:
      EndUnknown(call, 504,
                 call.reason.empty() ? "it is not known whether the call ran" : call.reason);
      return;
  }
}

void CallCoordinator::EndUnknown(Call& call, int status, const std::string& title) {
  CallEnd end;
  end.status = status;
  end.title = title;
  end.outcome = CallState::kUnknown;
  if (call.spec.repeatable) {
    end.retry_after_seconds = kRetrySoonSeconds;
  }
  End(call, end);
}

void CallCoordinator::End(Call& call, const CallEnd& end) {
  bool turned_away = !end.started && end.outcome == CallState::kUnknown;
  switch (end.outcome) {
    case CallState::kRan:
      ++stats_.calls_ran;
      break;
    case CallState::kNotRun:
      ++stats_.calls_not_run;
      break;
    default:
      ++(turned_away ? stats_.calls_refused : stats_.calls_unknown);
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
  LeaveEngine(call, /*engine_draining=*/false);
}

// ---- Time ----

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
    CheckTimes(*call);
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

void CallCoordinator::CheckTimes(Call& call) {
  bool working = call.granted && call.stage != Stage::kCommitting;
  if (!working) {
    return;
  }
  if (call.stage != Stage::kConfirming && !GrantIsFresh(call)) {
    EndUnknown(call, 503, "the program's ledger can't be reached");
    return;
  }
  if (host_.Now() < call.spec.deadline) {
    return;
  }
  CallState outcome = OutcomeWhenGivenUp(call);
  call.status_if_not_run = 504;
  if (call.reason.empty()) {
    call.reason = "the deadline passed";
  }
  StopWork(call);
  Commit(call, outcome, "");
}

CallState CallCoordinator::OutcomeWhenGivenUp(const Call& call) {
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
  auto on_answer = [this, grants, asked_at = host_.Now()](const LedgerAnswer& answer) {
    OnRenewed(grants, asked_at, answer);
  };
  host_.AskLedger(group, ledger::RenewGrants{std::move(grants)}, host_.Now() + kRenewPatience,
                  std::move(on_answer));
}

CallCoordinator::Call* CallCoordinator::FindGranted(const ledger::Grant& grant) {
  auto known = by_key_.find({grant.program, grant.key});
  Call* call = known == by_key_.end() ? nullptr : Find(known->second);
  return call != nullptr && call->granted && call->grant == grant ? call : nullptr;
}

void CallCoordinator::OnRenewed(const std::vector<ledger::Grant>& asked, absl::Time asked_at,
                                const LedgerAnswer& answer) {
  if (answer.status != LedgerAnswer::Status::kAnswered) {
    return;
  }
  for (const ledger::Grant& lost : answer.reply.grants_lost) {
    Call* call = FindGranted(lost);
    // While its result is on the way to the ledger, the ledger's answer to that decides.
    if (call != nullptr && call->stage != Stage::kCommitting) {
      EndUnknown(*call, 503, "this daemon lost the call, or the program was ended");
    }
  }
  for (const ledger::Grant& grant : asked) {
    Call* call = FindGranted(grant);
    if (call == nullptr) {
      continue;
    }
    call->asked_at = std::max(call->asked_at, asked_at);
    if (call->stage == Stage::kConfirming) {
      BeginWork(*call);
    }
  }
}

void CallCoordinator::RenewPermits() {
  std::vector<dispatch::PermitAsk> asks;
  for (const auto& [id, call] : calls_) {
    if (call.holds_permit || call.stage == Stage::kWaitingForPermit) {
      asks.push_back(AskOf(call));
    }
  }
  if (!asks.empty()) {
    host_.SendPermitRequests(asks);
  }
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
