#include "forwarding/streams/event_cutter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "forwarding/streams/passed_events.h"

namespace martenyard::forwarding
{
namespace
{

RC_GTEST_PROP(EventCutterTest, ResultIsIndependentOfChunking, ())
{
    auto count = *rc::gen::inRange(0, 8);
    bool carriage = *rc::gen::arbitrary<bool>();
    std::string end = carriage ? "\r\n" : "\n";
    std::string bytes;
    std::string data;
    for (int number = 1; number <= count; ++number)
    {
        bytes += "id: " + std::to_string(number) + end + "data: e" + std::to_string(number) + end + end;
        data += "e" + std::to_string(number) + "\n";
    }
    std::string tail = "id: 99" + end + "dat";
    std::string whole = bytes + tail;
    event_cutter cutter;
    passed_events passed;
    std::string texts;
    std::size_t at = 0;
    while (at < whole.size())
    {
        auto piece = *rc::gen::inRange<std::size_t>(1, 12);
        for (const stream_event& event : cutter.feed(whole.substr(at, piece)))
        {
            texts += event.m_text;
            passed.take(event);
        }
        at += piece;
    }
    RC_ASSERT(texts == bytes);
    RC_ASSERT(cutter.unfinished() == tail);
    RC_ASSERT(passed.data() == data);
    RC_ASSERT(passed.count() == static_cast<std::uint64_t>(count));
    RC_ASSERT(passed.last_id() == (count == 0 ? "" : std::to_string(count)));
}

TEST(EventCutterTest, IgnoresOtherFieldsAndJoinsDataLines)
{
    event_cutter cutter;
    passed_events passed;
    for (const stream_event& event :
         cutter.feed("weight-versions: 2\nid: 1\ndata: a\ndata: b\n\n: comment\n\n"))
    {
        passed.take(event);
    }
    EXPECT_EQ(passed.count(), 1U);
    EXPECT_EQ(passed.data(), "a\nb\n");
}

}  // namespace
}  // namespace martenyard::forwarding
