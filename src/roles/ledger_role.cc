#include "roles/ledger_role.h"

#include <algorithm>
#include <filesystem>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "base/clock.h"
#include "base/random.h"
#include "roles/ledger/ledger_log_lines.h"
#include "roles/store_reachability_line.h"
#include "roles/store_watch_options.h"
#include "wire/codec.h"

namespace martenyard::roles {

using async_http::Task;
using event_log::Line;
using turn_ledger::Machine;

namespace {

constexpr absl::Duration kTickInterval = absl::Milliseconds(20);
constexpr absl::Duration kHelloInterval = absl::Milliseconds(250);
/// For machines with replicas, which also send log messages to many of the others.
constexpr absl::Duration kReplicaHelloInterval = absl::Milliseconds(400);
/// Per known machine; limits hellos to 30 per second regardless of the number of machines.
constexpr absl::Duration kHelloIntervalPerMachine = absl::Milliseconds(33);
/// A machine counts as alive if it was heard within this many hello intervals.
constexpr double kLivenessHelloIntervals = 2.5;
/// Known machines listed in one hello of a machine without replicas; each hello lists a new sample.
constexpr std::size_t kMaxMachinesPerHello = 16;
constexpr absl::Duration kDiskReopenDelay = absl::Milliseconds(250);
constexpr absl::Duration kRegisterRetryDelay = absl::Seconds(1);
constexpr absl::Duration kDirectoryPollInterval = absl::Milliseconds(200);
/// With fewer machines than replicas, the groups are bootstrapped only after this time.
constexpr absl::Duration kBootstrapTimeout = absl::Seconds(4);
/// Lets all machines of a starting deployment register before the group layout is written.
constexpr absl::Duration kBootstrapSettleTime = absl::Milliseconds(1500);
/// Stagger of the machines' bootstrap attempts; longer than a store write and its watch event.
constexpr absl::Duration kBootstrapStagger = absl::Milliseconds(150);
constexpr absl::Duration kSingleReplicaSettleTime = absl::Milliseconds(300);
constexpr absl::Duration kLeadershipTransferTimeout = absl::Milliseconds(600);
constexpr absl::Duration kMemoryCheckInterval = absl::Milliseconds(200);
constexpr absl::Duration kProgressLogInterval = absl::Seconds(2);
/// Snapshot bytes stored per tick. Larger steps delay heartbeats on machines with little CPU.
constexpr std::size_t kSnapshotStepBytes = std::size_t{64} << 10;
/// Size of a snapshot part sent to a peer; the next part waits until the connection has room.
constexpr std::size_t kTransferPartBytes = std::size_t{128} << 10;
/// Limits unsent frames to peers to 1/6 of the memory limit.
constexpr std::uint64_t kFrameMemoryDivisor = 6;
/// Limits incomplete frames from peers to 1/8 of the memory limit.
constexpr std::uint64_t kReceivedMemoryDivisor = 8;
/// The same for copies of the runners.
constexpr std::uint64_t kBulkMemoryDivisor = 16;
constexpr absl::Duration kLogFlushInterval = absl::Milliseconds(250);
constexpr char kPeersFileName[] = "peers";

std::size_t ReplicasPerGroup(const RoleSettings& settings) {
  return 2 * settings.tolerated_failures + 1;
}

/// Scaled up on machines with little CPU, whose uninterruptible steps (reading a log, applying
/// committed entries) take longer and must not cause an election.
absl::Duration ElectionTimeout(const RoleSettings& settings) {
  constexpr absl::Duration kBaseTimeout = absl::Milliseconds(220);
  constexpr double kFullSpeedShare = 0.25;
  constexpr double kMaxSlowdown = 3;
  return kBaseTimeout * std::clamp(kFullSpeedShare / settings.processor_share, 1.0, kMaxSlowdown);
}

turn_ledger::ReplicaOptions MakeReplicaOptions(const RoleSettings& settings, GroupId group,
                                               std::size_t known_machines) {
  turn_ledger::ReplicaOptions options;
  options.raft.election_timeout = ElectionTimeout(settings);
  options.raft.heartbeat_interval = absl::Milliseconds(60);
  options.raft.first_election_timeout_factor = 0.4;
  options.planner.replicas = ReplicasPerGroup(settings);
  options.planner.spread_over_zones = settings.tolerated_zone_failures > 0;
  options.quota = settings.quota;
  options.slow_start = settings.slow_start;
  options.planner.group = group.value;
  options.planner.live_within =
      std::max(options.planner.live_within, kHelloIntervalPerMachine * kLivenessHelloIntervals *
                                                static_cast<double>(known_machines));
  options.preferred_leaders =
      group != turn_ledger::group_at(0) && settings.policy.enabled(mechanism::hand_back);
  if (!settings.policy.enabled(mechanism::overload_refusal)) {
    options.overload_after = absl::InfiniteDuration();
  }
  return options;
}

/// Batches the registrations of all machines when the system starts.
store::MirrorOptions DirectoryWatchOptions(const RoleSettings& settings) {
  store::MirrorOptions options = LongWatchOptions(settings);
  options.watch_spacing = absl::Milliseconds(500);
  return options;
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
          loop, [this](const std::string& payload) { OnFrame(payload); },
          [this](const std::string& payload) { persisted_mirrors_.on_datagram(payload); },
          [this](const wire::Endpoint& peer, absl::Time) { OnPeerDown(peer); }),
      bulk_transport_(
          loop, [](const std::string&) {}, [](const std::string&) {},
          [](const wire::Endpoint&, absl::Time) {}),
      link_(
          transport_, [this] { return Self(); }, log),
      directory_(
          loop.context(), store, kLedgerPrefix,
          [this](const store::StoreChange& change) { OnDirectoryChange(change); },
          [this](bool reachable, store::StoreStatus status) {
            log_.Write(DescribeStoreReachability("directory", directory_, reachable, status));
          },
          DirectoryWatchOptions(settings)),
      layout_record_(directory_, log),
      retirement_(
          loop.context(), settings, formats, store, directory_, layout_record_, log,
          [this](GroupId group) { return Find(group); },
          [this](const std::vector<std::string>& machines) { OnRetiringMachines(machines); }),
      persisted_mirrors_(
          loop.context(), settings_, formats, store, transport_, bulk_transport_, directory_,
          [this] { return Self(); }, log),
      peers_(settings.data_folder + "/" + kPeersFileName, log),
      ticker_(loop, kTickInterval, log, [this](absl::Time now) { Tick(now); }),
      memory_(settings.memory_bytes),
      random_(SystemSeed()) {}

Result<void> LedgerRole::Start() {
  if (!transport_.is_listening()) {
    BOOST_LEAF_AUTO(bound, transport_.Listen({settings_.address, settings_.internal_port}));
    settings_.internal_port = bound.port;
  }
  transport_.SetUnsentLimit(settings_.memory_bytes / kFrameMemoryDivisor);
  transport_.SetReceiveLimit(settings_.memory_bytes / kReceivedMemoryDivisor);
  transport_.SetConnectionLimit(settings_.max_descriptors / 2);
  bulk_transport_.SetUnsentLimit(settings_.memory_bytes / kBulkMemoryDivisor);
  bulk_transport_.SetSendBuffer(bulk_send_buffer);
  OpenDisk();
  persisted_mirrors_.start();
  directory_.Start();
  retirement_.start();
  async_http::asio::co_spawn(loop_.context(), Register(), async_http::kRethrow);
  async_http::asio::co_spawn(loop_.context(), BootstrapGroups(), async_http::kRethrow);
  loop_.SetRoundHook([this] { ProcessReady(); });
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
  replicas_.clear();
  disk_.reset();
  log_.Write(Line("disk_failed").Text("detail", failure->detail));
  if (failure->code == storage::StorageError::Code::kDamaged) {
    QuarantineDamagedLog();
  }
  loop_.After(kDiskReopenDelay, [this] { OpenDisk(); });
}

void LedgerRole::QuarantineDamagedLog() {
  // A replica with a damaged log must not vote: this machine rejoins under a new identity.
  std::filesystem::path folder = std::filesystem::path(settings_.data_folder) / kLogFolder;
  std::filesystem::path quarantine = folder.string() + ".damaged";
  std::error_code error;
  std::filesystem::remove_all(quarantine, error);
  if (!error) {
    std::filesystem::rename(folder, quarantine, error);
  }
  // The log is reopened in any case; if the rename failed, it is found damaged again.
  log_.Write(Line("log_set_aside")
                 .Text("folder", quarantine.string())
                 .Text("error", error ? error.message() : ""));
}

Result<void> LedgerRole::LoadDisk() {
  BOOST_LEAF_AUTO(stored, disk_->Load());
  if (stored.identity == kNoNode) {
    stored.identity = NodeId(Random(SystemSeed()).NextId());
    BOOST_LEAF_CHECK(disk_->SetIdentity(stored.identity));
  }
  identity_ = stored.identity;
  next_hello_ = SteadyNow();  // Announces the identity to the peers without delay.
  std::size_t entries = 0;
  for (const auto& [group, stored_group] : stored.groups) {
    entries += stored_group.entries.size();
  }
  log_.Write(Line("disk_opened")
                 .Text("identity", absl::StrCat(absl::Hex(identity_.value)))
                 .Number("entries", static_cast<std::int64_t>(entries))
                 .Number("groups", static_cast<std::int64_t>(stored.groups.size()))
                 .Flag("torn_tail", disk_->DroppedTornTail()));
  for (auto& [group, stored_group] : stored.groups) {
    StartReplica(group, {stored_group.hard_state, std::move(stored_group.snapshot),
                         std::move(stored_group.entries)})
        .OnStoredEntries(stored_group.retained);
  }
  return {};
}

void LedgerRole::OnDiskFailed(const std::string& detail) {
  // The state of the disk is unknown now: discard the replicas and reload them.
  log_.Write(Line("disk_failed").Text("detail", detail));
  replicas_.clear();
  disk_.reset();
  loop_.After(kDiskReopenDelay, [this] { OpenDisk(); });
}

turn_ledger::TurnReplica& LedgerRole::StartReplica(GroupId group,
                                                   consensus::RestoredState restored) {
  auto replica = std::make_unique<turn_ledger::TurnReplica>(
      Self(), MakeReplicaOptions(settings_, group, peers_.machines().size()), std::move(restored),
      [this, group](consensus::EntryId entry) { return ReadStored(group, entry); }, SystemSeed(),
      SteadyNow());
  for (const auto& [name, machine] : peers_.machines()) {
    replica->UpdateMachine(SteadyNow(), machine, /*self_reported=*/false);
  }
  replica->SetRetiring(retirement_.retiring_machines());
  replicas_[group] = std::move(replica);
  return *replicas_[group];
}

std::optional<consensus::Entry> LedgerRole::ReadStored(GroupId group, consensus::EntryId entry) {
  if (disk_ == nullptr) {
    return std::nullopt;
  }
  using Read = std::optional<consensus::Entry>;
  return Recover<storage::StorageError>(
      [&]() -> Result<Read> { return disk_->ReadEntry(group, entry); },
      [this](const storage::StorageError& error) {
        // Deferred: a replica may be the caller, and OnDiskFailed() destroys all replicas.
        loop_.Post([this, detail = error.detail] { OnDiskFailed(detail); });
        return Read();
      });
}

turn_ledger::TurnReplica* LedgerRole::Find(GroupId group) {
  auto found = replicas_.find(group);
  return found == replicas_.end() ? nullptr : found->second.get();
}

void LedgerRole::ProcessReady() {
  auto has_work = [](const auto& entry) { return entry.second->HasWork(); };
  while (std::any_of(replicas_.begin(), replicas_.end(), has_work)) {
    if (!ProcessReadyOnce()) {
      return;
    }
  }
  for (const auto& [group, replica] : replicas_) {
    LogReplicaRole(group, *replica);
    LogHaltedReplica(group, *replica);
  }
}

bool LedgerRole::ProcessReadyOnce() {
  // The writes of all groups share one sync.
  std::vector<std::pair<GroupId, consensus::Ready>> readies;
  std::vector<storage::GroupWrite> writes;
  for (auto& [group, replica] : replicas_) {
    if (!replica->HasWork()) {
      continue;
    }
    consensus::Ready ready = replica->TakeReady();
    for (const consensus::Outbound& outbound : ready.messages_before_store) {
      SendRaft(group, outbound);
    }
    storage::GroupWrite write;
    write.group = group;
    write.hard_state = ready.hard_state;
    write.snapshot = ready.snapshot_to_install;
    write.snapshot_replaces_log = ready.snapshot_to_install.has_value();
    if (write.snapshot) {
      write.retained = turn_ledger::TurnReplica::EntriesReferencedBy(*write.snapshot);
    }
    write.entries = std::move(ready.entries_to_store);
    if (write.hard_state || write.snapshot || !write.entries.empty()) {
      write.unreferenced = replica->TakeUnreferencedEntries();
      writes.push_back(std::move(write));
    }
    readies.emplace_back(group, std::move(ready));
  }
  if (!writes.empty() && !Store(writes)) {
    return false;
  }
  for (auto& [group, ready] : readies) {
    turn_ledger::TurnReplica& replica = *replicas_[group];
    for (const consensus::Outbound& outbound : ready.messages_after_store) {
      SendRaft(group, outbound);
    }
    work_stats_.measure(work_kind::applying,
                        [&replica = replica, &ready = ready] { replica.Apply(ready); });
    for (turn_ledger::OutgoingLedgerReply& reply : replica.TakeReplies()) {
      link_.send_reply(reply.gateway, std::move(reply.reply), reply.layout);
    }
  }
  return true;
}

bool LedgerRole::Store(const std::vector<storage::GroupWrite>& writes) {
  std::string failure = Recover<storage::StorageError>(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(
            work_stats_.measure(work_kind::store_writes, [&] { return disk_->Write(writes); }));
        return std::string();
      },
      [](const storage::StorageError& error) { return error.detail; });
  if (!failure.empty()) {
    OnDiskFailed(failure);
    return false;
  }
  ++synced_writes_;
  return true;
}

void LedgerRole::StoreSnapshotStep(GroupId group, turn_ledger::TurnReplica& replica) {
  auto step = replica.NextSnapshotStep(kSnapshotStepBytes);
  if (!step) {
    return;
  }
  std::string failure = Recover<storage::StorageError>(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(disk_->WriteSnapshotPart(group, step->first, step->part));
        return std::string();
      },
      [](const storage::StorageError& error) { return error.detail; });
  if (!failure.empty()) {
    OnDiskFailed(failure);
    return;
  }
  if (!step->finished) {
    return;
  }
  storage::GroupWrite write;
  write.group = group;
  write.snapshot = std::move(*step->finished);
  write.snapshot_in_parts = true;
  write.retained = std::move(step->kept);
  if (Store({write})) {
    replica.FinishSnapshot();
    log_.Write(Line("snapshot_stored")
                   .Number("group", group.value)
                   .Number("index", static_cast<std::int64_t>(replica.raft().snapshot_index()))
                   .Number("programs", static_cast<std::int64_t>(replica.state().programs()))
                   .Number("turn_bytes", static_cast<std::int64_t>(replica.state().turn_bytes())));
  }
}

