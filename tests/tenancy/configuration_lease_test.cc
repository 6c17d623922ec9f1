#include "tenancy/configuration_lease.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <vector>

#include "tenancy/bounds.h"
#include "tenancy/confirmation_schedule.h"

namespace martenyard::tenancy {
namespace {

using std::chrono::milliseconds;

instant At(int milliseconds_since_start) { return instant(milliseconds(milliseconds_since_start)); }

TEST(ConfigurationLeaseTest, ValidForItsDurationFromTheRequestNotTheReply) {
  configuration_lease lease(milliseconds(1000));
  lease.set_revision(5);
  EXPECT_FALSE(lease.is_valid(At(0)));
  lease.confirm(At(100), 5);
  EXPECT_TRUE(lease.is_valid(At(1099)));
  EXPECT_FALSE(lease.is_valid(At(1100)));
}

TEST(ConfigurationLeaseTest, OlderReplyDoesNotShortenTheLease) {
  configuration_lease lease(milliseconds(1000));
  lease.set_revision(5);
  lease.confirm(At(500), 5);
  lease.confirm(At(100), 5);
  EXPECT_TRUE(lease.is_valid(At(1499)));
}

TEST(ConfigurationLeaseTest, NewerRevisionConfirmsNothingUntilItIsInForce) {
  configuration_lease lease(milliseconds(1000));
  lease.set_revision(5);
  lease.confirm(At(100), 5);
  lease.confirm(At(900), 6);
  EXPECT_FALSE(lease.is_valid(At(1100)));
  lease.set_revision(6);
  EXPECT_TRUE(lease.is_valid(At(1899)));
}

TEST(ConfigurationLeaseTest, AlwaysValidWithoutABound) {
  EXPECT_TRUE(configuration_lease().is_valid(At(1)));
  EXPECT_FALSE(configuration_lease().bounded());
}

TEST(RevocationBoundTest, LeaseIsShorterThanTheBound) {
  EXPECT_EQ(revocation_bound{}.lease_duration(), std::nullopt);
  EXPECT_EQ(revocation_bound{milliseconds(5000)}.lease_duration(), milliseconds(4750));
  EXPECT_EQ(revocation_bound{milliseconds(400)}.lease_duration(), milliseconds(200));
}

/// One step of a history of writes to the store and queries of a gateway.
struct Step {
  int kind;   // 0: a write to the store, 1: a query, 2: its reply, 3: a revision is put in force.
  int pause;  // Before the step, in milliseconds.
};

// For any delays between a query, its reply and the application of a revision, the lease is never
// valid for longer than its duration after a newer revision was written.
RC_GTEST_PROP(ConfigurationLeaseProperty, NeverValidBeyondItsDurationAfterASupersedingWrite, ()) {
  const milliseconds length(1000);
  configuration_lease lease(length);
  std::vector<instant> written = {At(0)};  // When each revision was written, from revision 1.
  struct Query {
    instant requested_at;
    std::uint64_t newest;  // When the store processed the query.
  };
  std::vector<Query> pending;
  int now = 1;
  std::uint64_t applied = 1;
  lease.set_revision(1);
  int steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    now += *rc::gen::inRange(0, 700);
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        written.push_back(At(now));
        break;
      case 1:
        pending.push_back({At(now), written.size()});
        break;
      case 2:
        if (!pending.empty()) {
          auto chosen = *rc::gen::inRange<std::size_t>(0, pending.size());
          lease.confirm(pending[chosen].requested_at, pending[chosen].newest);
          pending.erase(pending.begin() + static_cast<std::ptrdiff_t>(chosen));
        }
        break;
      default:
        if (applied < written.size()) {
          lease.set_revision(++applied);
        }
    }
    bool superseded = applied < written.size();
    if (superseded && lease.is_valid(At(now))) {
      RC_ASSERT(At(now) - written[applied] < length);
    }
  }
}

