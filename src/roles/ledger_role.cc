#include "roles/ledger_role.h"

#include <algorithm>
#include <filesystem>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "base/clock.h"
#include "base/random.h"
#include "wire/codec.h"

namespace martenyard::roles {

using async_http::Task;
using event_log::Line;
using turn_ledger::Machine;

namespace {

const GroupId kGroup{1};
constexpr absl::Duration kTick = absl::Milliseconds(20);
constexpr absl::Duration kHelloInterval = absl::Milliseconds(250);
constexpr absl::Duration kReopenPause = absl::Milliseconds(250);
constexpr absl::Duration kRegisterPause = absl::Seconds(1);
constexpr absl::Duration kFoundingPause = absl::Milliseconds(200);
/// With fewer machines than wanted, the group is founded only after this time.
constexpr absl::Duration kFoundingPatience = absl::Seconds(4);
constexpr absl::Duration kHandOverLimit = absl::Milliseconds(600);
constexpr absl::Duration kRetireReportInterval = absl::Milliseconds(250);
constexpr absl::Duration kProgressInterval = absl::Seconds(2);
/// A snapshot's share of a tick. Four times as much kept a machine with half a core so busy that
/// its heartbeats came late.
constexpr std::size_t kSnapshotStepBytes = std::size_t{64} << 10;
constexpr char kPeersFile[] = "peers";

turn_ledger::ReplicaOptions MakeReplicaOptions(const RoleSettings& settings) {
  turn_ledger::ReplicaOptions options;
  options.raft.heartbeat_interval = absl::Milliseconds(60);
  options.raft.election_timeout = absl::Milliseconds(220);
  options.raft.start_wait_share = 0.4;
  options.planner.replicas = 2 * settings.tolerated_machines + 1;
  return options;
}

const char* RoleName(consensus::Role role) {
  switch (role) {
    case consensus::Role::kFollower:
      return "follower";
    case consensus::Role::kPreCandidate:
    case consensus::Role::kCandidate:
      return "candidate";
    case consensus::Role::kLeader:
      return "leader";
  }
  return "unknown";
}

}  // namespace

LedgerRole::LedgerRole(wire::EventLoop& loop, const RoleSettings& settings,
                       const PlatformFormats& formats, store::MetadataStore& store,
                       event_log::EventLog& log, OpenLogStore open_log_store)
    : loop_(loop),
      settings_(settings),
      formats_(formats),
      store_(store),
      log_(log),
      open_log_store_(std::move(open_log_store)),
      transport_(
          loop, [this](const std::string& payload) { OnFrame(payload); }, [](const std::string&) {},
          [this](const wire::Endpoint& peer, absl::Time) { OnDead(peer); }),
      directory_(
          loop.context(), store, kLedgerPrefix,
          [this](const store::StoreChange& change) { OnDirectoryChange(change); },
          [this](bool reachable, store::StoreStatus) {
            log_.Write(Line(reachable ? "store_regained" : "store_lost").Text("for", "directory"));
          }),
      retirements_(
          loop.context(), store, formats.RetirePrefix(),
          [this](const store::StoreChange& change) { OnRetireChange(change); },
          [](bool, store::StoreStatus) {}),
      peers_(settings.data_folder + "/" + kPeersFile),
      ticker_(loop, kTick, log, [this](absl::Time now) { Tick(now); }) {}

Result<void> LedgerRole::Start() {
  BOOST_LEAF_AUTO(bound, transport_.Listen({settings_.address, settings_.internal_port}));
  settings_.internal_port = bound.port;
  OpenDisk();
  directory_.Start();
  retirements_.Start();
  async_http::asio::co_spawn(loop_.context(), Register(), async_http::asio::detached);
  async_http::asio::co_spawn(loop_.context(), FoundWhenPossible(), async_http::asio::detached);
  async_http::asio::co_spawn(loop_.context(), ReportRetirements(), async_http::asio::detached);
  loop_.SetRoundHook([this] { Settle(); });
  ticker_.Start();
  return {};
}

Machine LedgerRole::Self() const {
  Machine self;
  self.name = settings_.node;
  self.identity = identity_;
  self.endpoint = {settings_.address, settings_.internal_port};
  self.zone = ZoneName(settings_.zone);
  return self;
}

// ---- Disk ----

void LedgerRole::OpenDisk() {
  std::optional<storage::StorageError> failure = Recover<storage::StorageError>(
      [&]() -> Result<std::optional<storage::StorageError>> {
        BOOST_LEAF_AUTO(opened, open_log_store_());
        disk_ = std::move(opened);
        BOOST_LEAF_CHECK(LoadDisk());
        return std::optional<storage::StorageError>();
      },
      [](const storage::StorageError& error) { return std::make_optional(error); });
  if (!failure) {
    return;
  }
  replica_.reset();
  disk_.reset();
  log_.Write(Line("disk_failed").Text("detail", failure->detail));
  if (failure->code == storage::StorageError::Code::kDamaged) {
    SetDamagedLogAside();
  }
  loop_.After(kReopenPause, [this] { OpenDisk(); });
}

void LedgerRole::SetDamagedLogAside() {
  // A log with a hole must not vote: this machine rejoins under a new identity.
  std::error_code ignored;
  std::filesystem::path folder = std::filesystem::path(settings_.data_folder) / kLogFolder;
  std::filesystem::path aside = folder.string() + ".damaged";
  std::filesystem::remove_all(aside, ignored);
  std::filesystem::rename(folder, aside, ignored);
  log_.Write(Line("log_set_aside").Text("folder", aside.string()));
}

Result<void> LedgerRole::LoadDisk() {
  BOOST_LEAF_AUTO(stored, disk_->Load());
  if (stored.identity == kNoNode) {
    stored.identity = NodeId(Random(SystemSeed()).NextId());
    BOOST_LEAF_CHECK(disk_->SetIdentity(stored.identity));
  }
  identity_ = stored.identity;
  auto group = stored.groups.find(kGroup);
  bool has_group = group != stored.groups.end();
  std::size_t entries = has_group ? group->second.entries.size() : 0;
  log_.Write(Line("disk_opened")
                 .Text("identity", absl::StrCat(absl::Hex(identity_.value)))
                 .Number("entries", static_cast<std::int64_t>(entries))
                 .Flag("replica", has_group));
  if (has_group) {
    StartReplica({group->second.hard_state, std::move(group->second.snapshot),
                  std::move(group->second.entries)});
  }
  return {};
}

void LedgerRole::OnDiskFailed(const std::string& detail) {
  // What is on the disk is unknown now: forget the memory of it and read it again.
  log_.Write(Line("disk_failed").Text("detail", detail));
  replica_.reset();
  disk_.reset();
  loop_.After(kReopenPause, [this] { OpenDisk(); });
}

void LedgerRole::StartReplica(consensus::RestoredState restored) {
  replica_ = std::make_unique<turn_ledger::TurnReplica>(
      Self(), MakeReplicaOptions(settings_), std::move(restored), SystemSeed(), SteadyNow());
  for (const auto& [name, machine] : peers_.machines()) {
    replica_->OnMachine(SteadyNow(), machine);
  }
}

void LedgerRole::Settle() {
  while (replica_ != nullptr && replica_->HasWork()) {
    if (!SettleOnce()) {
      return;
    }
  }
  LogLeadership();
}

bool LedgerRole::SettleOnce() {
  consensus::Ready ready = replica_->TakeReady();
  for (const consensus::Outbound& outbound : ready.messages_before_store) {
    SendRaft(outbound);
  }
  storage::GroupWrite write;
  write.group = kGroup;
  write.hard_state = ready.hard_state;
  write.snapshot = ready.snapshot_to_install;
  write.snapshot_replaces_log = ready.snapshot_to_install.has_value();
  write.entries = std::move(ready.entries_to_store);
  std::vector<storage::GroupWrite> writes;
  if (write.hard_state || write.snapshot || !write.entries.empty()) {
    writes.push_back(std::move(write));
  }
  auto store_all = [&]() -> std::string {
    return Recover<storage::StorageError>(
        [&]() -> Result<std::string> {
          BOOST_LEAF_CHECK(disk_->Write(writes));
          return std::string();
        },
        [](const storage::StorageError& error) { return error.detail; });
  };
  if (!writes.empty()) {
    std::string failure = store_all();
    if (!failure.empty()) {
      OnDiskFailed(failure);
      return false;
    }
    ++synced_writes_;
  }
  for (const consensus::Outbound& outbound : ready.messages_after_store) {
    SendRaft(outbound);
  }
  replica_->Apply(ready);
  for (turn_ledger::ReplyTo& reply : replica_->TakeReplies()) {
    SendTo(reply.gateway, std::move(reply.reply));
  }
  return true;
}

void LedgerRole::StoreSnapshotStep() {
  auto step = replica_->NextSnapshotStep(kSnapshotStepBytes);
  if (!step) {
    return;
  }
  std::string failure = Recover<storage::StorageError>(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(disk_->WriteSnapshotPart(kGroup, step->first, step->part));
        if (step->finished) {
          storage::GroupWrite write;
          write.group = kGroup;
          write.snapshot = std::move(*step->finished);
          write.snapshot_in_parts = true;
          BOOST_LEAF_CHECK(disk_->Write({write}));
        }
        return std::string();
      },
      [](const storage::StorageError& error) { return error.detail; });
  if (!failure.empty()) {
    OnDiskFailed(failure);
    return;
  }
  if (step->finished) {
    replica_->FinishSnapshot();
    log_.Write(
        Line("snapshot_stored")
            .Number("index", static_cast<std::int64_t>(replica_->raft().snapshot_index()))
            .Number("programs", static_cast<std::int64_t>(replica_->state().programs()))
            .Number("turn_bytes", static_cast<std::int64_t>(replica_->state().turn_bytes())));
  }
}

