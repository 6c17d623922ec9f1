#include "roles/gateway_role.h"

#include <algorithm>
#include <initializer_list>
#include <limits>
#include <map>
#include <string>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/strip.h"
#include "base/clock.h"
#include "forwarding/forwarder.h"
#include "roles/policy/policy_parameters.h"
#include "roles/store_reachability_line.h"
#include "roles/store_watch_options.h"
#include "turn_ledger/groups/group_layout.h"
#include "wire/codec.h"

namespace martenyard::roles {

using async_http::Task;
using event_log::Line;
using turn_ledger::Machine;

namespace {

constexpr absl::Duration kTickInterval = absl::Milliseconds(100);
constexpr absl::Duration kHousekeepingInterval = absl::Seconds(1);
constexpr absl::Duration kGoneRunnerRetention = absl::Seconds(10);
/// A ledger group without a reply for this long is probed.
constexpr absl::Duration kProbeAfter = absl::Milliseconds(250);
/// The same with zone isolation, which decides on a shorter silence. With ticks of 100 ms a group
/// is probed each 200 ms.
constexpr absl::Duration kProbeAfterWithIsolation = absl::Milliseconds(150);
/// A gateway of the first start of a deployment that has read the runners within this time knows
/// that none served before.
constexpr absl::Duration kFirstReadTime = absl::Seconds(5);
constexpr std::size_t kMaxRelays = 4;
/// An isolated gateway uses relays only if they are reported this long after it lost the ledger: a
/// gateway that was lost with the zone is listed for up to 1.6 s.
constexpr std::chrono::milliseconds kRelayTrustDelay{1800};
/// Load balancers keep sending new connections until two readiness checks have failed.
constexpr absl::Duration kMinDrain = absl::Seconds(3);
/// Margin between the end of the process and the platform's SIGKILL.
constexpr absl::Duration kStopMargin = absl::Milliseconds(700);
/// Limits the memory of requests to 1/4 of the memory limit.
constexpr std::uint64_t kRequestMemoryDivisor = 4;
/// Limits the memory of the clients' connections themselves to 1/4 of the memory limit.
constexpr std::uint64_t kConnectionMemoryDivisor = 4;
/// Memory of a connection besides its request.
constexpr std::uint64_t kConnectionBytes = std::uint64_t{16} << 10;
/// From the deadline of a request until its client must have taken the response.
constexpr absl::Duration kResponseGrace = absl::Seconds(10);
/// Limits of the readiness and metrics endpoints, whose callers are few and send no bodies.
constexpr std::size_t kInternalEndpointConnections = 64;
constexpr std::uint64_t kInternalEndpointMemory = std::uint64_t{1} << 20;
/// Limits buffered responses to 1/8 of the memory limit.
constexpr std::uint64_t kResponseMemoryDivisor = 8;
/// Limits unsent frames to peers to 1/16 of the memory limit.
constexpr std::uint64_t kFrameMemoryDivisor = 16;
/// Limits incomplete frames from peers to 1/8 of the memory limit.
constexpr std::uint64_t kReceivedMemoryDivisor = 8;
constexpr std::size_t kReservedDescriptors = 1200;  // For runners, peers, files and the store.
constexpr std::size_t kRunnerDescriptors = 900;     // Of the reserved ones.

/// Upper bound on the time between the store's acceptance of a drain notice and the arrival at the
/// runner of a request sent before the gateway learned of it: watch spacing, propagation between
/// gateways, and network delay.
constexpr absl::Duration kDrainNoticeLag = absl::Milliseconds(800);

/// Batches the slot changes that occur together when a fleet starts.
constexpr absl::Duration kAggregatorWatchSpacing = absl::Milliseconds(500);

store::MirrorOptions OperatorWatchOptions(const RoleSettings& settings) {
  store::MirrorOptions options = BoundedStalenessWatchOptions(settings);
  options.announces_prefix = true;
  return options;
}

store::MirrorOptions AggregatorWatchOptions(const RoleSettings& settings) {
  store::MirrorOptions options = LongWatchOptions(settings);
  options.watch_spacing = kAggregatorWatchSpacing;
  return options;
}

}  // namespace

namespace {

/// Adjusts the options for the disabled mechanisms.
void DisableMechanisms(const policy_switches& policy, forwarding::GatewayState& state) {
  forwarding::ForwardingOptions& options = state.options;
  forwarding::ChoiceOptions& choice = options.choice;
  auto zero_if_disabled = [&policy](mechanism which, std::initializer_list<double*> costs) {
    for (double* cost : costs) {
      *cost = policy.enabled(which) ? *cost : 0;
    }
  };
  zero_if_disabled(mechanism::zone_cost, {&choice.other_zone_ms});
  zero_if_disabled(mechanism::home, {&choice.home_ms});
  zero_if_disabled(mechanism::waiting_cost, {&choice.engine_wait_ms, &choice.plain_wait_ms});
  zero_if_disabled(mechanism::active_cost, {&choice.active_cost_ms, &choice.plain_active_cost_ms});
  zero_if_disabled(mechanism::loss_rates,
                   {&choice.repeatable_loss_ms, &choice.turn_loss_ms, &choice.call_loss_ms});
  if (!policy.enabled(mechanism::kept_prompts)) {
    choice.tokens_per_ms = std::numeric_limits<double>::infinity();
  }
  if (!policy.enabled(mechanism::silence_limit)) {
    options.min_first_byte_timeout = absl::InfiniteDuration();
  }
  if (!policy.enabled(mechanism::chain_cache)) {
    state.turns = forwarding::TurnCache(0);
  }
  if (!policy.enabled(mechanism::avoidance)) {
    discovery::HealthOptions health;
    health.failure_threshold = std::numeric_limits<int>::max() / 2;
    state.runners = discovery::RunnerTable(health);
  }
  if (!policy.enabled(mechanism::program_admission)) {
    options.admission.m_max_load = std::numeric_limits<double>::infinity();
  }
  options.uses_turn_places = policy.enabled(mechanism::turn_places);
  options.reads_replicas = policy.enabled(mechanism::replica_chains);
}

/// Enables the mechanisms for deployments that must bear the loss of a zone.
forwarding::overload_options OverloadOptions(const RoleSettings& settings) {
  forwarding::overload_options options;
  if (settings.tolerated_zone_failures == 0) {
    return options;
  }
  const policy_switches& policy = settings.policy;
  options.m_zone_isolation = policy.enabled(mechanism::zone_isolation);
  options.m_zone_reachability = policy.enabled(mechanism::zone_reachability);
  options.m_rank_admission = policy.enabled(mechanism::rank_admission);
  options.m_adaptive_limit = policy.enabled(mechanism::adaptive_limit);
  options.m_waiting_programs = policy.enabled(mechanism::waiting_programs);
  options.m_runner_speeds = policy.enabled(mechanism::runner_speeds);
  options.m_memory_placement = policy.enabled(mechanism::memory_placement);
  options.m_load_bound = policy.enabled(mechanism::load_bound);
  return options;
}

/// Errors are only logged: the settings were validated when they were read.
void ApplyPolicyParameters(const std::string& parameters, forwarding::GatewayState& state) {
  std::string fault = Recover<policy_error>(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(set_policy_parameters(parameters, state.options));
        return std::string();
      },
      [](const policy_error& error) { return error.m_detail; });
  if (!fault.empty()) {
    state.log.Write(Line("settings_faulty").Text("detail", fault));
  }
}

turn_ledger::LedgerClientOptions LedgerOptions(const policy_switches& policy) {
  turn_ledger::LedgerClientOptions options;
  if (!policy.enabled(mechanism::silence_refusal)) {
    options.max_waiting = std::numeric_limits<std::size_t>::max();
  }
  return options;
}

}  // namespace

