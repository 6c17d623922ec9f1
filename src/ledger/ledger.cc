#include "ledger/ledger.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "wire/codec.h"

namespace martenyard::ledger {
namespace {

/// Retention of ended programs, during which callers can still fetch results.
constexpr std::int64_t kEndedRetentionMs = std::int64_t{24} * 3600 * 1000;

ApplyResult WithVerdict(Verdict verdict) {
  ApplyResult result;
  result.verdict = verdict;
  return result;
}

ApplyResult WithCall(Verdict verdict, const CallRecord& call) {
  ApplyResult result;
  result.verdict = verdict;
  result.call = call;
  return result;
}

ApplyResult Begun(const ProgramRecord& program, const CallRecord& call) {
  ApplyResult result = WithCall(Verdict::kDone, call);
  result.partner = program.partner;
  result.program_kind = program.program_kind;
  result.attained = program.spent + program.inherited;
  result.engines = program.engines;
  return result;
}

/// State of a call after an attempt finished. If a later attempt did not run, the call remains
/// unknown, since an earlier attempt may have run.
CallState StateAfter(const CallRecord& call, CallState outcome) {
  bool first = call.attempt == kFirstAttempt;
  return outcome == CallState::kNotRun && !first ? CallState::kUnknown : outcome;
}

/// The state as it is stored in a snapshot.
struct StoredLedger {
  UnixMillis now_ms = 0;
  std::uint64_t last_release_id = 0;
  std::map<ProgramId, ProgramRecord> programs;
  std::map<PartnerName, std::uint64_t> epochs;
  std::map<std::uint64_t, ReleaseOrder> outbox;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(now_ms, last_release_id, programs, epochs, outbox);
  }
};

}  // namespace

const CallRecord* ProgramRecord::Find(const CallKey& key) const {
  auto found = std::find_if(calls.rbegin(), calls.rend(),
                            [&](const CallRecord& call) { return call.key == key; });
  return found == calls.rend() ? nullptr : &*found;
}

const CallRecord* ProgramRecord::Running() const {
  // Calls run one at a time, but a void key may follow the running call.
  auto found = std::find_if(calls.rbegin(), calls.rend(), [](const CallRecord& call) {
    return call.state == CallState::kRunning;
  });
  return found == calls.rend() ? nullptr : &*found;
}

UnixMillis ExpiryTime(const ProgramRecord& program) {
  if (program.ended) {
    return program.last_activity_ms + kEndedRetentionMs;
  }
  UnixMillis idle_end = program.last_activity_ms + program.limits.idle_expiry_ms;
  UnixMillis wall_end = program.created_ms + program.limits.max_wall_ms;
  return std::min(idle_end, wall_end);
}

ApplyResult Ledger::Apply(const Command& command) {
  now_ms_ = std::max(now_ms_, command.proposed_ms);
  return std::visit([this](const auto& operation) { return On(operation); }, command.operation);
}

const ProgramRecord* Ledger::Find(const ProgramId& program) const {
  auto found = programs_.find(program);
  return found == programs_.end() ? nullptr : &found->second;
}

ProgramRecord* Ledger::FindMutable(const ProgramId& program) {
  auto found = programs_.find(program);
  return found == programs_.end() ? nullptr : &found->second;
}

std::vector<CallRecord> Ledger::HistoryBefore(const ProgramId& id, std::uint32_t sequence) const {
  std::vector<CallRecord> history;
  const ProgramRecord* program = Find(id);
  if (program == nullptr) {
    return history;
  }
  for (const CallRecord& call : program->calls) {
    if (call.sequence < sequence && call.state == CallState::kRan) {
      history.push_back(call);
    }
  }
  return history;
}

std::vector<ProgramId> Ledger::Expired(UnixMillis now_ms, std::size_t limit) const {
  std::vector<ProgramId> expired;
  for (const auto& [when, program] : expiry_) {
    if (when > now_ms || expired.size() >= limit) {
      break;
    }
    if (!running_.contains(program)) {
      expired.push_back(program);
    }
  }
  return expired;
}

void Ledger::Touch(ProgramRecord& program) {
  expiry_.erase({ExpiryTime(program), program.id});
  program.last_activity_ms = now_ms_;
  expiry_.insert({ExpiryTime(program), program.id});
}

ApplyResult Ledger::On(const CreateProgram& command) {
  if (const ProgramRecord* existing = Find(command.program)) {
    bool same = existing->partner == command.partner &&
                existing->program_kind == command.program_kind &&
                existing->parent == command.parent;
    return WithVerdict(same ? Verdict::kAlready : Verdict::kProgramConflict);
  }
  std::uint64_t& epoch = epochs_[command.partner];
  if (command.epoch < epoch) {
    return WithVerdict(Verdict::kStaleEpoch);
  }
  epoch = command.epoch;
  ProgramRecord program;
  program.id = command.program;
  program.partner = command.partner;
  program.program_kind = command.program_kind;
  program.parent = command.parent;
  program.limits = command.limits;
  program.inherited = command.inherited;
  program.created_ms = now_ms_;
  program.last_activity_ms = now_ms_;
  expiry_.insert({ExpiryTime(program), program.id});
  programs_.emplace(command.program, std::move(program));
  return WithVerdict(Verdict::kDone);
}