// ---- Time ----

void LedgerRole::Tick(absl::Time now) {
  if (replica_ != nullptr) {
    replica_->Tick(now);
    StoreSnapshotStep();
  }
  if (now >= next_hello_) {
    next_hello_ = now + kHelloInterval;
    SayHello();
    LogProgress(now);
    log_.Flush();
  }
  if (stopping_) {
    bool leads = replica_ != nullptr && replica_->raft().IsLeader();
    if (!leads || now >= stop_deadline_) {
      log_.Write(Line("stopped"));
      loop_.Stop();
    }
  }
}

void LedgerRole::RequestStop() {
  stopping_ = true;
  stop_deadline_ = SteadyNow() + kHandOverLimit;
  log_.Write(Line("stopping"));
  if (replica_ != nullptr) {
    replica_->HandOver();
  }
}

void LedgerRole::LogProgress(absl::Time now) {
  if (replica_ == nullptr || now < next_progress_) {
    return;
  }
  next_progress_ = now + kProgressInterval;
  const consensus::Raft& raft = replica_->raft();
  Line line("replica_progress");
  line.Text("role", RoleName(raft.role()))
      .Number("term", static_cast<std::int64_t>(raft.term()))
      .Number("last", static_cast<std::int64_t>(raft.last_index()))
      .Number("commit", static_cast<std::int64_t>(raft.commit_index()))
      .Number("synced_writes", static_cast<std::int64_t>(synced_writes_))
      .Number("programs", static_cast<std::int64_t>(replica_->state().programs()))
      .Number("turn_bytes", static_cast<std::int64_t>(replica_->state().turn_bytes()));
  for (NodeId member : raft.configuration().Members()) {
    if (raft.IsLeader()) {
      line.Number(absl::StrCat("match_", absl::Hex(member.value)),
                  static_cast<std::int64_t>(raft.MatchIndex(member)));
    }
  }
  log_.Write(line);
}

