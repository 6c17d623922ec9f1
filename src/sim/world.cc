#include "sim/world.h"

#include <cstdlib>
#include <utility>

#include "wire/codec.h"

namespace martenyard::sim {
namespace {

constexpr std::uint16_t kPort = 7000;
constexpr absl::Duration kDeathCheckLifetime = absl::Milliseconds(200);
constexpr absl::Duration kConditionStep = absl::Milliseconds(20);

wire::Endpoint EndpointOf(std::size_t index) {
  std::string address = "10." + std::to_string(index / 65536) + "." +
                        std::to_string(index / 256 % 256) + "." + std::to_string(index % 256);
  return {address, kPort};
}

}  // namespace

/// One daemon's environment, with all I/O through the event queue.
class World::Environment : public daemon::NodeEnvironment {
 public:
  Environment(World& world, std::size_t index, std::uint64_t generation)
      : world_(world), index_(index) {
    auto deliver = [&world, index, generation](std::function<void()> task) {
      world.Deliver(index, generation, std::move(task));
    };
    key_value_ = CreateSimKeyValue(world.platform_, deliver);
    backends_ = CreateSimBackendClient(world.platform_, deliver);
  }

  absl::Time Now() const override { return world_.queue_.now(); }

  void SendFrame(const wire::Endpoint& to, const daemon::Envelope& envelope) override {
    std::size_t bytes = world_.options_.count_bytes ? wire::Encode(envelope).size() : 0;
    world_.Transmit(index_, to, bytes, [this, envelope](std::size_t receiver) {
      world_.daemons_[receiver].node->OnEnvelope(world_.queue_.now(), envelope);
    });
  }

  void SendDatagram(const wire::Endpoint& to, const membership::Packet& packet) override {
    std::size_t bytes = world_.options_.count_bytes ? wire::Encode(packet).size() : 0;
    world_.Transmit(index_, to, bytes, [this, packet](std::size_t receiver) {
      world_.daemons_[receiver].node->OnPacket(world_.queue_.now(), packet);
    });
  }

  clients::KeyValue& KeyValueService() override { return *key_value_; }
  clients::BackendClient& Backends() override { return *backends_; }
  void PersistItems(const std::vector<spread::Item>& items) override {
    if (world_.daemons_[index_].durable) {
      world_.daemons_[index_].persisted_items = items;
    }
  }
  std::vector<spread::Item> PersistedItems() override {
    return world_.daemons_[index_].persisted_items;
  }

