// Whole fleets of gateways in virtual time, with loss: everybody learns a change and the loads, and
// what a gateway sends, receives and keeps doesn't grow with the fleet.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>

#include "aggregation/aggregator.h"
#include "aggregation/change_propagation.h"
#include "aggregation/member_view.h"
#include "aggregation/slots.h"
#include "aggregation/watch_policy.h"
#include "wire/codec.h"

namespace martenyard::aggregation {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kSlots = 3;  // The mirror of the slots' records.
constexpr std::size_t kRunners = 0;
constexpr std::size_t kZoneSize = 47;  // 1,400 daemons in 30 zones.
constexpr double kLoss = 0.02;
constexpr milliseconds kTick{100};

struct Traffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

/// One gateway's decisions, wired as roles/exchange wires them.
struct SimulatedGateway {
  SimulatedGateway(const contact& own, std::uint64_t seed)
      : self(own), claims(own, 0.5), view(own), news(seed), watch(own.m_name), seed(seed) {}

  contact self;
  slot_claim_policy claims;
  member_view view;
  change_propagation news;
  watch_policy watch;
  std::uint64_t seed;
  std::unique_ptr<aggregator> sums;
  mirror_revisions changes{};
  slot_table slots;
  std::vector<runner_load> loads;
  std::map<std::uint32_t, std::uint32_t> others;  // Other gateways' requests, as last told.
  bool alive = true;
  bool reaches_store = true;
  bool in_contact = false;
  Traffic sent;
  Traffic received;
};

class Fleet {
 public:
  Fleet(std::size_t count, std::uint64_t seed) : random_(seed) {
    for (std::size_t number = 0; number < count; ++number) {
      contact self{"g" + std::to_string(number),
                   "z" + std::to_string(number / kZoneSize),
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

  /// The store takes a change of a prefix.
  void Change(std::size_t mirror) { store_[mirror] = ++revision_; }

  bool All(const std::function<bool(const SimulatedGateway&)>& holds) {
    return std::all_of(gateways_.begin(), gateways_.end(),
                       [&](const auto& gateway) { return !gateway->alive || holds(*gateway); });
  }
  /// @return how long it took until all know the latest change of the mirror.
  milliseconds UntilAllKnow(std::size_t mirror) {
    instant began = now_;
    while (!All([&](const SimulatedGateway& gateway) {
      return gateway.changes[mirror] == store_[mirror];
    })) {
      Run(milliseconds(50));
      if (now_ - began > milliseconds(30000)) {
        break;
      }
    }
    return std::chrono::duration_cast<milliseconds>(now_ - began);
  }
  std::vector<std::unique_ptr<SimulatedGateway>>& gateways() { return gateways_; }
  std::uint64_t slot_writes() const { return slot_writes_; }
  void ForgetTraffic() {
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
        std::visit([&](const auto& told) { Take(gateway, told); }, message);
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

  void Take(SimulatedGateway& gateway, const member_report& report) {
    gateway.news.record_revisions(now_, report.m_from, report.m_revisions);
    if (gateway.sums) {
      gateway.sums->handle(now_, report);
    }
  }
  void Take(SimulatedGateway& gateway, const zone_summary& summary) {
    gateway.news.record_revisions(now_, summary.m_from, summary.m_revisions);
    gateway.view.handle(now_, summary);
    if (gateway.sums) {
      gateway.sums->handle(now_, summary);
    }
  }
  void Take(SimulatedGateway& gateway, const digest& told) {
    gateway.news.record_revisions(now_, told.m_from, told.m_revisions);
    if (gateway.view.handle(now_, told)) {
      Apply(gateway, told);
    }
  }
  void Take(SimulatedGateway& gateway, const store::news_request& request) {
    Deliver(gateway, request.m_port, request.m_mirror);
  }
  // Leases have a simulation of their own (tests/tenancy).
  void Take(SimulatedGateway& /*gateway*/, const confirmation_question& /*question*/) {}
  void Take(SimulatedGateway& /*gateway*/, const confirmation_answer& /*answer*/) {}

  /// A whole answer over a connection; it isn't lost.
  void Deliver(SimulatedGateway& from, std::uint16_t to, std::size_t mirror) {
    std::uint64_t revision = from.changes[mirror];
    slot_table slots = from.slots;
    At(milliseconds(5),
       [this, to, mirror, revision, slots] { Learn(*gateways_[to - 1], mirror, revision, slots); });
  }

  void Learn(SimulatedGateway& gateway, std::size_t mirror, std::uint64_t revision,
             const slot_table& slots) {
    if (revision <= gateway.changes[mirror]) {
      return;
    }
    gateway.changes[mirror] = revision;
    if (mirror != kSlots) {
      return;
    }
    gateway.slots = slots;
    gateway.view.set_slots(slots);
    bool aggregates = gateway.claims.held_slot(slots).has_value();
    gateway.view.set_is_aggregator(aggregates);
    if (aggregates && !gateway.sums) {
      gateway.sums = std::make_unique<aggregator>(gateway.self, gateway.seed);
    } else if (!aggregates) {
      gateway.sums.reset();
    }
  }

  void Apply(SimulatedGateway& gateway, const digest& told) {
    gateway.others.clear();
    for (const runner_load& load : gateway.view.subtract_own(told.m_loads)) {
      gateway.others[load.m_runner] = load.m_active;
    }
  }

  void Tick(std::size_t number) {
    SimulatedGateway& gateway = *gateways_[number];
    At(kTick, [this, number] { Tick(number); });
    if (!gateway.alive) {
      return;
    }
    // While the zone has vacant slots all watch their records.
    bool vacant = gateway.slots[gateway.self.m_zone].size() < slots_per_zone;
    bool watches = gateway.watch.should_watch({now_, gateway.sums != nullptr, Speaks(gateway),
                                               gateway.view.own_zone_reaches_store(now_),
                                               gateway.view.any_reaches_store(now_)});
    for (std::size_t mirror = 0; mirror < mirror_count; ++mirror) {
      if (gateway.reaches_store && (watches || (vacant && mirror == kSlots))) {
        Learn(gateway, mirror, store_[mirror], slots_);
      }
    }
    gateway.in_contact = gateway.reaches_store && watches;
    if (auto claim = gateway.claims.next_claim({now_, &gateway.view.last_seen()}, gateway.slots)) {
      gateway.claims.record_attempt(now_, *claim);
      Claim(gateway, *claim);
    }
    gateway.news.expire(now_);
    Report(gateway);
    if (gateway.sums) {
      Aggregate(gateway);
    }
    for (std::size_t mirror = 0; mirror < mirror_count; ++mirror) {
      auto question =
          gateway.news.next_query(now_, mirror, gateway.changes[mirror], gateway.reaches_store);
      if (question) {
        store::news_request request{static_cast<std::uint8_t>(mirror), gateway.changes[mirror],
                                    gateway.self.m_endpoint.address, gateway.self.m_endpoint.port};
        SendAll(gateway, {question->m_peer}, request);
      }
    }
  }

  void Claim(SimulatedGateway& gateway, const slot_claim& claim) {
    slot& taken = slots_[gateway.self.m_zone][claim.m_slot];
    if (gateway.reaches_store && taken.m_revision == claim.m_revision) {
      Change(kSlots);
      taken = {gateway.self, revision_};
      ++slot_writes_;
    }
    if (gateway.reaches_store) {
      Learn(gateway, kSlots, store_[kSlots], slots_);  // Who tried watches the records.
    }
  }

  void Report(SimulatedGateway& gateway) {
    member_report report;
    report.m_from = gateway.self;
    report.m_revisions = gateway.changes;
    report.m_loads = gateway.loads;
    gateway.view.record_reported(now_, report.m_loads);
    if (gateway.sums) {
      gateway.sums->handle(now_, report);
    }
    for (const report_target& target : gateway.view.report_targets(now_)) {
      report.m_primary = target.m_primary;
      SendAll(gateway, {target.m_endpoint}, report);
    }
  }

  void Aggregate(SimulatedGateway& gateway) {
    aggregator& sums = *gateway.sums;
    sums.expire(now_);
    if (sums.digest_is_due(now_)) {
      digest full = sums.make_digest(now_);
      full.m_revisions = gateway.changes;
      full.m_store_reachable = gateway.in_contact || gateway.view.other_zone_reaches_store(now_);
      sums.record_digest_sent(now_, wire::Encode(datagram(full)).size());
      SendAll(gateway, sums.primary_members(now_), full);
      gateway.view.set_counts(now_, full.m_gateways, full.m_without_ledger);
      Apply(gateway, full);
    }
    digest brief = sums.make_short_digest(now_);
    brief.m_revisions = gateway.changes;
    brief.m_store_reachable = gateway.in_contact || gateway.view.other_zone_reaches_store(now_);
    SendAll(gateway, sums.take_short_digest_due(now_), brief);
    sums.set_representative(now_, Speaks(gateway));
    if (Speaks(gateway)) {
      zone_summary summary = sums.make_summary(now_);
      summary.m_revisions = gateway.changes;
      summary.m_store_reachable = gateway.in_contact;
      auto has_live_member = [&](const contact& other) { return Hears(gateway, other); };
      SendAll(gateway, summary_targets(gateway.slots, gateway.self, has_live_member, 8), summary);
      zone_summary others = sums.make_relayed_summary(now_);
      others.m_revisions = gateway.changes;
      others.m_store_reachable = gateway.in_contact;
      SendAll(gateway, CoAggregators(gateway), others);
    }
    for (const change_push& push : gateway.news.take_due_pushes(
             now_, gateway.changes, sums, slot_holders(gateway.slots, gateway.self.m_zone))) {
      Deliver(gateway, push.m_to.port, push.m_mirror);
    }
  }

  bool Hears(const SimulatedGateway& gateway, const contact& other) {
    auto heard = gateway.view.last_seen().find(other.m_name);
    return heard != gateway.view.last_seen().end() && now_ - heard->second <= milliseconds(900);
  }
  bool Speaks(const SimulatedGateway& gateway) {
    auto has_live_member = [&](const contact& other) { return Hears(gateway, other); };
    return gateway.sums &&
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
void GiveLoads(Fleet& fleet) {
  constexpr std::uint32_t kRunnerCount = 140;
  std::uint32_t number = 0;
  for (auto& gateway : fleet.gateways()) {
    gateway->loads = {{number++ % kRunnerCount, 1, 0, 0}};
  }
}

TEST_P(FleetTest, EverybodyLearnsAChangeSoonAfterAllStartedTogether) {
  Fleet fleet(GetParam(), 11);
  fleet.Run(milliseconds(4000));
  fleet.Change(kRunners);
  EXPECT_LT(fleet.UntilAllKnow(kRunners), milliseconds(2500));
}

TEST_P(FleetTest, TrafficOfAGatewayAndOfAnAggregatorIsBoundedWhateverTheFleet) {
  Fleet fleet(GetParam(), 12);
  GiveLoads(fleet);
  fleet.Run(milliseconds(5000));
  fleet.ForgetTraffic();
  constexpr double kSeconds = 3;
  fleet.Run(milliseconds(3000));
  for (const auto& gateway : fleet.gateways()) {
    double messages =
        static_cast<double>(gateway->sent.messages + gateway->received.messages) / kSeconds;
    double bytes_in = static_cast<double>(gateway->received.bytes) / kSeconds;
    double bytes_out = static_cast<double>(gateway->sent.bytes) / kSeconds;
    if (!gateway->sums) {
      // Reports each tenth of a second to three aggregators, here also without news.
      EXPECT_LT(messages, 60) << gateway->self.m_name;
      EXPECT_LT(bytes_in + bytes_out, 16000) << gateway->self.m_name;
    } else {
      EXPECT_LT(messages, 1200) << gateway->self.m_name;
    }
  }
}

TEST_P(FleetTest, EveryGatewayIsToldTheLoadsOfItsNeighbourhood) {
  Fleet fleet(GetParam(), 13);
  GiveLoads(fleet);
  fleet.Run(milliseconds(6000));
  // Nine zones at most are summed up; a runner's requests of all of those are counted once.
  std::size_t heard_zones = std::min<std::size_t>(9, (GetParam() + kZoneSize - 1) / kZoneSize);
  for (const auto& gateway : fleet.gateways()) {
    std::uint32_t total = static_cast<std::uint32_t>(gateway->loads.size());
    for (const auto& [runner, active] : gateway->others) {
      total += active;
    }
    EXPECT_LE(total, heard_zones * kZoneSize) << gateway->self.m_name;
    EXPECT_GE(total + kZoneSize, std::min(GetParam(), heard_zones * kZoneSize))
        << gateway->self.m_name;
  }
}

TEST_P(FleetTest, CalmFleetReplacesNoAggregator) {
  Fleet fleet(GetParam(), 14);
  fleet.Run(milliseconds(5000));
  std::uint64_t writes = fleet.slot_writes();
  std::size_t zones = (GetParam() + kZoneSize - 1) / kZoneSize;
  EXPECT_LE(writes, 3 * zones);
  fleet.Run(milliseconds(8000));
  EXPECT_EQ(fleet.slot_writes(), writes) << "a loss that was none";
}

TEST_P(FleetTest, ZoneThatLosesAllItsAggregatorsGetsOthersAndIsServedMeanwhile) {
  Fleet fleet(GetParam(), 15);
  fleet.Run(milliseconds(4000));
  for (auto& gateway : fleet.gateways()) {
    if (gateway->sums && gateway->self.m_zone == "z0") {
      gateway->alive = false;
    }
  }
  fleet.Change(kRunners);
  EXPECT_LT(fleet.UntilAllKnow(kRunners), milliseconds(14000))
      << "other zones' aggregators tell it, or a new one of the zone after its patience";
  fleet.Run(milliseconds(10000));
  std::size_t aggregators = 0;
  for (auto& gateway : fleet.gateways()) {
    aggregators += gateway->alive && gateway->sums && gateway->self.m_zone == "z0" ? 1 : 0;
  }
  EXPECT_EQ(aggregators, slots_per_zone);
}

TEST_P(FleetTest, GatewaysThatTheStoreTurnsAwayLearnItsChanges) {
  Fleet fleet(GetParam(), 16);
  fleet.Run(milliseconds(4000));
  std::size_t number = 0;
  for (auto& gateway : fleet.gateways()) {
    gateway->reaches_store = ++number % 3 == 0;
  }
  fleet.Change(kRunners);
  // Where none of a zone's aggregators reaches it, another zone's do; a lone zone's gateways begin
  // to watch one after the other.
  EXPECT_LT(fleet.UntilAllKnow(kRunners), milliseconds(6000));
}

INSTANTIATE_TEST_SUITE_P(Sizes, FleetTest, ::testing::Values(30, 100, 300, 1400));

}  // namespace
}  // namespace martenyard::aggregation
