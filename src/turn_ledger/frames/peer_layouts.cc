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

bool peer_layouts::on_request(instant now, const wire::Endpoint& endpoint)
{
    peer& state = m_peers[endpoint];
    if (!state.m_unanswered_since)
    {
        state.m_unanswered_since = now;
    }
    bool unanswered = now - *state.m_unanswered_since >= m_options.m_unanswered_limit;
    state.m_stale = state.m_stale || unanswered;
    bool asked_recently = state.m_last_asked && now - *state.m_last_asked < state.m_ask_interval;
    if ((state.m_reads && !state.m_stale) || asked_recently)
    {
        return false;
    }
    state.m_last_asked = now;
    state.m_ask_interval =
        std::clamp(2 * state.m_ask_interval, m_options.m_initial_ask_interval, m_options.m_max_ask_interval);
    return true;
}

bool peer_layouts::on_frame_received(const wire::Endpoint& endpoint, std::optional<wire::Layout> reads)
{
    auto found = m_peers.find(endpoint);
    if (found == m_peers.end())
    {
        return false;  // No request was sent to it on this connection.
    }
    peer& state = found->second;
    state.m_unanswered_since.reset();
    state.m_ask_interval = m_options.m_initial_ask_interval;
    // A process that reads several layouts replies in the layout of each request.
    bool is_update = reads && (!state.m_reads || state.m_stale || *reads > *state.m_reads);
    if (!is_update)
    {
        return false;
    }
    state.m_stale = false;
    bool changed = state.m_reads != reads;
    state.m_reads = reads;
    return changed;
}

void peer_layouts::on_connection_closed(const wire::Endpoint& endpoint)
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