absl::Duration MaxDrainingRunnerUse(absl::Duration drain) {
  return std::max(absl::ZeroDuration(), drain - kDrainNoticeLag);
}

GatewayRole::GatewayRole(wire::EventLoop& loop, const RoleSettings& settings,
                         const PlatformFormats& formats, store::MetadataStore& store,
                         event_log::EventLog& log)
    : loop_(loop),
      settings_(settings),
      formats_(formats),
      store_(store),
      log_(log),
      state_(std::make_shared<forwarding::GatewayState>(loop.context(), log, formats.headers(),
                                                        formats.key_hasher(), settings.zone)),
      transport_(
          loop, [this](const std::string& payload) { OnFrame(payload); },
          [this](const std::string& payload) { exchange_.on_datagram(payload); },
          [this](const wire::Endpoint& peer, absl::Time) { state_->ledger->OnReplicaDown(peer); }),
      bulk_transport_(
          loop, [](const std::string&) {}, [](const std::string&) {},
          [](const wire::Endpoint&, absl::Time) {}),
      link_(
          transport_, [this] { return Self(); }, log,
          [this](const wire::Endpoint& peer, std::uint64_t request) {
            state_->ledger->OnUnsupported(peer, request);
          }),
      frontend_(
          loop.context(),
          [state = state_](std::shared_ptr<async_http::Exchange> exchange) {
            return forwarding::Forward(state, std::move(exchange));
          },
          {[this](unsigned status, absl::string_view reason) {
             log_.Write(Line("request_rejected").Number("status", status).Text("reason", reason));
           },
           [this](absl::string_view reason) {
             log_.Write(Line("connection_failed").Text("reason", reason));
           }}),
      readiness_server_(loop.context(),
                        [this](std::shared_ptr<async_http::Exchange> exchange) {
                          return ServeReadiness(std::move(exchange));
                        }),
      metrics_server_(loop.context(),
                      [this](std::shared_ptr<async_http::Exchange> exchange) {
                        return ServeMetrics(std::move(exchange));
                      }),
      configuration_(
          loop.context(), store, formats.OperatorPrefix(),
          [this](const store::StoreChange& change) { OnOperatorChange(change); },
          [this](bool reachable, store::StoreStatus status) {
            exchange_.on_store_reachability(reachable);
            OnStoreReachability("configuration", configuration_, reachable, status);
          },
          OperatorWatchOptions(settings)),
      runners_(
          loop.context(), store, formats.RunnersPrefix(),
          [this](const store::StoreChange& change) { OnRunnerChange(change); },
          [this](bool reachable, store::StoreStatus status) {
            OnStoreReachability("runners", runners_, reachable, status);
          },
          BoundedStalenessWatchOptions(settings)),
      ledger_directory_(
          loop.context(), store, kLedgerPrefix,
          [this](const store::StoreChange&) { OnLedgerDirectoryChange(); },
          [this](bool reachable, store::StoreStatus status) {
            OnStoreReachability("ledger directory", ledger_directory_, reachable, status);
          },
          LongWatchOptions(settings)),
      layout_record_(ledger_directory_, log),
      aggregators_(
          loop.context(), store, kAggregatorsPrefix,
          [this](const store::StoreChange&) { exchange_.on_slots_change(); },
          [this](bool reachable, store::StoreStatus status) {
            OnStoreReachability("aggregators", aggregators_, reachable, status);
          },
          AggregatorWatchOptions(settings)),
      exchange_(
          loop.context(), settings, store, transport_, bulk_transport_,
          {configuration_, runners_, ledger_directory_, aggregators_, formats.ConfigurationKey()},
          *state_, log),
      ticker_(loop, kTickInterval, log, [this](absl::Time now) { Tick(now); }) {
  state_->options.max_draining_runner_use = MaxDrainingRunnerUse(settings.runner_drain_period);
  DisableMechanisms(settings.policy, *state_);
  state_->options.overload = OverloadOptions(settings);
  // A deployment of a single zone has no other zone that could serve the clients.
  zone_isolation_ = state_->options.overload.m_zone_isolation && settings.regions.size() > 1;
  if (zone_isolation_) {
    readiness_options_.m_zone_isolation = true;
    readiness_monitor_ = readiness_monitor(readiness_options_);
    reaches_ledger_ = false;
    frontend_.AskToClose(true);
  }
  ApplyPolicyParameters(settings.policy_parameters, *state_);
  state_->ledger = std::make_unique<turn_ledger::LedgerClient>(
      loop.context(),
      [this](const wire::Endpoint& to, const turn_ledger::LedgerRequest& request) {
        link_.send_request(to, request);
      },
      LedgerOptions(settings.policy), state_->random.NextId() >> 16U);
  state_->quotas = std::make_unique<forwarding::quota_client>(
      loop.context(), *state_->ledger, settings.quota, [this] { return state_->gateway_count; },
      [this] {
        return state_->options.overload.m_tenant_shares &&
               state_->admissions.overloaded(SteadyInstant());
      });
  state_->slow_starts = std::make_unique<forwarding::slow_start_limiter>(*state_->quotas);
  state_->crashes = std::make_shared<forwarding::crash_tracker>(
      loop.context(), *state_->ledger, log, /*restarted=*/!settings.first_start);
  state_->crashes->on_alert(
      [this](const ServiceName& service) { exchange_.announce_runner_end(service); });
  state_->regions = settings.regions;
  if (state_->options.overload.m_zone_reachability) {
    state_->ObserveReachability();
  }
  state_->chains = std::make_unique<turn_ledger::chain_reader>(
      loop.context(),
      [this](const wire::Endpoint& to, const turn_ledger::chain_request& request) {
        link_.send_request(to, request);
      },
      ZoneName(settings.zone), state_->random.NextId() >> 16U);
  state_->confirm_runners = [this] { return ConfirmRunners(); };
  state_->on_placement = [this](const forwarding::PromptPart& part, std::uint32_t runner) {
    exchange_.record_placement(part, runner);
  };
}