void LedgerRole::SendTransfers(GroupId group, turn_ledger::TurnReplica& replica) {
  auto ready = [this](NodeId member) {
    const Machine* machine = peers_.Find(member);
    return machine != nullptr && transport_.Unsent(machine->endpoint) < kTransferPartBytes;
  };
  for (consensus::Outbound& part : replica.NextTransferParts(kTransferPartBytes, ready)) {
    if (std::holds_alternative<consensus::SnapshotRequest>(part.message)) {
      log_.Write(Line("snapshot_sent")
                     .Number("group", group.value)
                     .Text("to", absl::StrCat(absl::Hex(part.to.value))));
    }
    SendRaft(group, part);
  }
}

void LedgerRole::OnStagedEntries(GroupId group, const consensus::StagedEntries& staged) {
  std::string failure = Recover<storage::StorageError>(
      [&]() -> Result<std::string> {
        for (const consensus::Entry& entry : staged.entries) {
          BOOST_LEAF_CHECK(disk_->StageEntry(group, entry));
        }
        return std::string();
      },
      [](const storage::StorageError& error) { return error.detail; });
  if (!failure.empty()) {
    OnDiskFailed(failure);
  }
}

void LedgerRole::CheckMemory() {
  bool was_full = memory_.full();
  std::uint64_t used = allocated_bytes();
  bool full = memory_.update(used);
  for (auto& [group, replica] : replicas_) {
    replica->SetMemoryFull(full);
  }
  if (full != was_full) {
    log_.Write(Line(full ? "memory_full" : "memory_free")
                   .Number("used", static_cast<std::int64_t>(used))
                   .Number("limit", static_cast<std::int64_t>(settings_.memory_bytes)));
  }
}

