#include "daemon/node.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "base/hash.h"
#include "base/logging.h"
#include "wire/codec.h"

namespace martenyard::daemon {
namespace {

constexpr char kLog[] = "node";
constexpr char kDirectoryItem[] = "directory";
constexpr char kGroupItemPrefix[] = "group/";
constexpr char kRollItemPrefix[] = "roll/";
constexpr char kDirectoryKey[] = "/martenyard/directory";
constexpr std::size_t kWatchersPerZone = 2;
constexpr std::size_t kLoadReportTargets = 16;
constexpr std::size_t kReleasesPerRound = 32;
constexpr absl::Duration kManageInterval = absl::Milliseconds(200);
constexpr absl::Duration kSweepTimeout = absl::Seconds(2);
/// A stopping daemon waits this long for the return of a group's quorum: the time of a restart.
constexpr absl::Duration kQuorumReturnTimeout = absl::Seconds(1);
/// Maximum number of entries a learner may lag behind and still be promoted to voter.
constexpr consensus::LogIndex kCaughtUpEntries = 64;

bool HasPrefix(const std::string& text, std::string_view prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

PlannedStopOptions MakePlannedStopOptions(const NodeOptions& options,
                                          const storage::LogStore& store) {
  PlannedStopOptions stop;
  stop.replicas = options.replicas;
  stop.durable = store.IsDurable();
  stop.election_timeout = options.group.raft.election_timeout;
  return stop;
}

std::uint64_t ReleaseMark(GroupId group, std::uint64_t order) {
  std::uint64_t both[] = {group.value, order};
  return StableHash({reinterpret_cast<const char*>(both), sizeof(both)});
}

}  // namespace

Node::Node(membership::MemberInfo self, const NodeOptions& options, NodeEnvironment& environment,
           storage::LogStore& store, std::uint64_t seed, absl::Time now)
    : options_(options),
      environment_(environment),
      random_(seed),
      now_(now),
      store_(store),
      membership_(self, options.membership, options.seeds, random_.NextId(), now),
      spread_(
          options.spread, [this](const spread::Item& item) { return ValidateItem(item); },
          random_.NextId(), now),
      bundles_(options.partners),
      rolls_(environment.KeyValueService(), options.partners,
             [this](const bundle::SignedRoll& roll) { OnRoll(roll); }),
      replica_host_(self.id, options.group, store, random_.NextId()),
      backends_(self.zone),
      dispatcher_(options.dispatcher, now),
      router_(options.router, random_.NextId(), now),
      coordinator_(*this, options.coordinator, random_.NextId()),
      planned_stop_(self.id, MakePlannedStopOptions(options, store), replica_host_, membership_,
                    coordinator_, router_,
                    [this](NodeId to, PeerMessage message) { Send(to, std::move(message)); }) {
  periodics_ = {
      {options.key_value_poll, now, &Node::PollKeyValue},
      {options.machine_list_poll, now, &Node::PollMachines},
      {options.load_report_interval, now, &Node::ReportLoads},
      {kManageInterval, now, &Node::ManageGroups},
      {options.release_interval, now, &Node::SendReleases},
      {options.sweep_interval, now + options.sweep_interval, &Node::SweepContexts},
  };
}

Result<void> Node::Start(absl::Time now) {
  now_ = now;
  BOOST_LEAF_AUTO(stored, store_.Load());
  LoadPersistedItems();
  return replica_host_.Restore(now, stored);
}

// ---- Events ----

void Node::OnEnvelope(absl::Time now, const Envelope& envelope) {
  now_ = std::max(now_, now);
  if (envelope.to != kNoNode && envelope.to != Self()) {
    return;  // Meant for a previous node at this address.
  }
  Handle(envelope.from, envelope.from_endpoint, envelope.body);
}

void Node::OnPacket(absl::Time now, const membership::Packet& packet) {
  now_ = std::max(now_, now);
  membership_.OnPacket(now_, packet);
}

void Node::OnEndpointDead(absl::Time now, const wire::Endpoint& endpoint, absl::Time checked_at) {
  now_ = std::max(now_, now);
  std::optional<NodeId> dead = membership_.OnEndpointDead(now_, endpoint);
  if (!dead) {
    return;
  }
  replica_host_.OnMemberDown(now_, *dead, checked_at);
  OnMembersChanged();
}

void Node::Tick(absl::Time now) {
  now_ = std::max(now_, now);
  membership_.Tick(now_);
  if (membership_.version() != live_version_) {
    OnMembersChanged();
  }
  spread_.Tick(now_, Peers());
  replica_host_.Tick(now_);
  planned_stop_.Tick(now_);
  router_.Tick(now_);
  dispatcher_.Tick(now_);
  coordinator_.Tick();
  group_log_.LogChanges(replica_host_, membership_);
  for (Periodic& periodic : periodics_) {
    if (now_ >= periodic.next) {
      periodic.next = now_ + periodic.interval * (0.9 + 0.2 * random_.Uniform());
      (this->*periodic.run)();
    }
  }
}

Result<void> Node::Settle(absl::Time now) {
  now_ = std::max(now_, now);
  bool busy = true;
  while (busy) {
    FlushMembership();
    FlushSpread();
    for (gateway::OutgoingLedgerRequest& request : router_.TakeRequests()) {
      Send(request.to, std::move(request.request));
    }
    for (dispatch::OutgoingPermitUpdate& news : dispatcher_.TakeUpdates()) {
      Send(news.to, std::move(news.update));
    }
    BOOST_LEAF_AUTO(effects, replica_host_.Pump([this](OutgoingGroupMessage message) {
      Send(message.to, std::move(message.message));
    }));
    for (OutgoingGroupMessage& message : effects.messages) {
      Send(message.to, std::move(message.message));
    }
    for (ledger::OutgoingLedgerReply& reply : effects.replies) {
      Send(reply.to, std::move(reply.reply));
    }
    busy = !local_.empty();
    HandleLocal();
  }
  return {};
}

void Node::HandleLocal() {
  std::deque<Envelope> batch;
  batch.swap(local_);
  for (const Envelope& envelope : batch) {
    Handle(envelope.from, envelope.from_endpoint, envelope.body);
  }
}

void Node::Handle(NodeId from, const wire::Endpoint& endpoint, const PeerMessage& message) {
  if (const auto* group = std::get_if<GroupMessage>(&message)) {
    replica_host_.OnMessage(now_, from, *group);
  } else if (const auto* request = std::get_if<ledger::LedgerRequest>(&message)) {
    if (!replica_host_.OnRequest(now_, from, *request)) {
      ledger::LedgerReply reply;
      reply.request_id = request->request_id;
      reply.group = request->group;
      reply.status = ledger::ReplyStatus::kNotLeader;
      Send(from, std::move(reply));
    }
  } else if (const auto* reply = std::get_if<ledger::LedgerReply>(&message)) {
    router_.OnReply(now_, from, *reply);
  } else if (const auto* sync = std::get_if<dispatch::PermitSync>(&message)) {
    dispatcher_.OnSync(now_, from, *sync);
  } else if (const auto* release = std::get_if<dispatch::PermitRelease>(&message)) {
    dispatcher_.OnRelease(now_, from, *release);
  } else if (const auto* news = std::get_if<dispatch::PermitNews>(&message)) {
    backends_.OnLoads(now_, news->loads);
    coordinator_.OnPermitUpdate(*news);
  } else if (const auto* spread = std::get_if<spread::SpreadMessage>(&message)) {
    spread_.OnMessage(from, *spread, Peers());
  } else if (const auto* list = std::get_if<membership::MemberList>(&message)) {
    membership_.OnMemberList(now_, endpoint, *list);
  } else if (const auto* exit_request = std::get_if<ExitRequest>(&message)) {
    planned_stop_.OnExitRequest(now_, from, *exit_request);
  } else if (const auto* exit_reply = std::get_if<ExitReply>(&message)) {
    planned_stop_.OnExitReply(now_, from, *exit_reply);
  }
}

void Node::Send(NodeId to, PeerMessage message) {
  Envelope envelope{Self(), membership_.self().peer, to, std::move(message)};
  if (to == Self()) {
    local_.push_back(std::move(envelope));
    return;
  }
  // A member wrongly declared dead must stay reachable for its group.
  if (const membership::MemberInfo* member = membership_.FindIncludingDead(to)) {
    environment_.SendFrame(member->peer, envelope);
  }
}

void Node::FlushMembership() {
  membership::MembershipEffects effects = membership_.TakeEffects();
  for (const membership::OutgoingPacket& packet : effects.packets) {
    environment_.SendDatagram(packet.to, packet.packet);
  }
  for (membership::OutgoingMemberList& list : effects.lists) {
    environment_.SendFrame(list.to,
                           {Self(), membership_.self().peer, kNoNode, std::move(list.list)});
  }
}

void Node::FlushSpread() {
  for (spread::OutgoingSpreadMessage& message : spread_.TakeMessages()) {
    Send(message.to, std::move(message.message));
  }
  std::vector<spread::Item> changes = spread_.TakeChanges();
  for (const spread::Item& item : changes) {
    ApplyItem(item);
  }
  if (!changes.empty()) {
    PersistItems();
  }
}

// ---- Members ----

void Node::OnMembersChanged() {
  live_version_ = membership_.version();
  std::vector<membership::MemberInfo> before = std::move(live_.all);
  before.insert(before.end(), leaving_.begin(), leaving_.end());
  live_ = LiveMembers::From(membership_.Live());
  leaving_ = membership_.Leaving();
  dispatchers_ = live_.all.empty() ? LiveMembers::From(leaving_) : live_;
  peers_.clear();
  for (const membership::MemberInfo& member : live_.all) {
    if (member.id != Self()) {
      peers_.push_back(member.id);
    }
  }
  for (const membership::MemberInfo& member : before) {
    if (membership_.StatusOf(member.id) == membership::MemberStatus::kDead) {
      MARTENYARD_LOG_INFO("membership", "Daemon " << member.peer.ToString() << " is down.");
      router_.OnMemberRemoved(now_, member.id);
    }
  }
  MARTENYARD_LOG_INFO("membership", "Members up: " << live_.all.size() << ".");
  RefreshEngines();
}

// ---- Gossiped items: the group directory and the active bundles ----

bool Node::ValidateItem(const spread::Item& item) const {
  if (!HasPrefix(item.key, kRollItemPrefix)) {
    return item.key == kDirectoryItem || HasPrefix(item.key, kGroupItemPrefix);
  }
  auto roll = wire::Decode<bundle::SignedRoll>(item.value);
  bool key_matches = roll && item.key == kRollItemPrefix + roll->statement.partner.value &&
                     item.version == roll->statement.epoch;
  return key_matches && Recover<bundle::BundleError>(
                            [&]() -> Result<bool> {
                              BOOST_LEAF_CHECK(bundle::VerifyRoll(bundles_.partners(), *roll));
                              return true;
                            },
                            [](const bundle::BundleError&) { return false; });
}

void Node::ApplyItem(const spread::Item& item) {
  if (item.key == kDirectoryItem) {
    if (auto directory = wire::Decode<std::vector<consensus::Configuration>>(item.value)) {
      AdoptDirectory(*directory);
    }
  } else if (HasPrefix(item.key, kGroupItemPrefix)) {
    auto configuration = wire::Decode<consensus::Configuration>(item.value);
    GroupId group(static_cast<std::uint32_t>(
        std::strtoul(item.key.c_str() + sizeof(kGroupItemPrefix) - 1, nullptr, 10)));
    if (configuration) {
      AdoptGroup(group, item.version, *configuration);
    }
  } else if (auto roll = wire::Decode<bundle::SignedRoll>(item.value)) {
    bool in_force = Recover<bundle::BundleError>([&] { return bundles_.Accept(*roll); },
                                                 [](const bundle::BundleError&) { return false; });
    if (in_force) {
      MARTENYARD_LOG_INFO("bundle", "Partner " << roll->statement.partner.value << " is at epoch "
                                               << roll->statement.epoch << ".");
      RefreshEngines();
    }
  }
}

void Node::OnRoll(const bundle::SignedRoll& roll) {
  spread::Item item;
  item.key = kRollItemPrefix + roll.statement.partner.value;
  item.version = roll.statement.epoch;
  item.value = wire::Encode(roll);
  const spread::Item* present = spread_.Find(item.key);
  bool newer = present == nullptr || present->version < item.version;
  if (newer && ValidateItem(item)) {
    spread_.Publish(item, Peers());
  }
}

void Node::LoadPersistedItems() {
  for (const spread::Item& item : environment_.PersistedItems()) {
    // Validated like an item received from a peer; the key-value service may have a newer one.
    if (ValidateItem(item)) {
      spread_.Publish(item, {});
    } else {
      MARTENYARD_LOG_WARN(kLog, "Ignored the invalid persisted item " << item.key << ".");
    }
  }
}

void Node::PersistItems() {
  std::vector<spread::Item> items;
  for (const auto& [key, item] : spread_.items()) {
    items.push_back(item);
  }
  environment_.PersistItems(items);
}

void Node::AdoptDirectory(const std::vector<consensus::Configuration>& directory) {
  for (std::size_t index = 0; index < directory.size(); ++index) {
    GroupId group(static_cast<std::uint32_t>(index));
    AdoptGroup(group, 0, directory[index]);
    if (directory[index].IsVoter(Self())) {
      replica_host_.CreateInitialReplica(now_, group, directory[index]);
    }
  }
  MARTENYARD_LOG_INFO(kLog, "Placed groups: " << directory.size() << ".");
}

void Node::AdoptGroup(GroupId group, std::uint64_t version,
                      const consensus::Configuration& present) {
  auto known = directory_versions_.find(group);
  if (known != directory_versions_.end() && known->second > version) {
    return;
  }
  directory_versions_[group] = version;
  directory_[group] = present;
  router_.SetReplicas(group, present.voters);
  // A replica removed from its group may never receive the configuration that removes it.
  ledger::GroupReplica* replica = replica_host_.Find(group);
  bool stale = replica != nullptr && version > 0 && !present.IsVoter(Self()) &&
               !present.IsLearner(Self()) && replica->raft().commit_index() <= version &&
               !replica->raft().IsLeader();
  if (stale) {
    MARTENYARD_LOG_INFO(kLog, "Left group " << group.value << ".");
    replica_host_.Remove(group);
  }
}

int Node::GroupsWithLeader() const {
  int count = 0;
  for (const auto& [group, replica] : replica_host_.replicas()) {
    count += replica->raft().leader() != kNoNode ? 1 : 0;
  }
  return count;
}

// ---- Platform ----

bool Node::WatchesKeyValue() const {
  std::size_t before_self = 0;
  for (const membership::MemberInfo& member : live_.all) {
    before_self += member.zone == membership_.self().zone && member.id < Self() ? 1 : 0;
  }
  return before_self < kWatchersPerZone;
}

void Node::PollKeyValue() {
  if (!WatchesKeyValue()) {
    return;
  }
  rolls_.Poll([this, poll = key_value_polls_.Begin()](bool answered) {
    LogReachability("key-value service", key_value_polls_.Ended(Now(), poll, answered));
  });
  if (!directory_.empty()) {
    return;
  }
  environment_.KeyValueService().Get(kDirectoryKey, [this](const clients::KeyValueReply& answer) {
    if (answer.status != clients::KeyValueStatus::kDone || !directory_.empty()) {
      return;
    }
    if (!answer.entries.empty()) {
      spread_.Publish({kDirectoryItem, 1, answer.entries[0].value}, Peers());
      return;
    }
    if (live_.all.size() < static_cast<std::size_t>(options_.bootstrap_daemons)) {
      return;
    }
    auto placed = PlaceGroups(live_.all, options_.groups, options_.replicas);
    if (placed.empty()) {
      return;
    }
    // The first conditional write wins; every daemon then reads its result.
    environment_.KeyValueService().PutIf(kDirectoryKey, 0, wire::Encode(placed),
                                         [](const clients::KeyValueReply&) {});
  });
}

void Node::PollMachines() {
  std::uint64_t poll = machine_polls_.Begin();
  environment_.Backends().FetchMachines(
      [this, poll](std::optional<std::vector<clients::Backend>> machines) {
        PollEnd end = machine_polls_.Ended(Now(), poll, machines.has_value());
        LogReachability("machine list", end);
        if (end.is_newest) {
          backends_.SetMachines(Now(), std::move(*machines));
          RefreshEngines();
        }
      });
}

void Node::LogReachability(const char* service, const PollEnd& end) {
  if (!end.reachable) {
    return;
  }
  std::string age =
      end.age ? absl::StrCat(absl::ToInt64Milliseconds(*end.age), " ms ago") : "never";
  if (*end.reachable) {
    MARTENYARD_LOG_INFO(
        kLog, "The " << service << " is reachable again; its previous reply came " << age << ".");
  } else {
    MARTENYARD_LOG_WARN(kLog, "The " << service << " is unreachable; its last reply came " << age
                                     << ", and its last data stays in use.");
  }
}

void Node::RefreshEngines() {
  dispatcher_.SetEngines(now_, backends_.DispatchedBy(Self(), dispatchers_, bundles_));
}

void Node::ReportLoads() {
  dispatch::PermitNews news;
  news.loads = dispatcher_.Loads();
  if (news.loads.empty()) {
    return;
  }
  backends_.OnLoads(now_, news.loads);
  std::vector<NodeId> targets = Peers();
  std::shuffle(targets.begin(), targets.end(), random_.engine());
  targets.resize(std::min(targets.size(), kLoadReportTargets));
  for (NodeId target : targets) {
    Send(target, news);
  }
}

// ---- Groups ----

void Node::ManageGroups() {
  for (const auto& [group, replica] : replica_host_.replicas()) {
    if (replica->raft().LeaderIsCurrent()) {
      ManageGroup(*replica);
    }
  }
  if (planned_stop_.begun()) {
    EndRequestsWithoutQuorum();
  }
}

void Node::ManageGroup(ledger::GroupReplica& replica) {
  consensus::Raft& raft = replica.raft();
  if (!raft.ConfigurationIsCommitted()) {
    return;
  }
  const consensus::Configuration& present = raft.configuration();
  auto known = directory_.find(replica.group());
  if (known == directory_.end() || known->second != present) {
    spread_.Publish({kGroupItemPrefix + std::to_string(replica.group().value), raft.commit_index(),
                     wire::Encode(present)},
                    Peers());
  }
  std::vector<ReplicaView> views;
  for (NodeId member : present.Members()) {
    ReplicaView view;
    view.node = member;
    membership::MemberStatus status = membership_.StatusOf(member);
    bool dead_beyond_limit = status == membership::MemberStatus::kDead &&
                             membership_.DeadSince(member) + options_.replace_after <= now_ &&
                             raft.LastContact(member) + options_.replace_after <= now_;
    view.gone = member != Self() && dead_beyond_limit;
    // A leaving daemon without a data directory loses its replica's state.
    const membership::MemberInfo* info = membership_.FindIncludingDead(member);
    bool leaving_without_storage =
        status == membership::MemberStatus::kLeaving && info != nullptr && !info->durable;
    view.gone = view.gone || leaving_without_storage;
    view.caught_up = raft.MatchIndex(member) + kCaughtUpEntries >= raft.last_index();
    views.push_back(view);
  }
  auto next = PlanChange(replica.group(), present, views, live_.all,
                         static_cast<std::size_t>(options_.replicas));
  if (next && raft.ProposeConfiguration(*next)) {
    MARTENYARD_LOG_INFO(kLog, "Group " << replica.group().value << " changes to "
                                       << next->voters.size() << " voters and "
                                       << next->learners.size() << " learners.");
  }
}

GroupId Node::GroupOf(const ProgramId& program) const {
  return GroupId(static_cast<std::uint32_t>(StableHash(program.value) %
                                            static_cast<std::uint64_t>(options_.groups)));
}

void Node::SendLedgerRequest(GroupId group, ledger::RequestBody body, absl::Time deadline,
                             gateway::LedgerCallback on_answer) {
  router_.Submit(group, std::move(body), deadline, std::move(on_answer));
}

// ---- Engines ----

void Node::SendPermitRequests(const std::vector<dispatch::PermitAsk>& asks) {
  std::map<NodeId, dispatch::PermitSync> by_dispatcher;
  for (const dispatch::PermitAsk& ask : asks) {
    const clients::Backend* engine = backends_.Find(ask.engine);
    auto dispatcher = engine == nullptr ? std::nullopt : DispatcherOf(*engine, dispatchers_);
    if (dispatcher) {
      by_dispatcher[*dispatcher].requests.push_back(ask);
    }
  }
  for (auto& [dispatcher, sync] : by_dispatcher) {
    Send(dispatcher, std::move(sync));
  }
}

void Node::SendPermitRelease(const dispatch::PermitRelease& release) {
  if (release.engine_draining) {
    backends_.MarkLeaving(Now(), release.engine);
  }
  const clients::Backend* engine = backends_.Find(release.engine);
  auto dispatcher = engine == nullptr ? std::nullopt : DispatcherOf(*engine, dispatchers_);
  if (dispatcher) {
    Send(*dispatcher, release);
  }
}

std::vector<gateway::EngineCandidate> Node::EnginesFor(const PartnerName& partner,
                                                       const std::string& service) {
  auto candidates = backends_.EnginesFor(Now(), partner, service, bundles_);
  std::map<BackendName, int> counts = coordinator_.CountByEngine();
  for (gateway::EngineCandidate& candidate : candidates) {
    // Load reports lag, so they are raised to this daemon's own count.
    int own = counts[candidate.backend.name];
    int reported = candidate.view.in_flight + candidate.view.queued;
    candidate.view.in_flight += std::max(0, own - reported);
  }
  return candidates;
}

std::vector<clients::Backend> Node::ServicesFor(const PartnerName& partner,
                                                clients::BackendKind kind,
                                                const std::string& service) {
  return backends_.ServicesFor(partner, kind, service);
}

int Node::PriorityOf(const PartnerName& partner, const std::string& program_kind) {
  constexpr int kDefaultPriority = 5;
  const bundle::ActiveBundle* active = bundles_.Find(partner);
  const bundle::ProgramSpec* spec =
      active == nullptr ? nullptr : active->bundle->FindProgram(program_kind);
  return spec == nullptr ? kDefaultPriority : spec->priority;
}

// ---- Contexts of finished programs ----

void Node::SendReleases() {
  for (const auto& [group, replica] : replica_host_.replicas()) {
    for (const ledger::ReleaseOrder& order : replica->DueReleases(kReleasesPerRound)) {
      const clients::Backend* engine = backends_.Find(order.engine);
      if (engine == nullptr) {
        if (backends_.IsGone(now_, order.engine)) {
          replica->ProposeInternal(ledger::AcknowledgeRelease{{order.id}});
        }
        continue;
      }
      std::uint64_t mark = ReleaseMark(group, order.id);
      if (!releasing_.insert(mark).second) {
        continue;
      }
      environment_.Backends().ReleaseContext(
          engine->url, order.program.value, [this, group = group, id = order.id, mark](bool gone) {
            releasing_.erase(mark);
            ledger::GroupReplica* owner = replica_host_.Find(group);
            if (gone && owner != nullptr && owner->raft().IsLeader()) {
              owner->ProposeInternal(ledger::AcknowledgeRelease{{id}});
            }
          });
    }
  }
}

void Node::SweepContexts() {
  if (planned_stop_.begun()) {
    return;
  }
  for (const auto& [name, backend] : backends_.machines()) {
    bool own = backend.kind == clients::BackendKind::kEngine &&
               DispatcherOf(backend, dispatchers_) == Self();
    if (!own) {
      continue;
    }
    environment_.Backends().ListContexts(
        backend.url,
        [this, engine = backend](std::optional<std::vector<clients::CachedContext>> contexts) {
          if (contexts) {
            SweepEngine(engine, *contexts);
          }
        });
  }
}

void Node::SweepEngine(const clients::Backend& engine,
                       const std::vector<clients::CachedContext>& contexts) {
  std::map<GroupId, ledger::CheckPrograms> by_group;
  for (const clients::CachedContext& context : contexts) {
    ProgramId program(context.id);
    by_group[GroupOf(program)].programs.push_back(program);
  }
  for (auto& [group, check] : by_group) {
    SendLedgerRequest(group, std::move(check), Now() + kSweepTimeout,
                      [this, url = engine.url](const gateway::LedgerResult& answer) {
                        if (answer.status != gateway::LedgerResult::Status::kAnswered) {
                          return;
                        }
                        for (const ProgramId& program : answer.reply.programs_over) {
                          environment_.Backends().ReleaseContext(url, program.value, [](bool) {});
                        }
                      });
  }
}

// ---- Planned stop ----

void Node::BeginStop(absl::Time now) {
  now_ = std::max(now_, now);
  if (planned_stop_.begun()) {
    return;
  }
  MARTENYARD_LOG_INFO(kLog, "Stopping: rejecting new calls, transferring leaderships.");
  coordinator_.StopAdmitting();
  membership_.Leave();
  OnMembersChanged();
  planned_stop_.Begin(now_);
}

void Node::EndRequestsWithoutQuorum() {
  for (const auto& [group, configuration] : directory_) {
    if (!QuorumIsDead(configuration, membership_)) {
      quorum_dead_since_.erase(group);
      continue;
    }
    absl::Time since = quorum_dead_since_.try_emplace(group, now_).first->second;
    if (now_ >= since + kQuorumReturnTimeout) {
      router_.EndRequests(now_, group);
    }
  }
}

bool Node::CanExit() const { return coordinator_.active() == 0 && planned_stop_.MayExit(); }

std::string Node::StopBlockers() const {
  std::vector<std::string> reasons = planned_stop_.Blockers();
  if (coordinator_.active() > 0) {
    reasons.insert(reasons.begin(), absl::StrCat(coordinator_.active(), " calls under way"));
  }
  return absl::StrJoin(reasons, ", ");
}

}  // namespace martenyard::daemon