 private:
  World& world_;
  std::size_t index_;
  std::unique_ptr<clients::KeyValue> key_value_;
  std::unique_ptr<clients::BackendClient> backends_;
};

World::World(const WorldOptions& options, std::uint64_t seed)
    : options_(options), random_(seed), platform_(queue_, random_.NextId()) {}

World::~World() = default;

std::size_t World::AddDaemon(const ZoneName& zone, bool durable,
                             const daemon::NodeOptions& options) {
  std::size_t index = daemons_.size();
  Daemon daemon;
  daemon.endpoint = EndpointOf(index);
  daemon.zone = zone;
  daemon.durable = durable;
  daemon.options = options;
  by_endpoint_[daemon.endpoint] = index;
  daemons_.push_back(std::move(daemon));
  Boot(index);
  return index;
}

void World::Boot(std::size_t index) {
  Daemon& daemon = daemons_[index];
  ++daemon.generation;
  if (!daemon.durable || daemon.store == nullptr) {
    daemon.store = storage::CreateMemoryLogStore(daemon.durable);
    daemon.identity = NodeId(random_.NextId());
  }
  if (daemon.environment != nullptr) {
    previous_environments_.push_back(std::move(daemon.environment));
  }
  daemon.environment = std::make_unique<Environment>(*this, index, daemon.generation);
  membership::MemberInfo self;
  self.id = daemon.identity;
  self.peer = daemon.endpoint;
  self.zone = daemon.zone;
  self.durable = daemon.durable;
  daemon.node = std::make_unique<daemon::Node>(self, daemon.options, *daemon.environment,
                                               *daemon.store, random_.NextId(), queue_.now());
  if (!daemon.node->Start(queue_.now())) {
    std::abort();  // The simulator's store does not fail.
  }
  ScheduleTick(index);
}

void World::ScheduleTick(std::size_t index) {
  std::uint64_t generation = daemons_[index].generation;
  absl::Duration delay = options_.tick * (0.9 + 0.2 * random_.Uniform());
  queue_.After(delay, [this, index, generation] {
    Daemon& daemon = daemons_[index];
    if (daemon.generation != generation) {
      return;
    }
    if (!daemon.frozen) {
      daemon.node->Tick(queue_.now());
      Settle(index);
    }
    ScheduleTick(index);
  });
}

void World::Settle(std::size_t index) {
  if (!daemons_[index].node->Settle(queue_.now())) {
    std::abort();  // The simulator's store does not fail.
  }
}

void World::Deliver(std::size_t index, std::uint64_t generation, std::function<void()> task) {
  Daemon& daemon = daemons_[index];
  if (daemon.generation != generation) {
    return;
  }
  if (daemon.frozen) {
    daemon.waiting.push_back(std::move(task));
    return;
  }
  task();
  Settle(index);
}

bool World::Reachable(const Daemon& from, const Daemon& to) const {
  if (from.zone == to.zone) {
    return true;
  }
  return !cut_zones_.contains(from.zone) && !cut_zones_.contains(to.zone);
}

void World::Transmit(std::size_t from, const wire::Endpoint& to, std::size_t bytes,
                     std::function<void(std::size_t)> arrive) {
  Daemon& sender = daemons_[from];
  ++sender.traffic.messages;
  sender.traffic.bytes += bytes;
  auto found = by_endpoint_.find(to);
  if (found == by_endpoint_.end() || random_.Uniform() < network_.drop) {
    return;
  }
  std::size_t receiver = found->second;
  int copies = random_.Uniform() < network_.duplicate ? 2 : 1;
  bool same_zone = sender.zone == daemons_[receiver].zone;
  for (int copy = 0; copy < copies; ++copy) {
    absl::Duration delay = same_zone ? options_.same_zone_delay : options_.other_zone_delay;
    delay += network_.jitter * random_.Uniform();
    queue_.After(delay, [this, from, receiver, arrive] {
      // A partition also drops messages in flight.
      bool up = daemons_[receiver].node != nullptr;
      if (up && Reachable(daemons_[from], daemons_[receiver])) {
        Deliver(receiver, daemons_[receiver].generation, [receiver, arrive] { arrive(receiver); });
      }
    });
  }
}

void World::Kill(std::size_t index) {
  Daemon& daemon = daemons_[index];
  ++daemon.generation;
  daemon.frozen = false;
  daemon.waiting.clear();
  daemon.node.reset();
  NotifyPeersOfDeath(index);
}

void World::NotifyPeersOfDeath(std::size_t index) {
  // The kernel resets a dead process's connections; partitioned peers do not notice.
  std::uint64_t generation = daemons_[index].generation;
  for (std::size_t other = 0; other < daemons_.size(); ++other) {
    if (other == index || daemons_[other].node == nullptr) {
      continue;
    }
    queue_.After(options_.other_zone_delay * 3,
                 [this, index, generation, other, other_generation = daemons_[other].generation] {
                   bool still_dead = daemons_[index].generation == generation;
                   if (still_dead && Reachable(daemons_[index], daemons_[other])) {
                     absl::Time checked_at = queue_.now();
                     Deliver(other, other_generation, [this, index, other, checked_at] {
                       // As in wire::Transport, ignore checks made before a freeze.
                       if (queue_.now() - checked_at < kDeathCheckLifetime) {
                         daemons_[other].node->OnEndpointDead(queue_.now(),
                                                              daemons_[index].endpoint, checked_at);
                       }
                     });
                   }
                 });
  }
}

void World::Restart(std::size_t index) {
  if (daemons_[index].node == nullptr) {
    Boot(index);
  }
}

void World::Freeze(std::size_t index) { daemons_[index].frozen = true; }

void World::Thaw(std::size_t index) {
  Daemon& daemon = daemons_[index];
  if (!daemon.frozen) {
    return;
  }
  daemon.frozen = false;
  std::deque<std::function<void()>> waiting = std::move(daemon.waiting);
  daemon.waiting.clear();
  std::uint64_t generation = daemon.generation;
  for (auto& task : waiting) {
    Deliver(index, generation, std::move(task));
  }
}

void World::HealAll() {
  cut_zones_.clear();
  network_ = NetworkFaults{};
  platform_.key_value_faults = PlatformFaults{};
  platform_.backend_faults = PlatformFaults{};
  for (std::size_t index = 0; index < daemons_.size(); ++index) {
    Thaw(index);
    Restart(index);
  }
}

void World::Run(absl::Duration time) { queue_.RunUntil(queue_.now() + time); }

bool World::RunUntil(const std::function<bool()>& condition, absl::Duration limit) {
  absl::Time end = queue_.now() + limit;
  while (!condition()) {
    if (queue_.now() >= end) {
      return false;
    }
    Run(kConditionStep);
  }
  return true;
}

bool World::AllGroupsLed() {
  std::set<GroupId> led;
  int groups = 0;
  for (Daemon& daemon : daemons_) {
    groups = std::max(groups, daemon.options.groups);
    if (daemon.node == nullptr || daemon.frozen) {
      continue;
    }
    for (const auto& [group, replica] : daemon.node->replicas().replicas()) {
      if (replica->raft().LeaderIsCurrent()) {
        led.insert(group);
      }
    }
  }
  return static_cast<int>(led.size()) == groups;
}

}  // namespace martenyard::sim