// ---- Periodic work ----

void LedgerRole::Tick(absl::Time now) {
  for (auto& [group, replica] : replicas_) {
    replica->Tick(now);
  }
  work_stats_.measure(work_kind::transfers, [this] {
    for (auto& [group, replica] : replicas_) {
      SendTransfers(group, *replica);
    }
  });
  if (now >= next_memory_check_) {
    next_memory_check_ = now + kMemoryCheckInterval;
    CheckMemory();
  }
  // One group per tick. The loop must end here: a disk failure destroys all replicas.
  for (auto& [group, replica] : replicas_) {
    if (replica->IsTakingSnapshot()) {
      work_stats_.measure(work_kind::snapshot_steps, [this, group = group, &replica = *replica] {
        StoreSnapshotStep(group, replica);
      });
      break;
    }
  }
  persisted_mirrors_.tick();
  if (now >= next_hello_) {
    next_hello_ = now + HelloInterval();
    SendHello();
  }
  if (now >= next_log_flush_) {
    next_log_flush_ = now + kLogFlushInterval;
    log_.Flush();
  }
  if (now >= next_progress_log_) {
    next_progress_log_ = now + kProgressLogInterval;
    for (const auto& [group, replica] : replicas_) {
      LogProgress(group, *replica);
    }
    LogWork();
  }
  if (stopping_) {
    for (auto& [group, replica] : replicas_) {
      replica->TransferLeadership();  // The first target may have declined since it stops too.
    }
    bool leads = std::any_of(replicas_.begin(), replicas_.end(),
                             [](const auto& entry) { return entry.second->raft().IsLeader(); });
    if (!leads || now >= stop_deadline_) {
      log_.Write(Line("stopped"));
      loop_.Stop();
    }
  }
}