void GatewayRole::LimitClients() {
  async_http::ServerLimits& clients = frontend_.limits();
  clients.request_memory = settings_.memory_bytes / kRequestMemoryDivisor;
  std::size_t by_descriptors = settings_.max_descriptors > 2 * kReservedDescriptors
                                   ? settings_.max_descriptors - kReservedDescriptors
                                   : settings_.max_descriptors / 2;
  std::size_t by_memory = settings_.memory_bytes / kConnectionMemoryDivisor / kConnectionBytes;
  clients.connections = std::min(by_descriptors, by_memory);
  state_->pool.SetLimit(settings_.max_descriptors > 2 * kReservedDescriptors
                            ? kRunnerDescriptors
                            : settings_.max_descriptors / 4);
  for (async_http::Server* endpoint : {&readiness_server_, &metrics_server_}) {
    async_http::ServerLimits& limits = endpoint->limits();
    limits.connections = kInternalEndpointConnections;
    limits.request_memory = kInternalEndpointMemory;
    limits.body_bytes = 0;
    limits.response_timeout = kResponseGrace;
  }
}

Result<void> GatewayRole::Listen() {
  if (!transport_.is_listening()) {
    BOOST_LEAF_AUTO(bound, transport_.Listen({settings_.address, settings_.internal_port}));
    settings_.internal_port = bound.port;
  }
  if (!frontend_.is_listening()) {
    BOOST_LEAF_CHECK(frontend_.Listen(settings_.frontend));
  }
  if (!readiness_server_.is_listening()) {
    BOOST_LEAF_CHECK(readiness_server_.Listen(settings_.readiness));
  }
  if (settings_.metrics && !metrics_server_.is_listening()) {
    BOOST_LEAF_CHECK(metrics_server_.Listen(*settings_.metrics));
  }
  return {};
}

Result<void> GatewayRole::Start() {
  transport_.SetUnsentLimit(settings_.memory_bytes / kFrameMemoryDivisor);
  transport_.SetReceiveLimit(settings_.memory_bytes / kReceivedMemoryDivisor);
  transport_.SetConnectionLimit(settings_.max_descriptors / 2);
  bulk_transport_.SetUnsentLimit(settings_.memory_bytes / kFrameMemoryDivisor);
  bulk_transport_.SetSendBuffer(bulk_send_buffer);
  state_->response_buffers.set_limit(settings_.memory_bytes / kResponseMemoryDivisor);
  LimitClients();
  BOOST_LEAF_CHECK(Listen());
  exchange_.start(settings_.internal_port);
  aggregators_.Start();
  configuration_.Start();
  runners_.Start();
  ledger_directory_.Start();
  ticker_.Start();
  return {};
}