confirmation_state State(int now, zone_role role, std::optional<int> confirmed) {
  confirmation_state state;
  state.m_now = At(now);
  state.m_role = role;
  if (confirmed) {
    state.m_last_confirmed = At(*confirmed);
  }
  return state;
}

TEST(ConfirmationScheduleTest, RecentConfirmationNeedsNoQuery) {
  confirmation_schedule schedule(milliseconds(5000), 0.5);
  auto due = schedule.due(State(900, zone_role::representative, 0));
  EXPECT_FALSE(due.m_store || due.m_own_zone || due.m_other_zones);
  due = schedule.due(State(400, zone_role::member, 0));
  EXPECT_FALSE(due.m_store || due.m_own_zone || due.m_other_zones);
  EXPECT_TRUE(schedule.due(State(500, zone_role::member, 0)).m_own_zone);
}

TEST(ConfirmationScheduleTest, RepresentativeQueriesTheStoreAndMembersTheirZone) {
  confirmation_schedule representative(milliseconds(5000), 0.5);
  EXPECT_TRUE(representative.due(State(1000, zone_role::representative, 0)).m_store);
  confirmation_schedule member(milliseconds(5000), 0.5);
  auto due = member.due(State(1000, zone_role::member, 0));
  EXPECT_FALSE(due.m_store);
  EXPECT_TRUE(due.m_own_zone);
}

TEST(ConfirmationScheduleTest, WithoutRepliesMembersQueryOtherZonesAndThenTheStore) {
  confirmation_schedule schedule(milliseconds(5000), 0.0);
  EXPECT_TRUE(schedule.due(State(2000, zone_role::member, 0)).m_other_zones);
  EXPECT_FALSE(schedule.due(State(3200, zone_role::member, 0)).m_store);
  EXPECT_TRUE(schedule.due(State(3250, zone_role::member, 0)).m_store);
}

TEST(ConfirmationScheduleTest, MembersDoNotQueryTheStoreWhileAggregatorsReply) {
  confirmation_schedule schedule(milliseconds(5000), 0.0);
  EXPECT_TRUE(schedule.due(State(3250, zone_role::member, 0)).m_store);
  int queries = 0;
  for (int now = 3350; now < 7000; now += 100) {
    schedule.on_peer_reply(At(now));
    queries += schedule.due(State(now, zone_role::member, 0)).m_store ? 1 : 0;
  }
  EXPECT_EQ(queries, 0);
}

TEST(ConfirmationScheduleTest, UnresponsiveStoreIsQueriedWithBackoff) {
  confirmation_schedule schedule(milliseconds(5000), 0.0);
  int queries = 0;
  for (int now = 1000; now < 11000; now += 100) {
    if (schedule.due(State(now, zone_role::representative, 0)).m_store) {
      ++queries;
      schedule.on_store_reply(false);
    }
  }
  EXPECT_LE(queries, 7);
  EXPECT_GE(queries, 5);
}

TEST(ConfirmationScheduleTest, RecoveredStoreIsQueriedWithoutWaitingForTheBackoff) {
  for (zone_role role : {zone_role::representative, zone_role::aggregator, zone_role::member}) {
    confirmation_schedule schedule(milliseconds(5000), 0.0);
    int now = 5000;
    while (!schedule.due(State(now, role, 0)).m_store) {
      now += 100;
    }
    schedule.on_store_reply(false);
    EXPECT_FALSE(schedule.due(State(now + 100, role, 0)).m_store);
    schedule.on_store_recovered();
    EXPECT_TRUE(schedule.due(State(now + 200, role, 0)).m_store);
    EXPECT_FALSE(schedule.due(State(now + 300, role, 0)).m_store) << "once";
  }
}

TEST(ConfirmationScheduleTest, NeverConfirmedMemberQueriesPeersImmediately) {
  confirmation_schedule schedule(milliseconds(5000), 1.0);
  auto due = schedule.due(State(0, zone_role::member, std::nullopt));
  EXPECT_TRUE(due.m_other_zones);
  EXPECT_FALSE(due.m_store);
}

}  // namespace
}  // namespace martenyard::tenancy
