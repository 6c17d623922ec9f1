#include "turn_ledger/frames/peer_layouts.h"

#include <algorithm>

namespace martenyard::turn_ledger
{

peer_layouts::peer_layouts(const peer_layouts_options& options) : m_options(options)
{
}

std::optional<wire::Layout> peer_layouts::of(const wire::Endpoint& endpoint) const
{
    auto found = m_peers.find(endpoint);
    return found == m_peers.end() ? std::nullopt : found->second.m_reads;
}

bool peer_layouts::note_request(instant now, const wire::Endpoint& endpoint)
{
    peer& to = m_peers[endpoint];
    if (!to.m_unanswered)
    {
        to.m_unanswered = now;
    }
    bool silent = now - *to.m_unanswered >= m_options.m_doubt_after;
    to.m_doubted = to.m_doubted || silent;
    bool just_asked = to.m_asked && now - *to.m_asked < to.m_pause;
    if ((to.m_reads && !to.m_doubted) || just_asked)
    {
        return false;
    }
    to.m_asked = now;
    to.m_pause = std::clamp(2 * to.m_pause, m_options.m_ask_again, m_options.m_longest_pause);
    return true;
}

bool peer_layouts::note_heard(const wire::Endpoint& endpoint, std::optional<wire::Layout> reads)
{
    auto found = m_peers.find(endpoint);
    if (found == m_peers.end())
    {
        return false;  // Nothing was asked of it on this connection.
    }
    peer& from = found->second;
    from.m_unanswered.reset();
    from.m_pause = m_options.m_ask_again;
    // A process that reads several layouts answers each question in its own.
    bool news = reads && (!from.m_reads || from.m_doubted || *reads > *from.m_reads);
    if (!news)
    {
        return false;
    }
    from.m_doubted = false;
    bool changed = from.m_reads != reads;
    from.m_reads = reads;
    return changed;
}

void peer_layouts::note_closed(const wire::Endpoint& endpoint)
{
    m_peers.erase(endpoint);
}

std::size_t peer_layouts::earlier_peers() const
{
    return static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(),
                                                  [](const auto& entry)
                                                  {
                                                      const auto& reads = entry.second.m_reads;
                                                      return reads && *reads < wire::kNewestLayout;
                                                  }));
}

}  // namespace martenyard::turn_ledger
