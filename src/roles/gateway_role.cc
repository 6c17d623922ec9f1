#include "roles/gateway_role.h"

#include <algorithm>
#include <initializer_list>
#include <limits>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "base/clock.h"
#include "forwarding/forwarder.h"
#include "roles/contact_line.h"
#include "roles/policy/knobs.h"
#include "roles/store_watches.h"
#include "turn_ledger/groups/group_layout.h"
#include "wire/codec.h"

namespace martenyard::roles {

using async_http::Task;
using event_log::Line;
using turn_ledger::Machine;

namespace {

constexpr absl::Duration kTick = absl::Milliseconds(100);
constexpr absl::Duration kHousekeepingInterval = absl::Seconds(1);
constexpr absl::Duration kKeepGoneRunners = absl::Seconds(10);
/// A group of the ledger that answered nothing for this long is asked whether it is there.
constexpr absl::Duration kProbeAfter = absl::Milliseconds(250);
constexpr std::size_t kMostRelays = 4;
/// A stopping gateway still gets new connections until its readiness was asked for twice.
constexpr absl::Duration kLeastDrain = absl::Seconds(3);
/// Kept free between the process's own end and the platform's SIGKILL.
constexpr absl::Duration kStopMargin = absl::Milliseconds(700);
constexpr std::uint64_t kMemoryShareForBodies = 4;
/// Of the memory, for frames to peers that don't take them.
constexpr std::uint64_t kMemoryShareForFrames = 16;
constexpr std::size_t kDescriptorsKept = 1200;  // For runners, peers, files and the store.

/// At most, between the store's taking a notice and the arrival of a request that was sent on the
/// knowledge before it: the watch's spacing, a peer's news and the way to the runner.
constexpr absl::Duration kNoticeLag = absl::Milliseconds(800);

/// The slots change together when a fleet starts.
constexpr absl::Duration kSlotsWatchSpacing = absl::Milliseconds(500);

store::MirrorOptions WatchSlowly(const RoleSettings& settings) {
  store::MirrorOptions options = LongWatch(settings);
  options.watch_spacing = kSlotsWatchSpacing;
  return options;
}

}  // namespace

namespace {

/// Takes the switched-off mechanisms out of the options.
void ApplyPolicy(const policy_switches& policy, forwarding::GatewayState& state) {
  forwarding::ForwardingOptions& options = state.options;
  forwarding::ChoiceOptions& choice = options.choice;
  auto drop = [&policy](mechanism which, std::initializer_list<double*> costs) {
    for (double* cost : costs) {
      *cost = policy.on(which) ? *cost : 0;
    }
  };
  drop(mechanism::zone_cost, {&choice.other_zone_ms});
  drop(mechanism::home, {&choice.home_ms});
  drop(mechanism::waiting_cost, {&choice.engine_wait_ms, &choice.plain_wait_ms});
  drop(mechanism::active_cost, {&choice.active_cost_ms, &choice.plain_active_cost_ms});
  drop(mechanism::loss_rates,
       {&choice.repeatable_loss_ms, &choice.turn_loss_ms, &choice.call_loss_ms});
  if (!policy.on(mechanism::kept_prompts)) {
    choice.tokens_per_ms = std::numeric_limits<double>::infinity();
  }
  if (!policy.on(mechanism::silence_limit)) {
    options.least_silence = absl::InfiniteDuration();
  }
  if (!policy.on(mechanism::chain_cache)) {
    state.turns = forwarding::TurnCache(0);
  }
  if (!policy.on(mechanism::avoidance)) {
    discovery::HealthOptions health;
    health.failures_to_avoid = std::numeric_limits<int>::max() / 2;
    state.runners = discovery::RunnerTable(health);
  }
  if (!policy.on(mechanism::program_admission)) {
    options.admission.m_most_load = std::numeric_limits<double>::infinity();
  }
  options.uses_turn_places = policy.on(mechanism::turn_places);
  options.reads_replicas = policy.on(mechanism::replica_chains);
}

/// The settings were checked when they were read.
void ApplyKnobs(const std::string& knobs, forwarding::GatewayState& state) {
  std::string fault = Recover<policy_error>(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(set_knobs(knobs, state.options));
        return std::string();
      },
      [](const policy_error& error) { return error.m_detail; });
  if (!fault.empty()) {
    state.log.Write(Line("settings_faulty").Text("detail", fault));
  }
}

turn_ledger::LedgerClientOptions LedgerOptions(const policy_switches& policy) {
  turn_ledger::LedgerClientOptions options;
  if (!policy.on(mechanism::silence_refusal)) {
    options.most_waiting = std::numeric_limits<std::size_t>::max();
  }
  return options;
}

}  // namespace

