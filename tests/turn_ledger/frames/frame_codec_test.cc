// Frames of other builds, including later ones: decoded if possible, reported as unreadable otherwise.
#include "turn_ledger/frames/frame_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "layouts/samples.h"
#include "wire/codec.h"

namespace martenyard::turn_ledger
{
namespace
{

using wire::Layout;

constexpr auto newest = static_cast<std::uint16_t>(wire::kNewestLayout);

Envelope probe()
{
    return {layouts::gateway_machine(), layouts::ledger_request<LedgerRequest>(Probe{})};
}

TEST(FrameCodec, FrameOfALaterLayoutIsReportedAsUnreadable)
{
    std::string payload = wire::Mark({newest + 1, newest + 4}, wire::Encode(probe()) + "more");
    decoded_frame read = decode_frame(payload);
    auto* unreadable = std::get_if<unreadable_frame>(&read);
    ASSERT_NE(unreadable, nullptr);
    EXPECT_EQ(unreadable->m_layout, newest + 1);
    EXPECT_EQ(unreadable->m_newest, newest + 4);
    EXPECT_EQ(unreadable->m_from, "edge-1");
}

TEST(FrameCodec, LaterBuildThatWritesAKnownLayoutReadsTheNewestOfThisBuild)
{
    decoded_frame read =
        decode_frame(wire::Mark({newest, newest + 4}, wire::Encode(probe(), wire::kNewestLayout)));
    auto* message = std::get_if<decoded_message>(&read);
    ASSERT_NE(message, nullptr);
    EXPECT_EQ(message->m_sender_reads, wire::kNewestLayout);
}

TEST(FrameCodec, GreetingOfALaterBuildIsReadDespiteTrailingBytes)
{
    wire::Greeting greeting{{"10.0.0.9", 7381}, "edge-1", "later", true};
    decoded_frame read =
        decode_frame(wire::Mark({wire::kGreetingLayout, newest + 4}, wire::Encode(greeting) + "more"));
    auto* greeted = std::get_if<greeting_frame>(&read);
    ASSERT_NE(greeted, nullptr);
    EXPECT_EQ(greeted->m_greeting.from, greeting.from);
    EXPECT_EQ(greeted->m_greeting.build, "later");
    EXPECT_TRUE(greeted->m_greeting.wants_reply);
    EXPECT_EQ(greeted->m_newest, newest + 4);
    EXPECT_EQ(common_layout(greeted->m_newest), wire::kNewestLayout);
}

TEST(FrameCodec, OperationThatALayoutDoesNotSupportIsNotEncoded)
{
    Envelope quota{layouts::gateway_machine(), layouts::ledger_request<LedgerRequest>(TakeQuota{})};
    EXPECT_FALSE(encode_frame(quota, Layout::kUnmarked1).has_value());
    EXPECT_TRUE(encode_frame(quota, Layout::kUnmarked2).has_value());
}

/// @return the request as a peer that reads this layout receives it
LedgerRequest received(const LedgerRequest& request, Layout layout)
{
    decoded_frame read = decode_frame(*encode_frame({layouts::gateway_machine(), request}, layout));
    return std::get<LedgerRequest>(std::get<decoded_message>(read).m_envelope.body);
}

// Guards against bytes that a peer of an earlier build can't read, and against a reservation that such a peer
// would take for one that admits all programs.
TEST(FrameCodec, EarlierPeersReadRequestsWithoutTheMembersTheyDoNotKnow)
{
    LedgerRequest reserve = layouts::ledger_request<LedgerRequest>(layouts::reservation());
    LedgerRequest quota =
        layouts::ledger_request<LedgerRequest>(TakeQuota{layouts::quota_request<tenancy::quota_request>()});
    ASSERT_TRUE(reserve.admit_waiting);
    for (Layout layout : {Layout::kUnmarked2, Layout::kMarked3, Layout::kMarked4})
    {
        bool knows = layout >= Layout::kMarked4;
        EXPECT_TRUE(received(reserve, layout).known_programs_only);
        EXPECT_EQ(received(reserve, layout).admit_waiting, knows);
        auto operation = std::get<TakeQuota>(received(quota, layout).operation);
        EXPECT_EQ(operation.request.m_overloaded, knows);
        EXPECT_EQ(operation.request.m_programs.size(), 3U);
        EXPECT_FALSE(received(reserve, layout).origin.has_value());
    }
    EXPECT_TRUE(received(reserve, Layout::kMarked5).origin.has_value());
    EXPECT_FALSE(received(reserve, Layout::kMarked5).crash_account.has_value());
    EXPECT_TRUE(received(reserve, Layout::kMarked6).crash_account.has_value());
}

TEST(FrameCodec, UnmarkedMessageDoesNotStartWithAMark)
{
    for (Layout layout : {Layout::kUnmarked1, Layout::kUnmarked2})
    {
        std::string payload = *encode_frame(probe(), layout);
        absl::string_view message = payload;
        EXPECT_FALSE(wire::TakeMark(message).has_value());
        EXPECT_EQ(message.size(), payload.size());
    }
}

/// A request or reply with arbitrary values in one unmarked layout is never decoded as the other.
RC_GTEST_PROP(FrameCodecProperty, UnmarkedFramesAreDecodedInTheirOwnLayout, ())
{
    Layout layout = *rc::gen::element(Layout::kUnmarked1, Layout::kUnmarked2);
    LedgerReply reply;
    reply.request = *rc::gen::arbitrary<std::uint64_t>();
    reply.result.history = *rc::gen::arbitrary<std::string>();
    reply.result.spent = *rc::gen::arbitrary<std::uint64_t>();
    reply.result.previous_place.tokens = *rc::gen::arbitrary<std::uint32_t>();
    if (layout >= Layout::kUnmarked2)
    {
        reply.result.quota.m_waits_ms = *rc::gen::arbitrary<std::vector<std::int32_t>>();
        reply.result.quota.m_retry_after_ms = *rc::gen::arbitrary<std::uint32_t>();
    }
    reply.leader.address = *rc::gen::element<std::string>("", "10.0.0.2", "127.255.255.255");
    reply.leader.port = *rc::gen::arbitrary<std::uint16_t>();
    LedgerRequest request = layouts::ledger_request<LedgerRequest>(layouts::reservation());
    request.group = GroupId(*rc::gen::arbitrary<std::uint32_t>());
    request.known_programs_only = layout >= Layout::kUnmarked2 && *rc::gen::arbitrary<bool>();
    for (Body body : {Body(reply), Body(request)})
    {
        std::string payload = *encode_frame({layouts::storage_machine(), body}, layout);
        decoded_frame read = decode_frame(payload);
        auto* message = std::get_if<decoded_message>(&read);
        RC_ASSERT(message != nullptr);
        RC_ASSERT(message->m_layout == layout);
        RC_ASSERT(encode_frame(message->m_envelope, layout) == payload);
    }
}

}  // namespace
}  // namespace martenyard::turn_ledger
