// Guards against stale mirrors after a store outage: a watch lost during the outage must not delay
// the next read until its own timeout.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "emulator/platform/store_stand_in.h"
#include "platform/store_client.h"
#include "store/prefix_mirror.h"
#include "wire/event_loop.h"

namespace martenyard::store {
namespace {

/// Maximum time from the end of an outage until a mirror is up to date.
constexpr absl::Duration kRecoveryBound = absl::Seconds(3);
/// Long enough for several calls to fail.
constexpr absl::Duration kOutage = absl::Milliseconds(1200);
constexpr absl::Duration kTimeout = absl::Seconds(20);

/// A fault injected into a store.
struct FaultCase {
  const char* name;
  std::function<void(emulator::StoreStandIn&)> begin;
  std::function<void(emulator::StoreStandIn&)> end;
};

std::function<void(emulator::StoreStandIn&)> Set(bool emulator::StoreFaults::*fault, bool holds) {
  return [fault, holds](emulator::StoreStandIn& store) { store.faults().*fault = holds; };
}

FaultCase Faulty(const char* name, bool emulator::StoreFaults::*fault) {
  return {name, Set(fault, true), Set(fault, false)};
}

const FaultCase kFaults[] = {
    Faulty("silent", &emulator::StoreFaults::silent),
    {"silent, pending watches are lost",
     [](auto& store) {
       store.faults().silent = true;
       store.SilenceWaiting();
     },
     Set(&emulator::StoreFaults::silent, false)},
    {"open connections become silent", [](auto& store) { store.SilenceWaiting(); }, [](auto&) {}},
    {"resets",
     [](auto& store) {
       store.faults().reset = true;
       store.ResetWaiting();
     },
     Set(&emulator::StoreFaults::reset, false)},
    {"open connections are reset", [](auto& store) { store.ResetWaiting(); }, [](auto&) {}},
    Faulty("unavailable", &emulator::StoreFaults::down),
    Faulty("throttled", &emulator::StoreFaults::throttle),
    Faulty("replies are lost", &emulator::StoreFaults::lose_answers),
    Faulty("garbled", &emulator::StoreFaults::garble),
    {"slow", [](auto& store) { store.faults().delay = absl::Milliseconds(350); },
     [](auto& store) { store.faults().delay = absl::ZeroDuration(); }},
    {"history gone",
     [](auto& store) {
       store.faults().down = true;
       store.ResetWaiting();
       store.Compact();
     },
     Set(&emulator::StoreFaults::down, false)},
};

/// A store with one fault, and its mirror.
struct MirroredStore {
  MirroredStore(wire::EventLoop& loop, const FaultCase& given)
      : fault(given),
        store(loop.context()),
        mirror(
            loop.context(), Client(loop), "p/", [](const StoreChange&) {},
            [this](bool is_reachable, StoreStatus) { reachable = is_reachable; }) {
    store.Put("p/a", "before");
    mirror.Start();
  }

  platform::StoreClient& Client(wire::EventLoop& loop) {
    store.Listen(0);
    client = std::make_unique<platform::StoreClient>(loop.context(),
                                                     wire::Endpoint{"127.0.0.1", store.port()});
    return *client;
  }
  bool HasValue(const std::string& value) const {
    auto found = mirror.items().find("p/a");
    return found != mirror.items().end() && found->second.value == value;
  }

  const FaultCase& fault;
  emulator::StoreStandIn store;
  std::unique_ptr<platform::StoreClient> client;
  PrefixMirror mirror;
  bool reachable = false;
};

/// Runs all faults at once, each at its own store.
class StoreOutageTest : public ::testing::Test {
 protected:
  StoreOutageTest() {
    for (const FaultCase& fault : kFaults) {
      stores_.push_back(std::make_unique<MirroredStore>(loop_, fault));
    }
  }

  using Condition = std::function<bool(const MirroredStore&)>;

  /// @return names of the faults whose store did not meet the condition in time.
  std::string Missed(absl::Duration timeout, const Condition& condition) {
    std::vector<bool> met(stores_.size(), false);
    absl::Time end = SteadyNow() + timeout;
    while (SteadyNow() < end && std::count(met.begin(), met.end(), false) > 0) {
      loop_.RunRound(absl::Milliseconds(10));
      for (std::size_t index = 0; index < met.size(); ++index) {
        met[index] = met[index] || condition(*stores_[index]);
      }
    }
    std::string missed;
    for (std::size_t index = 0; index < met.size(); ++index) {
      missed += met[index] ? "" : std::string(stores_[index]->fault.name) + "; ";
    }
    return missed;
  }

  /// Applies each fault for `kOutage` and changes the key meanwhile.
  void RunOutages() {
    auto watching = [](const MirroredStore& each) {
      return each.HasValue("before") && each.client->calls() >= 2;
    };
    ASSERT_EQ(Missed(kTimeout, watching), "") << "expected a read and a pending watch";
    for (auto& each : stores_) {
      each->fault.begin(each->store);
      each->store.Put("p/a", "meanwhile");  // Ends the pending watch, unless the fault has.
    }
    for (absl::Time end = SteadyNow() + kOutage; SteadyNow() < end;) {
      loop_.RunRound(absl::Milliseconds(10));
    }
    for (auto& each : stores_) {
      each->fault.end(each->store);
    }
  }

  wire::EventLoop loop_;
  std::vector<std::unique_ptr<MirroredStore>> stores_;
};

TEST_F(StoreOutageTest, MirrorIsUpToDateAfterEachFault) {
  ASSERT_NO_FATAL_FAILURE(RunOutages());
  for (auto& each : stores_) {
    each->store.Put("p/a", "after");
  }
  auto up_to_date = [](const MirroredStore& each) { return each.HasValue("after"); };
  EXPECT_EQ(Missed(kRecoveryBound, up_to_date), "")
      << "mirror is stale after the store has recovered";
}

TEST_F(StoreOutageTest, MirrorIsConfirmedAfterEachFaultWithoutChanges) {
  ASSERT_NO_FATAL_FAILURE(RunOutages());
  absl::Time ended = SteadyNow();
  auto confirmed = [ended](const MirroredStore& each) {
    bool since_the_end = each.mirror.Staleness() < SteadyNow() - ended;
    return each.reachable && since_the_end && each.HasValue("meanwhile");
  };
  EXPECT_EQ(Missed(kRecoveryBound, confirmed), "")
      << "recovery was not detected without a further change";
}

}  // namespace
}  // namespace martenyard::store
