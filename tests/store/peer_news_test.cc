// Who watches the store, who asks whom for news, and copies that learn from each other.
#include "store/relay/peer_news.h"

#include <gtest/gtest.h>

#include <string>

namespace martenyard::store {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kConfiguration = 0;

news_digest Digest(const std::string& zone, std::uint64_t change, bool in_contact = true,
                   std::uint16_t port = 1) {
  news_digest digest;
  digest.m_zone = zone;
  digest.m_endpoint = {"10.0.0.1", port};
  digest.m_changes[kConfiguration] = change;
  digest.m_in_contact = in_contact;
  return digest;
}

TEST(PeerNewsTest, GatewayWithoutPeersWatches) {
  peer_news alone("a", "z");
  EXPECT_TRUE(alone.should_watch(instant()));
}

TEST(PeerNewsTest, AsManyWatchInAZoneAsTheKnobSays) {
  constexpr int kGateways = 20;
  int watchers = 0;
  for (int self = 0; self < kGateways; ++self) {
    peer_news news("g" + std::to_string(self), "z");
    for (int peer = 0; peer < kGateways; ++peer) {
      if (peer != self) {
        news.take(instant(), "g" + std::to_string(peer), Digest("z", 0));
      }
    }
    watchers += news.should_watch(instant()) ? 1 : 0;
  }
  EXPECT_EQ(watchers, 3);
}

TEST(PeerNewsTest, SilentPeersAndPeersOutOfContactDoNotCount) {
  peer_news news("z-last", "z");
  for (const char* peer : {"b", "c", "d", "e", "f", "g", "h", "i", "j", "k"}) {
    news.take(instant(), peer, Digest("z", 0, /*in_contact=*/false));
  }
  instant lost = instant() - milliseconds(1500);
  for (const char* peer : {"b", "c", "d", "e", "f", "g", "h", "i", "j", "k"}) {
    news.take(lost, peer, Digest("z", 0, /*in_contact=*/false));
  }
  EXPECT_FALSE(news.should_watch(lost)) << "those before it try first";
  for (const char* peer : {"b", "c", "d", "e", "f", "g", "h", "i", "j", "k"}) {
    news.take(instant(), peer, Digest("z", 0, /*in_contact=*/false));
  }
  news.take(lost, "first", Digest("z", 0, /*in_contact=*/false));
  peer_news first("b", "z");
  EXPECT_TRUE(first.should_watch(lost)) << "nobody is before it";
  EXPECT_TRUE(news.should_watch(instant() + milliseconds(1500))) << "none of them reached it";
  news.take(instant(), "far", Digest("other zone", 0));
  bool before = news.should_watch(instant());
  EXPECT_TRUE(news.should_watch(instant() + milliseconds(1700))) << "all are silent";
  EXPECT_FALSE(before);
}

TEST(PeerNewsTest, PeersThatReachTheLedgerAreNamedNearOnesFirst) {
  peer_news news("a", "z");
  instant now = instant() + milliseconds(5000);
  news.take(now, "far", Digest("y", 0, true, 1));
  news.take(now, "near", Digest("z", 0, true, 2));
  news_digest cut = Digest("z", 0, true, 3);
  cut.m_ledger_silent = true;
  news.take(now, "cut off too", cut);
  news.take(now - milliseconds(1700), "silent", Digest("z", 0, true, 4));
  EXPECT_EQ(news.peers_without_ledger(now), 1U);
  std::vector<wire::Endpoint> peers = news.peers_with_ledger(now, 4);
  ASSERT_EQ(peers.size(), 2U);
  EXPECT_EQ(peers[0].port, 2);
  EXPECT_EQ(peers[1].port, 1);
  EXPECT_EQ(news.peers_with_ledger(now, 1).size(), 1U);
}

TEST(PeerNewsTest, GatewayThatDoesNotWatchAsksAtOnceAndAWatchingOneWaitsForItsWatch) {
  peer_news news("a", "z");
  instant now = instant() + milliseconds(5000);
  news.take(now, "b", Digest("z", 9, true, 7));
  EXPECT_FALSE(news.next_question(now, kConfiguration, 9, false)) << "as new as the peer";
  auto question = news.next_question(now, kConfiguration, 8, false);
  ASSERT_TRUE(question.has_value());
  EXPECT_EQ(question->m_peer.port, 7);
  EXPECT_FALSE(news.next_question(now, kConfiguration, 8, false)) << "just asked";

  peer_news watching("a", "z");
  watching.take(now, "b", Digest("z", 9));
  EXPECT_FALSE(watching.next_question(now, kConfiguration, 8, true));
  now += milliseconds(450);
  watching.take(now, "b", Digest("z", 9));
  EXPECT_TRUE(watching.next_question(now, kConfiguration, 8, true)) << "its watch tells nothing";
}

TEST(PeerNewsTest, NearPeersAreAskedFirstAndAnotherAfterSilence) {
  peer_news news("a", "z");
  instant now = instant() + milliseconds(5000);
  news.take(now, "far", Digest("y", 9, true, 1));
  news.take(now, "near-1", Digest("z", 9, true, 2));
  news.take(now, "near-2", Digest("z", 9, true, 3));
  auto first = news.next_question(now, kConfiguration, 8, false);
  auto second = news.next_question(now + milliseconds(200), kConfiguration, 8, false);
  ASSERT_TRUE(first && second);
  EXPECT_NE(first->m_peer.port, 1);
  EXPECT_NE(second->m_peer.port, 1);
  EXPECT_NE(first->m_peer.port, second->m_peer.port);
}

}  // namespace
}  // namespace martenyard::store
