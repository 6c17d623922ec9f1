#include "forwarding/crashes/loss_watch.h"

#include <gtest/gtest.h>

namespace martenyard::forwarding
{
namespace
{

using namespace std::chrono_literals;

const loss_watch::instant start{};

lost_request loss(const std::string& request, loss_watch::instant lost_at, bool counted)
{
    lost_request result;
    result.m_request = request;
    result.m_lost_at = lost_at;
    if (counted)
    {
        result.m_record = turn_ledger::TurnId("record of " + request);
    }
    return result;
}

TEST(LossWatchTest, RunnerThatServesOnClearsCountedLosses)
{
    loss_watch watch;
    watch.add("a", loss("counted", start, true));
    watch.add("a", loss("uncounted", start, false));
    watch.add("b", loss("elsewhere", start, true));
    auto cleared = watch.take_cleared("a", start + 1s);
    ASSERT_EQ(cleared.size(), 1U);
    EXPECT_EQ(cleared[0].m_request, "counted");
    EXPECT_EQ(watch.size(), 1U);
    EXPECT_TRUE(watch.take_uncounted("a").empty());
}

// Guards against an answer that was on its way while the runner ended.
TEST(LossWatchTest, AnswerToAnEarlierRequestClearsNothing)
{
    loss_watch watch;
    watch.add("a", loss("counted", start + 1s, true));
    EXPECT_TRUE(watch.take_cleared("a", start).empty());
    EXPECT_EQ(watch.size(), 1U);
}

TEST(LossWatchTest, EndOfARunnerTakesTheUncountedLosses)
{
    loss_watch watch;
    watch.add("a", loss("counted", start, true));
    watch.add("a", loss("uncounted", start, false));
    auto uncounted = watch.take_uncounted("a");
    ASSERT_EQ(uncounted.size(), 1U);
    EXPECT_EQ(uncounted[0].m_request, "uncounted");
    EXPECT_EQ(watch.take_cleared("a", start).size(), 1U) << "the counted one may still be cleared";
}

TEST(LossWatchTest, IsBoundedInNumberAndTime)
{
    loss_watch watch(30s, 2);
    watch.add("a", loss("first", start, true));
    watch.add("b", loss("second", start + 1s, true));
    watch.add("a", loss("third", start + 2s, true));
    EXPECT_EQ(watch.size(), 2U);
    EXPECT_EQ(watch.take_cleared("a", start + 3s).front().m_request, "third");
    watch.expire(start + 31s);
    EXPECT_EQ(watch.size(), 1U);
    watch.expire(start + 32s);
    EXPECT_EQ(watch.size(), 0U);
}

}  // namespace
}  // namespace martenyard::forwarding
