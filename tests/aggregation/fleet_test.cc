// Simulates fleets of gateways in virtual time with packet loss: all gateways receive changes and
// loads, and the traffic of a gateway does not grow with the fleet.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <utility>

#include "aggregation/aggregator.h"
#include "aggregation/cells.h"
#include "aggregation/change_propagation.h"
#include "aggregation/member_view.h"
#include "aggregation/notices.h"
#include "aggregation/slots.h"
#include "aggregation/watch_policy.h"
#include "wire/codec.h"

namespace martenyard::aggregation {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kSlots = 3;  // Mirror index of the slot records.
constexpr std::size_t kRunners = 0;
constexpr std::size_t kZoneSize = 47;  // 1,400 gateways in 30 zones.
constexpr double kLoss = 0.02;
constexpr milliseconds kTick{100};

struct Traffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

/// The decision logic of one gateway, connected as in roles/exchange.
struct SimulatedGateway {
  SimulatedGateway(const contact& own, std::uint64_t seed)
      : self(own),
        cells(own.m_zone, own.m_name),
        zone(own.m_zone),
        claim_policy(own, 0.5),
        view(own),
        propagation(seed),
        store_watch(own.m_name),
        seed(seed) {}

  contact self;  // With the cell as its zone.
  cell_policy cells;
  std::string zone;
  slot_claim_policy claim_policy;
  member_view view;
  change_propagation propagation;
  watch_policy store_watch;
  std::uint64_t seed;
  std::unique_ptr<aggregator> own_aggregator;
  mirror_revisions revisions{};
  slot_table slots;
  std::vector<runner_load> loads;
  std::map<std::uint32_t, std::uint32_t>
      other_loads;  // Requests of other gateways by runner, as of the last digest.
  bool alive = true;
  bool reaches_store = true;
  bool store_reachable = false;
  bool notified = false;  // Of a runner's end.
  Traffic sent;
  Traffic received;
};

class Fleet {
 public:
  Fleet(std::size_t count, std::uint64_t seed, std::size_t zone_size = kZoneSize) : random_(seed) {
    for (std::size_t number = 0; number < count; ++number) {
      contact self{"g" + std::to_string(number),
                   "z" + std::to_string(number / zone_size),
                   {"10.0.0.1", static_cast<std::uint16_t>(number + 1)}};
      gateways_.push_back(std::make_unique<SimulatedGateway>(self, random_.NextId()));
      auto phase = milliseconds(static_cast<int>(random_.Below(kTick.count())));
      At(phase, [this, number] { Tick(number); });
    }
  }

