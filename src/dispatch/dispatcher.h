// The queues and permits of the engines that this daemon dispatches for. Soft state: a new
// dispatcher rebuilds it from the requests that gateways resend. Decision logic only, no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "dispatch/messages.h"
#include "scheduling/order.h"

namespace martenyard::dispatch {

/// An engine as configured by the machine list and its owner's bundle.
struct EngineConfig {
  BackendName name;
  PartnerName owner;
  int slots = 1;
  bool draining = false;
  bool lends = false;       ///< The owner's bundle lends idle capacity.
  double lend_share = 0.0;  ///< Largest share of the slots that borrowers may hold.
};

struct DispatcherOptions {
  scheduling::OrderPolicy order = scheduling::OrderPolicy::kAttainedService;
  scheduling::OrderOptions order_options;
  absl::Duration request_ttl = absl::Seconds(2);  ///< A request expires unless resent.
  std::size_t max_queued = 1000;                  ///< Per engine.
  /// The slots of a newly added engine open gradually over this time, so that its empty queue does
  /// not attract all gateways at once.
  absl::Duration slow_start = absl::Seconds(2);
  /// An engine that refused a call as draining counts as draining for this long, since the machine
  /// list lags behind.
  absl::Duration draining_hold = absl::Seconds(30);
};

struct OutgoingPermitUpdate {
  NodeId to;
  PermitNews update;
};

class Dispatcher {
 public:
  Dispatcher(const DispatcherOptions& options, absl::Time now);

  /// Replaces the engines that this daemon dispatches for; requests for others are dropped.
  void SetEngines(absl::Time now, const std::vector<EngineConfig>& engines);
  void OnSync(absl::Time now, NodeId gateway, const PermitSync& sync);
  void OnRelease(absl::Time now, NodeId gateway, const PermitRelease& release);
  void Tick(absl::Time now);
  std::vector<OutgoingPermitUpdate> TakeUpdates();
  std::vector<EngineLoad> Loads() const;

 private:
  struct QueueEntry {
    NodeId gateway;
    PermitAsk request;
    absl::Time arrived;
    absl::Time expires;
    bool granted = false;
  };
  struct Engine {
    EngineConfig config;
    absl::Time added_at;
    absl::Time draining_until = absl::InfinitePast();
    bool newly_added = false;
    std::map<ledger::Grant, QueueEntry> entries;
    int in_flight = 0;
    int borrowed = 0;
  };

  void HandleRequest(NodeId gateway, const PermitAsk& request);
  void ServeQueue(Engine& engine);
  bool MayStart(const Engine& engine, const QueueEntry& entry) const;
  bool IsDraining(const Engine& engine) const;
  int UsableSlots(const Engine& engine) const;
  static bool IsFromOwner(const Engine& engine, const QueueEntry& entry);
  void CountInFlight(Engine& engine, const QueueEntry& entry, int change);
  void AddReply(NodeId gateway, const QueueEntry& entry, PermitVerdict verdict);

  DispatcherOptions options_;
  absl::Time started_;
  absl::Time now_;
  std::map<BackendName, Engine> engines_;
  std::map<NodeId, PermitNews> updates_;
};

}  // namespace martenyard::dispatch