Machine GatewayRole::Self() const {
  Machine self;
  self.name = settings_.node;
  self.endpoint = {settings_.address, settings_.internal_port};
  self.zone = ZoneName(settings_.zone);
  return self;
}

// ---- Store changes ----

void GatewayRole::OnStoreReachability(const char* label, const store::PrefixMirror& mirror,
                                      bool reachable, store::StoreStatus status) {
  log_.Write(DescribeStoreReachability(label, mirror, reachable, status));
  if (reachable) {
    exchange_.on_store_recovered();
  }
}

void GatewayRole::OnOperatorChange(const store::StoreChange& change) {
  if (change.key == formats_.ConfigurationKey()) {
    if (change.value) {
      ApplyConfiguration(*change.value, change.revision);
    }
    return;
  }
  if (std::optional<ZoneName> zone = formats_.EvacuatedZone(change.key)) {
    ApplyEvacuation(*zone, change.value.has_value(), change.revision);
  }
}

void GatewayRole::ApplyConfiguration(const std::string& text, store::Revision revision) {
  auto configuration = formats_.ReadConfiguration(text);
  if (!configuration) {
    log_.Write(
        Line("configuration_unreadable").Number("revision", static_cast<std::int64_t>(revision)));
    return;
  }
  std::uint64_t present = state_->routes ? state_->routes->configuration().version : 0;
  if (state_->routes && configuration->version < present) {
    log_.Write(Line("configuration_older")
                   .Number("version", static_cast<std::int64_t>(configuration->version)));
    return;
  }
  async_http::ServerLimits& limits = frontend_.limits();
  limits.header_bytes = configuration->limits.header_bytes;
  limits.body_bytes = configuration->limits.body_bytes;
  limits.header_timeout = configuration->limits.header_timeout;
  limits.idle_timeout = configuration->limits.idle_timeout;
  absl::Duration longest = absl::ZeroDuration();
  for (const forwarding::Route& route : configuration->routes) {
    longest = std::max(longest, route.timeout);
  }
  limits.response_timeout = longest + kResponseGrace;
  std::chrono::milliseconds lag = exchange_.configuration_lag();
  state_->metrics.ObserveConfigurationLag(absl::FromChrono(lag));
  log_.Write(
      Line("configuration_applied")
          .Number("version", static_cast<std::int64_t>(configuration->version))
          .Number("routes", static_cast<std::int64_t>(configuration->routes.size()))
          .Number("tenants", static_cast<std::int64_t>(configuration->tenants.tenants().size()))
          .Number("revision", static_cast<std::int64_t>(revision))
          .Number("lag_ms", lag.count()));
  for (const std::string& fault : configuration->tenants.errors()) {
    log_.Write(Line("tenant_faulty")
                   .Number("version", static_cast<std::int64_t>(configuration->version))
                   .Text("detail", fault));
  }
  state_->lease.set_revision(revision);
  state_->routes = std::make_shared<forwarding::RouteTable>(std::move(*configuration));
  state_->prerequisite_changed.Notify();
  exchange_.confirm_configuration();
}

void GatewayRole::ApplyEvacuation(const ZoneName& zone, bool evacuated, store::Revision revision) {
  discovery::EvacuatedZones& zones = state_->evacuated_zones;
  bool changed = evacuated ? zones.Add(zone) : zones.Remove(zone);
  if (!changed) {
    return;
  }
  log_.Write(Line(evacuated ? "zone_evacuated" : "zone_evacuation_ended")
                 .Text("zone", zone.value)
                 .Flag("known_zone", settings_.regions.contains(zone))
                 .Number("evacuated_zones", static_cast<std::int64_t>(zones.size()))
                 .Number("revision", static_cast<std::int64_t>(revision)));
  if (!evacuated) {
    StartSlowly(zone);
  }
}

void GatewayRole::StartSlowly(const ZoneName& zone) {
  if (state_->routes == nullptr) {
    return;  // No requests were sent yet.
  }
  absl::Time now = SteadyNow();
  for (auto& [id, runner] : state_->runners.all()) {
    const forwarding::Service* service =
        state_->routes->configuration().FindService(runner.runner.service);
    if (runner.runner.zone == zone && service != nullptr) {
      runner.MarkCold(now + service->slow_start);
    }
  }
}

void GatewayRole::OnRunnerChange(const store::StoreChange& change) {
  absl::Time now = SteadyNow();
  auto runner = change.value ? formats_.ReadRunner(change.key, *change.value) : std::nullopt;
  if (!runner) {
    if (change.value) {
      log_.Write(Line("runner_unreadable").Text("key", change.key));
    }
    RemoveRunner(change.key);
    return;
  }
  const discovery::RunnerState* known = state_->runners.Find(runner->id);
  bool first_read = !runners_read_ && known == nullptr;
  bool changed = known == nullptr || known->runner.draining != runner->draining || known->gone ||
                 known->runner.version != runner->version ||
                 runner->cold_for > absl::ZeroDuration();
  if (changed && !first_read) {
    log_.Write(Line("runner_known")
                   .Text("runner", runner->id.value)
                   .Text("service", runner->service.value)
                   .Text("address", runner->endpoint.ToString())
                   .Text("version", runner->version)
                   .Number("cold_ms", absl::ToInt64Milliseconds(runner->cold_for))
                   .Flag("draining", runner->draining));
  }
  std::string previous_process = known == nullptr ? "" : forwarding::process_of(known->runner);
  if (state_->runners.Upsert(now, *runner)) {
    DropPreviousProcessState(runner->id);
    state_->crashes->on_end(previous_process, runner->service);
  }
  state_->crashes->on_replaced(
      [&](const std::string& process) { return HasTakenOver(*runner, process); }, runner->service);
}