  void Run(milliseconds duration) {
    instant end = now_ + duration;
    while (!events_.empty() && events_.top().at <= end) {
      Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
    now_ = end;
  }

  /// Changes a key of a mirrored prefix in the store.
  void Change(std::size_t mirror) { store_[mirror] = ++revision_; }

  /// A gateway announces the end of a runner.
  void Announce(SimulatedGateway& gateway) {
    gateway.notified = true;
    runner_end_notice notice{"service-1"};
    for (const report_target& target : gateway.view.report_targets(now_)) {
      SendAll(gateway, {target.m_endpoint}, notice);
    }
    if (gateway.own_aggregator) {
      PassOn(gateway, notice);
    }
  }

  bool All(const std::function<bool(const SimulatedGateway&)>& holds) {
    return std::all_of(gateways_.begin(), gateways_.end(),
                       [&](const auto& gateway) { return !gateway->alive || holds(*gateway); });
  }
  /// @return the time until all gateways have the latest change of the mirror.
  milliseconds TimeUntilAllHave(std::size_t mirror) {
    instant started = now_;
    while (!All([&](const SimulatedGateway& gateway) {
      return gateway.revisions[mirror] == store_[mirror];
    })) {
      Run(milliseconds(50));
      if (now_ - started > milliseconds(30000)) {
        break;
      }
    }
    return std::chrono::duration_cast<milliseconds>(now_ - started);
  }
  std::vector<std::unique_ptr<SimulatedGateway>>& gateways() { return gateways_; }
  std::uint64_t slot_writes() const { return slot_writes_; }
  void ResetTraffic() {
    for (auto& gateway : gateways_) {
      gateway->sent = gateway->received = {};
    }
  }

 private:
  struct Event {
    instant at;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };

  void At(milliseconds delay, std::function<void()> action) {
    events_.push({now_ + delay, ++order_, std::move(action)});
  }

  void Send(SimulatedGateway& from, const wire::Endpoint& to, const datagram& message,
            std::size_t bytes) {
    ++from.sent.messages;
    from.sent.bytes += bytes;
    if (random_.Uniform() < kLoss) {
      return;
    }
    auto delay = milliseconds(1 + static_cast<int>(random_.Below(5)));
    At(delay, [this, to, message, bytes] {
      SimulatedGateway& gateway = *gateways_[to.port - 1];
      if (gateway.alive) {
        ++gateway.received.messages;
        gateway.received.bytes += bytes;
        std::visit([&](const auto& content) { Handle(gateway, content); }, message);
      }
    });
  }
  template <typename Message>
  void SendAll(SimulatedGateway& from, const std::vector<wire::Endpoint>& to,
               const Message& message) {
    datagram wrapped(message);
    std::size_t bytes = to.empty() ? 0 : wire::Encode(wrapped).size();
    for (const wire::Endpoint& endpoint : to) {
      Send(from, endpoint, wrapped, bytes);
    }
  }

  void Handle(SimulatedGateway& gateway, const member_report& report) {
    gateway.propagation.record_revisions(now_, report.m_from, report.m_revisions);
    if (gateway.own_aggregator) {
      gateway.own_aggregator->handle(now_, report);
    }
  }
  void Handle(SimulatedGateway& gateway, const zone_summary& summary) {
    gateway.propagation.record_revisions(now_, summary.m_from, summary.m_revisions);
    gateway.view.handle(now_, summary);
    if (gateway.own_aggregator) {
      gateway.own_aggregator->handle(now_, summary);
    }
  }
  void Handle(SimulatedGateway& gateway, const digest& message) {
    gateway.propagation.record_revisions(now_, message.m_from, message.m_revisions);
    if (gateway.view.handle(now_, message)) {
      Apply(gateway, message);
    }
  }
  void Handle(SimulatedGateway& gateway, const store::news_request& request) {
    Deliver(gateway, request.m_port, request.m_mirror);
  }
  // Leases are simulated in tests/tenancy.
  void Handle(SimulatedGateway& /*gateway*/, const confirmation_question& /*question*/) {}
  void Handle(SimulatedGateway& /*gateway*/, const confirmation_answer& /*answer*/) {}

  void Handle(SimulatedGateway& gateway, const runner_end_notice& notice) {
    if (!std::exchange(gateway.notified, true) && gateway.own_aggregator) {
      PassOn(gateway, notice);
    }
  }
  void PassOn(SimulatedGateway& gateway, runner_end_notice notice) {
    ++notice.m_hops;
    std::vector<std::string> neighbors =
        neighbor_cells(gateway.slots, gateway.zone, gateway.cells.cell(), 8);
    SendAll(gateway,
            notice_receivers(now_, *gateway.own_aggregator, gateway.slots, neighbors, notice),
            notice);
  }

  /// Sends a complete reply over a connection, without loss.
  void Deliver(SimulatedGateway& from, std::uint16_t to, std::size_t mirror) {
    std::uint64_t revision = from.revisions[mirror];
    slot_table slots = from.slots;
    At(milliseconds(5), [this, to, mirror, revision, slots] {
      ApplyChange(*gateways_[to - 1], mirror, revision, slots);
    });
  }

  void ApplyChange(SimulatedGateway& gateway, std::size_t mirror, std::uint64_t revision,
                   const slot_table& slots) {
    if (revision <= gateway.revisions[mirror]) {
      return;
    }
    gateway.revisions[mirror] = revision;
    if (mirror != kSlots) {
      return;
    }
    gateway.slots = slots;
    gateway.cells.update(now_, slots);
    gateway.self.m_zone = gateway.cells.cell();
    gateway.view.set_cell(gateway.cells.cell());
    gateway.claim_policy.set_cell(gateway.cells.cell());
    gateway.view.set_slots(slots);
    bool aggregates = gateway.claim_policy.held_slot(slots).has_value();
    gateway.view.set_is_aggregator(aggregates);
    if (aggregates && !gateway.own_aggregator) {
      gateway.own_aggregator = std::make_unique<aggregator>(gateway.self, gateway.seed);
    } else if (!aggregates) {
      gateway.own_aggregator.reset();
    }
  }

  void AddCells(SimulatedGateway& gateway) {
    for (const new_cell& cell : gateway.cells.plan(now_, gateway.slots, *gateway.own_aggregator)) {
      if (gateway.reaches_store && !slots_.contains(cell.m_name)) {
        Change(kSlots);
        slots_[cell.m_name][0] = {cell.m_holder, revision_};
        ++slot_writes_;
      }
    }
  }

  void Apply(SimulatedGateway& gateway, const digest& message) {
    gateway.other_loads.clear();
    for (const runner_load& load : gateway.view.subtract_own(message.m_loads)) {
      gateway.other_loads[load.m_runner] = load.m_active;
    }
  }

  void Tick(std::size_t number) {
    SimulatedGateway& gateway = *gateways_[number];
    At(kTick, [this, number] { Tick(number); });
    if (!gateway.alive) {
      return;
    }
    // All gateways watch the slot records while their cell has vacant slots.
    bool vacant = gateway.slots[gateway.self.m_zone].size() < slots_per_zone;
    bool watching = gateway.store_watch.should_watch(
        {now_, gateway.own_aggregator != nullptr, IsRepresentative(gateway),
         gateway.view.own_zone_reaches_store(now_), gateway.view.any_reaches_store(now_)});
    for (std::size_t mirror = 0; mirror < mirror_count; ++mirror) {
      if (gateway.reaches_store && (watching || (vacant && mirror == kSlots))) {
        ApplyChange(gateway, mirror, store_[mirror], slots_);
      }
    }
    gateway.store_reachable = gateway.reaches_store && watching;
    if (auto claim =
            gateway.claim_policy.next_claim({now_, &gateway.view.last_seen()}, gateway.slots)) {
      gateway.claim_policy.record_attempt(now_, *claim);
      Claim(gateway, *claim);
    }
    gateway.propagation.expire(now_);
    Report(gateway);
    if (gateway.own_aggregator) {
      Aggregate(gateway);
    }
    for (std::size_t mirror = 0; mirror < mirror_count; ++mirror) {
      auto query = gateway.propagation.next_query(now_, mirror, gateway.revisions[mirror],
                                                  gateway.reaches_store);
      if (query) {
        store::news_request request{static_cast<std::uint8_t>(mirror), gateway.revisions[mirror],
                                    gateway.self.m_endpoint.address, gateway.self.m_endpoint.port};
        SendAll(gateway, {query->m_peer}, request);
      }
    }
  }

  void Claim(SimulatedGateway& gateway, const slot_claim& claim) {
    slot& current = slots_[gateway.self.m_zone][claim.m_slot];
    if (gateway.reaches_store && current.m_revision == claim.m_revision) {
      Change(kSlots);
      current = {gateway.self, revision_};
      ++slot_writes_;
    }
    if (gateway.reaches_store) {
      ApplyChange(gateway, kSlots, store_[kSlots], slots_);  // A claimant watches the slot records.
    }
  }

  void Report(SimulatedGateway& gateway) {
    member_report report;
    report.m_from = gateway.self;
    report.m_revisions = gateway.revisions;
    report.m_loads = gateway.loads;
    gateway.view.record_reported(now_, report.m_loads);
    if (gateway.own_aggregator) {
      gateway.own_aggregator->handle(now_, report);
    }
    for (const report_target& target : gateway.view.report_targets(now_)) {
      report.m_primary = target.m_primary;
      SendAll(gateway, {target.m_endpoint}, report);
    }
  }

  void Aggregate(SimulatedGateway& gateway) {
    aggregator& own_aggregator = *gateway.own_aggregator;
    own_aggregator.expire(now_);
    own_aggregator.remove_moved(now_, [&](const std::string& name) {
      return cell_of_gateway(gateway.slots, gateway.zone, name) == gateway.cells.cell();
    });
    if (own_aggregator.digest_is_due(now_)) {
      digest full_digest = own_aggregator.make_digest(now_);
      full_digest.m_revisions = gateway.revisions;
      full_digest.m_store_reachable =
          gateway.store_reachable || gateway.view.other_zone_reaches_store(now_);
      own_aggregator.record_digest_sent(now_, wire::Encode(datagram(full_digest)).size());
      SendAll(gateway, own_aggregator.primary_members(now_), full_digest);
      gateway.view.set_counts(now_, full_digest.m_gateways, full_digest.m_without_ledger);
      Apply(gateway, full_digest);
    }
    digest short_digest = own_aggregator.make_short_digest(now_);
    short_digest.m_revisions = gateway.revisions;
    short_digest.m_store_reachable =
        gateway.store_reachable || gateway.view.other_zone_reaches_store(now_);
    SendAll(gateway, own_aggregator.take_short_digest_due(now_), short_digest);
    own_aggregator.set_representative(now_, IsRepresentative(gateway));
    if (IsRepresentative(gateway)) {
      zone_summary summary = own_aggregator.make_summary(now_);
      summary.m_revisions = gateway.revisions;
      summary.m_store_reachable = gateway.store_reachable;
      auto has_live_member = [&](const contact& other) { return IsAlive(gateway, other); };
      std::vector<std::string> neighbors =
          neighbor_cells(gateway.slots, gateway.zone, gateway.cells.cell(), 8);
      SendAll(gateway, summary_targets(gateway.slots, neighbors, has_live_member), summary);
      AddCells(gateway);
      zone_summary relayed = own_aggregator.make_relayed_summary(now_);
      relayed.m_revisions = gateway.revisions;
      relayed.m_store_reachable = gateway.store_reachable;
      SendAll(gateway, CoAggregators(gateway), relayed);
    }
    for (const change_push& push :
         gateway.propagation.take_due_pushes(now_, gateway.revisions, own_aggregator,
                                             slot_holders(gateway.slots, gateway.self.m_zone))) {
      Deliver(gateway, push.m_to.port, push.m_mirror);
    }
  }

  bool IsAlive(const SimulatedGateway& gateway, const contact& other) {
    auto seen = gateway.view.last_seen().find(other.m_name);
    return seen != gateway.view.last_seen().end() && now_ - seen->second <= milliseconds(900);
  }
  bool IsRepresentative(const SimulatedGateway& gateway) {
    auto has_live_member = [&](const contact& other) { return IsAlive(gateway, other); };
    return gateway.own_aggregator &&
           zone_representative(gateway.slots, gateway.self, has_live_member) == gateway.self;
  }
  std::vector<wire::Endpoint> CoAggregators(const SimulatedGateway& gateway) {
    std::vector<wire::Endpoint> endpoints;
    for (const contact& holder : slot_holders(gateway.slots, gateway.self.m_zone)) {
      if (holder != gateway.self) {
        endpoints.push_back(holder.m_endpoint);
      }
    }
    return endpoints;
  }

  Random random_;
  instant now_ = instant() + std::chrono::hours(1);
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
  std::vector<std::unique_ptr<SimulatedGateway>> gateways_;
  std::uint64_t revision_ = 0;
  mirror_revisions store_{};
  slot_table slots_;
  std::uint64_t slot_writes_ = 0;
};

class FleetTest : public ::testing::TestWithParam<std::size_t> {};

/// Each gateway runs one request at one of 140 runners.
void SetLoads(Fleet& fleet) {
  constexpr std::uint32_t kRunnerCount = 140;
  std::uint32_t number = 0;
  for (auto& gateway : fleet.gateways()) {
    gateway->loads = {{number++ % kRunnerCount, 1, 0, 0}};
  }
}

TEST_P(FleetTest, AllGatewaysReceiveAChangeSoonAfterACommonStart) {
  Fleet fleet(GetParam(), 11);
  fleet.Run(milliseconds(4000));
  fleet.Change(kRunners);
  EXPECT_LT(fleet.TimeUntilAllHave(kRunners), milliseconds(2500));
}

TEST_P(FleetTest, TrafficIsIndependentOfTheFleetSize) {
  Fleet fleet(GetParam(), 12);
  SetLoads(fleet);
  fleet.Run(milliseconds(5000));
  fleet.ResetTraffic();
  constexpr double kSeconds = 3;
  fleet.Run(milliseconds(3000));
  for (const auto& gateway : fleet.gateways()) {
    double messages =
        static_cast<double>(gateway->sent.messages + gateway->received.messages) / kSeconds;
    double bytes_in = static_cast<double>(gateway->received.bytes) / kSeconds;
    double bytes_out = static_cast<double>(gateway->sent.bytes) / kSeconds;
    if (!gateway->own_aggregator) {
      // In this simulation, reports are sent each 100 ms to three aggregators even without changes.
      EXPECT_LT(messages, 60) << gateway->self.m_name;
      EXPECT_LT(bytes_in + bytes_out, 16000) << gateway->self.m_name;
    } else {
      EXPECT_LT(messages, 1200) << gateway->self.m_name;
    }
  }
}

TEST_P(FleetTest, AllGatewaysReceiveTheLoadsOfNeighborZones) {
  Fleet fleet(GetParam(), 13);
  SetLoads(fleet);
  fleet.Run(milliseconds(6000));
  // Totals cover at most nine zones, and each request is counted once.
  std::size_t covered_zones = std::min<std::size_t>(9, (GetParam() + kZoneSize - 1) / kZoneSize);
  for (const auto& gateway : fleet.gateways()) {
    std::uint32_t total = static_cast<std::uint32_t>(gateway->loads.size());
    for (const auto& [runner, active] : gateway->other_loads) {
      total += active;
    }
    EXPECT_LE(total, covered_zones * kZoneSize) << gateway->self.m_name;
    EXPECT_GE(total + kZoneSize, std::min(GetParam(), covered_zones * kZoneSize))
        << gateway->self.m_name;
  }
}

// Guards against gateways that don't ask about a request since they don't know that runners end.
TEST_P(FleetTest, NoticeOfARunnersEndReachesAlmostAllGateways) {
  Fleet fleet(GetParam(), 17);
  fleet.Run(milliseconds(6000));
  fleet.Announce(*fleet.gateways().back());
  fleet.Run(milliseconds(50));
  std::size_t notified = 0;
  for (const auto& gateway : fleet.gateways()) {
    notified += gateway->notified ? 1 : 0;
  }
  // Each gateway has three aggregators, and a datagram in fifty is lost.
  EXPECT_GE(notified, fleet.gateways().size() - 2 - fleet.gateways().size() / 1000);
}

TEST_P(FleetTest, StableFleetReplacesNoAggregator) {
  Fleet fleet(GetParam(), 14);
  fleet.Run(milliseconds(5000));
  std::uint64_t writes = fleet.slot_writes();
  std::size_t zones = (GetParam() + kZoneSize - 1) / kZoneSize;
  EXPECT_LE(writes, 3 * zones);
  fleet.Run(milliseconds(8000));
  EXPECT_EQ(fleet.slot_writes(), writes) << "no holder was lost";
}

TEST_P(FleetTest, ZoneWithoutAggregatorsIsServedByOthersUntilItElectsNewOnes) {
  Fleet fleet(GetParam(), 15);
  fleet.Run(milliseconds(4000));
  for (auto& gateway : fleet.gateways()) {
    if (gateway->own_aggregator && gateway->self.m_zone == "z0") {
      gateway->alive = false;
    }
  }
  fleet.Change(kRunners);
  EXPECT_LT(fleet.TimeUntilAllHave(kRunners), milliseconds(14000))
      << "aggregators of other zones send it, or new ones after the holder timeout";
  fleet.Run(milliseconds(10000));
  std::size_t aggregators = 0;
  for (auto& gateway : fleet.gateways()) {
    aggregators +=
        gateway->alive && gateway->own_aggregator && gateway->self.m_zone == "z0" ? 1 : 0;
  }
  EXPECT_EQ(aggregators, slots_per_zone);
}

TEST_P(FleetTest, GatewaysWithoutAccessToTheStoreReceiveItsChanges) {
  Fleet fleet(GetParam(), 16);
  fleet.Run(milliseconds(4000));
  std::size_t number = 0;
  for (auto& gateway : fleet.gateways()) {
    gateway->reaches_store = ++number % 3 == 0;
  }
  fleet.Change(kRunners);
  // A zone whose aggregators have no access is served by other zones; in a single zone, ordinary
  // gateways start to watch after a jittered delay.
  EXPECT_LT(fleet.TimeUntilAllHave(kRunners), milliseconds(6000));
}

/// Zones with more gateways than an aggregator takes as members. Guards against gateways that
/// receive changes of the store late or never.
class LargeZonesTest : public ::testing::TestWithParam<std::size_t> {};

TEST_P(LargeZonesTest, AllGatewaysReceiveChangesWithinTheConfigurationBound) {
  constexpr std::size_t kZones = 5;
  constexpr milliseconds kConfigurationBound{5000};
  Fleet fleet(kZones * GetParam(), 21, GetParam());
  fleet.Run(milliseconds(6000));
  for (int change = 0; change < 2; ++change) {
    fleet.Change(kRunners);
    EXPECT_LT(fleet.TimeUntilAllHave(kRunners), kConfigurationBound);
  }
}

/// Guards against changes that are delayed while the aggregators of a large zone are replaced and
/// machines are cut from the store.
TEST_P(LargeZonesTest, AllGatewaysReceiveChangesDuringTheLossOfAggregatorsAndOfTheStore) {
  constexpr std::size_t kZones = 3;
  constexpr milliseconds kHolderTimeout{14000};  // As in FleetTest.
  Fleet fleet(kZones * GetParam(), 22, GetParam());
  fleet.Run(milliseconds(6000));
  std::size_t number = 0;
  for (auto& gateway : fleet.gateways()) {
    bool is_in_first_zone = gateway->zone == "z0";
    gateway->alive = !(is_in_first_zone && gateway->own_aggregator && ++number % 2 == 0);
    gateway->reaches_store = is_in_first_zone || ++number % 3 == 0;
  }
  fleet.Change(kRunners);
  EXPECT_LT(fleet.TimeUntilAllHave(kRunners), kHolderTimeout);
  fleet.Run(milliseconds(10000));
  fleet.Change(kRunners);
  EXPECT_LT(fleet.TimeUntilAllHave(kRunners), milliseconds(6000));
}

/// Guards against aggregators whose traffic and memory grow with their zone.
TEST_P(LargeZonesTest, LoadOfAnAggregatorIsBounded) {
  constexpr std::size_t kZones = 2;
  constexpr std::size_t kMaxMembers = 128;
  // Ten reports a second and member, a digest for a third of them, summaries of 8 other cells and
  // of the 16 of the largest zone here, both ways.
  constexpr double kMaxMessagesPerSecond = 10 * kMaxMembers * 4 / 3 + 20 * (8 + 16);
  constexpr double kSeconds = 3;
  Fleet fleet(kZones * GetParam(), 23, GetParam());
  SetLoads(fleet);
  fleet.Run(milliseconds(20000));
  fleet.ResetTraffic();
  fleet.Run(milliseconds(3000));
  for (const auto& gateway : fleet.gateways()) {
    std::string name = gateway->self.m_name + " of " + gateway->self.m_zone;
    if (gateway->own_aggregator) {
      EXPECT_LE(gateway->own_aggregator->members().size(), kMaxMembers) << name;
      double messages =
          static_cast<double>(gateway->sent.messages + gateway->received.messages) / kSeconds;
      EXPECT_LT(messages, kMaxMessagesPerSecond) << name;
    }
  }
}

/// Every size around the limit at which a zone is divided.
INSTANTIATE_TEST_SUITE_P(ZoneSizes, LargeZonesTest,
                         ::testing::Values(90, 100, 120, 129, 150, 187, 250, 300));

INSTANTIATE_TEST_SUITE_P(Sizes, FleetTest, ::testing::Values(30, 100, 300, 1400));

}  // namespace
}  // namespace martenyard::aggregation
