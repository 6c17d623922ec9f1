// The queues and permits of the engines that this daemon dispatches for. Soft state: a new
// dispatcher learns everything from the gateways' repeated wishes. Decision code only.
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

/// What the dispatcher must know of an engine.
struct EngineConfig {
  BackendName name;
  PartnerName owner;
  int slots = 1;
  bool leaving = false;
  bool lends = false;       ///< The owner's bundle lends idle capacity.
  double lend_share = 0.0;  ///< Largest share of the slots that borrowers may hold.
};

struct DispatcherOptions {
  scheduling::OrderPolicy order = scheduling::OrderPolicy::kAttainedService;
  scheduling::OrderOptions order_options;
  absl::Duration ask_lease = absl::Seconds(2);  ///< A wish not repeated for this long is gone.
  std::size_t max_queued = 1000;                ///< Per engine.
  /// A fresh engine's slots open over this time, so that its empty queue draws no crowd.
  absl::Duration slow_start = absl::Seconds(2);
  /// An engine that refused as leaving is believed for this long, whatever the lagging list says.
  absl::Duration leaving_memory = absl::Seconds(30);
};

struct NewsTo {
  NodeId to;
  PermitNews news;
};

class Dispatcher {
 public:
  Dispatcher(const DispatcherOptions& options, absl::Time now);

  /// The engines this daemon dispatches for now; wishes for others are dropped.
  void SetEngines(absl::Time now, const std::vector<EngineConfig>& engines);
  void OnSync(absl::Time now, NodeId gateway, const PermitSync& sync);
  void OnRelease(absl::Time now, NodeId gateway, const PermitRelease& release);
  void Tick(absl::Time now);
  std::vector<NewsTo> TakeNews();
  std::vector<EngineLoad> Loads() const;

 private:
  struct Ask {
    NodeId gateway;
    PermitAsk ask;
    absl::Time arrived;
    absl::Time expires;
    bool granted = false;
  };
  struct Engine {
    EngineConfig config;
    absl::Time known_since;
    absl::Time leaving_until = absl::InfinitePast();
    bool fresh = false;
    std::map<ledger::Grant, Ask> asks;
    int in_flight = 0;
    int borrowed = 0;
  };

  void TakeAsk(NodeId gateway, const PermitAsk& wish);
  void Pump(Engine& engine);
  bool MayStart(const Engine& engine, const Ask& ask) const;
  bool Leaves(const Engine& engine) const;
  int OpenSlots(const Engine& engine) const;
  static bool IsOwn(const Engine& engine, const Ask& ask);
  void Count(Engine& engine, const Ask& ask, int change);
  void Tell(NodeId gateway, const Ask& ask, PermitVerdict verdict);

  DispatcherOptions options_;
  absl::Time started_;
  absl::Time now_;
  std::map<BackendName, Engine> engines_;
  std::map<NodeId, PermitNews> news_;
};

}  // namespace martenyard::dispatch
