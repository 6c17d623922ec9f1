#include "aggregation/change_propagation.h"

#include <algorithm>
#include <utility>

namespace martenyard::aggregation
{
namespace
{

bool contains_name(const std::vector<contact>& gateways, const std::string& name)
{
    return std::any_of(gateways.begin(), gateways.end(),
                       [&name](const contact& gateway)
                       {
                           return gateway.m_name == name;
                       });
}

}  // namespace

change_propagation::change_propagation(std::uint64_t seed, const change_propagation_options& options)
    : m_options(options), m_random(seed)
{
}

void change_propagation::record_revisions(instant now, const contact& peer, const mirror_revisions& revisions)
{
    m_peers[peer.m_name] = {now, peer, revisions};
}

void change_propagation::expire(instant now)
{
    std::erase_if(m_peers,
                  [&](const auto& entry)
                  {
                      return now - entry.second.m_last_seen > m_options.m_peer_lifetime;
                  });
    std::erase_if(m_pushes,
                  [&](const auto& entry)
                  {
                      return !m_peers.contains(entry.first);
                  });
}

std::chrono::milliseconds change_propagation::copy_time(std::size_t mirror) const
{
    return std::chrono::milliseconds(1000 * m_copy_sizes[mirror] / m_options.m_min_copy_rate);
}

bool change_propagation::is_due(instant now, bool behind, bool immediately,
                                std::chrono::milliseconds copy_time, push_state& state) const
{
    if (!behind)
    {
        state = {};
        return false;
    }
    state.m_behind_since = state.m_behind_since.value_or(now);
    bool may_push =
        immediately || now - *state.m_behind_since >= m_options.m_secondary_push_delay + copy_time;
    bool recently_pushed =
        state.m_pushed_at && now - *state.m_pushed_at < m_options.m_push_retry_interval + copy_time;
    return may_push && !recently_pushed;
}

std::vector<change_propagation::due_push> change_propagation::find_due_pushes(
    instant now, const mirror_revisions& own, const aggregator& own_aggregator,
    const std::vector<contact>& immediate)
{
    std::vector<due_push> pushes;
    for (const auto& [name, gateway] : own_aggregator.members())
    {
        if (!own_aggregator.is_live(now, gateway))
        {
            continue;
        }
        bool immediately = gateway.m_primary || contains_name(immediate, name);
        std::array<push_state, mirror_count>& states = m_pushes[name];
        for (std::size_t mirror = 0; mirror < mirror_count; ++mirror)
        {
            std::uint64_t revision = gateway.m_revisions[mirror];
            auto time = revision == 0 ? copy_time(mirror) : std::chrono::milliseconds::zero();
            if (is_due(now, revision < own[mirror], immediately, time, states[mirror]))
            {
                change_push push{name, gateway.m_contact.m_endpoint, mirror, revision};
                pushes.push_back({push, &states[mirror]});
            }
        }
    }
    return pushes;
}

std::vector<change_push> change_propagation::take_due_pushes(instant now, const mirror_revisions& own,
                                                             const aggregator& own_aggregator,
                                                             const std::vector<contact>& immediate)
{
    std::vector<due_push> due = find_due_pushes(now, own, own_aggregator, immediate);
    auto rank = [](const due_push& push)
    {
        return std::make_pair(push.m_push.m_mirror == runners_mirror, push.m_state->m_pushed_at);
    };
    std::stable_sort(due.begin(), due.end(),
                     [rank](const due_push& left, const due_push& right)
                     {
                         return rank(left) < rank(right);
                     });
    due.resize(std::min(due.size(), m_options.m_max_pushes));
    std::vector<change_push> pushes;
    for (const due_push& push : due)
    {
        push.m_state->m_pushed_at = now;
        pushes.push_back(push.m_push);
    }
    return pushes;
}

void change_propagation::cancel(const change_push& push)
{
    auto states = m_pushes.find(push.m_name);
    if (states != m_pushes.end())
    {
        states->second[push.m_mirror].m_pushed_at.reset();
    }
}

std::optional<change_query> change_propagation::next_query(instant now, std::size_t mirror, std::uint64_t own,
                                                           bool may_wait)
{
    std::vector<const peer_state*> candidates;
    for (const auto& [name, peer] : m_peers)
    {
        if (now - peer.m_last_seen <= m_options.m_peer_lifetime && peer.m_revisions[mirror] > own)
        {
            candidates.push_back(&peer);
        }
    }
    lag_state& state = m_lags[mirror];
    if (candidates.empty())
    {
        state = {};
        return std::nullopt;
    }
    state.m_since = state.m_since.value_or(now);
    bool is_waiting = may_wait && now - *state.m_since < m_options.m_query_delay;
    bool recently_queried = state.m_queried_at && now - *state.m_queried_at < m_options.m_query_interval;
    if (is_waiting || recently_queried)
    {
        return std::nullopt;
    }
    state.m_queried_at = now;
    const peer_state& chosen = *candidates[m_random.Below(candidates.size())];
    return change_query{chosen.m_contact.m_endpoint, mirror};
}

std::chrono::milliseconds change_propagation::lag(instant now, std::size_t mirror) const
{
    const std::optional<instant>& since = m_lags[mirror].m_since;
    return since ? std::chrono::duration_cast<std::chrono::milliseconds>(now - *since)
                 : std::chrono::milliseconds::zero();
}

}  // namespace martenyard::aggregation