void LedgerRole::LogLeadership() {
  if (replica_ == nullptr) {
    return;
  }
  const consensus::Raft& raft = replica_->raft();
  std::string members;
  for (NodeId voter : raft.configuration().voters) {
    absl::StrAppend(&members, absl::Hex(voter.value), " ");
  }
  for (NodeId learner : raft.configuration().learners) {
    absl::StrAppend(&members, "learner:", absl::Hex(learner.value), " ");
  }
  std::string role = absl::StrCat(RoleName(raft.role()), raft.term(), members);
  if (role == logged_role_) {
    return;
  }
  logged_role_ = role;
  log_.Write(Line("replica_role")
                 .Text("role", RoleName(raft.role()))
                 .Number("term", static_cast<std::int64_t>(raft.term()))
                 .Number("commit", static_cast<std::int64_t>(raft.commit_index()))
                 .Text("members", members));
}

// ---- Peers ----

void LedgerRole::OnFrame(const std::string& payload) {
  auto envelope = wire::Decode<turn_ledger::Envelope>(payload);
  if (!envelope) {
    log_.Write(Line("frame_unreadable").Number("bytes", static_cast<std::int64_t>(payload.size())));
    return;
  }
  if (envelope->from.identity != kNoNode) {
    NoteMachine(envelope->from, /*heard_now=*/true);
  }
  if (const auto* message = std::get_if<turn_ledger::LogMessage>(&envelope->body)) {
    OnLogMessage(envelope->from, *message);
  } else if (const auto* request = std::get_if<turn_ledger::LedgerRequest>(&envelope->body)) {
    if (replica_ != nullptr) {
      replica_->OnRequest(SteadyNow(), envelope->from.endpoint, *request);
    } else {
      turn_ledger::LedgerReply reply;
      reply.request = request->request;
      reply.status = turn_ledger::ReplyStatus::kNotLeader;
      SendTo(envelope->from.endpoint, reply);
    }
  } else if (const auto* read = std::get_if<turn_ledger::chain_request>(&envelope->body)) {
    turn_ledger::chain_reply reply;
    reply.m_request = read->m_request;
    SendTo(envelope->from.endpoint,
           replica_ == nullptr ? std::move(reply) : replica_->state().ReadChain(*read));
  } else if (const auto* hello = std::get_if<turn_ledger::Hello>(&envelope->body)) {
    OnHello(*hello);
  }
}

