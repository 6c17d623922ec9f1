#include "turn_ledger/streams/origin_record.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "turn_ledger/image/state_image.h"
#include "turn_ledger/turn_state.h"

namespace martenyard::turn_ledger
{
namespace
{

constexpr std::uint32_t retention_ms = 60000;
const ProgramId program("p");

stream_origin origin(const std::string& version)
{
    return {ServiceName("s"), version};
}

std::optional<stream_origin> found_among(const TurnId& stream, const std::vector<TurnId>& reservations)
{
    std::map<TurnId, bool> ordered;
    for (const TurnId& reservation : reservations)
    {
        ordered[reservation] = true;
    }
    origin_search search(stream);
    search.add(ordered);
    return search.result();
}

TEST(OriginRecord, RecordOfTheHighestGenerationHolds)
{
    TurnId stream("attempt");
    std::vector<TurnId> reservations{recording_id(stream, {2, origin("v2")}),
                                     recording_id(stream, {10, origin("v3")}),
                                     recording_id(stream, {1, origin("v1")})};
    EXPECT_EQ(found_among(stream, reservations), origin("v3"));
}

TEST(OriginRecord, DifferentRecordsOfOneGenerationAreNoOrigin)
{
    TurnId stream("attempt");
    std::vector<TurnId> reservations{recording_id(stream, {1, origin("v1")}),
                                     recording_id(stream, {1, origin("v2")})};
    EXPECT_EQ(found_among(stream, reservations), std::nullopt);
    reservations.push_back(recording_id(stream, {2, origin("v1")}));
    EXPECT_EQ(found_among(stream, reservations), origin("v1"));
}

TEST(OriginRecord, ReservationsWithoutARecordAndOtherStreamsAreNoOrigin)
{
    TurnId stream("attempt");
    EXPECT_EQ(
        found_among(stream, {stream, recording_id(TurnId("attempt2"), {1, origin("v1")}),
                             recording_id(TurnId("attemp"), {1, origin("v1")}), TurnId("attempt\nx\ns\nv1"),
                             TurnId("attempt\n1"), TurnId("attempt\n1\ns")}),
        std::nullopt);
}

RC_GTEST_PROP(OriginRecordProperty, RecordIsReadAsItWasWritten, ())
{
    auto text = rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
    TurnId stream(*text);
    origin_record record{*rc::gen::arbitrary<std::uint32_t>(), {ServiceName(*text), *text}};
    std::optional<origin_record> read = record_of(stream, recording_id(stream, record));
    RC_ASSERT(read.has_value());
    RC_ASSERT(read->m_generation == record.m_generation);
    RC_ASSERT(read->m_origin == record.m_origin);
}

Command reserve(const TurnId& reservation, std::uint64_t tokens = 0)
{
    ReserveTurn operation;
    operation.program = program;
    operation.turn = reservation;
    operation.tokens = tokens;
    operation.budget = 1000;
    operation.retention_ms = retention_ms;
    return {1000, operation};
}

Command settle(const TurnId& reservation)
{
    SettleTurn operation;
    operation.program = program;
    operation.turn = reservation;
    operation.retention_ms = retention_ms;
    return {1000, operation};
}

TurnState empty_state()
{
    return TurnState(
        [](consensus::EntryId)
        {
            return std::optional<consensus::Entry>();
        });
}

// Guards against a resumption of a stream whose turn was settled meanwhile, or whose ledger was restored from
// a snapshot, at any version.
TEST(StreamOrigin, IsKnownAfterTheTurnIsSettledAndAfterARestart)
{
    TurnId stream("attempt");
    TurnId reservation = recording_id(stream, {1, origin("v1")});
    TurnState state = empty_state();
    state.Apply(reserve(reservation, 100), {1, 1}, false);
    EXPECT_EQ(state.OriginOf({program, stream}), origin("v1"));
    state.Apply(settle(reservation), {2, 1}, false);
    EXPECT_EQ(state.OriginOf({program, stream}), origin("v1"));
    state_image_encoder encoder(state.Capture());
    std::string image;
    while (!encoder.done())
    {
        image += encoder.next(100);
    }
    TurnState restored = empty_state();
    ASSERT_TRUE(restored.Restore(image));
    EXPECT_EQ(restored.OriginOf({program, stream}), origin("v1"));
    EXPECT_EQ(restored.OriginOf({ProgramId("q"), stream}), std::nullopt) << "another program's";
}

TEST(StreamOrigin, RecordOfANewOriginReservesNoTokens)
{
    TurnId stream("attempt");
    TurnState state = empty_state();
    state.Apply(reserve(recording_id(stream, {1, origin("v1")}), 1000), {1, 1}, false);
    OperationResult result = state.Apply(reserve(recording_id(stream, {2, origin("v2")})), {2, 1}, false);
    EXPECT_EQ(result.verdict, Verdict::kDone) << "the budget is reserved by the turn itself";
    EXPECT_EQ(state.OriginOf({program, stream}), origin("v2"));
}

}  // namespace
}  // namespace martenyard::turn_ledger
