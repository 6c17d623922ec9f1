#include "aggregation/news.h"

#include <algorithm>
#include <utility>

namespace martenyard::aggregation
{
namespace
{

bool is_among(const std::vector<contact>& gateways, const std::string& name)
{
    return std::any_of(gateways.begin(), gateways.end(),
                       [&name](const contact& gateway)
                       {
                           return gateway.m_name == name;
                       });
}

}  // namespace

news_decisions::news_decisions(std::uint64_t seed, const news_options& options)
    : m_options(options), m_random(seed)
{
}

void news_decisions::heard(instant now, const contact& peer, const known_changes& changes)
{
    m_sources[peer.m_name] = {now, peer, changes};
}

void news_decisions::expire(instant now)
{
    std::erase_if(m_sources,
                  [&](const auto& entry)
                  {
                      return now - entry.second.m_heard > m_options.m_source_lifetime;
                  });
    std::erase_if(m_pushes,
                  [&](const auto& entry)
                  {
                      return !m_sources.contains(entry.first);
                  });
}

bool news_decisions::is_due(instant now, bool behind, bool at_once, push_state& state) const
{
    if (!behind)
    {
        state = {};
        return false;
    }
    state.m_behind_since = state.m_behind_since.value_or(now);
    bool is_ours = at_once || now - *state.m_behind_since >= m_options.m_help_after;
    bool just_pushed = state.m_pushed && now - *state.m_pushed < m_options.m_push_again;
    return is_ours && !just_pushed;
}

std::vector<news_push> news_decisions::take_due_pushes(instant now, const known_changes& own,
                                                       const aggregator& sums,
                                                       const std::vector<contact>& first)
{
    std::vector<news_push> pushes;
    for (const auto& [name, gateway] : sums.members())
    {
        if (!sums.is_live(now, gateway))
        {
            continue;
        }
        bool at_once = gateway.m_primary || is_among(first, name);
        std::array<push_state, mirror_count>& states = m_pushes[name];
        for (std::size_t mirror = 0; mirror < mirror_count; ++mirror)
        {
            bool behind = gateway.m_changes[mirror] < own[mirror];
            bool due = is_due(now, behind, at_once, states[mirror]);
            if (due && pushes.size() < m_options.m_most_pushes)
            {
                states[mirror].m_pushed = now;
                pushes.push_back({gateway.m_contact.m_endpoint, mirror, gateway.m_changes[mirror]});
            }
        }
    }
    return pushes;
}

std::optional<news_question> news_decisions::next_question(instant now, std::size_t mirror, std::uint64_t own,
                                                           bool patient)
{
    std::vector<const source*> ahead;
    for (const auto& [name, peer] : m_sources)
    {
        if (now - peer.m_heard <= m_options.m_source_lifetime && peer.m_changes[mirror] > own)
        {
            ahead.push_back(&peer);
        }
    }
    lag& state = m_lags[mirror];
    if (ahead.empty())
    {
        state = {};
        return std::nullopt;
    }
    state.m_since = state.m_since.value_or(now);
    bool waits = patient && now - *state.m_since < m_options.m_ask_after;
    bool just_asked = state.m_asked && now - *state.m_asked < m_options.m_ask_again;
    if (waits || just_asked)
    {
        return std::nullopt;
    }
    state.m_asked = now;
    const source& chosen = *ahead[m_random.Below(ahead.size())];
    return news_question{chosen.m_contact.m_endpoint, mirror};
}

}  // namespace martenyard::aggregation