void LedgerRole::RequestStop() {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  stop_deadline_ = SteadyNow() + kLeadershipTransferTimeout;
  log_.Write(Line("stopping"));
  for (auto& [group, replica] : replicas_) {
    replica->DeclineLeadership();
    replica->TransferLeadership();
  }
}

void LedgerRole::LogProgress(GroupId group, const turn_ledger::TurnReplica& replica) {
  log_.Write(describe_progress(group, replica, synced_writes_));
}

void LedgerRole::LogWork() {
  log_.Write(describe_work(work_stats_.take(),
                           disk_ == nullptr ? storage::WriteBacklog{} : disk_->Backlog()));
}

void LedgerRole::LogHaltedReplica(GroupId group, const turn_ledger::TurnReplica& replica) {
  if (replica.unreadable_index() && halted_groups_.insert(group).second) {
    log_.Write(Line("replica_halted")
                   .Number("group", group.value)
                   .Number("index", static_cast<std::int64_t>(*replica.unreadable_index())));
  }
}

void LedgerRole::LogReplicaRole(GroupId group, const turn_ledger::TurnReplica& replica) {
  const consensus::Raft& raft = replica.raft();
  LoggedRole current{raft.role(), raft.term(), raft.configuration()};
  std::optional<LoggedRole>& logged = logged_roles_[group];
  if (logged != current) {
    logged = current;
    log_.Write(describe_replica_role(group, raft));
  }
}