void LedgerRole::OnLogMessage(const Machine& from, const turn_ledger::LogMessage& message) {
  if (message.to != identity_) {
    SendTo(from.endpoint, turn_ledger::Hello{});  // It means the disk that this machine lost.
    return;
  }
  if (replica_ == nullptr && disk_ != nullptr) {
    // Only a leader makes a machine a replica; it starts without a vote and learns the log.
    bool from_leader = std::holds_alternative<consensus::AppendRequest>(message.message) ||
                       std::holds_alternative<consensus::SnapshotRequest>(message.message);
    if (from_leader) {
      StartReplica(consensus::RestoredState{});
    }
  }
  if (replica_ != nullptr) {
    replica_->OnLogMessage(SteadyNow(), from.identity, message.message);
  }
}

void LedgerRole::OnHello(const turn_ledger::Hello& hello) {
  for (const Machine& machine : hello.known) {
    if (!peers_.Knows(machine.name)) {
      NoteMachine(machine, /*heard_now=*/false);
    }
  }
}

void LedgerRole::NoteMachine(const Machine& machine, bool heard_now) {
  if (machine.name == settings_.node || machine.name.empty()) {
    return;
  }
  if (heard_now) {
    peers_.NoteHeard(machine.name);
  }
  bool changed = peers_.Note(machine);
  if (changed) {
    log_.Write(Line("machine_known")
                   .Text("machine", machine.name)
                   .Text("identity", absl::StrCat(absl::Hex(machine.identity.value)))
                   .Text("address", machine.endpoint.ToString()));
  }
  if (replica_ != nullptr && (heard_now || changed)) {
    replica_->OnMachine(SteadyNow(), machine);
  }
}

void LedgerRole::SayHello() {
  // Members hear of each other by the log's own messages; others announce themselves.
  bool member = replica_ != nullptr && replica_->raft().configuration().IsVoter(identity_) &&
                (replica_->raft().IsLeader() || replica_->raft().leader() != kNoNode);
  if (identity_ == kNoNode || member) {
    return;
  }
  turn_ledger::Hello hello;
  for (const auto& [name, machine] : peers_.machines()) {
    hello.known.push_back(machine);
  }
  for (const auto& [name, machine] : peers_.machines()) {
    SendTo(machine.endpoint, hello);
  }
}

void LedgerRole::OnDead(const wire::Endpoint& peer) {
  for (const auto& [name, machine] : peers_.machines()) {
    if (machine.endpoint == peer && replica_ != nullptr) {
      log_.Write(Line("machine_refuses").Text("machine", name));
      replica_->OnDead(SteadyNow(), machine.identity);
    }
  }
}

void LedgerRole::SendTo(const wire::Endpoint& to, turn_ledger::Body body) {
  transport_.SendFrame(to, wire::Encode(turn_ledger::Envelope{Self(), std::move(body)}));
}

void LedgerRole::SendRaft(const consensus::Outbound& outbound) {
  if (const Machine* machine = peers_.Find(outbound.to)) {
    SendTo(machine->endpoint, turn_ledger::LogMessage{outbound.to, outbound.message});
  }
}

// ---- The directory ----

void LedgerRole::OnDirectoryChange(const store::StoreChange& change) {
  absl::string_view key = change.key;
  if (!change.value || !absl::ConsumePrefix(&key, kLedgerMachines)) {
    return;
  }
  if (auto machine = wire::Decode<Machine>(*change.value)) {
    // What the store says may be older than what the machine itself said in this life.
    if (!peers_.HasHeard(machine->name)) {
      NoteMachine(*machine, /*heard_now=*/false);
    }
  }
}

Task<void> LedgerRole::Register() {
  std::string key = absl::StrCat(kLedgerMachines, settings_.node);
  while (true) {
    auto present = directory_.items().find(key);
    bool known = present != directory_.items().end();
    std::string wanted = wire::Encode(Self());
    bool due = identity_ != kNoNode && directory_.complete() &&
               (!known || present->second.value != wanted);
    if (due) {
      store::Transaction transaction;
      transaction.conditions.push_back({key, known ? present->second.revision : 0});
      transaction.puts.push_back({key, wanted, 0});
      co_await store_.Commit(std::move(transaction));
      co_await async_http::Sleep(loop_.context(), kRegisterPause);
    }
    co_await async_http::Sleep(loop_.context(), kFoundingPause);
  }
}

