// Decision logic of one daemon, all roles together, without I/O: the same code runs in martenyardd,
// in the tests' simulator and in the hollow fleet.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/errors.h"
#include "base/random.h"
#include "bundle/roll_manager.h"
#include "daemon/backend_view.h"
#include "daemon/group_log.h"
#include "daemon/group_placement.h"
#include "daemon/messages.h"
#include "daemon/planned_stop.h"
#include "daemon/poll_tracker.h"
#include "daemon/replica_host.h"
#include "dispatch/dispatcher.h"
#include "gateway/call_coordinator.h"
#include "gateway/ledger_router.h"
#include "membership/membership.h"
#include "spread/spread.h"
#include "storage/log_store.h"

namespace martenyard::daemon {

/// The I/O services a node uses.
class NodeEnvironment {
 public:
  virtual ~NodeEnvironment() = default;
  virtual absl::Time Now() const = 0;
  virtual void SendFrame(const wire::Endpoint& to, const Envelope& envelope) = 0;
  virtual void SendDatagram(const wire::Endpoint& to, const membership::Packet& packet) = 0;
  virtual clients::KeyValue& KeyValueService() = 0;
  virtual clients::BackendClient& Backends() = 0;
  /// Persists the items to this daemon's disk, if it has one, replacing the previous ones.
  virtual void PersistItems(const std::vector<spread::Item>& items) = 0;
  /// @return the items persisted by a previous process of this daemon.
  virtual std::vector<spread::Item> PersistedItems() = 0;
};

struct NodeOptions {
  int groups = 8;
  int replicas = 3;
  int bootstrap_daemons = 3;
  std::vector<wire::Endpoint> seeds;
  std::vector<bundle::PartnerKey> partners;
  ledger::GroupOptions group;
  membership::MembershipOptions membership;
  spread::SpreadOptions spread;
  dispatch::DispatcherOptions dispatcher;
  gateway::CoordinatorOptions coordinator;
  gateway::RouterOptions router;
  absl::Duration replace_after = absl::Seconds(10);
  absl::Duration key_value_poll = absl::Seconds(2);
  absl::Duration machine_list_poll = absl::Seconds(1);
  absl::Duration load_report_interval = absl::Milliseconds(250);
  absl::Duration release_interval = absl::Milliseconds(500);
  absl::Duration sweep_interval = absl::Seconds(5);
};

class Node : public gateway::CallHost {
 public:
  /// @param self its id must be the store's identity.
  Node(membership::MemberInfo self, const NodeOptions& options, NodeEnvironment& environment,
       storage::LogStore& store, std::uint64_t seed, absl::Time now);

  /// Starts the stored replicas. Errors: the store's.
  Result<void> Start(absl::Time now);
  void OnEnvelope(absl::Time now, const Envelope& envelope);
  void OnPacket(absl::Time now, const membership::Packet& packet);
  /// A connection to the endpoint broke and a reconnect at `checked_at` was refused: its process
  /// was dead at that time.
  void OnEndpointDead(absl::Time now, const wire::Endpoint& endpoint, absl::Time checked_at);
  void Tick(absl::Time now);
  /// Stores and sends the effects of the calls above; call it after each batch of them.
  /// Errors: the store's; the daemon must then stop.
  Result<void> Settle(absl::Time now);

  gateway::CallCoordinator& coordinator() { return coordinator_; }
  bundle::RollManager& rolls() { return rolls_; }
  const bundle::BundleBook& bundles() const { return bundles_; }
  const membership::Membership& membership() const { return membership_; }
  const ReplicaHost& replicas() const { return replica_host_; }
  const BackendView& backends_view() const { return backends_; }
  const NodeOptions& options() const { return options_; }
  /// True once the groups' replicas are known, so that calls can be served.
  bool IsReady() const { return !directory_.empty(); }
  /// @return the number of local replicas that know their group's leader.
  int GroupsWithLeader() const;

