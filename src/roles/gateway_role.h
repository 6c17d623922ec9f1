// The gateway role: accepts client requests and forwards them to runners. It has no durable state.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "async_http/server.h"
#include "base/clock.h"
#include "event_log/event_log.h"
#include "forwarding/gateway_state.h"
#include "roles/directory_keys.h"
#include "roles/exchange/zone_exchange.h"
#include "roles/ledger/group_layout_record.h"
#include "roles/peers/peer_link.h"
#include "roles/platform_formats.h"
#include "roles/readiness/readiness_monitor.h"
#include "roles/readiness/zone_contact.h"
#include "roles/role_settings.h"
#include "roles/ticker.h"
#include "store/metadata_store.h"
#include "store/prefix_mirror.h"
#include "turn_ledger/messages.h"
#include "wire/event_loop.h"
#include "wire/transport.h"

namespace martenyard::roles {

/// @param drain how long a draining runner may be given requests, counted from the time the store
/// accepted its notice.
/// @return how long a gateway may fall back to a draining runner, counted from the time it learned
/// of the notice.
absl::Duration MaxDrainingRunnerUse(absl::Duration drain);

class GatewayRole {
 public:
  GatewayRole(wire::EventLoop& loop, const RoleSettings& settings, const PlatformFormats& formats,
              store::MetadataStore& store, event_log::EventLog& log);

  /// Errors: wire::TransportError, async_http::ServerError.
  /// May be called again after an error.
  Result<void> Start();
  /// Planned stop: reports not ready at once, keeps serving, and stops the loop when no request is
  /// pending.
  void RequestStop();
  bool ready() const;
  forwarding::GatewayState& state() { return *state_; }
  async_http::Server& frontend() { return frontend_; }
  std::uint16_t frontend_port() const { return frontend_.port(); }
  std::uint16_t readiness_port() const { return readiness_server_.port(); }

 private:
  /// Handles a change of a key that the operator writes.
  void OnOperatorChange(const store::StoreChange& change);
  void ApplyConfiguration(const std::string& text, store::Revision revision);
  void ApplyEvacuation(const ZoneName& zone, bool evacuated, store::Revision revision);
  /// Limits the request rates of the zone's runners, which may have become cold while they received
  /// no requests.
  void StartSlowly(const ZoneName& zone);
  void OnRunnerChange(const store::StoreChange& change);
  /// @return whether the runner is at the address that another process had before.
  bool HasTakenOver(const discovery::Runner& runner, const std::string& process);
  Result<void> Listen();
  /// Bounds what clients can make this process hold by its limits of memory and descriptors.
  void LimitClients();
  /// Logs the runners that were read first in one line, once all are known. From then on the
  /// versions of all runners are known.
  void RecordFirstRunners();
  /// @return whether all runners are known that were listed before the call.
  async_http::Task<bool> ConfirmRunners();
  /// Removes the runner that was registered under `key`.
  void RemoveRunner(const std::string& key);
  /// Drops connections and prefix cache state of the previous process of a restarted runner.
  void DropPreviousProcessState(const discovery::RunnerId& runner);
  /// Schedules one layout update for all directory changes of the current loop round.
  void OnLedgerDirectoryChange();
  void UpdateLedgerLayout();
  void OnStoreReachability(const char* label, const store::PrefixMirror& mirror, bool reachable,
                           store::StoreStatus status);
  void UpdateStoreMetrics();
  /// Sets the load limits, slowdowns and refusals of programs by service.
  void UpdateAdmissionMetrics();
  /// Sets the counters of runners that ended under requests.
  void UpdateCrashMetrics();
  /// Tells the ledger clients which machines to contact for each group.
  void SetLedgerGroups(const std::vector<turn_ledger::Machine>& machines);

  void OnFrame(const std::string& payload);
  void Tick(absl::Time now);
  /// Probes the ledger groups. Reports not ready while this gateway, but not most of its peers, has
  /// lost the ledger, or while its zone is partitioned.
  void UpdateReadiness();
  ledger_observation ObserveLedger();
  /// Asks other zones for an answer if that is due. @return whether they answer.
  zone_contact_state UpdateZoneContact();
  /// @return the peers that make ledger calls on behalf of this gateway.
  std::vector<wire::Endpoint> ChooseRelays() const;
  /// Records that a ledger machine or gateway has replied to a request.
  void RecordLedgerReply(const turn_ledger::Machine& from, const turn_ledger::LedgerReply& reply);
  /// Executes a ledger call on behalf of a peer gateway.
  async_http::Task<void> RelayToLedger(wire::Endpoint peer, turn_ledger::LedgerRequest request,
                                       wire::Layout layout);
  void StopIfIdle(absl::Time now);
  async_http::Task<void> ServeReadiness(std::shared_ptr<async_http::Exchange> exchange);
  async_http::Task<void> ServeMetrics(std::shared_ptr<async_http::Exchange> exchange);
  turn_ledger::Machine Self() const;

  wire::EventLoop& loop_;
  RoleSettings settings_;
  const PlatformFormats& formats_;
  store::MetadataStore& store_;
  event_log::EventLog& log_;
  std::shared_ptr<forwarding::GatewayState> state_;
  wire::Transport transport_;
  wire::Transport bulk_transport_;  ///< Sends copies of the runners, on connections of its own.
  peer_link link_;
  async_http::Server frontend_;
  async_http::Server readiness_server_;
  async_http::Server metrics_server_;
  store::PrefixMirror configuration_;  ///< With all keys that the operator writes.
  store::PrefixMirror runners_;
  store::PrefixMirror ledger_directory_;
  group_layout_record layout_record_;
  store::PrefixMirror aggregators_;
  zone_exchange exchange_;
  Ticker ticker_;

  bool zone_isolation_ = false;  ///< Partitions of the own zone are detected.
  readiness_options readiness_options_;
  readiness_monitor readiness_monitor_;
  zone_contact zone_contact_;
  bool ledger_answered_ = false;
  bool own_zone_has_quorum_ = false;
  const absl::Time created_at_ = SteadyNow();
  bool runners_read_ = false;   ///< All runners were known once.
  bool reaches_ledger_ = true;  ///< The reported state: debounced, and true in a shared outage.
  bool layout_update_pending_ = false;
  absl::Time next_housekeeping_;
  bool stopping_ = false;
  absl::Time stop_requested_at_;
};

}  // namespace martenyard::roles