// ---- Peers ----

void LedgerRole::OnFrame(const std::string& payload) {
  std::optional<turn_ledger::decoded_message> read = link_.read(payload);
  if (!read) {
    return;
  }
  turn_ledger::Envelope& envelope = read->m_envelope;
  if (envelope.from.identity != kNoNode) {
    UpdateMachine(envelope.from, /*heard_directly=*/true);
  }
  if (const auto* message = std::get_if<turn_ledger::LogMessage>(&envelope.body)) {
    work_stats_.measure(work_kind::log_messages, [&] { OnLogMessage(envelope.from, *message); });
  } else if (const auto* request = std::get_if<turn_ledger::LedgerRequest>(&envelope.body)) {
    work_stats_.measure(work_kind::requests,
                        [&] { OnRequest(envelope.from.endpoint, *request, read->m_layout); });
  } else if (const auto* chain = std::get_if<turn_ledger::chain_request>(&envelope.body)) {
    work_stats_.measure(work_kind::chain_reads,
                        [&] { OnChainRequest(envelope.from.endpoint, *chain); });
  } else if (const auto* hello = std::get_if<turn_ledger::Hello>(&envelope.body)) {
    OnHello(*hello);
  } else if (const auto* changes = std::get_if<store::news_reply>(&envelope.body)) {
    persisted_mirrors_.on_changes(*changes);
  }
}

