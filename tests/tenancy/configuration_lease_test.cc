#include "tenancy/configuration_lease.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <vector>

#include "tenancy/bounds.h"
#include "tenancy/confirmation_plan.h"

namespace martenyard::tenancy {
namespace {

using std::chrono::milliseconds;

instant At(int milliseconds_since_start) { return instant(milliseconds(milliseconds_since_start)); }

TEST(ConfigurationLeaseTest, HoldsForItsLengthAfterTheQuestionNotTheAnswer) {
  configuration_lease lease(milliseconds(1000));
  lease.set_revision(5);
  EXPECT_FALSE(lease.holds(At(0)));
  lease.confirm(At(100), 5);
  EXPECT_TRUE(lease.holds(At(1099)));
  EXPECT_FALSE(lease.holds(At(1100)));
}

TEST(ConfigurationLeaseTest, OlderAnswersShortenNothing) {
  configuration_lease lease(milliseconds(1000));
  lease.set_revision(5);
  lease.confirm(At(500), 5);
  lease.confirm(At(100), 5);
  EXPECT_TRUE(lease.holds(At(1499)));
}

TEST(ConfigurationLeaseTest, NewerRevisionElsewhereConfirmsNothingHereUntilItIsInForce) {
  configuration_lease lease(milliseconds(1000));
  lease.set_revision(5);
  lease.confirm(At(100), 5);
  lease.confirm(At(900), 6);
  EXPECT_FALSE(lease.holds(At(1100)));
  lease.set_revision(6);
  EXPECT_TRUE(lease.holds(At(1899)));
}

TEST(ConfigurationLeaseTest, WithoutABoundItAlwaysHolds) {
  EXPECT_TRUE(configuration_lease().holds(At(1)));
  EXPECT_FALSE(configuration_lease().bounded());
}

TEST(RevocationBoundTest, LeaseIsShorterThanTheBound) {
  EXPECT_EQ(revocation_bound{}.lease(), std::nullopt);
  EXPECT_EQ(revocation_bound{milliseconds(5000)}.lease(), milliseconds(4750));
  EXPECT_EQ(revocation_bound{milliseconds(400)}.lease(), milliseconds(200));
}

/// One step of a history: the store's writes, and what a gateway asks, hears and applies.
struct Step {
  int kind;   // 0: the store gets a new revision. 1: a question. 2: its answer. 3: it is applied
              // here.
  int pause;  // Before the step, in milliseconds.
};

// Whatever the delays between a question, its answer and the application of what came: a request
// taken under the lease is never later than the bound after a newer revision was written.
RC_GTEST_PROP(ConfigurationLeaseProperty, NeverHoldsBeyondTheBoundAfterASupersedingWrite, ()) {
  const milliseconds length(1000);
  configuration_lease lease(length);
  std::vector<instant> written = {At(0)};  // By revision, from 1 on.
  struct Question {
    instant asked;
    std::uint64_t newest;  // When the store took the question.
  };
  std::vector<Question> open;
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
        open.push_back({At(now), written.size()});
        break;
      case 2:
        if (!open.empty()) {
          auto chosen = *rc::gen::inRange<std::size_t>(0, open.size());
          lease.confirm(open[chosen].asked, open[chosen].newest);
          open.erase(open.begin() + static_cast<std::ptrdiff_t>(chosen));
        }
        break;
      default:
        if (applied < written.size()) {
          lease.set_revision(++applied);
        }
    }
    bool superseded = applied < written.size();
    if (superseded && lease.holds(At(now))) {
      RC_ASSERT(At(now) - written[applied] < length);
    }
  }
}

confirmation_view See(int now, zone_part part, std::optional<int> confirmed) {
  confirmation_view seen;
  seen.m_now = At(now);
  seen.m_part = part;
  if (confirmed) {
    seen.m_confirmed = At(*confirmed);
  }
  return seen;
}

TEST(ConfirmationPlanTest, FreshConfirmationAsksNobody) {
  confirmation_plan plan(milliseconds(5000), 0.5);
  auto due = plan.due(See(900, zone_part::speaker, 0));
  EXPECT_FALSE(due.m_store || due.m_own_zone || due.m_widely);
  due = plan.due(See(400, zone_part::member, 0));
  EXPECT_FALSE(due.m_store || due.m_own_zone || due.m_widely);
  EXPECT_TRUE(plan.due(See(500, zone_part::member, 0)).m_own_zone);
}

TEST(ConfirmationPlanTest, SpeakerAsksTheStoreAndMembersTheirZone) {
  confirmation_plan speaker(milliseconds(5000), 0.5);
  EXPECT_TRUE(speaker.due(See(1000, zone_part::speaker, 0)).m_store);
  confirmation_plan member(milliseconds(5000), 0.5);
  auto due = member.due(See(1000, zone_part::member, 0));
  EXPECT_FALSE(due.m_store);
  EXPECT_TRUE(due.m_own_zone);
}

TEST(ConfirmationPlanTest, WithoutAnswersMembersAskMoreWidelyAndThenTheStore) {
  confirmation_plan plan(milliseconds(5000), 0.0);
  EXPECT_TRUE(plan.due(See(2000, zone_part::member, 0)).m_widely);
  EXPECT_FALSE(plan.due(See(3200, zone_part::member, 0)).m_store);
  EXPECT_TRUE(plan.due(See(3250, zone_part::member, 0)).m_store);
}

TEST(ConfirmationPlanTest, MembersLeaveTheStoreAloneWhileAggregatorsAnswer) {
  confirmation_plan plan(milliseconds(5000), 0.0);
  EXPECT_TRUE(plan.due(See(3250, zone_part::member, 0)).m_store);
  int asked = 0;
  for (int now = 3350; now < 7000; now += 100) {
    plan.note_peer(At(now));
    asked += plan.due(See(now, zone_part::member, 0)).m_store ? 1 : 0;
  }
  EXPECT_EQ(asked, 0);
}

TEST(ConfirmationPlanTest, StoreThatDoesNotAnswerIsAskedLessAndLess) {
  confirmation_plan plan(milliseconds(5000), 0.0);
  int asked = 0;
  for (int now = 1000; now < 11000; now += 100) {
    if (plan.due(See(now, zone_part::speaker, 0)).m_store) {
      ++asked;
      plan.note_store(false);
    }
  }
  EXPECT_LE(asked, 7);
  EXPECT_GE(asked, 5);
}

TEST(ConfirmationPlanTest, StoreThatIsBackIsAskedWithoutTheRestOfThePause) {
  for (zone_part part : {zone_part::speaker, zone_part::aggregator, zone_part::member}) {
    confirmation_plan plan(milliseconds(5000), 0.0);
    int now = 5000;
    while (!plan.due(See(now, part, 0)).m_store) {
      now += 100;
    }
    plan.note_store(false);
    EXPECT_FALSE(plan.due(See(now + 100, part, 0)).m_store);
    plan.note_store_back();
    EXPECT_TRUE(plan.due(See(now + 200, part, 0)).m_store);
    EXPECT_FALSE(plan.due(See(now + 300, part, 0)).m_store) << "once";
  }
}

TEST(ConfirmationPlanTest, NeverConfirmedMemberAsksPeersAtOnce) {
  confirmation_plan plan(milliseconds(5000), 1.0);
  auto due = plan.due(See(0, zone_part::member, std::nullopt));
  EXPECT_TRUE(due.m_widely);
  EXPECT_FALSE(due.m_store);
}

}  // namespace
}  // namespace martenyard::tenancy
