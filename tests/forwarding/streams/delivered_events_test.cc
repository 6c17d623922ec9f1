#include "forwarding/streams/delivered_events.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace martenyard::forwarding
{
namespace
{

/// @param[in] id  event id; empty for an event without an id
sse_event event_with(const std::string& id)
{
    sse_event event;
    event.m_text = "id: " + id + "\ndata: d\n\n";
    event.m_data = "d";
    if (!id.empty())
    {
        event.m_id = id;
    }
    return event;
}

/// Whether a resumed stream may start with an event.
struct follow_case
{
    const char* m_name;
    /// the client's Last-Event-Id
    std::string m_after;
    std::vector<std::string> m_delivered;
    std::string m_next;
    bool m_may_follow;
    bool m_can_be_resumed;
    /// learned from other streams of the service
    std::uint64_t m_known_stride = 0;
};

class MayFollowTest : public ::testing::TestWithParam<follow_case>
{
};

TEST_P(MayFollowTest, ChecksTheFirstEvent)
{
    const follow_case& test = GetParam();
    delivered_events delivered(test.m_after, test.m_known_stride);
    for (const std::string& id : test.m_delivered)
    {
        delivered.add(event_with(id));
    }
    EXPECT_EQ(delivered.may_follow(event_with(test.m_next)), test.m_may_follow);
    EXPECT_EQ(delivered.can_be_resumed(), test.m_can_be_resumed);
}

const follow_case follow_cases[] = {
    {"FreshStreamBeginsAnywhere", "", {}, "7", true, false},
    {"FreshStreamWithoutIds", "", {}, "", true, false},
    {"NextAfterOne", "", {"1"}, "2", true, true},
    {"GapAfterOne", "", {"1"}, "3", false, true},
    {"RepeatedId", "", {"1", "2"}, "2", false, true},
    {"FromTheStart", "", {"1", "2"}, "1", false, true},
    {"GapAfterMany", "", {"1", "2", "3"}, "5", false, true},
    {"ObservedStride", "", {"10", "20"}, "30", true, true},
    {"GapInObservedStride", "", {"10", "20"}, "40", false, true},
    {"UnevenIdsMustIncrease", "", {"1", "4", "9"}, "12", true, true},
    {"UnevenIdsMustNotDecrease", "", {"1", "4", "9"}, "4", false, true},
    {"TextIdsMustNotRepeat", "", {"a", "b"}, "b", false, true},
    {"OtherTextIds", "", {"a", "b"}, "c", true, true},
    {"NoIdAfterIds", "", {"1", "2"}, "", false, true},
    {"LastDeliveredHadNoId", "", {"1", ""}, "2", true, false},
    {"ClientResumesAtNext", "12", {}, "13", true, false},
    {"ClientResumesAtGreater", "12", {}, "15", true, false},
    {"ClientResumesButStreamRestarts", "12", {}, "1", false, false},
    {"ClientResumedThenNext", "12", {"13"}, "14", true, true},
    {"ClientResumedThenGap", "12", {"13"}, "15", false, true},
    {"ClientResumesAtNextOfKnownStride", "12", {}, "13", true, false, 1},
    {"ClientResumesAtGapOfKnownStride", "12", {}, "14", false, false, 1},
    {"ClientResumesAtNextOfLongerKnownStride", "12", {}, "37", true, false, 25},
    {"NextAfterOneOfKnownStride", "", {"25"}, "50", true, true, 25},
    {"GapAfterOneOfKnownStride", "", {"25"}, "75", false, true, 25},
    {"ObservedStrideOverridesKnownOne", "", {"10", "20"}, "30", true, true, 1},
    {"FirstEventAfterClientResumptionGivesNoStride", "12", {"37"}, "38", true, true},
    {"LargestNumber", "", {"18446744073709551614", "18446744073709551615"}, "1", false, true},
};

INSTANTIATE_TEST_SUITE_P(Table, MayFollowTest, ::testing::ValuesIn(follow_cases),
                         [](const auto& info)
                         {
                             return std::string(info.param.m_name);
                         });

RC_GTEST_PROP(DeliveredEventsTest, AcceptsOnlyTheNextId, ())
{
    auto first = *rc::gen::inRange<std::uint64_t>(0, 1000);
    auto stride = *rc::gen::inRange<std::uint64_t>(1, 50);
    auto count = *rc::gen::inRange<std::uint64_t>(2, 20);
    auto start_id = *rc::gen::inRange<std::uint64_t>(0, 3000);
    delivered_events delivered;
    for (std::uint64_t number = 0; number < count; ++number)
    {
        delivered.add(event_with(std::to_string(first + number * stride)));
    }
    bool in_order = start_id == first + count * stride;
    RC_ASSERT(delivered.may_follow(event_with(std::to_string(start_id))) == in_order);
    RC_ASSERT(delivered.may_follow(event_with(std::to_string(first + count * stride))));
}

// Guards against memory that grows with the length of a stream whose text nobody needs.
TEST(DeliveredEventsTest, DiscardedDataIsCountedButNotKept)
{
    delivered_events delivered;
    delivered.discard_data();
    sse_event event;
    event.m_id = "7";
    event.m_data = "text";
    delivered.add(event);
    EXPECT_EQ(delivered.count(), 1U);
    EXPECT_EQ(delivered.last_id(), "7");
    EXPECT_TRUE(delivered.can_be_resumed());
    EXPECT_TRUE(delivered.data().empty());
}

// Guards against an event id that adds a line to the head of the request that resumes after it, or makes it
// malformed.
TEST(DeliveredEventsTest, StreamIsNotResumedAfterAnIdThatIsNoFieldValue)
{
    for (const std::string& id : {std::string("1\rEvil: 1"), std::string("1\x01"), std::string("1\0", 2),
                                  std::string("\x7f"), std::string(" 1"), std::string("1\t")})
    {
        delivered_events delivered;
        delivered.add(event_with(id));
        EXPECT_FALSE(delivered.can_be_resumed()) << id;
        delivered.add(event_with("2"));
        EXPECT_TRUE(delivered.can_be_resumed());
        sse_event id_only;
        id_only.m_id = id;
        delivered.add(id_only);
        EXPECT_FALSE(delivered.can_be_resumed()) << id;
    }
}

}  // namespace
}  // namespace martenyard::forwarding