bool LedgerRole::FoundFromRecord() {
  auto record = directory_.items().find(kLedgerGroup);
  if (record == directory_.items().end()) {
    return false;
  }
  auto founders = wire::Decode<consensus::Configuration>(record->second.value);
  if (!founders || !founders->IsVoter(identity_) || disk_ == nullptr) {
    return false;
  }
  // The record is never changed: all founders start from the same empty log.
  consensus::RestoredState restored;
  restored.snapshot.configuration = *founders;
  storage::GroupWrite write;
  write.group = kGroup;
  write.snapshot = restored.snapshot;
  std::string failure = Recover<storage::StorageError>(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(disk_->Write({write}));
        return std::string();
      },
      [](const storage::StorageError& error) { return error.detail; });
  if (!failure.empty()) {
    OnDiskFailed(failure);
    return false;
  }
  log_.Write(
      Line("group_founded").Number("voters", static_cast<std::int64_t>(founders->voters.size())));
  StartReplica(std::move(restored));
  return true;
}

Task<void> LedgerRole::FoundWhenPossible() {
  absl::Time began = SteadyNow();
  std::size_t wanted = MakeReplicaOptions(settings_).planner.replicas;
  while (true) {
    co_await async_http::Sleep(loop_.context(), kFoundingPause);
    if (replica_ != nullptr || !directory_.complete()) {
      continue;
    }
    if (directory_.items().contains(kLedgerGroup)) {
      FoundFromRecord();
      continue;
    }
    if (!settings_.first_start) {
      continue;
    }
    // Every zone's first machine first, in an order that all machines agree on.
    std::vector<Machine> machines;
    for (const auto& [key, item] : directory_.items()) {
      if (auto machine = wire::Decode<Machine>(item.value)) {
        machines.push_back(*machine);
      }
    }
    bool patient = SteadyNow() < began + kFoundingPatience;
    if (machines.empty() || (machines.size() < wanted && patient)) {
      continue;
    }
    std::map<ZoneName, int> zone_use;
    std::vector<std::pair<int, Machine>> ranked;
    for (const Machine& machine : machines) {
      ranked.emplace_back(zone_use[machine.zone]++, machine);
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto& left, const auto& right) { return left.first < right.first; });
    consensus::Configuration founders;
    for (const auto& [rank, machine] : ranked) {
      if (founders.voters.size() < wanted) {
        founders.voters.push_back(machine.identity);
      }
    }
    store::Transaction transaction;
    transaction.conditions.push_back({kLedgerGroup, 0});
    transaction.puts.push_back({kLedgerGroup, wire::Encode(founders), 0});
    co_await store_.Commit(std::move(transaction));
  }
}

// ---- Emptying machines ----

void LedgerRole::OnRetireChange(const store::StoreChange&) {
  std::vector<std::string> names;
  for (const auto& [key, item] : retirements_.items()) {
    absl::string_view name = key;
    absl::ConsumePrefix(&name, formats_.RetirePrefix());
    names.emplace_back(name);
  }
  log_.Write(Line("retire_asked").Number("machines", static_cast<std::int64_t>(names.size())));
  if (replica_ != nullptr) {
    replica_->SetRetiring(std::move(names));
  }
}

Task<void> LedgerRole::ReportRetirements() {
  std::map<std::string, std::string> reported;
  while (true) {
    co_await async_http::Sleep(loop_.context(), kRetireReportInterval);
    if (replica_ == nullptr || !replica_->LeadsCurrent()) {
      reported.clear();
      continue;
    }
    std::vector<std::string> names;
    for (const auto& [key, item] : retirements_.items()) {
      absl::string_view name = key;
      absl::ConsumePrefix(&name, formats_.RetirePrefix());
      names.emplace_back(name);
    }
    replica_->SetRetiring(names);
    for (const std::string& name : names) {
      std::string status = formats_.WriteRetireStatus(replica_->MayTakeAway(name));
      if (reported[name] == status) {
        continue;
      }
      store::Transaction transaction;
      transaction.puts.push_back({formats_.RetireStatusKey(name), status, 0});
      store::StoreStatus written = co_await store_.Commit(std::move(transaction));
      if (written == store::StoreStatus::kDone) {
        reported[name] = status;
        log_.Write(Line("retire_status").Text("machine", name).Text("status", status));
      }
      if (replica_ == nullptr) {
        break;
      }
    }
  }
}

}  // namespace martenyard::roles
