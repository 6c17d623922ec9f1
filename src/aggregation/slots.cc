#include "aggregation/slots.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace martenyard::aggregation
{
std::vector<std::string> nearest_in_ring(const std::vector<std::string>& names, const std::string& name,
                                         std::size_t max_count)
{
    std::vector<std::string> ring = names;
    std::rotate(ring.begin(), std::upper_bound(ring.begin(), ring.end(), name), ring.end());
    std::vector<std::string> nearest;
    for (std::size_t index = 0; index < std::min(ring.size(), max_count); ++index)
    {
        bool from_front = index % 2 == 0;
        nearest.push_back(from_front ? ring[index / 2] : ring[ring.size() - 1 - index / 2]);
    }
    return nearest;
}

std::vector<std::string> neighbor_zones(const slot_table& table, const std::string& zone,
                                        std::size_t max_count)
{
    std::vector<std::string> others;
    for (const auto& [name, slots] : table)
    {
        if (name != zone)
        {
            others.push_back(name);
        }
    }
    return nearest_in_ring(others, zone, max_count);
}

std::vector<contact> slot_holders(const slot_table& table, const std::string& zone)
{
    std::vector<contact> holders;
    auto slots = table.find(zone);
    if (slots != table.end())
    {
        for (const auto& [number, current] : slots->second)
        {
            if (current.m_holder)
            {
                holders.push_back(*current.m_holder);
            }
        }
    }
    return holders;
}

std::string announcing_zone(const slot_table& table, const std::string& machine, const std::string& zone)
{
    if (!slot_holders(table, zone).empty())
    {
        return zone;
    }
    std::string chosen;
    std::uint64_t highest = 0;
    for (const auto& [other, slots] : table)
    {
        std::uint64_t rank = StableHash(other, StableHash(machine));
        if (!slot_holders(table, other).empty() && (chosen.empty() || rank > highest))
        {
            chosen = other;
            highest = rank;
        }
    }
    return chosen;
}

slot_claim_policy::slot_claim_policy(contact self, double processor_share, const slot_options& options)
    : m_self(std::move(self)), m_processor_share(processor_share), m_options(options)
{
}

void slot_claim_policy::set_cell(const std::string& cell)
{
    if (cell != m_self.m_zone)
    {
        m_self.m_zone = cell;
        m_tracked.clear();
    }
}

std::optional<std::size_t> slot_claim_policy::held_slot(const slot_table& table) const
{
    auto zone = table.find(m_self.m_zone);
    if (zone == table.end())
    {
        return std::nullopt;
    }
    for (const auto& [number, current] : zone->second)
    {
        if (current.m_holder && current.m_holder->m_name == m_self.m_name)
        {
            return number;
        }
    }
    return std::nullopt;
}

std::chrono::milliseconds slot_claim_policy::claim_delay(std::size_t number) const
{
    auto jitter_range = static_cast<std::uint64_t>(m_options.m_jitter.count());
    std::chrono::milliseconds jitter(StableHash(m_self.m_name, number) % jitter_range);
    return m_processor_share < m_options.m_low_cpu_share ? jitter + m_options.m_low_cpu_delay : jitter;
}

bool slot_claim_policy::any_aggregator_alive(const peer_activity& activity) const
{
    return std::any_of(activity.m_last_seen->begin(), activity.m_last_seen->end(),
                       [&](const auto& entry)
                       {
                           return activity.m_now - entry.second < m_options.m_holder_timeout / 2;
                       });
}

bool slot_claim_policy::is_due(const peer_activity& activity, const slot& current, tracked_slot& tracked,
                               std::size_t number) const
{
    std::string holder = current.m_holder ? current.m_holder->m_name : "";
    if (!tracked.m_holder_since || tracked.m_holder != holder)
    {
        tracked.m_holder = holder;
        tracked.m_holder_since = activity.m_now;
    }
    if (!current.m_holder)
    {
        return activity.m_now - *tracked.m_holder_since >= claim_delay(number);
    }
    auto seen = activity.m_last_seen->find(holder);
    instant last_seen = seen == activity.m_last_seen->end() ? *tracked.m_holder_since
                                                            : std::max(*tracked.m_holder_since, seen->second);
    auto timeout = any_aggregator_alive(activity) ? m_options.m_holder_timeout : m_options.m_isolated_timeout;
    return activity.m_now - last_seen >= timeout + claim_delay(number);
}

std::optional<slot_claim> slot_claim_policy::next_claim(const peer_activity& activity,
                                                        const slot_table& table)
{
    auto zone = table.find(m_self.m_zone);
    if (auto own = held_slot(table))
    {
        const slot& current = zone->second.at(*own);
        bool address_changed = *current.m_holder != m_self;  // The slot was claimed with another address.
        return address_changed ? std::make_optional(slot_claim{*own, current.m_revision}) : std::nullopt;
    }
    // A gateway that holds several slots would permanently reduce the number of aggregators.
    if (m_last_claim && activity.m_now - *m_last_claim < m_options.m_retry_interval)
    {
        return std::nullopt;
    }
    for (std::size_t number = 0; number < slots_per_zone; ++number)
    {
        slot current;
        if (zone != table.end())
        {
            auto found = zone->second.find(number);
            current = found == zone->second.end() ? slot{} : found->second;
        }
        tracked_slot& tracked = m_tracked[number];
        bool recently_attempted =
            tracked.m_last_attempt && activity.m_now - *tracked.m_last_attempt < m_options.m_retry_interval;
        if (is_due(activity, current, tracked, number) && !recently_attempted)
        {
            return slot_claim{number, current.m_revision};
        }
    }
    return std::nullopt;
}

void slot_claim_policy::record_attempt(instant now, const slot_claim& claim)
{
    m_tracked[claim.m_slot].m_last_attempt = now;
}

void slot_claim_policy::record_claim(instant now)
{
    m_last_claim = now;
}

}  // namespace martenyard::aggregation
