// Runs a node on real sockets, disks and clocks; the implementation of martenyardd.
#pragma once

#include <memory>
#include <string>

#include "base/errors.h"
#include "daemon/node.h"
#include "daemon/status.h"
#include "gateway/caller_api.h"
#include "gateway/operator_api.h"
#include "http/client.h"
#include "http/server.h"
#include "settings/settings.h"
#include "wire/event_loop.h"
#include "wire/transport.h"

namespace martenyard::daemon {

/// Why a daemon failed to start or had to stop: one line for the operator.
struct DaemonError {
  std::string detail;
};

class Daemon : private NodeEnvironment {
 public:
  explicit Daemon(const settings::Settings& settings);
  ~Daemon() override;

  /// Opens the store and the ports. Errors: DaemonError.
  Result<void> Start();
  /// Runs until a planned stop completes. Errors: DaemonError, when the store failed.
  Result<void> Run();
  /// Begins a planned stop; a second call stops immediately. Thread-safe.
  void RequestStop();
  wire::Endpoint peer_endpoint() const { return peer_; }
  wire::Endpoint caller_endpoint() const { return callers_; }

 private:
  Result<std::unique_ptr<storage::LogStore>> OpenStore();
  Result<NodeId> LoadOrCreateIdentity();
  NodeOptions MakeOptions() const;
  void StartNode(NodeId identity);
  void OnHttp(http::Request request, std::shared_ptr<http::Responder> responder);
  void Serve(const http::Request& request, const std::shared_ptr<http::Responder>& responder);
  void ScheduleTick();
  void CheckStop();
  void OnFrame(const std::string& payload);
  void OnDatagram(const std::string& payload);

  absl::Time Now() const override;
  void SendFrame(const wire::Endpoint& to, const Envelope& envelope) override;
  void SendDatagram(const wire::Endpoint& to, const membership::Packet& packet) override;
  clients::KeyValue& KeyValueService() override { return *key_value_; }
  clients::BackendClient& Backends() override { return *backends_; }
  void PersistItems(const std::vector<spread::Item>& items) override;
  std::vector<spread::Item> PersistedItems() override;

  settings::Settings settings_;
  wire::EventLoop loop_;
  wire::Endpoint peer_;
  wire::Endpoint callers_;
  std::unique_ptr<storage::LogStore> store_;
  std::unique_ptr<wire::Transport> transport_;
  std::unique_ptr<clients::KeyValue> key_value_;
  std::unique_ptr<clients::BackendClient> backends_;
  std::unique_ptr<Node> node_;
  std::unique_ptr<gateway::CallerApi> caller_api_;
  std::unique_ptr<gateway::OperatorApi> operator_api_;
  // Destroyed first: their threads call into the loop above.
  std::unique_ptr<http::Client> client_;
  std::unique_ptr<http::Server> server_;
  bool stopping_ = false;
  absl::Time stop_deadline_;
  std::string failure_;
};

}  // namespace martenyard::daemon
