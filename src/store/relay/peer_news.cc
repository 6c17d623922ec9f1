#include "store/relay/peer_news.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/hash.h"

namespace martenyard::store
{

peer_news::peer_news(std::string self, std::string zone, const peer_news_options& options)
    : m_self(std::move(self)), m_zone(std::move(zone)), m_options(options)
{
}

void peer_news::take(instant now, const std::string& peer, const news_digest& digest)
{
    m_peers[peer] = {now, digest};
}

bool peer_news::is_live(instant now, const heard_peer& peer) const
{
    return now - peer.m_at < m_options.m_peer_lifetime;
}

bool peer_news::should_watch(instant now)
{
    std::size_t watchers = m_options.m_watchers;
    if (peer_in_contact(now))
    {
        m_out_of_contact_since.reset();
    }
    else
    {
        m_out_of_contact_since = m_out_of_contact_since.value_or(now);
        auto waited = now - *m_out_of_contact_since;
        watchers *= 1 + static_cast<std::size_t>(waited / m_options.m_widening);
    }
    auto ranked_before = [&](const auto& entry)
    {
        bool same_zone = entry.second.m_digest.m_zone == m_zone;
        auto peer_rank = std::make_pair(StableHash(entry.first), entry.first);
        return same_zone && is_live(now, entry.second) &&
               peer_rank < std::make_pair(StableHash(m_self), m_self);
    };
    auto before = static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), ranked_before));
    return before < watchers;
}

bool peer_news::peer_in_contact(instant now) const
{
    return std::any_of(m_peers.begin(), m_peers.end(),
                       [&](const auto& entry)
                       {
                           return entry.second.m_digest.m_in_contact && is_live(now, entry.second);
                       });
}

std::size_t peer_news::peers_without_ledger(instant now) const
{
    return static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(),
                                                  [&](const auto& entry)
                                                  {
                                                      return entry.second.m_digest.m_ledger_silent &&
                                                             is_live(now, entry.second);
                                                  }));
}

std::vector<wire::Endpoint> peer_news::peers_with_ledger(instant now, std::size_t most) const
{
    struct ranked_peer
    {
        bool m_far = false;
        std::uint64_t m_rank = 0;
        wire::Endpoint m_endpoint;
    };
    std::vector<ranked_peer> ranked;
    for (const auto& [name, peer] : m_peers)
    {
        if (is_live(now, peer) && !peer.m_digest.m_ledger_silent)
        {
            ranked.push_back({peer.m_digest.m_zone != m_zone, StableHash(m_self, StableHash(name)),
                              peer.m_digest.m_endpoint});
        }
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const ranked_peer& left, const ranked_peer& right)
              {
                  return std::make_pair(left.m_far, left.m_rank) < std::make_pair(right.m_far, right.m_rank);
              });
    std::vector<wire::Endpoint> chosen;
    for (std::size_t index = 0; index < std::min(most, ranked.size()); ++index)
    {
        chosen.push_back(ranked[index].m_endpoint);
    }
    return chosen;
}

std::optional<news_question> peer_news::next_question(instant now, std::size_t mirror, std::uint64_t own,
                                                      bool watching)
{
    std::vector<wire::Endpoint> near;
    std::vector<wire::Endpoint> far;
    for (const auto& [name, peer] : m_peers)
    {
        if (is_live(now, peer) && peer.m_digest.m_changes[mirror] > own)
        {
            (peer.m_digest.m_zone == m_zone ? near : far).push_back(peer.m_digest.m_endpoint);
        }
    }
    lag& state = m_lags[mirror];
    if (near.empty() && far.empty())
    {
        state.m_since.reset();
        return std::nullopt;
    }
    state.m_since = state.m_since.value_or(now);
    bool patient = watching && now - *state.m_since < m_options.m_own_watch_patience;
    bool just_asked = state.m_asked && now - *state.m_asked < m_options.m_ask_pause;
    if (patient || just_asked)
    {
        return std::nullopt;
    }
    state.m_asked = now;
    // A peer that doesn't answer is followed by the next.
    const std::vector<wire::Endpoint>& candidates = near.empty() ? far : near;
    std::size_t turn = StableHash(m_self) % candidates.size() + state.m_turn++;
    return news_question{mirror, candidates[turn % candidates.size()]};
}

}  // namespace martenyard::store
