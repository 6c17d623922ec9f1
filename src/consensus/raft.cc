#include "consensus/raft.h"

#include <algorithm>
#include <utility>

#include "wire/codec.h"

namespace martenyard::consensus {
namespace {

/// Election timeout after the leader is reported down, as a fraction of the usual one.
constexpr double kLeaderDownTimeoutFactor = 0.3;
/// Limit of a leadership transfer in election timeouts; proposals resume after it.
constexpr int kTransferTimeouts = 3;
/// The snapshot is resent to a follower without progress for this many election timeouts.
constexpr int kSnapshotRetryTimeouts = 4;

std::size_t CountDifferingVoters(const Configuration& left, const Configuration& right) {
  std::size_t count = 0;
  for (NodeId voter : left.voters) {
    count += right.IsVoter(voter) ? 0 : 1;
  }
  for (NodeId voter : right.voters) {
    count += left.IsVoter(voter) ? 0 : 1;
  }
  return count;
}

}  // namespace

Raft::Raft(NodeId self, const RaftOptions& options, RestoredState restored, std::uint64_t seed,
           absl::Time now)
    : self_(self),
      options_(options),
      random_(seed),
      now_(now),
      hard_state_(restored.hard_state),
      stored_hard_state_(restored.hard_state),
      snapshot_(std::move(restored.snapshot)),
      log_(std::move(restored.entries)) {
  commit_ = applied_ = snapshot_.index;
  stored_index_ = last_index();
  RecomputeConfiguration();
  ResetElectionTimer();
  election_deadline_ = now_ + (election_deadline_ - now_) * options_.first_election_timeout_factor;
}

// ---- Time ----

void Raft::ResetElectionTimer() {
  election_deadline_ = now_ + options_.election_timeout * (1.0 + random_.Uniform());
}

void Raft::Tick(absl::Time now) {
  now_ = std::max(now_, now);
  if (role_ == Role::kLeader) {
    LeaderTick();
    return;
  }
  if (now_ >= election_deadline_ && configuration_.IsVoter(self_)) {
    StartElection(/*pre_vote=*/true, /*transfer=*/false);
  }
}

void Raft::LeaderTick() {
  if (now_ >= quorum_check_at_) {
    CheckQuorum();
    if (role_ != Role::kLeader) {
      return;
    }
  }
  if (transfer_target_ != kNoNode && now_ >= transfer_deadline_) {
    transfer_target_ = kNoNode;
  }
  if (now_ >= next_heartbeat_) {
    next_heartbeat_ = now_ + options_.heartbeat_interval;
    BeginRound();
    BroadcastAppend(/*even_if_empty=*/true);
  }
}

void Raft::CheckQuorum() {
  quorum_check_at_ = now_ + options_.election_timeout;
  std::size_t reachable = 0;
  for (NodeId voter : configuration_.voters) {
    bool recent =
        voter == self_ || progress_[voter].last_contact + options_.election_timeout >= now_;
    reachable += recent ? 1 : 0;
  }
  if (reachable < configuration_.QuorumSize()) {
    BecomeFollower(hard_state_.term, kNoNode);
  }
}

void Raft::OnMemberDown(absl::Time now, NodeId member) {
  now_ = std::max(now_, now);
  if (role_ == Role::kLeader || leader_ != member || leader_ == kNoNode) {
    return;
  }
  leader_ = kNoNode;
  last_leader_contact_ = absl::InfinitePast();
  // Randomized to make a split vote unlikely.
  election_deadline_ =
      now_ + options_.election_timeout * kLeaderDownTimeoutFactor * random_.Uniform();
}

// ---- Elections ----

void Raft::BecomeFollower(Term term, NodeId leader) {
  if (term > hard_state_.term) {
    hard_state_.term = term;
    hard_state_.voted_for = kNoNode;
  }
  if (role_ == Role::kLeader) {
    for (const PendingRead& read : pending_reads_) {
      ready_.failed_reads.push_back(read.read_id);
    }
    pending_reads_.clear();
    progress_.clear();
    round_started_.clear();
    transfer_target_ = kNoNode;
  }
  role_ = Role::kFollower;
  leader_ = leader;
  ResetElectionTimer();
}

void Raft::StartElection(bool pre_vote, bool transfer) {
  role_ = pre_vote ? Role::kPreCandidate : Role::kCandidate;
  leader_ = kNoNode;
  transfer_election_ = transfer;
  votes_.clear();
  votes_[self_] = true;
  ResetElectionTimer();
  if (!pre_vote) {
    ++hard_state_.term;
    hard_state_.voted_for = self_;
  }
  VoteRequest request;
  request.term = pre_vote ? hard_state_.term + 1 : hard_state_.term;
  request.pre_vote = pre_vote;
  request.leadership_transfer = transfer;
  request.last_index = last_index();
  request.last_term = TermAt(last_index()).value_or(0);
  SendToVoters(request);
  if (VoteWins()) {
    CountVote(self_, true);
  }
}

bool Raft::VoteWins() const {
  std::size_t granted = 0;
  for (NodeId voter : configuration_.voters) {
    auto found = votes_.find(voter);
    granted += found != votes_.end() && found->second ? 1 : 0;
  }
  return granted >= configuration_.QuorumSize();
}

void Raft::CountVote(NodeId from, bool granted) {
  votes_[from] = granted;
  if (!VoteWins()) {
    return;
  }
  if (role_ == Role::kPreCandidate) {
    StartElection(/*pre_vote=*/false, transfer_election_);
  } else {
    BecomeLeader();
  }
}

bool Raft::LogIsUpToDate(LogIndex other_index, Term other_term) const {
  Term own_term = TermAt(last_index()).value_or(0);
  return other_term > own_term || (other_term == own_term && other_index >= last_index());
}

bool Raft::InLeaderLease() const {
  if (role_ == Role::kLeader) {
    return true;
  }
  return leader_ != kNoNode && last_leader_contact_ + options_.election_timeout > now_;
}

void Raft::OnVoteRequest(NodeId from, const VoteRequest& request) {
  if (!request.leadership_transfer && InLeaderLease()) {
    return;
  }
  // Learners reply too: one that was promoted to voter may not have received that configuration
  // yet, and the candidate may need its vote. A learner never becomes a candidate.
  bool up_to_date = LogIsUpToDate(request.last_index, request.last_term);
  VoteReply reply;
  reply.pre_vote = request.pre_vote;
  if (request.pre_vote) {
    reply.granted = request.term > hard_state_.term && up_to_date;
    reply.term = reply.granted ? request.term : hard_state_.term;
    Reply(from, reply);
    return;
  }
  if (request.term > hard_state_.term) {
    BecomeFollower(request.term, kNoNode);
  }
  bool may_vote = hard_state_.voted_for == kNoNode || hard_state_.voted_for == from;
  reply.granted = request.term == hard_state_.term && up_to_date && may_vote;
  reply.term = hard_state_.term;
  if (reply.granted) {
    hard_state_.voted_for = from;
    ResetElectionTimer();
  }
  Reply(from, reply);
}

void Raft::OnVoteReply(NodeId from, const VoteReply& reply) {
  bool declines_transfer = role_ == Role::kLeader && from == transfer_target_ && !reply.granted &&
                           !reply.pre_vote && reply.term == hard_state_.term;
  if (declines_transfer) {
    declined_.insert(from);
    CancelTransferTo(from);
    return;
  }
  if (!reply.granted && reply.term > hard_state_.term) {
    BecomeFollower(reply.term, kNoNode);
    return;
  }
  bool is_pre_vote_reply = role_ == Role::kPreCandidate && reply.pre_vote &&
                           (!reply.granted || reply.term == hard_state_.term + 1);
  bool is_vote_reply =
      role_ == Role::kCandidate && !reply.pre_vote && reply.term == hard_state_.term;
  if (is_pre_vote_reply || is_vote_reply) {
    CountVote(from, reply.granted);
  }
}

void Raft::OnTimeoutNow(NodeId from, const TimeoutNow& request) {
  if (request.term != hard_state_.term || role_ == Role::kLeader ||
      !configuration_.IsVoter(self_)) {
    return;
  }
  if (declines_leadership_) {
    VoteReply declined;
    declined.term = hard_state_.term;
    Reply(from, declined);
    return;
  }
  StartElection(/*pre_vote=*/false, /*transfer=*/true);
}

void Raft::BecomeLeader() {
  role_ = Role::kLeader;
  leader_ = self_;
  transfer_target_ = kNoNode;
  declined_.clear();
  progress_.clear();
  SyncProgress();
  for (auto& [member, progress] : progress_) {
    progress.last_contact = now_;  // Grants every member a full election timeout.
  }
  quorum_check_at_ = now_ + options_.election_timeout;
  next_heartbeat_ = now_;
  // The first entry carries the configuration: an initial member that the leader contacted before
  // its bootstrap has no other source for it and could never become a candidate.
  leader_first_index_ = AppendToLog(EntryKind::kConfiguration, wire::Encode(configuration_));
  LeaderTick();
}

bool Raft::LeaderIsCurrent() const {
  return role_ == Role::kLeader && commit_ >= leader_first_index_;
}

// ---- Messages ----

void Raft::Step(absl::Time now, NodeId from, const RaftMessage& message) {
  now_ = std::max(now_, now);
  if (const auto* request = std::get_if<VoteRequest>(&message)) {
    OnVoteRequest(from, *request);
  } else if (const auto* vote = std::get_if<VoteReply>(&message)) {
    OnVoteReply(from, *vote);
  } else if (const auto* append = std::get_if<AppendRequest>(&message)) {
    OnAppendRequest(from, *append);
  } else if (const auto* append_reply = std::get_if<AppendReply>(&message)) {
    OnAppendReply(from, *append_reply);
  } else if (const auto* snapshot = std::get_if<SnapshotRequest>(&message)) {
    OnSnapshotRequest(from, *snapshot);
  } else if (const auto* timeout = std::get_if<TimeoutNow>(&message)) {
    OnTimeoutNow(from, *timeout);
  }
}

void Raft::OnAppendRequest(NodeId from, const AppendRequest& request) {
  AppendReply reply;
  reply.round = request.round;
  reply.previous = request.previous_index;
  if (request.term < hard_state_.term) {
    reply.term = hard_state_.term;
    reply.match = last_index();
    Reply(from, reply);
    return;
  }
  BecomeFollower(request.term, from);
  last_leader_contact_ = now_;
  reply.term = hard_state_.term;
  if (request.previous_index < snapshot_.index) {
    // Entries up to the snapshot are committed and therefore match: continue from there.
    reply.success = true;
    reply.match = snapshot_.index;
    Reply(from, reply);
    return;
  }
  std::optional<Term> previous = TermAt(request.previous_index);
  if (previous != request.previous_term) {
    reply.match = ConflictHint(request.previous_index);
    Reply(from, reply);
    return;
  }
  AppendReceived(request.entries);
  LogIndex last_matching = request.previous_index + request.entries.size();
  commit_ = std::max(commit_, std::min(request.commit, last_matching));
  reply.success = true;
  reply.match = last_matching;
  Reply(from, reply);
}

void Raft::OnAppendReply(NodeId from, const AppendReply& reply) {
  if (reply.term > hard_state_.term) {
    BecomeFollower(reply.term, kNoNode);
    return;
  }
  auto found = progress_.find(from);
  if (role_ != Role::kLeader || reply.term != hard_state_.term || found == progress_.end()) {
    return;
  }
  Progress& progress = found->second;
  progress.last_contact = now_;
  progress.acknowledged_round = std::max(progress.acknowledged_round, reply.round);
  AdvanceReads();
  if (!reply.success) {
    OnAppendRejected(from, progress, reply);
    return;
  }
  if (reply.match > progress.match) {
    progress.match = reply.match;
    progress.last_progress = now_;
    progress.snapshot_sent = false;
  }
  progress.probing = false;
  progress.next = std::max(progress.next, progress.match + 1);
  bool all_acknowledged = progress.match + 1 == progress.next;
  progress.inflight = all_acknowledged || progress.inflight == 0 ? 0 : progress.inflight - 1;
  AdvanceCommit();
  if (role_ != Role::kLeader) {
    return;
  }
  SendAppend(from, /*even_if_empty=*/false);
  MaybeFinishTransfer(from);
}

void Raft::OnAppendRejected(NodeId from, Progress& progress, const AppendReply& reply) {
  bool stale =
      reply.previous <= progress.match || (progress.probing && reply.previous != progress.next - 1);
  if (stale) {
    return;  // Reply to an append sent before the current probe.
  }
  progress.probing = true;
  progress.probe_sent = false;
  progress.inflight = 0;
  LogIndex hint = std::min({reply.match, reply.previous - 1, last_index()});
  progress.next = std::max(progress.match, hint) + 1;
  SendAppend(from, /*even_if_empty=*/true);
}

LogIndex Raft::ConflictHint(LogIndex previous) const {
  LogIndex hint = std::min(last_index(), previous - 1);
  std::optional<Term> conflicting = TermAt(previous);
  while (conflicting && hint > commit_ && TermAt(hint) == conflicting) {
    --hint;
  }
  return std::max(hint, commit_);
}

void Raft::OnSnapshotRequest(NodeId from, const SnapshotRequest& request) {
  AppendReply reply;
  reply.round = request.round;
  if (request.term < hard_state_.term) {
    reply.term = hard_state_.term;
    Reply(from, reply);
    return;
  }
  BecomeFollower(request.term, from);
  last_leader_contact_ = now_;
  reply.term = hard_state_.term;
  reply.success = true;
  const Snapshot& snapshot = request.snapshot;
  reply.match = std::max(snapshot.index, commit_);
  if (snapshot.index > commit_) {
    // Entries after the snapshot may conflict with it; the leader resends its own.
    log_.clear();
    snapshot_ = snapshot;
    commit_ = applied_ = stored_index_ = snapshot.index;
    ready_.entries_to_store.clear();
    ready_.committed.clear();
    ready_.snapshot_to_install = snapshot;
    AdoptConfiguration(snapshot.configuration, snapshot.index);
  }
  Reply(from, reply);
}

// ---- Leader ----

std::optional<LogIndex> Raft::Propose(EntryKind kind, std::string payload) {
  if (role_ != Role::kLeader || transfer_target_ != kNoNode) {
    return std::nullopt;
  }
  return AppendToLog(kind, std::move(payload));
}

bool Raft::ProposeConfiguration(const Configuration& next) {
  if (!LeaderIsCurrent() || !ConfigurationIsCommitted() || next.voters.empty()) {
    return false;
  }
  if (CountDifferingVoters(configuration_, next) > 1) {
    return false;
  }
  return Propose(EntryKind::kConfiguration, wire::Encode(next)).has_value();
}

bool Raft::RequestRead(std::uint64_t read_id) {
  if (role_ != Role::kLeader) {
    return false;
  }
  // A leader does not know the commit index until an entry of its own term is committed; the read
  // waits for that entry.
  LogIndex index = std::max(commit_, leader_first_index_);
  BeginRound();
  pending_reads_.push_back({read_id, round_, index});
  BroadcastAppend(/*even_if_empty=*/true);
  AdvanceReads();
  return true;
}

void Raft::BeginRound() {
  round_started_[++round_] = now_;
  round_started_.erase(round_started_.begin(), round_started_.lower_bound(ConfirmedRound()));
}

std::uint64_t Raft::ConfirmedRound() const {
  std::vector<std::uint64_t> rounds;
  for (NodeId voter : configuration_.voters) {
    auto progress = progress_.find(voter);
    std::uint64_t acknowledged =
        progress == progress_.end() ? 0 : progress->second.acknowledged_round;
    rounds.push_back(voter == self_ ? round_ : acknowledged);
  }
  std::sort(rounds.rbegin(), rounds.rend());
  return rounds.empty() ? 0 : rounds[configuration_.QuorumSize() - 1];
}

bool Raft::HoldsLease(absl::Time now) const {
  if (!LeaderIsCurrent() || transfer_target_ != kNoNode) {
    return false;
  }
  auto begun = round_started_.find(ConfirmedRound());
  return begun != round_started_.end() && now < begun->second + options_.election_timeout;
}

void Raft::AdvanceReads() {
  std::uint64_t confirmed = ConfirmedRound();
  auto split = std::find_if(pending_reads_.begin(), pending_reads_.end(),
                            [&](const PendingRead& read) { return read.round > confirmed; });
  for (auto read = pending_reads_.begin(); read != split; ++read) {
    ready_.reads.push_back({read->read_id, read->index});
  }
  pending_reads_.erase(pending_reads_.begin(), split);
}

void Raft::TransferLeadership(NodeId to) {
  if (role_ != Role::kLeader || to == self_ || !configuration_.IsVoter(to)) {
    return;
  }
  if (transfer_target_ == kNoNode) {
    // A repeated call must not extend the deadline: proposals are rejected until then.
    transfer_deadline_ = now_ + options_.election_timeout * kTransferTimeouts;
  }
  transfer_target_ = to;
  SendAppend(to, /*even_if_empty=*/true);
  MaybeFinishTransfer(to);
}

void Raft::CancelTransferTo(NodeId target) {
  if (transfer_target_ == target) {
    transfer_target_ = kNoNode;
  }
}

void Raft::MaybeFinishTransfer(NodeId to) {
  if (to == transfer_target_ && progress_[to].match == last_index()) {
    ready_.messages_after_store.push_back({to, TimeoutNow{hard_state_.term}});
  }
}

void Raft::SendAppend(NodeId to, bool even_if_empty) {
  Progress& progress = progress_[to];
  if (progress.next <= snapshot_.index) {
    SendSnapshot(to, progress, even_if_empty);
    return;
  }
  if (progress.probing && progress.probe_sent && !even_if_empty) {
    return;
  }
  AppendRequest request;
  request.term = hard_state_.term;
  request.previous_index = progress.next - 1;
  request.previous_term = TermAt(request.previous_index).value_or(0);
  request.commit = commit_;
  request.round = round_;
  std::size_t bytes = 0;
  bool window_open = progress.inflight < options_.max_inflight_appends;
  LogIndex next = progress.next;
  while (window_open && next <= last_index() &&
         request.entries.size() < options_.max_entries_per_append &&
         bytes < options_.max_bytes_per_append) {
    request.entries.push_back(EntryAt(next));
    bytes += request.entries.back().payload.size();
    ++next;
  }
  if (progress.probing) {
    progress.probe_sent = true;
    ready_.messages_before_store.push_back({to, std::move(request)});
    return;
  }
  progress.next = next;
  if (request.entries.empty() && !even_if_empty) {
    return;
  }
  progress.inflight += request.entries.empty() ? 0 : 1;
  ready_.messages_before_store.push_back({to, std::move(request)});
}

void Raft::SendSnapshot(NodeId to, Progress& progress, bool heartbeat_due) {
  absl::Duration retry_timeout = options_.election_timeout * kSnapshotRetryTimeouts;
  if (progress.snapshot_sent && now_ < progress.last_progress + retry_timeout) {
    if (!heartbeat_due) {
      return;  // A heartbeat reply must not trigger another heartbeat.
    }
    // A heartbeat without entries keeps the follower from starting an election.
    AppendRequest heartbeat;
    heartbeat.term = hard_state_.term;
    heartbeat.round = round_;
    ready_.messages_before_store.push_back({to, std::move(heartbeat)});
    return;
  }
  progress.snapshot_sent = true;
  progress.last_progress = now_;
  ready_.messages_before_store.push_back(
      {to, SnapshotRequest{hard_state_.term, round_, snapshot_}});
}

void Raft::BroadcastAppend(bool even_if_empty) {
  for (NodeId member : configuration_.Members()) {
    if (member != self_) {
      SendAppend(member, even_if_empty);
    }
  }
}

void Raft::AdvanceCommit() {
  if (role_ != Role::kLeader) {
    return;
  }
  std::vector<LogIndex> matches;
  for (NodeId voter : configuration_.voters) {
    matches.push_back(voter == self_ ? stored_index_ : progress_[voter].match);
  }
  std::sort(matches.rbegin(), matches.rend());
  LogIndex quorum_match = matches[configuration_.QuorumSize() - 1];
  // Only an entry of the leader's own term commits earlier entries (Raft, section 5.4.2).
  if (quorum_match > commit_ && TermAt(quorum_match) == hard_state_.term) {
    commit_ = quorum_match;
    if (!configuration_.IsVoter(self_) && ConfigurationIsCommitted()) {
      BroadcastAppend(/*even_if_empty=*/true);
      BecomeFollower(hard_state_.term, kNoNode);
    }
  }
}

LogIndex Raft::MatchIndex(NodeId member) const {
  if (member == self_) {
    return role_ == Role::kLeader ? last_index() : 0;
  }
  auto found = progress_.find(member);
  return found == progress_.end() ? 0 : found->second.match;
}

absl::Time Raft::LastContact(NodeId member) const {
  auto found = progress_.find(member);
  return found == progress_.end() ? absl::InfinitePast() : found->second.last_contact;
}

// ---- Log ----

std::optional<Term> Raft::TermAt(LogIndex index) const {
  if (index == snapshot_.index) {
    return snapshot_.term;
  }
  if (index < snapshot_.index || index > last_index()) {
    return std::nullopt;
  }
  return EntryAt(index).term;
}

const Entry* Raft::Find(EntryId entry) const {
  bool in_log = entry.index > snapshot_.index && entry.index <= last_index();
  return in_log && EntryAt(entry.index).term == entry.term ? &EntryAt(entry.index) : nullptr;
}

LogIndex Raft::AppendToLog(EntryKind kind, std::string payload) {
  Entry entry;
  entry.term = hard_state_.term;
  entry.index = last_index() + 1;
  entry.kind = kind;
  entry.payload = std::move(payload);
  LogIndex index = entry.index;
  if (kind == EntryKind::kConfiguration) {
    if (auto next = wire::Decode<Configuration>(entry.payload)) {
      AdoptConfiguration(*next, index);
    }
  }
  ready_.entries_to_store.push_back(entry);
  log_.push_back(std::move(entry));
  return index;
}

void Raft::AppendReceived(const std::vector<Entry>& entries) {
  for (const Entry& entry : entries) {
    if (entry.index <= snapshot_.index) {
      continue;
    }
    std::optional<Term> present = TermAt(entry.index);
    if (present == entry.term) {
      continue;
    }
    if (present.has_value()) {
      TruncateFrom(entry.index);
    }
    ready_.entries_to_store.push_back(entry);
    log_.push_back(entry);
    if (entry.kind == EntryKind::kConfiguration) {
      if (auto next = wire::Decode<Configuration>(entry.payload)) {
        AdoptConfiguration(*next, entry.index);
      }
    }
  }
}

void Raft::TruncateFrom(LogIndex index) {
  log_.resize(index - snapshot_.index - 1);
  stored_index_ = std::min(stored_index_, index - 1);
  auto& unstored = ready_.entries_to_store;
  unstored.erase(std::remove_if(unstored.begin(), unstored.end(),
                                [&](const Entry& entry) { return entry.index >= index; }),
                 unstored.end());
  if (configuration_index_ >= index) {
    RecomputeConfiguration();
  }
}

void Raft::AdoptConfiguration(const Configuration& configuration, LogIndex index) {
  configuration_ = configuration;
  configuration_index_ = index;
  if (role_ == Role::kLeader) {
    SyncProgress();
  }
}

void Raft::RecomputeConfiguration() {
  for (auto entry = log_.rbegin(); entry != log_.rend(); ++entry) {
    if (entry->kind != EntryKind::kConfiguration) {
      continue;
    }
    if (auto found = wire::Decode<Configuration>(entry->payload)) {
      AdoptConfiguration(*found, entry->index);
      return;
    }
  }
  AdoptConfiguration(snapshot_.configuration, snapshot_.index);
}

void Raft::SyncProgress() {
  std::map<NodeId, Progress> updated;
  for (NodeId member : configuration_.Members()) {
    if (member == self_) {
      continue;
    }
    auto found = progress_.find(member);
    Progress fresh;
    fresh.next = last_index() + 1;
    fresh.last_contact = now_;
    updated[member] = found == progress_.end() ? fresh : found->second;
  }
  progress_ = std::move(updated);
}

void Raft::Compact(Snapshot snapshot) {
  if (snapshot.index <= snapshot_.index || snapshot.index > applied_) {
    return;
  }
  auto keep_from = log_.begin() + static_cast<std::ptrdiff_t>(snapshot.index - snapshot_.index);
  log_.erase(log_.begin(), keep_from);
  snapshot_ = std::move(snapshot);
}

// ---- Output ----

void Raft::Reply(NodeId to, RaftMessage message) {
  ready_.messages_after_store.push_back({to, std::move(message)});
}

template <typename Message>
void Raft::SendToVoters(const Message& message) {
  for (NodeId voter : configuration_.voters) {
    if (voter != self_) {
      ready_.messages_after_store.push_back({voter, message});
    }
  }
}

bool Raft::HasReady() const {
  return !ready_.messages_before_store.empty() || !ready_.messages_after_store.empty() ||
         !ready_.entries_to_store.empty() || ready_.snapshot_to_install.has_value() ||
         hard_state_ != stored_hard_state_ || applied_ < commit_ || !ready_.reads.empty() ||
         !ready_.failed_reads.empty() || stored_index_ < last_index();
}

Ready Raft::TakeReady() {
  // The entries of the previous Ready are stored by now and count towards the quorum.
  LogIndex first_unstored =
      ready_.entries_to_store.empty() ? last_index() + 1 : ready_.entries_to_store.front().index;
  stored_index_ = first_unstored - 1;
  AdvanceCommit();
  if (role_ == Role::kLeader) {
    BroadcastAppend(/*even_if_empty=*/false);
  }
  if (hard_state_ != stored_hard_state_) {
    ready_.hard_state = hard_state_;
    stored_hard_state_ = hard_state_;
  }
  for (; applied_ < commit_; ++applied_) {
    ready_.committed.push_back(EntryAt(applied_ + 1));
  }
  Ready taken = std::move(ready_);
  ready_ = Ready{};
  return taken;
}

}  // namespace martenyard::consensus
