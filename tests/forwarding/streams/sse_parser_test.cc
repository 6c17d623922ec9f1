#include "forwarding/streams/sse_parser.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "forwarding/streams/delivered_events.h"

namespace martenyard::forwarding
{
namespace
{

RC_GTEST_PROP(SseParserTest, ResultIsIndependentOfChunking, ())
{
    auto count = *rc::gen::inRange(0, 8);
    bool crlf = *rc::gen::arbitrary<bool>();
    std::string line_end = crlf ? "\r\n" : "\n";
    std::string bytes;
    std::string data;
    for (int number = 1; number <= count; ++number)
    {
        bytes += "id: " + std::to_string(number) + line_end + "data: e" + std::to_string(number) + line_end +
                 line_end;
        data += "e" + std::to_string(number) + "\n";
    }
    std::string tail = "id: 99" + line_end + "dat";
    std::string whole = bytes + tail;
    sse_parser parser;
    delivered_events delivered;
    std::string texts;
    std::size_t at = 0;
    while (at < whole.size())
    {
        auto piece = *rc::gen::inRange<std::size_t>(1, 12);
        for (const sse_event& event : parser.feed(whole.substr(at, piece)))
        {
            texts += event.m_text;
            delivered.add(event);
        }
        at += piece;
    }
    RC_ASSERT(texts == bytes);
    RC_ASSERT(parser.unfinished() == tail);
    RC_ASSERT(delivered.data() == data);
    RC_ASSERT(delivered.count() == static_cast<std::uint64_t>(count));
    RC_ASSERT(delivered.last_id() == (count == 0 ? "" : std::to_string(count)));
}

TEST(SseParserTest, IgnoresOtherFieldsAndJoinsDataLines)
{
    sse_parser parser;
    delivered_events delivered;
    for (const sse_event& event : parser.feed("weight-versions: 2\nid: 1\ndata: a\ndata: b\n\n: comment\n\n"))
    {
        delivered.add(event);
    }
    EXPECT_EQ(delivered.count(), 1U);
    EXPECT_EQ(delivered.data(), "a\nb\n");
}

}  // namespace
}  // namespace martenyard::forwarding
