#include "turn_ledger/crashes/unsettled_tries.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

#include "tenancy/tenant.h"
#include "turn_ledger/crashes/crash_record.h"
#include "turn_ledger/streams/origin_record.h"

namespace martenyard::turn_ledger
{
namespace
{

using namespace std::chrono_literals;

const unsettled_tries::instant start{};
const ProgramId request("request-1");
const ProgramId other_request("request-2");

TurnId reservation(int number)
{
    return TurnId("try-" + std::to_string(number));
}

TEST(UnsettledTriesTest, CountsTheOtherTriesOfTheSameRequest)
{
    unsettled_tries tries;
    tries.add(start, request, reservation(1));
    tries.add(start, request, reservation(2));
    tries.add(start, other_request, reservation(3));
    EXPECT_EQ(tries.count(request, reservation(2), {}), 1U);
    EXPECT_EQ(tries.count(other_request, reservation(3), {}), 0U);
    tries.settle(reservation(1));
    EXPECT_EQ(tries.count(request, reservation(2), {}), 0U);
    tries.reset();
    EXPECT_EQ(tries.size(), 0U);
}

// Guards against a runner that is counted twice, by its record and by the unsettled try.
TEST(UnsettledTriesTest, TryWithARecordIsNotCounted)
{
    unsettled_tries tries;
    TurnId plain("try-1");
    TurnId with_origin = recording_id(TurnId("try-2"), {1, {ServiceName("s"), "v1"}});
    TurnId of_tenant = recording_id(TurnId(tenancy::scoped_id("t", "try-3")), {1, {ServiceName("s"), "v1"}});
    for (const TurnId& each : {plain, with_origin, of_tenant})
    {
        tries.add(start, request, each);
    }
    std::vector<TurnId> records;
    EXPECT_EQ(tries.count(request, reservation(4), records), 3U);
    for (std::size_t left : {2U, 1U, 0U})
    {
        records.push_back(crash_record("runner", "try-" + std::to_string(records.size() + 1)));
        EXPECT_EQ(tries.count(request, reservation(4), records), left);
    }
}

TEST(UnsettledTriesTest, TriesAreForgottenAfterTheirLifetime)
{
    unsettled_tries tries({.m_lifetime = 60s});
    tries.add(start + 1s, request, reservation(1));
    tries.add(start + 30s, request, reservation(2));
    tries.add(start + 62s, request, reservation(3));
    EXPECT_EQ(tries.count(request, reservation(3), {}), 1U);
    EXPECT_EQ(tries.size(), 2U);
}

// Guards against a table that grows without bound, or counts settled tries.
RC_GTEST_PROP(UnsettledTriesProperty, CountsWhatWasAddedAndNotSettledWithinTheBound, ())
{
    constexpr std::size_t most = 8;
    unsettled_tries tries({.m_max_tries = most});
    std::map<ProgramId, std::set<TurnId>> expected;
    std::size_t size = 0;
    auto steps = *rc::gen::container<std::vector<std::pair<int, bool>>>(
        rc::gen::pair(rc::gen::inRange(0, 16), rc::gen::arbitrary<bool>()));
    for (const auto& [number, settles] : steps)
    {
        TurnId turn = reservation(number);
        const ProgramId& of = number % 2 == 0 ? request : other_request;
        std::set<TurnId>& known = expected[of];
        if (settles)
        {
            tries.settle(turn);
            size -= known.erase(turn);
        }
        else
        {
            tries.add(start, of, turn);
            size += size < most && known.insert(turn).second ? 1 : 0;
        }
        RC_ASSERT(tries.size() == size);
        RC_ASSERT(tries.count(request, TurnId(), {}) == expected[request].size());
        RC_ASSERT(tries.count(other_request, TurnId(), {}) == expected[other_request].size());
    }
}

}  // namespace
}  // namespace martenyard::turn_ledger
