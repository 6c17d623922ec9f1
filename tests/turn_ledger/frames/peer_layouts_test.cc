// Layouts of peers are learned again for each connection and when requests get no reply.
#include "turn_ledger/frames/peer_layouts.h"

#include <gtest/gtest.h>

namespace martenyard::turn_ledger
{
namespace
{

using std::chrono::milliseconds;
using wire::Layout;

const wire::Endpoint peer{"10.0.0.1", 7380};

class PeerLayouts : public ::testing::Test
{
  protected:
    bool request_after(int ms)
    {
        m_now += milliseconds(ms);
        return m_layouts.on_request(m_now, peer);
    }

    peer_layouts m_layouts;
    peer_layouts::instant m_now{milliseconds(1000)};
};

TEST_F(PeerLayouts, UnknownPeerIsAskedAtIntervals)
{
    EXPECT_TRUE(request_after(0));
    EXPECT_FALSE(request_after(150));
    EXPECT_EQ(m_layouts.of(peer), std::nullopt);
    EXPECT_TRUE(request_after(60)) << "the question or its reply was lost";
}

TEST_F(PeerLayouts, UnresponsivePeerIsAskedAtGrowingIntervals)
{
    int asked = 0;
    for (int ms = 0; ms < 20000; ms += 50)
    {
        asked += request_after(50) ? 1 : 0;
    }
    EXPECT_LE(asked, 10) << "after 0.2, 0.6, 1.4, 3.0, 6.2 s, then every 3.2 s";
    EXPECT_GE(asked, 8);
    m_layouts.on_frame_received(peer, Layout::kMarked3);
    EXPECT_EQ(m_layouts.of(peer), Layout::kMarked3);
}

TEST_F(PeerLayouts, KnownPeerIsNotAskedAgainWhileItReplies)
{
    request_after(0);
    EXPECT_TRUE(m_layouts.on_frame_received(peer, Layout::kUnmarked1));
    EXPECT_FALSE(m_layouts.on_frame_received(peer, Layout::kUnmarked1)) << "no change";
    for (int second = 0; second < 5; ++second)
    {
        EXPECT_FALSE(request_after(1000));
        m_layouts.on_frame_received(peer, std::nullopt);
    }
    EXPECT_EQ(m_layouts.of(peer), Layout::kUnmarked1);
}

TEST_F(PeerLayouts, PeerThatRepliesInSeveralLayoutsIsKnownByTheNewest)
{
    request_after(0);
    m_layouts.on_frame_received(peer, Layout::kMarked3);
    m_layouts.on_frame_received(peer, Layout::kUnmarked2);
    m_layouts.on_frame_received(peer, Layout::kUnmarked1);
    EXPECT_EQ(m_layouts.of(peer), Layout::kMarked3);
}

TEST_F(PeerLayouts, NewConnectionMayLeadToAnEarlierOrLaterBuild)
{
    for (auto [before, after] :
         {std::pair(Layout::kUnmarked1, Layout::kMarked3), std::pair(Layout::kMarked3, Layout::kUnmarked1)})
    {
        request_after(1000);
        m_layouts.on_frame_received(peer, before);
        m_layouts.on_connection_closed(peer);
        EXPECT_EQ(m_layouts.of(peer), std::nullopt);
        EXPECT_TRUE(request_after(0)) << "at once, on the new connection";
        m_layouts.on_frame_received(peer, after);
        EXPECT_EQ(m_layouts.of(peer), after);
        m_layouts.on_connection_closed(peer);
    }
}

// The last frames of a previous process may be processed after its connection was closed and be attributed to
// the current one.
TEST_F(PeerLayouts, PeerThatStopsReplyingIsAskedAgainAndMayReadLess)
{
    request_after(0);
    m_layouts.on_frame_received(peer, Layout::kMarked3);
    EXPECT_FALSE(request_after(1000));
    EXPECT_FALSE(request_after(300));
    EXPECT_TRUE(request_after(100)) << "no reply for 400 ms";
    EXPECT_EQ(m_layouts.of(peer), Layout::kMarked3) << "the peer may just be slow";
    EXPECT_TRUE(m_layouts.on_frame_received(peer, Layout::kUnmarked1));
    EXPECT_EQ(m_layouts.of(peer), Layout::kUnmarked1);
}

TEST_F(PeerLayouts, FramesOfAPeerWithoutRequestsAreIgnored)
{
    EXPECT_FALSE(m_layouts.on_frame_received(peer, Layout::kMarked3));
    EXPECT_EQ(m_layouts.of(peer), std::nullopt);
}

TEST_F(PeerLayouts, EarlierPeersAreCounted)
{
    request_after(0);
    m_layouts.on_frame_received(peer, Layout::kUnmarked2);
    wire::Endpoint other{"10.0.0.2", 7380};
    m_layouts.on_request(m_now, other);
    m_layouts.on_frame_received(other, wire::kNewestLayout);
    EXPECT_EQ(m_layouts.earlier_peers(), 1U);
}

}  // namespace
}  // namespace martenyard::turn_ledger