absl::Duration LeavingRunnerUse(absl::Duration drain) {
  return std::max(absl::ZeroDuration(), drain - kNoticeLag);
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
          [this](const wire::Endpoint& peer, absl::Time) { state_->ledger->OnDead(peer); }),
      link_(
          transport_, [this] { return Self(); }, log,
          [this](const wire::Endpoint& peer, std::uint64_t request) {
            state_->ledger->OnUnsupported(peer, request);
          }),
      frontend_(loop.context(),
                [state = state_](std::shared_ptr<async_http::Exchange> exchange) {
                  return forwarding::Forward(state, std::move(exchange));
                }),
      readiness_(loop.context(),
                 [this](std::shared_ptr<async_http::Exchange> exchange) {
                   return AnswerReadiness(std::move(exchange));
                 }),
      metrics_(loop.context(),
               [this](std::shared_ptr<async_http::Exchange> exchange) {
                 return AnswerMetrics(std::move(exchange));
               }),
      configuration_(
          loop.context(), store, formats.ConfigurationKey(),
          [this](const store::StoreChange& change) { OnConfigurationChange(change); },
          [this](bool reachable, store::StoreStatus status) {
            exchange_.on_contact(reachable);
            OnContact("configuration", configuration_, reachable, status);
          },
          ProvedWatch(settings)),
      runners_(
          loop.context(), store, formats.RunnersPrefix(),
          [this](const store::StoreChange& change) { OnRunnerChange(change); },
          [this](bool reachable, store::StoreStatus status) {
            OnContact("runners", runners_, reachable, status);
          },
          ProvedWatch(settings)),
      ledger_directory_(
          loop.context(), store, kLedgerPrefix,
          [this](const store::StoreChange&) { OnLedgerDirectoryChange(); },
          [this](bool reachable, store::StoreStatus status) {
            OnContact("ledger directory", ledger_directory_, reachable, status);
          },
          LongWatch(settings)),
      founders_(ledger_directory_, log),
      aggregators_(
          loop.context(), store, kAggregators,
          [this](const store::StoreChange&) { exchange_.on_slots_change(); },
          [this](bool reachable, store::StoreStatus status) {
            OnContact("aggregators", aggregators_, reachable, status);
          },
          WatchSlowly(settings)),
      exchange_(loop.context(), settings, store, transport_,
                {configuration_, runners_, ledger_directory_, aggregators_}, *state_, log),
      ticker_(loop, kTick, log, [this](absl::Time now) { Tick(now); }) {
  state_->options.gone_usable = LeavingRunnerUse(settings.drain);
  ApplyPolicy(settings.policy, *state_);
  ApplyKnobs(settings.knobs, *state_);
  state_->ledger = std::make_unique<turn_ledger::LedgerClient>(
      loop.context(),
      [this](const wire::Endpoint& to, const turn_ledger::LedgerRequest& request) {
        link_.ask(to, request);
      },
      LedgerOptions(settings.policy), state_->random.NextId() >> 16U);
  state_->quotas = std::make_unique<forwarding::quota_client>(
      loop.context(), *state_->ledger, settings.quota, [this] { return state_->gateways; });
  state_->chains = std::make_unique<turn_ledger::chain_reader>(
      loop.context(),
      [this](const wire::Endpoint& to, const turn_ledger::chain_request& request) {
        link_.ask(to, request);
      },
      ZoneName(settings.zone), state_->random.NextId() >> 16U);
  state_->on_placement = [this](const forwarding::PromptPart& part, std::uint32_t runner) {
    exchange_.note_placement(part, runner);
  };
}