void GatewayRole::RecordFirstRunners() {
  if (runners_read_ || !runners_.complete()) {
    return;
  }
  runners_read_ = true;
  state_->runners_read = true;
  absl::Time now = SteadyNow();
  bool nothing_before = settings_.first_start && now - created_at_ <= kFirstReadTime;
  state_->runners.SetHistoryStart(nothing_before ? absl::InfinitePast() : now);
  std::map<std::string, int> counts;
  for (const auto& [id, state] : state_->runners.all()) {
    ++counts[absl::StrCat(state.runner.service.value, " ", state.runner.version)];
  }
  log_.Write(Line("runners_read")
                 .Number("runners", static_cast<std::int64_t>(state_->runners.all().size()))
                 .Text("by_version", absl::StrJoin(counts, ",", absl::PairFormatter(" "))));
}

Task<bool> GatewayRole::ConfirmRunners() {
  bool confirmed = co_await runners_.Confirm();
  RecordFirstRunners();
  co_return confirmed;
}

bool GatewayRole::HasTakenOver(const discovery::Runner& runner, const std::string& process) {
  discovery::RunnerId id(process.substr(0, process.find('@')));
  const discovery::RunnerState* previous = state_->runners.Find(id);
  return previous != nullptr && id != runner.id && previous->runner.endpoint == runner.endpoint;
}

void GatewayRole::RemoveRunner(const std::string& key) {
  absl::string_view id = key;
  absl::ConsumePrefix(&id, formats_.RunnersPrefix());
  discovery::RunnerId runner{std::string(id)};
  const discovery::RunnerState* known = state_->runners.Find(runner);
  if (known == nullptr) {
    return;  // The record was never readable.
  }
  if (!known->IsDraining()) {
    state_->crashes->on_end(forwarding::process_of(known->runner), known->runner.service);
  }
  state_->runners.Remove(SteadyNow(), runner);
  state_->pool.CloseIdleConnections(runner);
  log_.Write(Line("runner_gone").Text("runner", id));
}

void GatewayRole::DropPreviousProcessState(const discovery::RunnerId& runner) {
  state_->pool.CloseIdleConnections(runner);
  state_->prefixes.EvictRunner(state_->runners.Find(runner)->short_id);
  log_.Write(Line("runner_started_again").Text("runner", runner.value));
}

void GatewayRole::OnLedgerDirectoryChange() {
  if (!layout_update_pending_) {
    layout_update_pending_ = true;
    loop_.Post([this] {
      layout_update_pending_ = false;
      UpdateLedgerLayout();
    });
  }
}

void GatewayRole::UpdateLedgerLayout() {
  std::vector<Machine> machines;
  for (const auto& [key, item] : ledger_directory_.items()) {
    if (!absl::StartsWith(key, kLedgerMachinesPrefix)) {
      continue;  // Not a machine record.
    }
    auto machine = wire::Decode<Machine>(item.value);
    if (!machine || machine->name.empty()) {
      log_.Write(Line("directory_record_unreadable").Text("key", key));
      continue;
    }
    machines.push_back(*machine);
  }
  log_.Write(Line("ledger_directory_changed")
                 .Number("machines", static_cast<std::int64_t>(machines.size())));
  auto in_own_zone = std::count_if(
      machines.begin(), machines.end(),
      [this](const Machine& machine) { return machine.zone == ZoneName(settings_.zone); });
  own_zone_has_quorum_ = 2 * static_cast<std::size_t>(in_own_zone) > machines.size();
  SetLedgerGroups(machines);
  exchange_.set_storage_machines(std::move(machines));
}

void GatewayRole::SetLedgerGroups(const std::vector<Machine>& machines) {
  const turn_ledger::group_layout* layout = layout_record_.layout();
  if (layout == nullptr) {
    return;
  }
  // Written once, at random, and known to the deployment's own processes only.
  state_->fingerprints.emplace(wire::Encode(*layout));
  std::vector<std::vector<wire::Endpoint>> groups;
  for (std::size_t index = 0; index < layout->size(); ++index) {
    const consensus::Configuration& initial_members = (*layout)[index];
    std::vector<Machine> ordered = turn_ledger::initial_members_first(machines, initial_members);
    std::vector<wire::Endpoint>& endpoints = groups.emplace_back();
    for (const Machine& machine : ordered) {
      endpoints.push_back(machine.endpoint);
    }
    state_->chains->set_machines(turn_ledger::group_at(index), std::move(ordered),
                                 initial_members.voters.size());
  }
  state_->ledger->SetGroups(std::move(groups));
  state_->prerequisite_changed.Notify();
}

// ---- Peers and the ledger ----