void LedgerRole::OnRequest(const wire::Endpoint& from, const turn_ledger::LedgerRequest& request,
                           wire::Layout layout) {
  if (turn_ledger::TurnReplica* replica = Find(request.group)) {
    replica->OnRequest(SteadyNow(), from, request, layout);
    return;
  }
  turn_ledger::LedgerReply reply;
  reply.request = request.request;
  reply.status = turn_ledger::ReplyStatus::kNotLeader;
  link_.send_reply(from, reply, layout);
}

void LedgerRole::OnChainRequest(const wire::Endpoint& from,
                                const turn_ledger::chain_request& request) {
  turn_ledger::chain_reply reply;
  reply.m_request = request.m_request;
  const turn_ledger::TurnReplica* replica = Find(request.m_group);
  if (replica != nullptr && !replica->unreadable_index()) {
    reply = replica->state().ReadChain(request);
    work_stats_.add_bytes(work_kind::chain_reads, reply.m_text.size());
  }
  link_.send_message(from, std::move(reply));
}

void LedgerRole::OnLogMessage(const Machine& from, const turn_ledger::LogMessage& message) {
  if (message.to != identity_) {
    // Sent to the identity of a lost disk: announces the current one.
    link_.send_message(from.endpoint, turn_ledger::Hello{});
    return;
  }
  if (Find(message.group) == nullptr && disk_ != nullptr) {
    // Only a leader adds replicas; a new one is a learner until it has caught up.
    bool from_leader = std::holds_alternative<consensus::AppendRequest>(message.message) ||
                       std::holds_alternative<consensus::SnapshotRequest>(message.message);
    if (from_leader) {
      StartReplica(message.group, consensus::RestoredState{});
    }
  }
  if (const auto* staged = std::get_if<consensus::StagedEntries>(&message.message)) {
    if (disk_ != nullptr) {
      work_stats_.measure(work_kind::staged_entries,
                          [&] { OnStagedEntries(message.group, *staged); });
    }
    return;
  }
  if (turn_ledger::TurnReplica* replica = Find(message.group)) {
    std::uint64_t incomplete = replica->incomplete_snapshots();
    replica->OnLogMessage(SteadyNow(), from.identity, message.message);
    if (replica->incomplete_snapshots() != incomplete) {
      log_.Write(Line("snapshot_incomplete").Number("group", message.group.value));
    }
  }
}

