// Simulates many daemons' nodes in one thread and virtual time over a network with faults. Runs the
// daemon's own node code; the same seed reproduces a run.
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
#include "base/random.h"
#include "daemon/node.h"
#include "sim/event_queue.h"
#include "sim/sim_platform.h"
#include "storage/log_store.h"

namespace martenyard::sim {

/// Faults of the network between daemons.
struct NetworkFaults {
  double drop = 0.0;       ///< Probability that a message is lost.
  double duplicate = 0.0;  ///< Probability that it arrives twice.
  absl::Duration jitter;   ///< Maximum extra delay per message; can reorder messages.
};

struct WorldOptions {
  absl::Duration same_zone_delay = absl::Microseconds(200);
  absl::Duration other_zone_delay = absl::Microseconds(1500);
  absl::Duration tick = absl::Milliseconds(10);
  bool count_bytes = false;  ///< Encode every message to count its bytes (slow).
};

/// Traffic sent by one daemon since the start of the simulation.
struct TrafficStats {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

class World {
 public:
  World(const WorldOptions& options, std::uint64_t seed);
  ~World();

  EventQueue& queue() { return queue_; }
  SimPlatform& platform() { return platform_; }
  Random& random() { return random_; }
  NetworkFaults& network() { return network_; }

  /// Adds a daemon and starts it. @return its index.
  std::size_t AddDaemon(const ZoneName& zone, bool durable, const daemon::NodeOptions& options);
  std::size_t size() const { return daemons_.size(); }
  /// @return the node, or null while the daemon is down.
  daemon::Node* node(std::size_t index) { return daemons_[index].node.get(); }
  const TrafficStats& traffic(std::size_t index) const { return daemons_[index].traffic; }

  /// Kills the process; stored data survives if the daemon is durable.
  void Kill(std::size_t index);
  /// Restarts the daemon: with its store if it is durable, otherwise as a new node.
  void Restart(std::size_t index);
  /// Suspends the daemon until `Thaw`; incoming messages are buffered, as in a socket.
  void Freeze(std::size_t index);
  void Thaw(std::size_t index);
  /// Partitions the zone from all others; `HealZone` reverts it.
  void CutZone(const ZoneName& zone) { cut_zones_.insert(zone); }
  void HealZone(const ZoneName& zone) { cut_zones_.erase(zone); }
  void HealAll();

  void Run(absl::Duration time);
  /// Runs until `condition` holds. @return false if `limit` expires first.
  bool RunUntil(const std::function<bool()>& condition, absl::Duration limit);
  /// @return true if every group has a running, current leader.
  bool AllGroupsLed();
  /// Performs the node's pending effects after a direct call into it.
  void Settle(std::size_t index);

 private:
  class Environment;
  struct Daemon {
    wire::Endpoint endpoint;
    ZoneName zone;
    bool durable = false;
    daemon::NodeOptions options;
    NodeId identity;
    std::unique_ptr<storage::LogStore> store;
    std::vector<spread::Item> persisted_items;  // On disk, if the daemon is durable.
    std::unique_ptr<Environment> environment;
    std::unique_ptr<daemon::Node> node;
    std::uint64_t generation = 0;  // Incremented at every start and kill.
    bool frozen = false;
    std::deque<std::function<void()>> waiting;  // Tasks deferred while frozen.
    TrafficStats traffic;
  };

  void Boot(std::size_t index);
  void NotifyPeersOfDeath(std::size_t index);
  void ScheduleTick(std::size_t index);
  /// Runs `task` in the daemon unless its process has ended since `generation`.
  void Deliver(std::size_t index, std::uint64_t generation, std::function<void()> task);
  void Transmit(std::size_t from, const wire::Endpoint& to, std::size_t bytes,
                std::function<void(std::size_t)> arrive);
  bool Reachable(const Daemon& from, const Daemon& to) const;

  WorldOptions options_;
  EventQueue queue_;
  Random random_;
  SimPlatform platform_;
  NetworkFaults network_;
  std::vector<Daemon> daemons_;
  std::map<wire::Endpoint, std::size_t> by_endpoint_;
  std::set<ZoneName> cut_zones_;
  std::vector<std::unique_ptr<Environment>>
      previous_environments_;  // Kept for messages in flight that refer to them.
};

}  // namespace martenyard::sim
