#include "ledger/group_replica.h"

#include <algorithm>
#include <utility>

#include "wire/codec.h"

namespace martenyard::ledger {
namespace {

constexpr absl::Duration kExpiryCheckInterval = absl::Seconds(1);
constexpr std::size_t kExpiriesPerCheck = 64;

/// Versions differ in how they apply `kNotRun` of a later attempt: some void the key, though an
/// earlier attempt may have run. All versions apply `kUnknown` alike, at the cost of the attempt's
/// whole reservation.
void UseCompatibleOutcome(FinishCall& finish) {
  if (finish.outcome == CallState::kNotRun && finish.grant.attempt > kFirstAttempt) {
    finish.outcome = CallState::kUnknown;
  }
}

}  // namespace

GroupReplica::GroupReplica(GroupId group, NodeId self, const GroupOptions& options,
                           consensus::RestoredState restored, std::uint64_t seed, absl::Time now)
    : group_(group),
      self_(self),
      options_(options),
      raft_(self, options.raft, restored, seed, now),
      now_(now),
      snapshots_(options.snapshot_log_bytes, restored.snapshot) {
  const consensus::Snapshot& snapshot = restored.snapshot;
  if (snapshot.index > 0) {
    ledger_.Restore(snapshot.data);
  }
}

void GroupReplica::Tick(absl::Time now) {
  now_ = std::max(now_, now);
  raft_.Tick(now_);
  UpdateLeadership();
  if (!LedgerIsCurrent()) {
    return;
  }
  LapseExpiredGrants();
  if (now_ >= next_expiry_check_ && !draining_) {
    next_expiry_check_ = now_ + kExpiryCheckInterval;
    EndExpiredPrograms();
  }
}

void GroupReplica::OnRaftMessage(absl::Time now, NodeId from,
                                 const consensus::RaftMessage& message) {
  now_ = std::max(now_, now);
  raft_.Step(now_, from, message);
  UpdateLeadership();
}

void GroupReplica::OnMemberDown(absl::Time now, NodeId member, absl::Time died_before) {
  now_ = std::max(now_, now);
  raft_.OnMemberDown(now_, member);
  down_members_[member] = died_before;
  for (const ProgramId& program : ledger_.running()) {
    if (ledger_.Find(program)->Running()->gateway == member) {
      leases_.erase(program);
    }
  }
}

absl::Time GroupReplica::InitialLeaseExpiry(const ProgramId& id) const {
  const ProgramRecord& program = *ledger_.Find(id);
  auto dead = down_members_.find(program.Running()->gateway);
  // A restarted daemon may run newer calls under the same node id.
  bool ran_there =
      dead != down_members_.end() && program.last_activity_ms <= absl::ToUnixMillis(dead->second);
  return ran_there ? now_ : now_ + options_.grant_lease;
}

// ---- Leadership ----

void GroupReplica::UpdateLeadership() {
  if (raft_.IsLeader() && !was_leader_) {
    was_leader_ = true;
    leases_.clear();
    lapsing_.clear();
    next_expiry_check_ = now_;
  } else if (!raft_.IsLeader() && was_leader_) {
    was_leader_ = false;
    draining_ = false;
    FailPendingRequests();
  }
}

bool GroupReplica::LedgerIsCurrent() const {
  return raft_.LeaderIsCurrent() && snapshots_.applied() == raft_.commit_index();
}

void GroupReplica::FailPendingRequests() {
  for (const auto& [index, proposal] : proposals_) {
    SendStatus(proposal.requester, ReplyStatus::kUncertain);
  }
  proposals_.clear();
  RejectWaitingCalls(ReplyStatus::kNotLeader);
  for (const auto& [id, query] : queries_) {
    SendStatus(query.requester, ReplyStatus::kNotLeader);
  }
  queries_.clear();
  leases_.clear();
}

void GroupReplica::RejectWaitingCalls(ReplyStatus status) {
  for (const auto& [program, calls] : waiting_) {
    for (const WaitingCall& call : calls) {
      SendStatus(call.requester, status);
    }
  }
  waiting_.clear();
}

void GroupReplica::SetDraining(bool draining) {
  draining_ = draining && raft_.IsLeader();
  if (draining_) {
    RejectWaitingCalls(ReplyStatus::kDraining);
  }
}

bool GroupReplica::IsDrained() const {
  return draining_ && LedgerIsCurrent() && ledger_.running().empty() && proposals_.empty();
}

void GroupReplica::LapseExpiredGrants() {
  for (const ProgramId& program : ledger_.running()) {
    // A new leader does not know when a grant was last renewed: it gives each a full lease unless
    // the gateway is known to be down.
    auto lease = leases_.emplace(program, InitialLeaseExpiry(program)).first;
    if (lease->second > now_ || lapsing_.contains(program)) {
      continue;
    }
    const CallRecord* call = ledger_.Find(program)->Running();
    // During a leadership transfer nothing can be proposed; the next tick tries again.
    if (Propose(Requester{}, LapseCall{Grant{program, call->key, call->attempt}})) {
      lapsing_.insert(program);
    }
  }
}

void GroupReplica::EndExpiredPrograms() {
  for (const ProgramId& program : ledger_.Expired(NowMillis(), kExpiriesPerCheck)) {
    Propose(Requester{}, EndProgram{program, "expired"});
  }
}

std::vector<ReleaseOrder> GroupReplica::DueReleases(std::size_t limit) const {
  std::vector<ReleaseOrder> due;
  if (!raft_.LeaderIsCurrent()) {
    return due;
  }
  for (const auto& [id, order] : ledger_.outbox()) {
    if (due.size() >= limit) {
      break;
    }
    due.push_back(order);
  }
  return due;
}

// ---- Requests ----

void GroupReplica::OnRequest(absl::Time now, NodeId from, const LedgerRequest& request) {
  now_ = std::max(now_, now);
  Requester requester{from, request.request_id};
  if (!raft_.IsLeader()) {
    SendStatus(requester, ReplyStatus::kNotLeader);
    return;
  }
  if (proposals_.size() + queries_.size() >= options_.max_pending) {
    SendStatus(requester, ReplyStatus::kOverloaded);
    return;
  }
  if (const auto* operation = std::get_if<Operation>(&request.body)) {
    OnOperation(requester, *operation);
  } else if (const auto* read = std::get_if<ReadProgram>(&request.body)) {
    OnQuery(requester, *read);
  } else if (const auto* renew = std::get_if<RenewGrants>(&request.body)) {
    OnQuery(requester, *renew);
  } else if (const auto* check = std::get_if<CheckPrograms>(&request.body)) {
    OnCheckPrograms(requester, *check);
  }
}

void GroupReplica::OnOperation(const Requester& requester, const Operation& operation) {
  if (draining_ && !MayProposeWhileDraining(operation)) {
    if (IsBeingCommitted(requester)) {
      return;  // The first copy of a repeated request is answered when it is applied.
    }
    // A leader that is not current may not know the call of a repeated request yet.
    SendStatus(requester, LedgerIsCurrent() ? ReplyStatus::kDraining : ReplyStatus::kOverloaded);
    return;
  }
  std::uint64_t arrival = ++last_arrival_;
  const auto* begin = std::get_if<BeginCall>(&operation);
  if (begin != nullptr && MustWait(*begin)) {
    EnqueueCall({arrival, requester, *begin});
    return;
  }
  Propose(requester, operation, arrival);
}

bool GroupReplica::IsBeingCommitted(const Requester& requester) const {
  return std::any_of(proposals_.begin(), proposals_.end(),
                     [&](const auto& entry) { return entry.second.requester == requester; });
}

bool GroupReplica::MayProposeWhileDraining(const Operation& operation) const {
  if (const auto* begin = std::get_if<BeginCall>(&operation)) {
    const ProgramRecord* program = ledger_.Find(begin->program);
    return program != nullptr && program->Find(begin->key) != nullptr && !MustWait(*begin);
  }
  return !std::holds_alternative<CreateProgram>(operation) &&
         !std::holds_alternative<EndProgram>(operation);
}

bool GroupReplica::MustWait(const BeginCall& command) const {
  const ProgramRecord* program = ledger_.Find(command.program);
  if (program == nullptr) {
    return false;
  }
  const CallRecord* running = program->Running();
  bool own_call =
      running != nullptr && running->key == command.key && running->admission == command.admission;
  if (own_call) {
    return false;
  }
  if (running != nullptr) {
    // The stored result of a finished call is returned without queueing.
    const CallRecord* existing = program->Find(command.key);
    return existing == nullptr || existing->state == CallState::kRunning;
  }
  // No call is running, but calls queued earlier go first.
  auto queue = waiting_.find(command.program);
  return queue != waiting_.end() && !queue->second.empty();
}

void GroupReplica::EnqueueCall(WaitingCall call) {
  auto& queue = waiting_[call.command.program];
  for (WaitingCall& waiting : queue) {
    if (waiting.command.admission == call.command.admission) {
      waiting.requester = call.requester;
      return;
    }
  }
  if (queue.size() >= options_.max_waiting_calls) {
    LedgerReply reply;
    reply.result.verdict = Verdict::kBusy;
    SendReply(call.requester, std::move(reply));
    return;
  }
  auto behind = std::find_if(queue.begin(), queue.end(), [&](const WaitingCall& waiting) {
    return waiting.arrival > call.arrival;
  });
  queue.insert(behind, std::move(call));
}

void GroupReplica::ProposeInternal(Operation operation) {
  if (draining_) {
    return;
  }
  Propose(Requester{}, std::move(operation));
}

bool GroupReplica::Propose(const Requester& requester, Operation operation, std::uint64_t arrival) {
  if (auto* finish = std::get_if<FinishCall>(&operation)) {
    UseCompatibleOutcome(*finish);
  }
  Command command{NowMillis(), std::move(operation)};
  auto index = raft_.Propose(consensus::EntryKind::kCommand, wire::Encode(command));
  if (!index) {
    SendStatus(requester, ReplyStatus::kNotLeader);
    return false;
  }
  proposals_[*index] = {raft_.term(), requester, arrival};
  return true;
}

void GroupReplica::OnQuery(const Requester& requester, LeaderQuery query) {
  ++last_query_id_;
  queries_[last_query_id_] = {requester, std::move(query), std::nullopt};
  if (!raft_.RequestRead(last_query_id_)) {
    queries_.erase(last_query_id_);
    SendStatus(requester, ReplyStatus::kNotLeader);
  }
}

LedgerReply GroupReplica::Evaluate(const ReadProgram& read) const {
  LedgerReply reply;
  const ProgramRecord* program = ledger_.Find(read.program);
  if (program == nullptr) {
    reply.result.verdict = Verdict::kUnknownProgram;
  } else {
    reply.program = *program;
  }
  return reply;
}

LedgerReply GroupReplica::Evaluate(const RenewGrants& renew) {
  LedgerReply reply;
  for (const Grant& grant : renew.grants) {
    const ProgramRecord* program = ledger_.Find(grant.program);
    const CallRecord* running = program == nullptr ? nullptr : program->Running();
    bool held =
        running != nullptr && running->key == grant.key && running->attempt == grant.attempt;
    if (held) {
      leases_[grant.program] = now_ + options_.grant_lease;
    } else {
      reply.grants_lost.push_back(grant);
    }
  }
  return reply;
}

void GroupReplica::OnCheckPrograms(const Requester& requester, const CheckPrograms& check) {
  // No read round: a stale reply would only drop the cached context of a live program.
  LedgerReply reply;
  if (!LedgerIsCurrent()) {
    SendStatus(requester, ReplyStatus::kNotLeader);
    return;
  }
  for (const ProgramId& id : check.programs) {
    const ProgramRecord* program = ledger_.Find(id);
    if (program == nullptr || program->ended) {
      reply.programs_over.push_back(id);
    }
  }
  SendReply(requester, std::move(reply));
}

// ---- Applying ----

bool GroupReplica::HasWork() const { return raft_.HasReady() || !replies_.empty(); }

std::optional<consensus::Snapshot> GroupReplica::Apply(const consensus::Ready& ready) {
  if (ready.snapshot_to_install) {
    const consensus::Snapshot& snapshot = *ready.snapshot_to_install;
    ledger_.Restore(snapshot.data);
    snapshots_.RecordInstalled(snapshot);
  }
  for (const consensus::Entry& entry : ready.committed) {
    ApplyEntry(entry);
  }
  for (const consensus::ReadyRead& read : ready.reads) {
    auto found = queries_.find(read.read_id);
    if (found != queries_.end()) {
      found->second.serve_at = read.index;
    }
  }
  ServeQueries();
  return SnapshotIfDue();
}

void GroupReplica::ApplyEntry(const consensus::Entry& entry) {
  snapshots_.RecordApplied(entry);
  auto proposal = proposals_.extract(entry.index);
  if (entry.kind != consensus::EntryKind::kCommand) {
    return;
  }
  auto command = wire::Decode<Command>(entry.payload);
  if (!command) {
    return;  // Skipped by every replica.
  }
  ApplyResult result = ledger_.Apply(*command);
  AfterCommand(*command, result);
  if (proposal.empty()) {
    return;
  }
  const auto* begin = std::get_if<BeginCall>(&command->operation);
  if (begin != nullptr && raft_.IsLeader() && LostRaceToBegin(result)) {
    if (draining_) {
      SendStatus(proposal.mapped().requester, ReplyStatus::kDraining);
      return;
    }
    EnqueueCall({proposal.mapped().arrival, proposal.mapped().requester, *begin});
    return;
  }
  if (proposal.mapped().term != entry.term) {
    SendStatus(proposal.mapped().requester, ReplyStatus::kUncertain);
    return;
  }
  LedgerReply reply;
  reply.result = std::move(result);
  bool needs_history =
      begin != nullptr && reply.result.verdict == Verdict::kDone && begin->kind == CallKind::kModel;
  if (needs_history) {
    reply.result.history = ledger_.HistoryBefore(begin->program, reply.result.call->sequence);
  }
  SendReply(proposal.mapped().requester, std::move(reply));
}

bool GroupReplica::LostRaceToBegin(const ApplyResult& result) {
  bool same_key_elsewhere = result.verdict == Verdict::kAlready && result.call &&
                            result.call->state == CallState::kRunning;
  return result.verdict == Verdict::kBusy || same_key_elsewhere;
}

void GroupReplica::AfterCommand(const Command& command, const ApplyResult& result) {
  if (!raft_.IsLeader()) {
    return;
  }
  std::optional<ProgramId> settled;
  if (const auto* begin = std::get_if<BeginCall>(&command.operation)) {
    if (result.verdict == Verdict::kDone) {
      leases_[begin->program] = InitialLeaseExpiry(begin->program);
    } else {
      settled = begin->program;  // A rejected call must not block the queue.
    }
  } else if (const auto* finish = std::get_if<FinishCall>(&command.operation)) {
    settled = finish->grant.program;
  } else if (const auto* lapse = std::get_if<LapseCall>(&command.operation)) {
    lapsing_.erase(lapse->grant.program);
    settled = lapse->grant.program;
  } else if (const auto* end = std::get_if<EndProgram>(&command.operation)) {
    settled = end->program;
  }
  if (settled) {
    if (!ledger_.running().contains(*settled)) {
      leases_.erase(*settled);
    }
    ProposeNextWaiting(*settled);
  }
}

void GroupReplica::ProposeNextWaiting(const ProgramId& program) {
  auto queue = waiting_.find(program);
  if (queue == waiting_.end() || ledger_.running().contains(program)) {
    return;
  }
  WaitingCall next = std::move(queue->second.front());
  queue->second.pop_front();
  bool proposed = Propose(next.requester, std::move(next.command), next.arrival);
  if (!proposed) {
    for (const WaitingCall& call : queue->second) {
      SendStatus(call.requester, ReplyStatus::kNotLeader);
    }
  }
  if (!proposed || queue->second.empty()) {
    waiting_.erase(queue);
  }
}

void GroupReplica::ServeQueries() {
  for (auto pending = queries_.begin(); pending != queries_.end();) {
    const PendingQuery& waiting = pending->second;
    if (!waiting.serve_at || *waiting.serve_at > snapshots_.applied()) {
      ++pending;
      continue;
    }
    LedgerReply reply =
        std::visit([this](const auto& query) { return Evaluate(query); }, waiting.query);
    SendReply(waiting.requester, std::move(reply));
    pending = queries_.erase(pending);
  }
}

std::optional<consensus::Snapshot> GroupReplica::SnapshotIfDue() {
  if (!snapshots_.Due(raft_)) {
    return std::nullopt;
  }
  return snapshots_.Take(raft_, ledger_.Serialize());
}

std::vector<OutgoingLedgerReply> GroupReplica::TakeReplies() {
  std::vector<OutgoingLedgerReply> taken = std::move(replies_);
  replies_.clear();
  return taken;
}

void GroupReplica::SendReply(const Requester& requester, LedgerReply reply) {
  if (requester.node == kNoNode) {
    return;
  }
  reply.request_id = requester.request_id;
  reply.group = group_;
  reply.leader = raft_.leader();
  replies_.push_back({requester.node, std::move(reply)});
}

void GroupReplica::SendStatus(const Requester& requester, ReplyStatus status) {
  LedgerReply reply;
  reply.status = status;
  SendReply(requester, std::move(reply));
}

}  // namespace martenyard::ledger
