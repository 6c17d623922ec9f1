#include "aggregation/slots.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace martenyard::aggregation
{
namespace
{

/// @return the number of the slot that the gateway holds, 0 if none
std::size_t slot_number(const slot_table& table, const contact& gateway)
{
    auto zone = table.find(gateway.m_zone);
    if (zone == table.end())
    {
        return 0;
    }
    auto held =
        std::find_if(zone->second.begin(), zone->second.end(),
                     [&](const auto& entry)
                     {
                         return entry.second.m_holder && entry.second.m_holder->m_name == gateway.m_name;
                     });
    return held == zone->second.end() ? 0 : held->first;
}

}  // namespace

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

std::vector<wire::Endpoint> summary_targets(const slot_table& table, const contact& self,
                                            const summary_spread& spread)
{
    std::size_t first = slot_number(table, self);
    std::vector<wire::Endpoint> targets;
    for (const std::string& zone : near_zones(table, self.m_zone, spread.m_most_zones))
    {
        std::vector<wire::Endpoint> holders;
        for (const auto& [number, taken] : table.at(zone))
        {
            if (taken.m_holder)
            {
                holders.push_back(taken.m_holder->m_endpoint);
            }
        }
        for (std::size_t copy = 0; copy < std::min(spread.m_copies, holders.size()); ++copy)
        {
            targets.push_back(holders[(first + copy) % holders.size()]);
        }
    }
    return targets;
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
    if (!taken.m_holder)
    {
        watched.m_since = watched.m_since.value_or(seen.m_now);
        return seen.m_now - *watched.m_since >= pause(number);
    }
    auto heard = seen.m_heard->find(taken.m_holder->m_name);
    instant last = heard == seen.m_heard->end() ? *m_began : std::max(*m_began, heard->second);
    watched.m_since.reset();
    auto patience = hears_anybody(seen) ? m_options.m_holder_patience : m_options.m_alone_patience;
    return seen.m_now - last >= patience + pause(number);
}

std::optional<slot_claim> slot_claims::due(const view& seen, const slot_table& table)
{
    m_began = m_began.value_or(seen.m_now);
    auto zone = table.find(m_self.m_zone);
    if (auto own = held(table))
    {
        const slot& taken = zone->second.at(*own);
        bool moved = *taken.m_holder != m_self;  // It was taken from another address.
        return moved ? std::make_optional(slot_claim{*own, taken.m_revision}) : std::nullopt;
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

}  // namespace martenyard::aggregation