std::optional<Verdict> Ledger::CheckBegin(const ProgramRecord& program,
                                          const BeginCall& command) const {
  if (program.ended) {
    return Verdict::kProgramEnded;
  }
  const auto& kinds = command.permitted_kinds;
  if (std::find(kinds.begin(), kinds.end(), program.program_kind) == kinds.end()) {
    return Verdict::kNotAllowed;
  }
  auto epoch = epochs_.find(program.partner);
  if (epoch != epochs_.end() && command.epoch < epoch->second) {
    return Verdict::kStaleEpoch;
  }
  if (program.Running() != nullptr) {
    return Verdict::kBusy;
  }
  if (now_ms_ >= program.created_ms + program.limits.max_wall_ms) {
    return Verdict::kTooLong;
  }
  if (program.calls.size() >= program.limits.max_calls) {
    return Verdict::kTooManyCalls;
  }
  if (program.history_bytes + command.turn.size() > program.limits.max_history_bytes) {
    return Verdict::kHistoryFull;
  }
  if (program.spent + program.reserved + command.reserve > program.limits.budget_tokens) {
    return Verdict::kBudgetExhausted;
  }
  return std::nullopt;
}

ApplyResult Ledger::On(const BeginCall& command) {
  ProgramRecord* program = FindMutable(command.program);
  if (program == nullptr || program->partner != command.partner) {
    return WithVerdict(Verdict::kUnknownProgram);
  }
  if (const CallRecord* existing = program->Find(command.key)) {
    return BeginExisting(*program, const_cast<CallRecord&>(*existing), command);
  }
  if (std::optional<Verdict> refusal = CheckBegin(*program, command)) {
    // These conditions may change; a late duplicate must not run after "not run" was reported.
    if (*refusal == Verdict::kBudgetExhausted || *refusal == Verdict::kNotAllowed) {
      AddVoid(*program, command.key, command.request_hash);
    }
    return WithVerdict(*refusal);
  }
  std::uint64_t& epoch = epochs_[program->partner];
  epoch = std::max(epoch, command.epoch);
  CallRecord call;
  call.key = command.key;
  call.request_hash = command.request_hash;
  call.sequence = static_cast<std::uint32_t>(program->calls.size()) + 1;
  call.kind = command.kind;
  call.repeatable = command.repeatable;
  call.admission = command.admission;
  call.gateway = command.gateway;
  call.reserved = command.reserve;
  call.turn = command.turn;
  program->reserved += command.reserve;
  program->history_bytes += command.turn.size();
  program->calls.push_back(std::move(call));
  running_.insert(program->id);
  Touch(*program);
  return Begun(*program, program->calls.back());
}

ApplyResult Ledger::BeginExisting(ProgramRecord& program, CallRecord& call,
                                  const BeginCall& command) {
  if (call.request_hash != command.request_hash) {
    return WithVerdict(Verdict::kKeyReused);
  }
  if (call.state == CallState::kRunning && call.admission == command.admission) {
    return Begun(program, call);  // Retried request whose reply was lost.
  }
  // Only the latest call may run again: later turns may already have used a history without it.
  bool newest = std::none_of(program.calls.begin(), program.calls.end(), [&](const auto& other) {
    return other.sequence > call.sequence && other.state != CallState::kNotRun;
  });
  if (call.state != CallState::kUnknown || !call.repeatable || !newest) {
    return WithCall(Verdict::kAlready, call);
  }
  if (program.ended) {
    return WithVerdict(Verdict::kProgramEnded);
  }
  if (program.spent + program.reserved + command.reserve > program.limits.budget_tokens) {
    return WithCall(Verdict::kAlready, call);
  }
  call.state = CallState::kRunning;
  ++call.attempt;
  call.admission = command.admission;
  call.gateway = command.gateway;
  call.reserved = command.reserve;
  program.reserved += command.reserve;
  running_.insert(program.id);
  Touch(program);
  return Begun(program, call);
}

CallRecord* Ledger::FindGranted(ProgramRecord& program, const Grant& grant) {
  auto* call = const_cast<CallRecord*>(program.Find(grant.key));
  bool current =
      call != nullptr && call->state == CallState::kRunning && call->attempt == grant.attempt;
  return current ? call : nullptr;
}

void Ledger::RecordEngine(ProgramRecord& program, const BackendName& engine) {
  if (engine.value.empty()) {
    return;
  }
  auto& engines = program.engines;
  engines.erase(std::remove(engines.begin(), engines.end(), engine), engines.end());
  engines.push_back(engine);  // The last engine used the context most recently.
}

void Ledger::Settle(ProgramRecord& program, CallRecord& call, CallState state, Tokens charge) {
  program.reserved -= call.reserved;
  program.spent += charge;
  call.reserved = 0;
  call.charged += charge;
  call.state = state;
  running_.erase(program.id);
  Touch(program);
}

