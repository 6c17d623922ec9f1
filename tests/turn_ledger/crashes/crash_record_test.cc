#include "turn_ledger/crashes/crash_record.h"

#include <gtest/gtest.h>

#include "turn_ledger/turn_state.h"

namespace martenyard::turn_ledger
{
namespace
{

const ProgramId crashes = crash_account("0123");

TurnState empty_state()
{
    return TurnState(
        [](consensus::EntryId)
        {
            return std::optional<consensus::Entry>();
        });
}

OperationResult reserve(TurnState& state, const TurnId& record, std::optional<std::uint64_t> limit)
{
    ReserveTurn operation;
    operation.program = crashes;
    operation.turn = record;
    operation.tokens = 1;
    operation.budget = limit;
    return state.Apply({1000, operation}, {1, 1}, false);
}

OperationResult settle(TurnState& state, const TurnId& record)
{
    SettleTurn operation;
    operation.program = crashes;
    operation.turn = record;
    return state.Apply({1000, operation}, {2, 1}, false);
}

TEST(CrashRecordTest, NamesItsRunner)
{
    EXPECT_EQ(runner_of(crash_record("i-1@1764", "try-3")), "i-1@1764");
    crash_records records = {crash_record("a", "try-0"), crash_record("a", "try-1"),
                             crash_record("b", "try-0")};
    EXPECT_EQ(runners_of(records), (std::set<std::string>{"a", "b"}));
}

// Guards against a request that is sent to a fourth runner while three others run it or ended under it.
TEST(CrashRecordTest, LimitHoldsOverEndedRunnersAndSendsUnderWay)
{
    TurnState state = empty_state();
    EXPECT_EQ(reserve(state, crash_record("a", "try-0"), std::nullopt).verdict, Verdict::kDone);
    EXPECT_EQ(reserve(state, crash_record("b", "try-0"), 3).verdict, Verdict::kDone);
    EXPECT_EQ(reserve(state, crash_record("c", "try-0"), 3).verdict, Verdict::kDone);
    EXPECT_EQ(reserve(state, crash_record("d", "try-0"), 3).verdict, Verdict::kBudgetSpent);
    EXPECT_EQ(reserve(state, crash_record("c", "try-0"), 3).verdict, Verdict::kDone) << "a repeated message";
    EXPECT_EQ(state.CrashRecordsOf(crashes).size(), 3U);
}

TEST(CrashRecordTest, SettledRecordIsClearedAndTheRunnerMayBeReportedAgain)
{
    TurnState state = empty_state();
    reserve(state, crash_record("a", "try-0"), 3);
    settle(state, crash_record("a", "try-0"));
    EXPECT_TRUE(state.CrashRecordsOf(crashes).empty());
    EXPECT_EQ(reserve(state, crash_record("a", "try-0"), 3).verdict, Verdict::kAlreadySettled);
    EXPECT_EQ(reserve(state, crash_record("a", "try-1"), 3).verdict, Verdict::kDone);
}

TEST(CrashRecordTest, RecordsOutliveASnapshot)
{
    TurnState state = empty_state();
    reserve(state, crash_record("a", "try-0"), 3);
    state_image_encoder encoder(state.Capture());
    std::string image;
    while (!encoder.done())
    {
        image += encoder.next(100);
    }
    TurnState restored = empty_state();
    ASSERT_TRUE(restored.Restore(image));
    EXPECT_EQ(restored.CrashRecordsOf(crashes), std::vector<TurnId>{crash_record("a", "try-0")});
}

}  // namespace
}  // namespace martenyard::turn_ledger
