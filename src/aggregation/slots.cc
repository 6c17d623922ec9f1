#include "aggregation/slots.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace martenyard::aggregation
{
std::vector<std::string> near_zones(const slot_table& table, const std::string& zone, std::size_t most)
{
    std::vector<std::string> circle;
    std::vector<std::string> before;
    for (const auto& [name, slots] : table)
    {
        if (name != zone)
        {
            (name < zone ? before : circle).push_back(name);
        }
    }
    circle.insert(circle.end(), before.begin(), before.end());
    std::vector<std::string> near;
    for (std::size_t pick = 0; pick < std::min(circle.size(), most); ++pick)
    {
        bool from_front = pick % 2 == 0;
        near.push_back(from_front ? circle[pick / 2] : circle[circle.size() - 1 - pick / 2]);
    }
    return near;
}

std::vector<contact> holders_of(const slot_table& table, const std::string& zone)
{
    std::vector<contact> holders;
    auto slots = table.find(zone);
    if (slots != table.end())
    {
        for (const auto& [number, taken] : slots->second)
        {
            if (taken.m_holder)
            {
                holders.push_back(*taken.m_holder);
            }
        }
    }
    return holders;
}

std::string teller_zone(const slot_table& table, const std::string& machine, const std::string& zone)
{
    if (!holders_of(table, zone).empty())
    {
        return zone;
    }
    std::string chosen;
    std::uint64_t highest = 0;
    for (const auto& [other, slots] : table)
    {
        std::uint64_t rank = StableHash(other, StableHash(machine));
        if (!holders_of(table, other).empty() && (chosen.empty() || rank > highest))
        {
            chosen = other;
            highest = rank;
        }
    }
    return chosen;
}

slot_claims::slot_claims(contact self, double processor_share, const slot_options& options)
    : m_self(std::move(self)), m_processor_share(processor_share), m_options(options)
{
}

std::optional<std::size_t> slot_claims::held(const slot_table& table) const
{
    auto zone = table.find(m_self.m_zone);
    if (zone == table.end())
    {
        return std::nullopt;
    }
    for (const auto& [number, taken] : zone->second)
    {
        if (taken.m_holder && taken.m_holder->m_name == m_self.m_name)
        {
            return number;
        }
    }
    return std::nullopt;
}

std::chrono::milliseconds slot_claims::pause(std::size_t number) const
{
    auto spread = static_cast<std::uint64_t>(m_options.m_spread.count());
    std::chrono::milliseconds own(StableHash(m_self.m_name, number) % spread);
    return m_processor_share < m_options.m_weak_share ? own + m_options.m_weak_delay : own;
}

bool slot_claims::hears_anybody(const view& seen) const
{
    return std::any_of(seen.m_heard->begin(), seen.m_heard->end(),
                       [&](const auto& entry)
                       {
                           return seen.m_now - entry.second < m_options.m_holder_patience / 2;
                       });
}

bool slot_claims::is_due(const view& seen, const slot& taken, watched_slot& watched, std::size_t number) const
{
    std::string holder = taken.m_holder ? taken.m_holder->m_name : "";
    if (!watched.m_since || watched.m_holder != holder)
    {
        watched.m_holder = holder;
        watched.m_since = seen.m_now;
    }
    if (!taken.m_holder)
    {
        return seen.m_now - *watched.m_since >= pause(number);
    }
    auto heard = seen.m_heard->find(holder);
    instant last =
        heard == seen.m_heard->end() ? *watched.m_since : std::max(*watched.m_since, heard->second);
    auto patience = hears_anybody(seen) ? m_options.m_holder_patience : m_options.m_alone_patience;
    return seen.m_now - last >= patience + pause(number);
}

std::optional<slot_claim> slot_claims::due(const view& seen, const slot_table& table)
{
    auto zone = table.find(m_self.m_zone);
    if (auto own = held(table))
    {
        const slot& taken = zone->second.at(*own);
        bool moved = *taken.m_holder != m_self;  // It was taken from another address.
        return moved ? std::make_optional(slot_claim{*own, taken.m_revision}) : std::nullopt;
    }
    // One gateway that takes several slots leaves its zone with fewer aggregators for good.
    if (m_taken && seen.m_now - *m_taken < m_options.m_retry)
    {
        return std::nullopt;
    }
    for (std::size_t number = 0; number < slots_per_zone; ++number)
    {
        slot taken;
        if (zone != table.end())
        {
            auto found = zone->second.find(number);
            taken = found == zone->second.end() ? slot{} : found->second;
        }
        watched_slot& watched = m_watched[number];
        bool just_tried = watched.m_tried && seen.m_now - *watched.m_tried < m_options.m_retry;
        if (is_due(seen, taken, watched, number) && !just_tried)
        {
            return slot_claim{number, taken.m_revision};
        }
    }
    return std::nullopt;
}

void slot_claims::note_tried(instant now, const slot_claim& claim)
{
    m_watched[claim.m_slot].m_tried = now;
}

void slot_claims::note_taken(instant now)
{
    m_taken = now;
}

}  // namespace martenyard::aggregation