void LedgerRole::OnHello(const turn_ledger::Hello& hello) {
  for (const Machine& machine : hello.known) {
    if (!peers_.Contains(machine.name)) {
      UpdateMachine(machine, /*heard_directly=*/false);
    }
  }
}

void LedgerRole::UpdateMachine(const Machine& machine, bool heard_directly) {
  if (machine.name == settings_.node || machine.name.empty()) {
    return;
  }
  if (heard_directly) {
    peers_.MarkHeardFrom(machine.name);
  }
  bool changed = peers_.Update(machine);
  if (changed) {
    log_.Write(Line("machine_known")
                   .Text("machine", machine.name)
                   .Text("identity", absl::StrCat(absl::Hex(machine.identity.value)))
                   .Text("address", machine.endpoint.ToString()));
  }
  if (heard_directly || changed) {
    for (auto& [group, replica] : replicas_) {
      replica->UpdateMachine(SteadyNow(), machine, heard_directly);
    }
  }
}

bool LedgerRole::HelloIsRedundant() {
  // With several groups, the leaders of groups without this machine need its hellos to know that it
  // is available as a replacement.
  const turn_ledger::group_layout* layout = layout_record_.layout();
  bool single = layout != nullptr && layout->size() == 1;
  const turn_ledger::TurnReplica* first = replica();
  if (!single || first == nullptr) {
    return false;
  }
  const consensus::Raft& raft = first->raft();
  return raft.configuration().IsVoter(identity_) && (raft.IsLeader() || raft.leader() != kNoNode);
}

absl::Duration LedgerRole::HelloInterval() const {
  absl::Duration min_interval = replicas_.empty() ? kHelloInterval : kReplicaHelloInterval;
  return std::max(min_interval, kHelloIntervalPerMachine * peers_.machines().size());
}

void LedgerRole::SendHello() {
  if (identity_ == kNoNode || HelloIsRedundant()) {
    return;
  }
  turn_ledger::Hello hello;
  if (replicas_.empty()) {
    std::vector<Machine> known;
    for (const auto& [name, machine] : peers_.machines()) {
      known.push_back(machine);
    }
    std::sample(known.begin(), known.end(), std::back_inserter(hello.known), kMaxMachinesPerHello,
                random_.engine());
  }
  for (const auto& [name, machine] : peers_.machines()) {
    link_.send_message(machine.endpoint, hello);
  }
  if (peers_.machines().empty()) {
    // A new disk, and the store that lists the other machines is unavailable.
    for (const wire::Endpoint& seed : settings_.seeds) {
      if (seed.address != settings_.address) {
        link_.send_message(seed, hello);
      }
    }
  }
}

void LedgerRole::OnPeerDown(const wire::Endpoint& peer) {
  for (const auto& [name, machine] : peers_.machines()) {
    if (machine.endpoint != peer || replicas_.empty()) {
      continue;
    }
    log_.Write(Line("machine_refuses").Text("machine", name));
    for (auto& [group, replica] : replicas_) {
      replica->OnMachineDown(SteadyNow(), machine.identity);
    }
  }
}

void LedgerRole::SendRaft(GroupId group, const consensus::Outbound& outbound) {
  if (const Machine* machine = peers_.Find(outbound.to)) {
    link_.send_message(machine->endpoint,
                       turn_ledger::LogMessage{outbound.to, group, outbound.message});
  }
}

// ---- The directory ----

void LedgerRole::OnDirectoryChange(const store::StoreChange& change) {
  absl::string_view key = change.key;
  if (!change.value || !absl::ConsumePrefix(&key, kLedgerMachinesPrefix)) {
    return;
  }
  if (auto machine = wire::Decode<Machine>(*change.value)) {
    // The store's record may be older than what the machine itself sent to this process.
    if (!peers_.HasHeardFrom(machine->name)) {
      UpdateMachine(*machine, /*heard_directly=*/false);
    }
  }
}