ApplyResult Ledger::On(const FinishCall& command) {
  ProgramRecord* program = FindMutable(command.grant.program);
  if (program == nullptr) {
    return WithVerdict(Verdict::kUnknownProgram);
  }
  CallRecord* call = FindGranted(*program, command.grant);
  if (call == nullptr) {
    const CallRecord* stored = program->Find(command.grant.key);
    bool repeated = stored != nullptr && stored->attempt == command.grant.attempt &&
                    stored->state == StateAfter(*stored, command.outcome) &&
                    stored->result == command.result;
    return stored == nullptr
               ? WithVerdict(Verdict::kStaleGrant)
               : WithCall(repeated ? Verdict::kAlready : Verdict::kStaleGrant, *stored);
  }
  // The charge is capped at the reservation; an attempt with unknown outcome is charged in full.
  Tokens charge = std::clamp<Tokens>(command.used, 0, call->reserved);
  if (command.outcome == CallState::kUnknown) {
    charge = call->reserved;
  }
  if (command.outcome == CallState::kRan) {
    call->result = command.result;
    program->history_bytes += command.result.size();
  }
  RecordEngine(*program, command.engine);
  Settle(*program, *call, StateAfter(*call, command.outcome), charge);
  return WithCall(Verdict::kDone, *call);
}

ApplyResult Ledger::On(const LapseCall& command) {
  ProgramRecord* program = FindMutable(command.grant.program);
  CallRecord* call = program == nullptr ? nullptr : FindGranted(*program, command.grant);
  if (call == nullptr) {
    return WithVerdict(Verdict::kStaleGrant);
  }
  Settle(*program, *call, CallState::kUnknown, call->reserved);
  return WithCall(Verdict::kDone, *call);
}

ApplyResult Ledger::On(const VoidCall& command) {
  ProgramRecord* program = FindMutable(command.program);
  if (program == nullptr) {
    return WithVerdict(Verdict::kUnknownProgram);
  }
  if (const CallRecord* existing = program->Find(command.key)) {
    return WithCall(Verdict::kAlready, *existing);
  }
  return WithCall(Verdict::kDone, AddVoid(*program, command.key, command.request_hash));
}

CallRecord& Ledger::AddVoid(ProgramRecord& program, const CallKey& key,
                            std::uint64_t request_hash) {
  CallRecord call;
  call.key = key;
  call.request_hash = request_hash;
  call.sequence = static_cast<std::uint32_t>(program.calls.size()) + 1;
  call.state = CallState::kNotRun;
  program.calls.push_back(call);
  return program.calls.back();
}

ApplyResult Ledger::On(const EndProgram& command) {
  ProgramRecord* program = FindMutable(command.program);
  if (program == nullptr) {
    return WithVerdict(Verdict::kUnknownProgram);
  }
  if (program->ended) {
    // Ending an ended program after its retention deletes it.
    if (now_ms_ >= ExpiryTime(*program)) {
      expiry_.erase({ExpiryTime(*program), program->id});
      programs_.erase(command.program);
    }
    return WithVerdict(Verdict::kAlready);
  }
  End(*program, command.reason);
  return WithVerdict(Verdict::kDone);
}

void Ledger::End(ProgramRecord& program, const std::string& reason) {
  if (const CallRecord* running = program.Running()) {
    auto& call = const_cast<CallRecord&>(*running);
    Settle(program, call, CallState::kUnknown, call.reserved);
  }
  expiry_.erase({ExpiryTime(program), program.id});
  program.ended = true;
  program.end_reason = reason;
  program.last_activity_ms = now_ms_;
  expiry_.insert({ExpiryTime(program), program.id});
  for (const BackendName& engine : program.engines) {
    ++last_release_id_;
    outbox_[last_release_id_] = {last_release_id_, program.id, engine};
  }
  program.engines.clear();
}

ApplyResult Ledger::On(const AcknowledgeRelease& command) {
  for (std::uint64_t id : command.ids) {
    outbox_.erase(id);
  }
  return WithVerdict(Verdict::kDone);
}

std::string Ledger::Serialize() const {
  StoredLedger stored;
  stored.now_ms = now_ms_;
  stored.last_release_id = last_release_id_;
  stored.programs.insert(programs_.begin(), programs_.end());
  stored.epochs = epochs_;
  stored.outbox = outbox_;
  return wire::Encode(stored);
}

bool Ledger::Restore(const std::string& data) {
  auto stored = wire::Decode<StoredLedger>(data);
  if (!stored) {
    return false;
  }
  *this = Ledger();
  now_ms_ = stored->now_ms;
  last_release_id_ = stored->last_release_id;
  epochs_ = std::move(stored->epochs);
  outbox_ = std::move(stored->outbox);
  for (auto& [id, program] : stored->programs) {
    expiry_.insert({ExpiryTime(program), id});
    if (program.Running() != nullptr) {
      running_.insert(id);
    }
    programs_.emplace(id, std::move(program));
  }
  return true;
}

}  // namespace martenyard::ledger