Result<void> GatewayRole::Start() {
  BOOST_LEAF_AUTO(bound, transport_.Listen({settings_.address, settings_.internal_port}));
  settings_.internal_port = bound.port;
  transport_.LimitUnsent(settings_.memory_bytes / kMemoryShareForFrames);
  frontend_.limits().buffered_body_bytes = settings_.memory_bytes / kMemoryShareForBodies;
  frontend_.limits().connections = settings_.descriptors > 2 * kDescriptorsKept
                                       ? settings_.descriptors - kDescriptorsKept
                                       : settings_.descriptors / 2;
  BOOST_LEAF_CHECK(frontend_.Listen(settings_.frontend));
  BOOST_LEAF_CHECK(readiness_.Listen(settings_.readiness));
  if (settings_.metrics) {
    BOOST_LEAF_CHECK(metrics_.Listen(*settings_.metrics));
  }
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

// ---- What the store tells ----

void GatewayRole::OnContact(const char* what, const store::PrefixMirror& mirror, bool reachable,
                            store::StoreStatus status) {
  log_.Write(DescribeStoreContact(what, mirror, reachable, status));
  if (reachable) {
    exchange_.on_store_back();
  }
}

void GatewayRole::OnConfigurationChange(const store::StoreChange& change) {
  if (!change.value || change.key != formats_.ConfigurationKey()) {
    return;
  }
  auto configuration = formats_.ReadConfiguration(*change.value);
  if (!configuration) {
    log_.Write(Line("configuration_unreadable")
                   .Number("revision", static_cast<std::int64_t>(change.revision)));
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
  log_.Write(
      Line("configuration_applied")
          .Number("version", static_cast<std::int64_t>(configuration->version))
          .Number("routes", static_cast<std::int64_t>(configuration->routes.size()))
          .Number("tenants", static_cast<std::int64_t>(configuration->tenants.tenants().size()))
          .Number("revision", static_cast<std::int64_t>(change.revision)));
  for (const std::string& fault : configuration->tenants.errors()) {
    log_.Write(Line("tenant_faulty")
                   .Number("version", static_cast<std::int64_t>(configuration->version))
                   .Text("detail", fault));
  }
  state_->lease.set_revision(change.revision);
  state_->routes = std::make_shared<forwarding::RouteTable>(std::move(*configuration));
  state_->informed.Notify();
  exchange_.confirm_configuration();
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
  bool news = known == nullptr || known->runner.draining != runner->draining || known->gone;
  if (news) {
    log_.Write(Line("runner_known")
                   .Text("runner", runner->id.value)
                   .Text("service", runner->service.value)
                   .Text("address", runner->endpoint.ToString())
                   .Flag("draining", runner->draining));
  }
  if (state_->runners.Upsert(now, *runner)) {
    ForgetEarlierLife(runner->id);
  }
}

void GatewayRole::RemoveRunner(const std::string& key) {
  absl::string_view id = key;
  absl::ConsumePrefix(&id, formats_.RunnersPrefix());
  discovery::RunnerId runner{std::string(id)};
  if (state_->runners.Find(runner) == nullptr) {
    return;  // The entry never named one.
  }
  state_->runners.Remove(SteadyNow(), runner);
  state_->pool.CloseAll(runner);
  log_.Write(Line("runner_gone").Text("runner", id));
}

void GatewayRole::ForgetEarlierLife(const discovery::RunnerId& runner) {
  state_->pool.CloseAll(runner);
  state_->prefixes.Forget(state_->runners.Find(runner)->short_id);
  log_.Write(Line("runner_started_again").Text("runner", runner.value));
}

void GatewayRole::OnLedgerDirectoryChange() {
  if (!layout_is_due_) {
    layout_is_due_ = true;
    loop_.Post([this] {
      layout_is_due_ = false;
      LayOutLedger();
    });
  }
}

void GatewayRole::LayOutLedger() {
  std::vector<Machine> machines;
  for (const auto& [key, item] : ledger_directory_.items()) {
    if (!absl::StartsWith(key, kLedgerMachines)) {
      continue;  // Another kind of record.
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
  SetLedgerGroups(machines);
  exchange_.set_storage(std::move(machines));
}

void GatewayRole::SetLedgerGroups(const std::vector<Machine>& machines) {
  const turn_ledger::group_layout* layout = founders_.layout();
  if (layout == nullptr) {
    return;
  }
  std::vector<std::vector<wire::Endpoint>> groups;
  for (std::size_t index = 0; index < layout->size(); ++index) {
    const consensus::Configuration& founders = (*layout)[index];
    std::vector<Machine> ordered = turn_ledger::members_first(machines, founders);
    std::vector<wire::Endpoint>& endpoints = groups.emplace_back();
    for (const Machine& machine : ordered) {
      endpoints.push_back(machine.endpoint);
    }
    state_->chains->set_machines(turn_ledger::group_at(index), std::move(ordered),
                                 founders.voters.size());
  }
  state_->ledger->SetGroups(std::move(groups));
  state_->informed.Notify();
}

// ---- Peers and the ledger ----

void GatewayRole::OnFrame(const std::string& payload) {
  std::optional<turn_ledger::read_message> read = link_.read(payload);
  if (!read) {
    return;
  }
  turn_ledger::Envelope& envelope = read->m_envelope;
  if (const auto* reply = std::get_if<turn_ledger::LedgerReply>(&envelope.body)) {
    state_->ledger->OnReply(envelope.from.endpoint, *reply);
  } else if (auto* chain = std::get_if<turn_ledger::chain_reply>(&envelope.body)) {
    state_->chains->on_reply(std::move(*chain));
  } else if (const auto* news = std::get_if<store::news_reply>(&envelope.body)) {
    exchange_.on_news(*news);
  } else if (auto* request = std::get_if<turn_ledger::LedgerRequest>(&envelope.body)) {
    async_http::asio::co_spawn(
        loop_.context(), RelayToLedger(envelope.from.endpoint, std::move(*request), read->m_layout),
        async_http::asio::detached);
  }
}

Task<void> GatewayRole::RelayToLedger(wire::Endpoint peer, turn_ledger::LedgerRequest request,
                                      wire::Layout layout) {
  bool settlement = std::holds_alternative<turn_ledger::SettleTurn>(request.operation);
  absl::Duration patience =
      settlement ? state_->options.commit_patience : state_->options.ledger_patience;
  absl::Time deadline = SteadyNow() + patience;
  turn_ledger::CallResult result = co_await state_->ledger->Call(
      request.group, std::move(request.operation), deadline, turn_ledger::Relaying::kDirectOnly,
      request.known_programs_only ? turn_ledger::Programs::kKnownOnly
                                  : turn_ledger::Programs::kAll);
  bool answered =
      result.end == turn_ledger::CallEnd::kDone || result.end == turn_ledger::CallEnd::kOverloaded;
  if (!answered) {
    co_return;  // The peer asks somebody else.
  }
  turn_ledger::LedgerReply reply;
  reply.request = request.request;
  reply.status = result ? turn_ledger::ReplyStatus::kDone : turn_ledger::ReplyStatus::kOverloaded;
  reply.result = std::move(result.result);
  link_.answer(peer, std::move(reply), layout);
}

// ---- Time ----

void GatewayRole::JudgeReadiness() {
  const readiness_options knobs;
  if (!stopping_) {  // A stop waits for the calls that are under way.
    state_->ledger->ProbeQuietGroups(kProbeAfter);
  }
  readiness_view view;
  view.m_now = std::chrono::steady_clock::now();
  view.m_groups = state_->ledger->probed_groups();
  view.m_silent_groups = state_->ledger->SilentGroups(absl::FromChrono(knobs.m_silent_after));
  view.m_peers = exchange_.peers();
  view.m_peers_without_ledger = exchange_.peers_without_ledger();
  bool reaches = ledger_readiness_.judge(view) || !settings_.policy.on(mechanism::readiness);
  std::vector<wire::Endpoint> relays;
  // While a ledger recovers for all, its silence is no reason to send every call twice.
  if (ledger_readiness_.lost_alone() && settings_.policy.on(mechanism::relays)) {
    relays = exchange_.peers_with_ledger(kMostRelays);
  }
  state_->relaying = !relays.empty();
  state_->ledger->SetRelays(std::move(relays), !reaches);
  if (reaches == reaches_ledger_) {
    return;
  }
  reaches_ledger_ = reaches;
  frontend_.AskToClose(!reaches);
  log_.Write(
      Line("readiness_changed")
          .Flag("ready", ready())
          .Number("groups", static_cast<std::int64_t>(view.m_groups))
          .Number("silent_groups", static_cast<std::int64_t>(view.m_silent_groups))
          .Number("peers", static_cast<std::int64_t>(view.m_peers))
          .Number("peers_without_ledger", static_cast<std::int64_t>(view.m_peers_without_ledger)));
}

void GatewayRole::Tick(absl::Time now) {
  exchange_.tick(ledger_readiness_.ledger_silent());
  JudgeReadiness();
  if (now >= next_housekeeping_) {
    next_housekeeping_ = now + kHousekeepingInterval;
    state_->runners.Prune(now, kKeepGoneRunners);
    state_->pool.Prune(now);
  }
  log_.Flush();
  if (stopping_) {
    CheckStop(now);
  }
}

void GatewayRole::RequestStop() {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  stop_asked_at_ = SteadyNow();
  frontend_.BeginDrain();
  log_.Write(Line("stopping")
                 .Number("active", static_cast<std::int64_t>(frontend_.stats().active_exchanges)));
}

void GatewayRole::CheckStop(absl::Time now) {
  absl::Duration elapsed = now - stop_asked_at_;
  bool left_out = elapsed >= std::min(kLeastDrain, settings_.stop_grace / 2);
  if (left_out) {
    // Nobody is sent here any more; a request that crosses the close was not taken.
    frontend_.CloseIdle();
  }
  // A connection that is still open may just have brought a request that isn't counted yet.
  const async_http::ServerStats& clients = frontend_.stats();
  bool idle = clients.active_exchanges == 0 && clients.open_connections == 0 &&
              state_->ledger->pending() == 0;
  bool over = elapsed >= settings_.stop_grace - kStopMargin;
  if ((idle && left_out) || over) {
    log_.Write(Line("stopped").Number(
        "active", static_cast<std::int64_t>(frontend_.stats().active_exchanges)));
    loop_.Stop();
  }
}

bool GatewayRole::ready() const {
  return state_->routes != nullptr && !stopping_ && reaches_ledger_;
}

// ---- Questions ----

void GatewayRole::SetStoreMetrics() {
  struct Copy {
    const char* name;
    const store::PrefixMirror& mirror;
  };
  const Copy copies[] = {{"configuration", configuration_},
                         {"runners", runners_},
                         {"ledger_directory", ledger_directory_},
                         {"aggregators", aggregators_}};
  for (const Copy& copy : copies) {
    absl::Duration waiting = copy.mirror.Waiting().value_or(absl::ZeroDuration());
    state_->metrics.Set(absl::StrCat("copy_age_seconds_", copy.name),
                        absl::ToDoubleSeconds(copy.mirror.Staleness()));
    state_->metrics.Set(absl::StrCat("copy_call_waits_seconds_", copy.name),
                        absl::ToDoubleSeconds(waiting));
  }
}

Task<void> GatewayRole::AnswerReadiness(std::shared_ptr<async_http::Exchange> exchange) {
  async_http::HttpHead head;
  head.result(ready() ? 200U : 503U);
  co_await exchange->Send(std::move(head), ready() ? "ready" : "not ready");
}

Task<void> GatewayRole::AnswerMetrics(std::shared_ptr<async_http::Exchange> exchange) {
  forwarding::GatewayMetrics& metrics = state_->metrics;
  metrics.Set("open_connections", static_cast<double>(frontend_.stats().open_connections));
  metrics.Set("active_requests", static_cast<double>(frontend_.stats().active_exchanges));
  metrics.Set("log_lines_dropped", static_cast<double>(log_.stats().dropped_lines));
  metrics.Set("ledger_retries", static_cast<double>(state_->ledger->retries()));
  metrics.Set("quota_questions", static_cast<double>(state_->quotas->questions()));
  metrics.Set("quota_own_decisions", static_cast<double>(state_->quotas->own_decisions()));
  metrics.Set("ledger_relayed", static_cast<double>(state_->ledger->relayed()));
  metrics.Set("store_calls", static_cast<double>(store_.calls()));
  SetStoreMetrics();
  metrics.Set("known_runners", static_cast<double>(state_->runners.all().size()));
  metrics.Set("known_gateways", static_cast<double>(exchange_.peers() + 1));
  const exchange_stats& told = exchange_.stats();
  metrics.Set("aggregates", exchange_.aggregates() ? 1 : 0);
  metrics.Set("aggregator_members", static_cast<double>(exchange_.members()));
  metrics.Set("reports_sent", static_cast<double>(told.m_reports_sent));
  metrics.Set("reports_taken", static_cast<double>(told.m_reports_taken));
  metrics.Set("digests_sent", static_cast<double>(told.m_digests_sent));
  metrics.Set("digests_taken", static_cast<double>(told.m_digests_taken));
  metrics.Set("summaries_sent", static_cast<double>(told.m_summaries_sent));
  metrics.Set("changes_pushed", static_cast<double>(told.m_news_pushed));
  metrics.Set("changes_asked", static_cast<double>(told.m_news_asked));
  metrics.Set("lease_store_questions", static_cast<double>(exchange_.leases().m_store_questions));
  metrics.Set("lease_peer_questions", static_cast<double>(exchange_.leases().m_peer_questions));
  metrics.Set("lease_peer_answers", static_cast<double>(exchange_.leases().m_peer_answers));
  metrics.Set("datagrams_unreadable", static_cast<double>(told.m_datagrams_unreadable));
  metrics.Set("frames_unreadable", static_cast<double>(link_.stats().m_unreadable));
  metrics.Set("requests_dropped_for_unknown_peers", static_cast<double>(link_.stats().m_dropped));
  metrics.Set("peers_of_earlier_layouts", static_cast<double>(link_.earlier_peers()));
  metrics.Set("newest_layout", static_cast<double>(wire::kNewestLayout));
  metrics.Set("peer_bytes_unsent", static_cast<double>(transport_.unsent()));
  metrics.Set("peer_bytes_sent", static_cast<double>(transport_.stats().bytes_sent));
  metrics.Set("peer_bytes_received", static_cast<double>(transport_.stats().bytes_received));
  async_http::HttpHead head;
  head.result(200U);
  head.set("Content-Type", "text/plain; version=0.0.4");
  co_await exchange->Send(std::move(head), metrics.Text());
}

}  // namespace martenyard::roles
