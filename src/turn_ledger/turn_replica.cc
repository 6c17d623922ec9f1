#include "turn_ledger/turn_replica.h"

#include <algorithm>
#include <utility>

#include "wire/codec.h"

namespace martenyard::turn_ledger {
namespace {

constexpr absl::Duration kPlanInterval = absl::Milliseconds(100);
/// Time between transfers to the preferred leader; a new leader waits half of it.
constexpr absl::Duration kLeadershipTransferInterval = absl::Seconds(4);

/// Converts to the clock type of the leader's tables. Both clocks are steady and have the same
/// epoch.
tenancy::instant QuotaTime(absl::Time now) {
  return tenancy::instant(absl::ToChronoNanoseconds(now - absl::UnixEpoch()));
}

/// Requests to cold runners are never delayed: another runner can take them.
tenancy::rate_limiter_options SlowStartOptions() {
  constexpr std::chrono::seconds kIdleTimeout{60};
  tenancy::rate_limiter_options options;
  options.m_max_wait = std::chrono::milliseconds::zero();
  options.m_protect_programs = false;
  options.m_idle_timeout = kIdleTimeout;
  return options;
}

}  // namespace

TurnReplica::TurnReplica(const Machine& self, const ReplicaOptions& options,
                         consensus::RestoredState restored, EntryReader read_stored_entry,
                         std::uint64_t seed, absl::Time now)
    : self_(self),
      options_(options),
      read_stored_entry_(std::move(read_stored_entry)),
      raft_(self.identity, options.raft, restored, seed, now),
      state_([this](consensus::EntryId entry) { return ReadEntry(entry); }),
      now_(now),
      snapshot_schedule_(options.snapshot_log_bytes, restored.snapshot),
      slow_starts_(options.slow_start, SlowStartOptions()),
      quotas_(options.quota) {
  const consensus::Snapshot& snapshot = restored.snapshot;
  if (snapshot.index > 0) {
    RestoreState(snapshot);
  }
  UpdateMachine(now, self);
}

// ---- Inputs ----

void TurnReplica::Tick(absl::Time now) {
  now_ = std::max(now_, now);
  if (unreadable_index_) {
    return;
  }
  raft_.Tick(now_);
  UpdateLeadership();
  if (raft_.LeaderIsCurrent() && now_ >= next_plan_) {
    next_plan_ = now_ + kPlanInterval;
    PlanConfiguration();
  }
}

void TurnReplica::OnLogMessage(absl::Time now, NodeId from, const consensus::RaftMessage& message) {
  now_ = std::max(now_, now);
  if (unreadable_index_) {
    return;
  }
  const auto* request = std::get_if<consensus::SnapshotRequest>(&message);
  bool newer = request != nullptr && request->snapshot.index > raft_.commit_index();
  if (newer && !HasReferencedEntries(request->snapshot)) {
    ++incomplete_snapshots_;  // A part was lost. The leader sends the snapshot again.
    return;
  }
  raft_.Step(now_, from, message);
  UpdateLeadership();
}

void TurnReplica::UpdateMachine(absl::Time now, const Machine& machine, bool self_reported) {
  now_ = std::max(now_, now);
  bool name_known = std::any_of(machines_.begin(), machines_.end(), [&](const auto& entry) {
    return entry.second.name == machine.name;
  });
  if (!self_reported && (name_known || superseded_.contains(machine.identity))) {
    return;
  }
  superseded_.erase(machine.identity);
  // A machine has one identity at a time: a former identity was lost with its disk.
  for (auto known = machines_.begin(); known != machines_.end();) {
    bool superseded = known->second.name == machine.name && known->first != machine.identity;
    if (!superseded) {
      ++known;
      continue;
    }
    superseded_.insert(known->first);
    last_contact_.erase(known->first);
    known = machines_.erase(known);
  }
  machines_[machine.identity] = machine;
  last_contact_[machine.identity] = now_;
}

void TurnReplica::OnMachineDown(absl::Time now, NodeId identity) {
  now_ = std::max(now_, now);
  raft_.OnMemberDown(now_, identity);
}

void TurnReplica::TransferLeadership() {
  if (!raft_.IsLeader() || raft_.IsTransferringLeadership()) {
    return;
  }
  NodeId best = kNoNode;
  for (NodeId voter : raft_.configuration().voters) {
    bool recent = raft_.LastContact(voter) + options_.raft.election_timeout >= now_ &&
                  !raft_.DeclinedLeadership(voter);
    bool better = best == kNoNode || raft_.MatchIndex(voter) > raft_.MatchIndex(best);
    best = voter != self_.identity && recent && better ? voter : best;
  }
  if (best != kNoNode) {
    raft_.TransferLeadership(best);
  }
}

void TurnReplica::OnRequest(absl::Time now, const wire::Endpoint& gateway,
                            const LedgerRequest& request, wire::Layout layout) {
  now_ = std::max(now_, now);
  Requester requester{gateway, request.request, layout};
  if (!raft_.IsLeader() || unreadable_index_) {
    Reply(requester, ReplyStatus::kNotLeader);
    return;
  }
  if (ReplyWithoutLog(requester, request)) {
    return;
  }
  if (in_flight_.contains(requester)) {
    return;  // A retry of a pending request: one log entry serves both.
  }
  bool settlement = std::holds_alternative<SettleTurn>(request.operation);
  if (proposals_.size() >= options_.max_pending ||
      (!settlement && (memory_full_ || Overloaded()))) {
    Reply(requester, ReplyStatus::kOverloaded);
    return;
  }
  Command command{LedgerNow(), request.operation};
  auto index = raft_.Propose(consensus::EntryKind::kCommand, wire::Encode(command));
  if (!index) {
    Reply(requester, ReplyStatus::kNotLeader);
    return;
  }
  proposals_[*index] = {raft_.term(), requester, now_, {request.origin, request.crash_account}};
  in_flight_.insert(requester);
}

bool TurnReplica::ReplyWithoutLog(const Requester& requester, const LedgerRequest& request) {
  if (std::holds_alternative<Probe>(request.operation)) {
    Reply(requester, raft_.LeaderIsCurrent() ? ReplyStatus::kDone : ReplyStatus::kNotLeader);
    return true;
  }
  if (const auto* quota = std::get_if<TakeQuota>(&request.operation)) {
    // A deposed leader that has not noticed must not grant quota alongside its successor.
    if (!raft_.HoldsLease(now_)) {
      Reply(requester, ReplyStatus::kNotLeader);
      return true;
    }
    OperationResult result;
    bool for_runner = tenancy::is_runner_limit_key(quota->request.m_tenant);
    tenancy::rate_limiter& limiter = for_runner ? slow_starts_ : quotas_;
    result.quota = limiter.take(QuotaTime(now_), quota->request);
    Reply(requester, ReplyStatus::kDone, std::move(result));
    return true;
  }
  const auto* reserve = std::get_if<ReserveTurn>(&request.operation);
  bool may_be_refused = reserve != nullptr && request.known_programs_only &&
                        raft_.LeaderIsCurrent() && !state_.HasProgram(reserve->program);
  return may_be_refused && RefuseNewProgram(requester, request, reserve->program);
}

bool TurnReplica::RefuseNewProgram(const Requester& requester, const LedgerRequest& request,
                                   const ProgramId& program) {
  if (request.admit_waiting) {
    // A deposed leader that has not noticed must not decide by its outdated table.
    if (!raft_.HoldsLease(now_)) {
      Reply(requester, ReplyStatus::kNotLeader);
      return true;
    }
    if (waiting_programs_.may_begin(QuotaTime(now_), program)) {
      return false;
    }
  } else {
    waiting_programs_.record_refusal(QuotaTime(now_), program);
  }
  ++refused_programs_;
  OperationResult result;
  result.verdict = Verdict::kUnknownProgram;
  Reply(requester, ReplyStatus::kDone, std::move(result));
  return true;
}

// ---- Leading ----

LedgerMillis TurnReplica::LedgerNow() const {
  return ledger_time_at_election_ + absl::ToInt64Milliseconds(now_ - leader_since_);
}

bool TurnReplica::Overloaded() const {
  return !proposals_.empty() &&
         proposals_.begin()->second.proposed_at + options_.overload_after < now_;
}

void TurnReplica::UpdateLeadership() {
  if (raft_.IsLeader() == was_leader_) {
    return;
  }
  was_leader_ = raft_.IsLeader();
  if (was_leader_) {
    leader_since_ = now_;
    ledger_time_at_election_ = state_.now();
    next_plan_ = now_;
    next_leadership_transfer_ = now_ + kLeadershipTransferInterval / 2;
    quotas_.reset(QuotaTime(now_));
    slow_starts_.reset(QuotaTime(now_));
    waiting_programs_.reset(QuotaTime(now_));
    unsettled_tries_.reset();
    return;
  }
  AbandonProposals();
  transfers_.clear();
}

void TurnReplica::AbandonProposals() {
  for (const auto& [index, proposal] : proposals_) {
    Reply(proposal.requester, ReplyStatus::kUncertain);
  }
  proposals_.clear();
  in_flight_.clear();
}

GroupView TurnReplica::MakeGroupView() const {
  GroupView view;
  view.leader = self_.identity;
  view.configuration = raft_.configuration();
  view.commit = raft_.commit_index();
  for (const auto& [identity, machine] : machines_) {
    MachineView known_machine;
    known_machine.name = machine.name;
    known_machine.identity = identity;
    known_machine.zone = machine.zone;
    known_machine.retiring =
        std::find(retiring_.begin(), retiring_.end(), machine.name) != retiring_.end();
    auto found = last_contact_.find(identity);
    absl::Time last_contact = found == last_contact_.end() ? absl::InfinitePast() : found->second;
    last_contact = std::max(last_contact, raft_.LastContact(identity));
    // A new leader counts members' time without contact from its election.
    bool member = view.configuration.IsVoter(identity) || view.configuration.IsLearner(identity);
    last_contact = member ? std::max(last_contact, leader_since_) : last_contact;
    known_machine.time_since_contact =
        identity == self_.identity ? absl::ZeroDuration() : now_ - last_contact;
    known_machine.match = raft_.MatchIndex(identity);
    view.machines.push_back(std::move(known_machine));
  }
  for (NodeId member : view.configuration.Members()) {
    if (!machines_.contains(member) && !superseded_.contains(member)) {
      MachineView unknown_machine;
      unknown_machine.identity = member;
      unknown_machine.present = false;
      unknown_machine.time_since_contact =
          now_ - std::max(raft_.LastContact(member), leader_since_);
      unknown_machine.match = raft_.MatchIndex(member);
      view.machines.push_back(std::move(unknown_machine));
    }
  }
  return view;
}

void TurnReplica::PlanConfiguration() {
  if (!raft_.ConfigurationIsCommitted()) {
    return;
  }
  GroupView view = MakeGroupView();
  if (auto next = PlanMembership(view, options_.planner)) {
    raft_.ProposeConfiguration(*next);
    return;
  }
  NodeId preferred = PreferredLeader(view, options_.planner);
  bool due = options_.preferred_leaders && now_ >= next_leadership_transfer_ &&
             preferred != self_.identity;
  if (due && raft_.MatchIndex(preferred) >= raft_.commit_index()) {
    next_leadership_transfer_ = now_ + kLeadershipTransferInterval;
    raft_.TransferLeadership(preferred);
  }
}

bool TurnReplica::CanRemoveMachine(const std::string& machine) const {
  return raft_.LeaderIsCurrent() && raft_.ConfigurationIsCommitted() &&
         turn_ledger::CanRemoveMachine(MakeGroupView(), machine, options_.planner);
}

// ---- Snapshots to other members ----

consensus::Ready TurnReplica::TakeReady() {
  consensus::Ready ready = raft_.TakeReady();
  std::erase_if(ready.messages_before_store, [&](consensus::Outbound& outbound) {
    auto* request = std::get_if<consensus::SnapshotRequest>(&outbound.message);
    if (request == nullptr) {
      return false;
    }
    if (!transfers_.contains(outbound.to)) {
      transfers_.emplace(outbound.to, snapshot_transfer(outbound.to, std::move(*request),
                                                        raft_.MatchIndex(outbound.to)));
    }
    return true;
  });
  return ready;
}

std::vector<consensus::Outbound> TurnReplica::NextTransferParts(
    std::size_t max_bytes, const std::function<bool(NodeId)>& ready) {
  std::vector<NodeId> members = raft_.configuration().Members();
  std::erase_if(transfers_, [&](const auto& entry) {
    return std::find(members.begin(), members.end(), entry.first) == members.end();
  });
  std::vector<consensus::Outbound> parts;
  for (auto& [member, transfer] : transfers_) {
    if (ready(member)) {
      parts.push_back(
          transfer.next(max_bytes, [this](consensus::EntryId entry) { return ReadEntry(entry); }));
    }
  }
  std::erase_if(transfers_, [](const auto& entry) { return entry.second.done(); });
  return parts;
}

bool TurnReplica::HasReferencedEntries(const consensus::Snapshot& snapshot) const {
  std::vector<consensus::EntryId> entries = entries_of(snapshot);
  return std::all_of(entries.begin(), entries.end(), [&](const consensus::EntryId& entry) {
    return read_stored_entry_(entry).has_value();
  });
}

std::vector<consensus::LogIndex> TurnReplica::EntriesReferencedBy(
    const consensus::Snapshot& snapshot) {
  std::vector<consensus::LogIndex> kept;
  for (const consensus::EntryId& entry : entries_of(snapshot)) {
    kept.push_back(entry.index);
  }
  return kept;
}

// ---- Applying ----

std::optional<consensus::Entry> TurnReplica::ReadEntry(consensus::EntryId entry) const {
  const consensus::Entry* in_log = raft_.Find(entry);
  return in_log != nullptr ? std::make_optional(*in_log) : read_stored_entry_(entry);
}

void TurnReplica::Apply(const consensus::Ready& ready) {
  if (ready.snapshot_to_install) {
    const consensus::Snapshot& snapshot = *ready.snapshot_to_install;
    RestoreState(snapshot);
    snapshot_schedule_.RecordInstalled(snapshot);
    snapshot_in_progress_.reset();  // The installed one is newer.
  }
  for (const consensus::Entry& entry : ready.committed) {
    ApplyEntry(entry);
  }
  if (!unreadable_index_) {
    BeginSnapshotIfDue();
  }
}

void TurnReplica::RestoreState(const consensus::Snapshot& snapshot) {
  if (!state_.Restore(snapshot.data)) {
    Halt(snapshot.index);
  }
}

void TurnReplica::Halt(consensus::LogIndex unreadable) {
  unreadable_index_ = unreadable;
  AbandonProposals();
  transfers_.clear();
}

void TurnReplica::ApplyEntry(const consensus::Entry& entry) {
  if (unreadable_index_) {
    return;
  }
  snapshot_schedule_.RecordApplied(entry);
  auto proposal = proposals_.extract(entry.index);
  if (entry.kind != consensus::EntryKind::kCommand) {
    return;
  }
  auto command = wire::Decode<Command>(entry.payload);
  if (!command) {
    // Written by a later build. Skipping an entry that other replicas apply would make the states
    // diverge.
    Halt(entry.index);
    return;
  }
  bool proposed_here = !proposal.empty();
  OperationResult result = state_.Apply(*command, {entry.index, entry.term}, proposed_here);
  for (consensus::LogIndex expired : state_.TakeExpiredEntries()) {
    unreferenced_entries_.push_back(expired);
  }
  if (const auto* settle = std::get_if<SettleTurn>(&command->operation)) {
    unsettled_tries_.settle(settle->turn);
  }
  const auto* reserve = std::get_if<ReserveTurn>(&command->operation);
  if (reserve != nullptr && result.verdict == Verdict::kDone) {
    waiting_programs_.remove(reserve->program);
  }
  // A leader's ledger clock continues from the end of the log, which may only now be applied.
  if (raft_.IsLeader()) {
    ledger_time_at_election_ = std::max(
        ledger_time_at_election_, state_.now() - absl::ToInt64Milliseconds(now_ - leader_since_));
  }
  if (proposal.empty()) {
    return;
  }
  AnswerQueries(proposal.mapped().queries, command->operation, result);
  in_flight_.erase(proposal.mapped().requester);
  bool valid = proposal.mapped().term == entry.term && !result.history_missing;
  Reply(proposal.mapped().requester, valid ? ReplyStatus::kDone : ReplyStatus::kUncertain,
        valid ? std::move(result) : OperationResult{});
}

void TurnReplica::AnswerQueries(const LedgerQueries& queries, const Operation& operation,
                                OperationResult& result) {
  if (queries.origin) {
    result.origin = state_.OriginOf(*queries.origin);
  }
  if (!queries.crash_account) {
    return;
  }
  const ProgramId& request = *queries.crash_account;
  result.crash_records = state_.CrashRecordsOf(request);
  result.unsettled_tries = 0;
  const auto* reserve = std::get_if<ReserveTurn>(&operation);
  bool reserves_turn = reserve != nullptr && reserve->program != request;
  if (reserves_turn && result.verdict == Verdict::kDone) {
    unsettled_tries_.add(QuotaTime(now_), request, reserve->turn);
    result.unsettled_tries = static_cast<std::uint32_t>(
        unsettled_tries_.count(request, reserve->turn, result.crash_records));
  }
}

void TurnReplica::BeginSnapshotIfDue() {
  if (snapshot_in_progress_ || !snapshot_schedule_.Due(raft_)) {
    return;
  }
  snapshot_in_progress_.emplace(
      SnapshotInProgress{snapshot_schedule_.Begin(raft_), state_image_encoder(state_.Capture())});
}

std::optional<SnapshotStep> TurnReplica::NextSnapshotStep(std::size_t max_bytes) {
  if (!snapshot_in_progress_ || snapshot_in_progress_->encoder.done()) {
    return std::nullopt;
  }
  SnapshotInProgress& in_progress = *snapshot_in_progress_;
  SnapshotStep step;
  step.first = !std::exchange(in_progress.started, true);
  step.part = in_progress.encoder.next(max_bytes);
  in_progress.snapshot.data += step.part;
  if (in_progress.encoder.done()) {
    const consensus::Snapshot& snapshot = in_progress.snapshot;
    step.finished = consensus::Snapshot{snapshot.index, snapshot.term, snapshot.configuration, ""};
    step.kept = state_.ReferencedEntries(snapshot.index);
  }
  return step;
}

void TurnReplica::FinishSnapshot() {
  if (snapshot_in_progress_ && snapshot_in_progress_->encoder.done()) {
    snapshot_schedule_.Finish(raft_, std::move(snapshot_in_progress_->snapshot));
    snapshot_in_progress_.reset();
  }
}

void TurnReplica::OnStoredEntries(const std::vector<consensus::LogIndex>& kept) {
  std::vector<consensus::LogIndex> referenced = state_.ReferencedEntries(raft_.snapshot_index());
  for (consensus::LogIndex index : kept) {
    if (!std::binary_search(referenced.begin(), referenced.end(), index)) {
      unreferenced_entries_.push_back(index);
    }
  }
}

std::vector<consensus::LogIndex> TurnReplica::TakeUnreferencedEntries() {
  // Entries after the snapshot are still part of the log. The next snapshot drops them.
  std::vector<consensus::LogIndex> taken = std::exchange(unreferenced_entries_, {});
  std::erase_if(taken, [&](consensus::LogIndex index) { return index > raft_.snapshot_index(); });
  return taken;
}

std::vector<OutgoingLedgerReply> TurnReplica::TakeReplies() {
  std::vector<OutgoingLedgerReply> taken = std::move(replies_);
  replies_.clear();
  return taken;
}

void TurnReplica::Reply(const Requester& requester, ReplyStatus status, OperationResult result) {
  LedgerReply reply;
  reply.request = requester.request;
  reply.status = status;
  reply.result = std::move(result);
  auto leader = machines_.find(raft_.leader());
  if (leader != machines_.end()) {
    reply.leader = leader->second.endpoint;
  }
  replies_.push_back({requester.gateway, std::move(reply), requester.layout});
}

}  // namespace martenyard::turn_ledger
