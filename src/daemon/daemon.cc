#include "daemon/daemon.h"

#include <optional>
#include <utility>

#include "base/clock.h"
#include "base/logging.h"
#include "gateway/problem.h"
#include "storage/small_file.h"
#include "wire/codec.h"
#include "wire/sealed.h"

namespace martenyard::daemon {
namespace {

constexpr char kLog[] = "daemon";
constexpr absl::Duration kTick = absl::Milliseconds(10);
constexpr char kStoreFolder[] = "/log";
/// Active bundles and the group directory.
constexpr char kItemsFile[] = "/items";

leaf::error_id Failed(const std::string& detail) { return leaf::new_error(DaemonError{detail}); }

}  // namespace

Daemon::Daemon(const settings::Settings& settings) : settings_(settings) {}

Daemon::~Daemon() {
  if (server_) {
    server_->Stop();
  }
}

Result<void> Daemon::Start() {
  BOOST_LEAF_AUTO(store, OpenStore());
  store_ = std::move(store);
  BOOST_LEAF_AUTO(identity, LoadOrCreateIdentity());

  transport_ = std::make_unique<wire::Transport>(
      loop_, [this](const std::string& payload) { OnFrame(payload); },
      [this](const std::string& payload) { OnDatagram(payload); },
      [this](const wire::Endpoint& peer, absl::Time checked_at) {
        node_->OnEndpointDead(SteadyNow(), peer, checked_at);
      });
  BOOST_LEAF_ASSIGN(peer_, TranslateError<wire::TransportError>(
                               [&] { return transport_->Listen(settings_.peer); },
                               [](const wire::TransportError& error) {
                                 return Failed("key 'daemon.peer_address': " + error.detail);
                               }));
  client_ = http::Client::Create();
  auto on_loop = [this](std::function<void()> task) { loop_.Post(std::move(task)); };
  key_value_ = clients::CreateEtcdKeyValue(*client_, settings_.key_value_url, on_loop);
  backends_ = clients::CreateHttpBackendClient(*client_, settings_.machine_list_url, on_loop);

  http::ServerOptions options;
  options.address = settings_.callers.address;
  options.port = settings_.callers.port;
  options.max_body_bytes = static_cast<std::size_t>(settings_.max_body_bytes);
  auto handler = [this](http::Request request, std::shared_ptr<http::Responder> responder) {
    OnHttp(std::move(request), std::move(responder));
  };
  BOOST_LEAF_ASSIGN(server_, TranslateError<http::HttpError>(
                                 [&] { return http::Server::Start(options, handler); },
                                 [](const http::HttpError& error) {
                                   return Failed("key 'daemon.caller_address': " + error.detail);
                                 }));
  callers_ = {settings_.callers.address, server_->port()};
  StartNode(identity);
  BOOST_LEAF_CHECK(TranslateError<storage::StorageError>(
      [&] { return node_->Start(SteadyNow()); },
      [](const storage::StorageError& error) { return Failed(error.detail); }));
  MARTENYARD_LOG_INFO(kLog, "Node " << identity.value << " in zone " << settings_.zone
                                    << " listens on " << peer_.ToString() << " for peers and "
                                    << callers_.ToString() << " for callers.");
  return {};
}

Result<std::unique_ptr<storage::LogStore>> Daemon::OpenStore() {
  if (settings_.data_dir.empty()) {
    return storage::CreateMemoryLogStore(/*durable_for_tests=*/false);
  }
  return TranslateError<storage::StorageError>(
      [&] { return storage::OpenRocksDbLogStore(settings_.data_dir + kStoreFolder); },
      [](const storage::StorageError& error) {
        return Failed("key 'daemon.data_dir': " + error.detail);
      });
}

Result<NodeId> Daemon::LoadOrCreateIdentity() {
  return TranslateError<storage::StorageError>(
      [&]() -> Result<NodeId> {
        BOOST_LEAF_AUTO(stored, store_->Load());
        NodeId identity = stored.identity;
        if (identity == kNoNode) {
          identity = NodeId(Random(SystemSeed()).NextId());
        }
        BOOST_LEAF_CHECK(store_->SetIdentity(identity));
        return identity;
      },
      [](const storage::StorageError& error) {
        return Failed("key 'daemon.data_dir': " + error.detail);
      });
}

NodeOptions Daemon::MakeOptions() const {
  NodeOptions options;
  options.groups = settings_.groups;
  options.replicas = settings_.replicas;
  options.bootstrap_daemons = settings_.bootstrap_daemons;
  options.seeds = settings_.seeds;
  options.partners = settings_.partners;
  options.group.raft.heartbeat_interval = settings_.heartbeat_interval;
  options.group.raft.election_timeout = settings_.election_timeout;
  options.group.grant_lease = settings_.grant_lease;
  options.group.max_waiting_calls = static_cast<std::size_t>(settings_.max_waiting_per_program);
  options.membership.probe_interval = settings_.probe_interval;
  options.membership.probe_timeout = settings_.probe_interval * 0.4;
  options.membership.suspicion_timeout = settings_.suspicion;
  options.replace_after = settings_.replace_after;
  options.coordinator.grant_lease = settings_.grant_lease;
  options.coordinator.max_active = static_cast<std::size_t>(settings_.max_active_calls);
  options.coordinator.placement = *scheduling::ParsePlacementPolicy(settings_.placement_policy);
  options.dispatcher.order = *scheduling::ParseOrderPolicy(settings_.order_policy);
  return options;
}

void Daemon::PersistItems(const std::vector<spread::Item>& items) {
  if (settings_.data_dir.empty()) {
    return;
  }
  std::string failure = storage::ReplaceFile(settings_.data_dir + kItemsFile, wire::Seal(items));
  if (!failure.empty()) {
    MARTENYARD_LOG_WARN(kLog, "Could not persist bundles and the group directory: "
                                  << failure << "; the next start reads the key-value service.");
  }
}

std::vector<spread::Item> Daemon::PersistedItems() {
  std::optional<std::string> bytes;
  if (!settings_.data_dir.empty()) {
    bytes = storage::ReadSmallFile(settings_.data_dir + kItemsFile);
  }
  if (!bytes) {
    return {};  // No disk, or the first start on it.
  }
  auto items = wire::Unseal<std::vector<spread::Item>>(*bytes);
  if (!items) {
    MARTENYARD_LOG_WARN(kLog, "The file of bundles and the group directory is corrupt ("
                                  << bytes->size() << " bytes); reading the key-value service.");
  }
  return items.value_or(std::vector<spread::Item>{});
}

void Daemon::StartNode(NodeId identity) {
  membership::MemberInfo self;
  self.id = identity;
  self.peer = peer_;
  self.callers = callers_;
  self.zone = ZoneName(settings_.zone);
  self.durable = store_->IsDurable();
  auto& environment = static_cast<NodeEnvironment&>(*this);
  node_ =
      std::make_unique<Node>(self, MakeOptions(), environment, *store_, SystemSeed(), SteadyNow());
  gateway::CallerApiOptions api_options;
  api_options.default_deadline = settings_.default_deadline;
  caller_api_ = std::make_unique<gateway::CallerApi>(*node_, node_->coordinator(), node_->bundles(),
                                                     api_options, SystemSeed());
  operator_api_ = std::make_unique<gateway::OperatorApi>(node_->rolls());
}

Result<void> Daemon::Run() {
  loop_.SetRoundHook([this] {
    failure_ = Recover<storage::StorageError>(
        [&]() -> Result<std::string> {
          BOOST_LEAF_CHECK(node_->Settle(SteadyNow()));
          return std::string();
        },
        [](const storage::StorageError& error) { return error.detail; });
    if (!failure_.empty()) {
      // The stored state is unknown after a failed write; a restart reloads it.
      MARTENYARD_LOG_ERROR(kLog, "The log store failed: " << failure_);
      loop_.Stop();
    }
  });
  ScheduleTick();
  loop_.Run();
  std::size_t cut = server_->Stop();
  if (cut > 0) {
    MARTENYARD_LOG_WARN(kLog, cut << " answers had not left when the connections were closed.");
  }
  if (!failure_.empty()) {
    return Failed(failure_);
  }
  MARTENYARD_LOG_INFO(kLog, "Stopped.");
  return {};
}

void Daemon::ScheduleTick() {
  loop_.After(kTick, [this] {
    node_->Tick(SteadyNow());
    if (stopping_) {
      CheckStop();
    }
    ScheduleTick();
  });
}

void Daemon::RequestStop() {
  loop_.Post([this] {
    if (stopping_) {
      loop_.Stop();
      return;
    }
    stopping_ = true;
    stop_deadline_ = SteadyNow() + settings_.stop_limit;
    server_->BeginDrain();
    node_->BeginStop(SteadyNow());
  });
}

void Daemon::CheckStop() {
  if (node_->CanExit()) {
    // A call ends when its response is handed to the server, before the caller has received it.
    server_->StopListening();
    if (server_->unfinished_responses() == 0) {
      loop_.Stop();
      return;
    }
  }
  if (SteadyNow() >= stop_deadline_) {
    std::string waits = node_->StopBlockers();
    MARTENYARD_LOG_WARN(kLog, "The stop limit is over; " << (waits.empty() ? "" : waits + ", ")
                                                         << server_->unfinished_responses()
                                                         << " requests without a whole answer.");
    loop_.Stop();
  }
}

// ---- Peers ----

void Daemon::OnFrame(const std::string& payload) {
  auto envelope = wire::Decode<Envelope>(payload);
  if (!envelope) {
    MARTENYARD_LOG_WARN(kLog, "Dropped a frame that could not be decoded.");
    return;
  }
  node_->OnEnvelope(SteadyNow(), *envelope);
}

void Daemon::OnDatagram(const std::string& payload) {
  // Undecodable datagrams are dropped without a log line: membership tolerates loss, and any sender
  // could flood the log.
  if (auto packet = wire::Decode<membership::Packet>(payload)) {
    node_->OnPacket(SteadyNow(), *packet);
  }
}

absl::Time Daemon::Now() const { return SteadyNow(); }

void Daemon::SendFrame(const wire::Endpoint& to, const Envelope& envelope) {
  transport_->SendFrame(to, wire::Encode(envelope));
}

void Daemon::SendDatagram(const wire::Endpoint& to, const membership::Packet& packet) {
  transport_->SendDatagram(to, wire::Encode(packet));
}

// ---- HTTP ----

void Daemon::OnHttp(http::Request request, std::shared_ptr<http::Responder> responder) {
  loop_.Post([this, request = std::move(request), responder = std::move(responder)] {
    Serve(request, responder);
  });
}

void Daemon::Serve(const http::Request& request,
                   const std::shared_ptr<http::Responder>& responder) {
  using gateway::JsonResponse;
  if (request.path == "/healthz") {
    responder->Send(JsonResponse(200, R"({"status":"alive"})"));
    return;
  }
  if (request.path == "/readyz") {
    bool ready = node_->IsReady() && !stopping_;
    responder->Send(ready ? JsonResponse(200, R"({"status":"ready"})")
                          : gateway::Problem(503, "not ready", ledger::CallState::kNotRun, 1));
    return;
  }
  if (request.path == "/metrics") {
    http::Response response;
    response.headers["Content-Type"] = "text/plain; version=0.0.4";
    response.body = DescribeMetrics(*node_, transport_->stats());
    responder->Send(std::move(response));
    return;
  }
  if (request.path == "/v1/operator/status") {
    responder->Send(JsonResponse(200, DescribeStatus(*node_)));
    return;
  }
  if (operator_api_->Handle(request, responder) ||
      caller_api_->Handle(SteadyNow(), request, responder)) {
    return;
  }
  responder->Send(gateway::Problem(404, "no such path", ledger::CallState::kNotRun));
}

}  // namespace martenyard::daemon