void GatewayRole::OnFrame(const std::string& payload) {
  std::optional<turn_ledger::decoded_message> read = link_.read(payload);
  if (!read) {
    return;
  }
  turn_ledger::Envelope& envelope = read->m_envelope;
  if (const auto* reply = std::get_if<turn_ledger::LedgerReply>(&envelope.body)) {
    RecordLedgerReply(envelope.from, *reply);
    state_->ledger->OnReply(envelope.from.endpoint, *reply);
  } else if (auto* chain = std::get_if<turn_ledger::chain_reply>(&envelope.body)) {
    state_->chains->on_reply(std::move(*chain));
  } else if (const auto* news = std::get_if<store::news_reply>(&envelope.body)) {
    exchange_.on_changes(*news);
  } else if (auto* request = std::get_if<turn_ledger::LedgerRequest>(&envelope.body)) {
    async_http::asio::co_spawn(
        loop_.context(), RelayToLedger(envelope.from.endpoint, std::move(*request), read->m_layout),
        async_http::asio::detached);
  }
}

Task<void> GatewayRole::RelayToLedger(wire::Endpoint peer, turn_ledger::LedgerRequest request,
                                      wire::Layout layout) {
  bool settlement = std::holds_alternative<turn_ledger::SettleTurn>(request.operation);
  absl::Duration timeout =
      settlement ? state_->options.min_commit_timeout : state_->options.ledger_timeout;
  absl::Time deadline = SteadyNow() + timeout;
  turn_ledger::Programs programs = turn_ledger::ProgramsOf(request);
  turn_ledger::LedgerQueries queries{std::move(request.origin), std::move(request.crash_account)};
  turn_ledger::CallResult result = co_await state_->ledger->Call(
      request.group, std::move(request.operation), deadline, turn_ledger::Relaying::kDirectOnly,
      programs, std::move(queries));
  bool answered = result.status == turn_ledger::CallStatus::kDone ||
                  result.status == turn_ledger::CallStatus::kOverloaded;
  if (!answered) {
    co_return;  // The peer retries elsewhere.
  }
  turn_ledger::LedgerReply reply;
  reply.request = request.request;
  reply.status = result ? turn_ledger::ReplyStatus::kDone : turn_ledger::ReplyStatus::kOverloaded;
  reply.result = std::move(result.result);
  link_.send_reply(peer, std::move(reply), layout);
}

// ---- Periodic work ----

ledger_observation GatewayRole::ObserveLedger() {
  ledger_observation observation;
  observation.m_now = std::chrono::steady_clock::now();
  observation.m_groups = state_->ledger->probed_groups();
  observation.m_unresponsive_groups =
      state_->ledger->UnresponsiveGroups(absl::FromChrono(readiness_options_.m_unresponsive_after));
  observation.m_peers = exchange_.peer_count();
  observation.m_peers_without_ledger = exchange_.peers_without_ledger();
  if (zone_isolation_) {
    observation.m_silent_groups =
        state_->ledger->UnresponsiveGroups(absl::FromChrono(readiness_options_.m_silent_after));
    observation.m_ledger_answered = ledger_answered_;
    observation.m_other_zones = UpdateZoneContact();
    observation.m_own_zone_has_quorum = own_zone_has_quorum_;
  }
  return observation;
}

zone_contact_state GatewayRole::UpdateZoneContact() {
  auto now = std::chrono::steady_clock::now();
  if (exchange_.take_other_zone_answered()) {
    zone_contact_.record_answer(now);
  }
  if (zone_contact_.update(now) && exchange_.ask_other_zones()) {
    zone_contact_.record_question(now);
  }
  return zone_contact_.state();
}

void GatewayRole::RecordLedgerReply(const Machine& from, const turn_ledger::LedgerReply& reply) {
  if (!from.zone.value.empty() && from.zone != ZoneName(settings_.zone)) {
    zone_contact_.record_answer(std::chrono::steady_clock::now());
  }
  ledger_answered_ = ledger_answered_ || reply.status == turn_ledger::ReplyStatus::kDone ||
                     reply.status == turn_ledger::ReplyStatus::kOverloaded;
}

std::vector<wire::Endpoint> GatewayRole::ChooseRelays() const {
  // Relays are used only if the ledger is lost by this gateway alone: while it recovers for all
  // gateways, they would double its load.
  if (!readiness_monitor_.isolated_from_ledger() || !settings_.policy.enabled(mechanism::relays)) {
    return {};
  }
  if (auto since = readiness_monitor_.isolated_since()) {
    return exchange_.own_peers_with_ledger(*since + kRelayTrustDelay, kMaxRelays);
  }
  return exchange_.peers_with_ledger(kMaxRelays);
}

void GatewayRole::UpdateReadiness() {
  if (!stopping_) {  // A stop waits for pending calls; a probe would prolong it.
    state_->ledger->ProbeIdleGroups(zone_isolation_ ? kProbeAfterWithIsolation : kProbeAfter);
  }
  ledger_observation observation = ObserveLedger();
  bool reaches =
      readiness_monitor_.update(observation) || !settings_.policy.enabled(mechanism::readiness);
  std::vector<wire::Endpoint> relays = ChooseRelays();
  state_->ledger_relayed = !relays.empty();
  bool rejects = !reaches && readiness_monitor_.rejects_turns() && relays.empty();
  state_->ledger->SetRelays(std::move(relays), !reaches);
  if (reaches != reaches_ledger_) {
    reaches_ledger_ = reaches;
    std::size_t known_peers =
        zone_isolation_ ? readiness_monitor_.known_peers() : observation.m_peers;
    frontend_.AskToClose(!reaches);
    log_.Write(
        Line("readiness_changed")
            .Flag("ready", ready())
            .Text("reason", name_of(readiness_monitor_.state()))
            .Number("groups", static_cast<std::int64_t>(observation.m_groups))
            .Number("silent_groups", static_cast<std::int64_t>(observation.m_unresponsive_groups))
            .Number("peers", static_cast<std::int64_t>(observation.m_peers))
            .Number("known_peers", static_cast<std::int64_t>(known_peers))
            .Number("peers_without_ledger",
                    static_cast<std::int64_t>(observation.m_peers_without_ledger)));
  }
  // After the call of AskToClose, so that rejections ask to close the connection.
  if (rejects != state_->isolation.closed()) {
    state_->isolation.set(rejects ? readiness_monitor_.isolated_since() : std::nullopt);
    state_->prerequisite_changed.Notify();
  }
}