Task<void> LedgerRole::Register() {
  std::string key = absl::StrCat(kLedgerMachinesPrefix, settings_.node);
  while (true) {
    auto record = directory_.items().find(key);
    bool registered = record != directory_.items().end();
    std::string wanted = wire::Encode(Self());
    bool due = identity_ != kNoNode && directory_.complete() &&
               (!registered || record->second.value != wanted);
    if (due) {
      store::Transaction transaction;
      transaction.conditions.push_back({key, registered ? record->second.revision : 0});
      transaction.puts.push_back({key, wanted, 0});
      co_await store_.Commit(std::move(transaction));
      co_await async_http::Sleep(loop_.context(), kRegisterRetryDelay);
    }
    co_await async_http::Sleep(loop_.context(), kDirectoryPollInterval);
  }
}

void LedgerRole::OnRetiringMachines(const std::vector<std::string>& machines) {
  for (auto& [group, replica] : replicas_) {
    replica->SetRetiring(machines);
  }
}

void LedgerRole::StartRecordedGroups() {
  const turn_ledger::group_layout* layout = layout_record_.layout();
  for (std::size_t index = 0; layout != nullptr && index < layout->size(); ++index) {
    GroupId group = turn_ledger::group_at(index);
    const consensus::Configuration& initial_members = (*layout)[index];
    if (disk_ == nullptr || Find(group) != nullptr || !initial_members.IsVoter(identity_)) {
      continue;
    }
    // The record is immutable, so all initial voters start from the same empty log.
    consensus::RestoredState restored;
    restored.snapshot.configuration = initial_members;
    storage::GroupWrite write;
    write.group = group;
    write.snapshot = restored.snapshot;
    if (!Store({write})) {
      return;
    }
    log_.Write(Line("group_founded")
                   .Number("group", group.value)
                   .Number("voters", static_cast<std::int64_t>(initial_members.voters.size())));
    StartReplica(group, std::move(restored));
  }
}

Task<void> LedgerRole::BootstrapGroups() {
  absl::Time start_time = SteadyNow();
  while (true) {
    co_await async_http::Sleep(loop_.context(), kDirectoryPollInterval);
    if (!directory_.complete()) {
      continue;
    }
    if (directory_.items().contains(kLedgerGroupsKey)) {
      StartRecordedGroups();
      continue;
    }
    if (!settings_.first_start) {
      continue;
    }
    std::vector<Machine> machines;
    for (const auto& [key, item] : directory_.items()) {
      if (!absl::StartsWith(key, kLedgerMachinesPrefix)) {
        continue;  // Not a machine record.
      }
      if (auto machine = wire::Decode<Machine>(item.value)) {
        machines.push_back(*machine);
      }
    }
    std::size_t wanted = ReplicasPerGroup(settings_);
    // Staggered by name, so that usually only the first machine writes the record.
    auto preceding = static_cast<double>(
        std::count_if(machines.begin(), machines.end(),
                      [this](const Machine& machine) { return machine.name < settings_.node; }));
    absl::Time own_attempt = start_time + kBootstrapStagger * preceding;
    bool may_wait = SteadyNow() < start_time + kBootstrapTimeout;
    absl::Duration settle_time = wanted > 1 ? kBootstrapSettleTime : kSingleReplicaSettleTime;
    bool all_registered = machines.size() >= wanted && SteadyNow() > start_time + settle_time;
    if (machines.empty() || (!all_registered && may_wait) ||
        SteadyNow() < own_attempt + settle_time) {
      continue;
    }
    store::Transaction transaction;
    transaction.conditions.push_back({kLedgerGroupsKey, 0});
    transaction.puts.push_back(
        {kLedgerGroupsKey, wire::Encode(turn_ledger::layout_groups(machines, wanted)), 0});
    co_await store_.Commit(std::move(transaction));
  }
}

}  // namespace martenyard::roles
