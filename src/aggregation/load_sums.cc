#include "aggregation/load_sums.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace martenyard::aggregation
{
namespace
{

/// @return as much of `count` as fits into a byte; it is subtracted from `count`
std::uint8_t take_byte(std::uint32_t& count)
{
    auto taken =
        static_cast<std::uint8_t>(std::min<std::uint32_t>(count, std::numeric_limits<std::uint8_t>::max()));
    count -= taken;
    return taken;
}

}  // namespace

load_sums::load_sums(std::chrono::milliseconds lifetime) : m_lifetime(lifetime)
{
}

void load_sums::update(instant now, const std::string& source, std::vector<runner_load> loads)
{
    source_state& state = m_sources[source];
    add(state.m_loads, -1);
    state = {now, std::move(loads)};
    add(state.m_loads, 1);
}

void load_sums::expire(instant now)
{
    for (auto source = m_sources.begin(); source != m_sources.end();)
    {
        if (now - source->second.m_received_at <= m_lifetime)
        {
            ++source;
            continue;
        }
        add(source->second.m_loads, -1);
        source = m_sources.erase(source);
    }
    absl::erase_if(m_active,
                   [](const auto& entry)
                   {
                       return entry.second == 0;
                   });
}

void load_sums::add_to(absl::flat_hash_map<std::uint32_t, std::uint32_t>& active) const
{
    for (const auto& [runner, count] : m_active)
    {
        if (count > 0)
        {
            active[runner] += static_cast<std::uint32_t>(count);
        }
    }
}

void load_sums::add(const std::vector<runner_load>& loads, int sign)
{
    for (const runner_load& load : loads)
    {
        m_active[load.m_runner] += sign * static_cast<std::int64_t>(load.m_active);
    }
}

pending_updates::pending_updates(std::size_t max_placements) : m_max_placements(max_placements)
{
}

void pending_updates::record(const std::vector<runner_load>& loads, const std::vector<placement>& placements)
{
    for (const runner_load& load : loads)
    {
        if (load.m_served > 0 || load.m_lost > 0)
        {
            outcomes& pending = m_outcomes[load.m_runner];
            pending.m_served += load.m_served;
            pending.m_lost += load.m_lost;
        }
    }
    std::size_t room = m_max_placements - std::min(m_max_placements, m_placements.size());
    std::size_t taken = std::min(room, placements.size());
    m_dropped += placements.size() - taken;
    m_placements.insert(m_placements.end(), placements.begin(),
                        placements.begin() + static_cast<std::ptrdiff_t>(taken));
}

std::vector<runner_load> pending_updates::take_loads(
    const absl::flat_hash_map<std::uint32_t, std::uint32_t>& active)
{
    std::vector<runner_load> loads;
    loads.reserve(active.size() + m_outcomes.size());
    for (const auto& [runner, count] : active)
    {
        runner_load load{runner, static_cast<std::uint16_t>(std::min<std::uint32_t>(count, UINT16_MAX))};
        if (auto pending = m_outcomes.find(runner); pending != m_outcomes.end())
        {
            load.m_served = take_byte(pending->second.m_served);
            load.m_lost = take_byte(pending->second.m_lost);
        }
        loads.push_back(load);
    }
    for (auto& [runner, pending] : m_outcomes)
    {
        if (!active.contains(runner))
        {
            loads.push_back({runner, 0, take_byte(pending.m_served), take_byte(pending.m_lost)});
        }
    }
    absl::erase_if(m_outcomes,
                   [](const auto& entry)
                   {
                       return entry.second.m_served == 0 && entry.second.m_lost == 0;
                   });
    return loads;
}

std::vector<placement> pending_updates::take_placements()
{
    return std::exchange(m_placements, {});
}

}  // namespace martenyard::aggregation