void GatewayRole::Tick(absl::Time now) {
  exchange_.tick(readiness_monitor_.ledger_unreachable());
  RecordFirstRunners();
  UpdateReadiness();
  if (now >= next_housekeeping_) {
    next_housekeeping_ = now + kHousekeepingInterval;
    state_->runners.Prune(now, kGoneRunnerRetention);
    state_->pool.Prune(now);
    state_->crashes->tick();
  }
  log_.Flush();
  if (stopping_) {
    StopIfIdle(now);
  }
}

void GatewayRole::RequestStop() {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  stop_requested_at_ = SteadyNow();
  frontend_.BeginDrain();
  log_.Write(Line("stopping")
                 .Number("active", static_cast<std::int64_t>(frontend_.stats().active_exchanges)));
}

void GatewayRole::StopIfIdle(absl::Time now) {
  absl::Duration elapsed = now - stop_requested_at_;
  bool out_of_rotation = elapsed >= std::min(kMinDrain, settings_.stop_grace / 2);
  if (out_of_rotation) {
    // No new clients arrive any more. A request that crosses the close was not accepted.
    frontend_.CloseIdle();
  }
  // An open connection may hold a received request that is not counted as active yet.
  const async_http::ServerStats& clients = frontend_.stats();
  bool idle = clients.active_exchanges == 0 && clients.open_connections == 0 &&
              state_->ledger->pending() == 0;
  bool deadline_passed = elapsed >= settings_.stop_grace - kStopMargin;
  if ((idle && out_of_rotation) || deadline_passed) {
    log_.Write(Line("stopped").Number(
        "active", static_cast<std::int64_t>(frontend_.stats().active_exchanges)));
    loop_.Stop();
  }
}

bool GatewayRole::ready() const {
  return state_->routes != nullptr && !stopping_ && reaches_ledger_;
}

// ---- Readiness and metrics endpoints ----

void GatewayRole::UpdateStoreMetrics() {
  struct NamedMirror {
    const char* name;
    const store::PrefixMirror& mirror;
  };
  const NamedMirror mirrors[] = {{"configuration", configuration_},
                                 {"runners", runners_},
                                 {"ledger_directory", ledger_directory_},
                                 {"aggregators", aggregators_}};
  for (const NamedMirror& named : mirrors) {
    absl::Duration waiting = named.mirror.PendingCallTime().value_or(absl::ZeroDuration());
    state_->metrics.Set(absl::StrCat("copy_age_seconds_", named.name),
                        absl::ToDoubleSeconds(named.mirror.Staleness()));
    state_->metrics.Set(absl::StrCat("copy_call_waits_seconds_", named.name),
                        absl::ToDoubleSeconds(waiting));
  }
}

Task<void> GatewayRole::ServeReadiness(std::shared_ptr<async_http::Exchange> exchange) {
  async_http::HttpHead head = async_http::MakeHead(ready() ? 200U : 503U);
  co_await exchange->Send(std::move(head), ready() ? "ready" : "not ready");
}

void GatewayRole::UpdateAdmissionMetrics() {
  for (const auto& [service, status] : state_->admissions.status()) {
    state_->metrics.Set(absl::StrCat("admission_limit_", service.value), status.m_limit);
    state_->metrics.Set(absl::StrCat("admission_slowdown_", service.value),
                        status.m_slowdown.value_or(0));
    for (const auto& [reason, count] : status.m_refusals) {
      state_->metrics.Set(
          absl::StrCat("programs_refused_", scheduling::name_of(reason), "_", service.value),
          static_cast<double>(count));
    }
  }
}

void GatewayRole::UpdateCrashMetrics() {
  const forwarding::crash_stats& counters = state_->crashes->stats();
  forwarding::GatewayMetrics& metrics = state_->metrics;
  metrics.Set("suspect_requests", static_cast<double>(state_->crashes->suspects()));
  metrics.Set("suspects_sent", static_cast<double>(counters.m_suspects_sent));
  metrics.Set("suspects_held_back", static_cast<double>(counters.m_requests_held_back));
  metrics.Set("runner_losses_counted", static_cast<double>(counters.m_losses_counted));
  metrics.Set("runner_losses_cleared", static_cast<double>(counters.m_losses_cleared));
  metrics.Set("runner_losses_open", static_cast<double>(state_->crashes->open_losses()));
  metrics.Set("crash_questions", static_cast<double>(counters.m_questions));
  metrics.Set("runner_end_alerts", static_cast<double>(counters.m_alerts));
}

