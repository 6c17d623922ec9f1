#include "forwarding/crashes/suspect_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace martenyard::forwarding
{
namespace
{

using namespace std::chrono_literals;
using turn_ledger::crash_record;

const suspect_table::instant start{};

request_fingerprint request(std::uint8_t number)
{
    request_fingerprint fingerprint;
    fingerprint.m_bytes[0] = number;
    return fingerprint;
}

TEST(SuspectTableTest, RecordsAreKeptUntilTheyAreCleared)
{
    suspect_table table;
    table.add(start, request(1), crash_record("a", "try-0"));
    table.add(start, request(1), crash_record("a", "try-1"));
    table.add(start, request(1), crash_record("b", "try-0"));
    EXPECT_EQ(table.records(start, request(1)).size(), 3U);
    table.clear(request(1), crash_record("a", "try-0"));
    table.clear(request(1), crash_record("a", "try-1"));
    EXPECT_EQ(table.records(start, request(1)), turn_ledger::crash_records{crash_record("b", "try-0")});
    table.clear(request(1), crash_record("b", "try-0"));
    EXPECT_EQ(table.size(), 0U);
}

// Guards against a request that is held back here for records that another gateway has cleared.
TEST(SuspectTableTest, RecordsOfTheLedgerReplaceThoseKnownHere)
{
    suspect_table table;
    table.add(start, request(1), crash_record("a", "try-0"));
    table.replace(start, request(1), {crash_record("b", "try-1")});
    EXPECT_EQ(table.records(start, request(1)), turn_ledger::crash_records{crash_record("b", "try-1")});
}

// Guards against a request that stays held back here after another gateway has cleared all its records.
TEST(SuspectTableTest, ReplyWithoutRecordsRemovesThoseThatTheLedgerHad)
{
    suspect_table table;
    table.add(start, request(1), crash_record("a", "try-0"));
    table.replace(start, request(1), {});
    EXPECT_EQ(table.size(), 0U);
}

// Guards against the loss of a record that the ledger could not be told.
TEST(SuspectTableTest, UncommittedRecordOutlivesRepliesUntilTheLedgerHasIt)
{
    suspect_table table;
    table.add_uncommitted(start, request(1), crash_record("a", "try-0"));
    table.replace(start, request(1), {});
    EXPECT_EQ(table.records(start, request(1)).size(), 1U);
    table.replace(start, request(1), {crash_record("a", "try-0"), crash_record("b", "try-1")});
    EXPECT_EQ(table.records(start, request(1)).size(), 2U);
    table.replace(start, request(1), {});
    EXPECT_TRUE(table.records(start, request(1)).empty());
    table.add_uncommitted(start, request(1), crash_record("a", "try-0"));
    table.clear(request(1), crash_record("a", "try-0"));
    EXPECT_EQ(table.size(), 0U);
}

TEST(SuspectTableTest, RequestIsForgottenAfterItsLifetime)
{
    suspect_table table({.m_lifetime = 60s});
    table.add(start, request(1), crash_record("a", "try-0"));
    table.add(start + 50s, request(1), crash_record("b", "try-0"));
    EXPECT_EQ(table.records(start + 110s, request(1)).size(), 2U);
    EXPECT_TRUE(table.records(start + 111s, request(1)).empty());
    table.add(start + 111s, request(1), crash_record("c", "try-0"));
    EXPECT_EQ(table.records(start + 111s, request(1)).size(), 1U);
}

// Guards against a flood of single losses that displaces the requests under which several runners ended.
RC_GTEST_PROP(SuspectTableProperty, FullTableDropsThoseWithTheFewestRunners, ())
{
    suspect_table table({.m_max_requests = 8});
    table.add(start, request(0), crash_record("a", "try-0"));
    table.add(start, request(0), crash_record("b", "try-0"));
    auto others = *rc::gen::container<std::vector<std::uint8_t>>(rc::gen::inRange<std::uint8_t>(1, 255));
    for (std::uint8_t other : others)
    {
        table.add(start + 1s, request(other), crash_record("c", "try-0"));
        RC_ASSERT(table.size() <= 8U);
    }
    RC_ASSERT(table.records(start + 1s, request(0)).size() == 2U);
}

}  // namespace
}  // namespace martenyard::forwarding