  /// Starts a planned stop: rejects new calls, transfers leaderships and dispatching, and stays
  /// until no call needs this daemon.
  void BeginStop(absl::Time now);
  /// True when exiting now would interrupt nothing.
  bool CanExit() const;
  /// @return what blocks the stop, for the log; empty when nothing does.
  std::string StopBlockers() const;

  // CallHost:
  absl::Time Now() const override { return environment_.Now(); }
  NodeId Self() const override { return membership_.self().id; }
  GroupId GroupOf(const ProgramId& program) const override;
  void SendLedgerRequest(GroupId group, ledger::RequestBody body, absl::Time deadline,
                         gateway::LedgerCallback on_answer) override;
  void SendPermitRequests(const std::vector<dispatch::PermitAsk>& asks) override;
  void SendPermitRelease(const dispatch::PermitRelease& release) override;
  std::vector<gateway::EngineCandidate> EnginesFor(const PartnerName& partner,
                                                   const std::string& service) override;
  std::vector<clients::Backend> ServicesFor(const PartnerName& partner, clients::BackendKind kind,
                                            const std::string& service) override;
  int PriorityOf(const PartnerName& partner, const std::string& program_kind) override;
  clients::BackendClient& Backends() override { return environment_.Backends(); }

 private:
  struct Periodic {
    absl::Duration interval;
    absl::Time next;
    void (Node::*run)();
  };
  void Send(NodeId to, PeerMessage message);
  void Handle(NodeId from, const wire::Endpoint& endpoint, const PeerMessage& message);
  void HandleLocal();
  void FlushMembership();
  void FlushSpread();
  void OnMembersChanged();
  const std::vector<NodeId>& Peers() const { return peers_; }

  bool ValidateItem(const spread::Item& item) const;
  void ApplyItem(const spread::Item& item);
  void OnRoll(const bundle::SignedRoll& roll);
  /// Loads the persisted items, as the key-value service may be unavailable while daemons start.
  void LoadPersistedItems();
  void PersistItems();
  void AdoptDirectory(const std::vector<consensus::Configuration>& directory);
  void AdoptGroup(GroupId group, std::uint64_t version, const consensus::Configuration& present);

  bool WatchesKeyValue() const;
  void PollKeyValue();
  void PollMachines();
  /// Logs that a polled service became unreachable or reachable again.
  void LogReachability(const char* service, const PollEnd& end);
  void ReportLoads();
  void ManageGroups();
  void ManageGroup(ledger::GroupReplica& replica);
  void SendReleases();
  void SweepContexts();
  void SweepEngine(const clients::Backend& engine,
                   const std::vector<clients::CachedContext>& contexts);
  void RefreshEngines();
  /// Ends the requests to groups whose quorum has exited or died: this stopping daemon can't wait
  /// for its return.
  void EndRequestsWithoutQuorum();

  NodeOptions options_;
  NodeEnvironment& environment_;
  Random random_;
  absl::Time now_;
  storage::LogStore& store_;
  membership::Membership membership_;
  spread::Spread spread_;
  bundle::BundleBook bundles_;
  bundle::RollManager rolls_;
  ReplicaHost replica_host_;
  GroupLog group_log_;
  BackendView backends_;
  PollTracker machine_polls_;
  PollTracker key_value_polls_;
  dispatch::Dispatcher dispatcher_;
  gateway::LedgerRouter router_;
  gateway::CallCoordinator coordinator_;
  PlannedStop planned_stop_;

  std::vector<Periodic> periodics_;
  LiveMembers live_;
  std::vector<membership::MemberInfo> leaving_;
  LiveMembers dispatchers_;    // The live members, or the leaving ones while none is live.
  std::vector<NodeId> peers_;  // The live members except this one.
  std::map<GroupId, absl::Time> quorum_dead_since_;  // While this daemon stops.
  std::uint64_t live_version_ = ~std::uint64_t{0};
  std::map<GroupId, consensus::Configuration> directory_;
  std::map<GroupId, std::uint64_t> directory_versions_;
  std::deque<Envelope> local_;
  std::set<std::uint64_t> releasing_;  // Hashes of (group, order) of releases in flight.
};

}  // namespace martenyard::daemon