Task<void> GatewayRole::ServeMetrics(std::shared_ptr<async_http::Exchange> exchange) {
  UpdateAdmissionMetrics();
  UpdateCrashMetrics();
  forwarding::GatewayMetrics& metrics = state_->metrics;
  metrics.Set("open_connections", static_cast<double>(frontend_.stats().open_connections));
  metrics.Set("active_requests", static_cast<double>(frontend_.stats().active_exchanges));
  metrics.Set("requests_with_ambiguous_framing",
              static_cast<double>(frontend_.stats().rejected_framings));
  metrics.Set("request_memory_bytes", static_cast<double>(frontend_.stats().request_memory));
  metrics.Set("requests_rejected_for_memory",
              static_cast<double>(frontend_.stats().rejected_for_memory));
  metrics.Set("connections_evicted_for_memory",
              static_cast<double>(frontend_.stats().evicted_for_memory));
  metrics.Set("connections_evicted_for_others",
              static_cast<double>(frontend_.stats().evicted_for_connections));
  metrics.Set("connections_failed", static_cast<double>(frontend_.stats().failed_connections));
  metrics.Set("log_lines_dropped", static_cast<double>(log_.stats().dropped_lines));
  metrics.Set("ledger_retries", static_cast<double>(state_->ledger->retries()));
  metrics.Set("quota_questions", static_cast<double>(state_->quotas->batches_sent()));
  metrics.Set("quota_questions_overloaded",
              static_cast<double>(state_->quotas->overloaded_batches_sent()));
  metrics.Set("quota_own_decisions", static_cast<double>(state_->quotas->local_decisions()));
  metrics.Set("ledger_relayed", static_cast<double>(state_->ledger->relayed()));
  metrics.Set("store_calls", static_cast<double>(store_.calls()));
  UpdateStoreMetrics();
  metrics.Set("response_bytes_buffered", static_cast<double>(state_->response_buffers.used()));
  metrics.Set("evacuated_zones", static_cast<double>(state_->evacuated_zones.size()));
  metrics.Set("unreachable_zones",
              state_->reachability == nullptr
                  ? 0
                  : static_cast<double>(state_->reachability->unreachable_zones()));
  const auto& routes = state_->routes;
  metrics.Set("configuration_version",
              routes ? static_cast<double>(routes->configuration().version) : 0);
  metrics.Set("configuration_lag_seconds",
              absl::ToDoubleSeconds(absl::FromChrono(exchange_.configuration_lag())));
  metrics.Set("known_runners", static_cast<double>(state_->runners.all().size()));
  discovery::ServiceBalance balance =
      state_->runners.Balance(SteadyInstant(), state_->options.overload.m_runner_speeds);
  metrics.Set("busiest_runner_to_mean", balance.busiest_to_mean);
  metrics.Set("slowest_relative_service_time", balance.slowest);
  metrics.Set("known_gateways", static_cast<double>(exchange_.peer_count() + 1));
  const exchange_stats& counters = exchange_.stats();
  metrics.Set("aggregates", exchange_.is_aggregator() ? 1 : 0);
  metrics.Set("aggregator_members", static_cast<double>(exchange_.member_count()));
  metrics.Set("reports_sent", static_cast<double>(counters.m_reports_sent));
  metrics.Set("reports_taken", static_cast<double>(counters.m_reports_received));
  metrics.Set("digests_sent", static_cast<double>(counters.m_digests_sent));
  metrics.Set("digests_taken", static_cast<double>(counters.m_digests_received));
  metrics.Set("reports_dropped", static_cast<double>(counters.m_reports_dropped));
  metrics.Set("without_digests", exchange_.receives_digests() ? 0 : 1);
  metrics.Set("summaries_sent", static_cast<double>(counters.m_summaries_sent));
  metrics.Set("changes_pushed", static_cast<double>(counters.m_changes_pushed));
  metrics.Set("changes_asked", static_cast<double>(counters.m_changes_queried));
  metrics.Set("readiness_state", static_cast<double>(readiness_monitor_.state()));
  metrics.Set("zone_questions_sent", static_cast<double>(counters.m_zone_questions_sent));
  metrics.Set("isolation_rejections", static_cast<double>(state_->isolation.rejections()));
  metrics.Set("lease_store_questions",
              static_cast<double>(exchange_.lease_counters().m_store_requests));
  metrics.Set("lease_peer_questions",
              static_cast<double>(exchange_.lease_counters().m_peer_requests));
  metrics.Set("lease_peer_answers", static_cast<double>(exchange_.lease_counters().m_peer_replies));
  metrics.Set("datagrams_unreadable", static_cast<double>(counters.m_datagrams_unreadable));
  metrics.Set("frames_unreadable", static_cast<double>(link_.stats().m_unreadable));
  metrics.Set("requests_dropped_for_unknown_peers", static_cast<double>(link_.stats().m_dropped));
  metrics.Set("peers_of_earlier_layouts", static_cast<double>(link_.earlier_peers()));
  metrics.Set("newest_layout", static_cast<double>(wire::kNewestLayout));
  metrics.Set("peer_bytes_unsent",
              static_cast<double>(transport_.unsent() + bulk_transport_.unsent()));
  metrics.Set("peer_bytes_sent", static_cast<double>(transport_.stats().bytes_sent +
                                                     bulk_transport_.stats().bytes_sent));
  metrics.Set("peer_bytes_received", static_cast<double>(transport_.stats().bytes_received));
  async_http::HttpHead head = async_http::MakeHead(200U);
  head.set("Content-Type", "text/plain; version=0.0.4");
  co_await exchange->Send(std::move(head), metrics.Text());
}

}  // namespace martenyard::roles
