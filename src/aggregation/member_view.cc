#include "aggregation/member_view.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace martenyard::aggregation
{
namespace
{

/// takes the same off both
std::uint8_t take_echo(std::uint8_t told, std::uint32_t& reported)
{
    auto own = static_cast<std::uint8_t>(std::min<std::uint32_t>(told, reported));
    reported -= own;
    return static_cast<std::uint8_t>(told - own);
}

}  // namespace

member_view::member_view(contact self, const member_options& options)
    : m_self(std::move(self)), m_options(options)
{
}

void member_view::set_slots(const slot_table& table)
{
    m_aggregators.clear();
    for (const auto& [zone, slots] : table)
    {
        for (const auto& [number, taken] : slots)
        {
            if (taken.m_holder && taken.m_holder->m_name != m_self.m_name)
            {
                m_aggregators.push_back(*taken.m_holder);
                m_introduced.erase(taken.m_holder->m_name);
            }
        }
    }
    // Gateways prefer different ones: each aggregator is about as many gateways' primary.
    auto rank = [this](const contact& aggregator)
    {
        return StableHash(m_self.m_name, StableHash(aggregator.m_name));
    };
    std::sort(m_aggregators.begin(), m_aggregators.end(),
              [&rank](const contact& left, const contact& right)
              {
                  return rank(left) < rank(right);
              });
}

bool member_view::is_lost(instant now, const std::string& name) const
{
    auto heard = m_heard.find(name);
    return heard == m_heard.end() || now - heard->second > m_options.m_lost_after;
}

std::vector<contact> member_view::own_aggregators() const
{
    std::vector<contact> own;
    for (const contact& aggregator : m_aggregators)
    {
        if (aggregator.m_zone == m_self.m_zone)
        {
            own.push_back(aggregator);
        }
    }
    for (const auto& [name, aggregator] : m_introduced)
    {
        if (aggregator.m_zone == m_self.m_zone)
        {
            own.push_back(aggregator);
        }
    }
    return own;
}

std::vector<contact> member_view::foreign_aggregators() const
{
    std::vector<contact> foreign;
    for (const contact& aggregator : m_aggregators)
    {
        if (aggregator.m_zone != m_self.m_zone)
        {
            foreign.push_back(aggregator);
        }
    }
    return foreign;
}

std::optional<contact> member_view::primary(instant now) const
{
    std::vector<contact> candidates = own_aggregators();
    std::vector<contact> foreign = foreign_aggregators();
    candidates.insert(candidates.end(), foreign.begin(), foreign.end());
    for (const contact& aggregator : candidates)
    {
        auto heard = m_heard.find(aggregator.m_name);
        if (heard != m_heard.end() && now - heard->second <= m_options.m_primary_patience)
        {
            return aggregator;
        }
    }
    return candidates.empty() ? std::nullopt : std::make_optional(candidates.front());
}

std::vector<report_target> member_view::targets(instant now) const
{
    std::vector<contact> aggregators = own_aggregators();
    bool own_are_lost = std::all_of(aggregators.begin(), aggregators.end(),
                                    [&](const contact& aggregator)
                                    {
                                        return is_lost(now, aggregator.m_name);
                                    });
    if (own_are_lost && !m_aggregates)
    {
        std::vector<contact> foreign = foreign_aggregators();
        foreign.resize(std::min(foreign.size(), m_options.m_foreign_targets));
        aggregators.insert(aggregators.end(), foreign.begin(), foreign.end());
    }
    std::optional<contact> chosen = m_aggregates ? std::nullopt : primary(now);
    std::vector<report_target> targets;
    for (const contact& aggregator : aggregators)
    {
        targets.push_back({aggregator.m_endpoint, chosen && chosen->m_name == aggregator.m_name});
    }
    return targets;
}

void member_view::note_heard(instant now, const std::string& name)
{
    m_heard[name] = now;
    auto is_old = [&](const auto& entry)
    {
        return now - entry.second > m_options.m_forgotten_after;
    };
    std::erase_if(m_heard, is_old);
    std::erase_if(m_told_contact, is_old);
    std::erase_if(m_zone_contact,
                  [&](const auto& entry)
                  {
                      return now - entry.second.m_at > m_options.m_forgotten_after;
                  });
}

bool member_view::take(instant now, const digest& told)
{
    const std::string& name = told.m_from.m_name;
    note_heard(now, name);
    // A denial counts at once: others begin to watch only when nobody is taken to be in contact any more.
    if (told.m_in_contact)
    {
        m_told_contact[name] = now;
    }
    else
    {
        m_told_contact.erase(name);
    }
    bool known = std::any_of(m_aggregators.begin(), m_aggregators.end(),
                             [&](const contact& aggregator)
                             {
                                 return aggregator == told.m_from;
                             });
    if (!known)
    {
        m_introduced[name] = told.m_from;
    }
    std::erase_if(m_introduced,
                  [&](const auto& entry)
                  {
                      return is_lost(now, entry.first);
                  });
    take_with_ledger(now, told.m_with_ledger);
    if (m_aggregates)
    {
        return false;
    }
    take_counts(now, told.m_gateways, told.m_without_ledger);
    std::optional<contact> chosen = primary(now);
    return told.m_full && chosen && chosen->m_name == name;
}

void member_view::take(instant now, const zone_summary& told)
{
    note_heard(now, told.m_from.m_name);
    if (told.m_in_contact)
    {
        m_zone_contact[told.m_from.m_name] = {told.m_from.m_zone, now};
    }
    else
    {
        m_zone_contact.erase(told.m_from.m_name);
    }
    take_with_ledger(now, told.m_with_ledger);
}

void member_view::take_counts(instant now, std::uint32_t gateways, std::uint32_t without_ledger)
{
    m_gateways = std::max<std::uint32_t>(1, gateways);
    m_without_ledger = without_ledger;
    m_counted = now;
}

void member_view::set_aggregates(bool aggregates)
{
    m_aggregates = aggregates;
}

void member_view::note_reported(instant now, const std::vector<runner_load>& loads)
{
    for (auto& [runner, reported] : m_reported)
    {
        reported.m_active = 0;
        if (now - reported.m_at > m_options.m_echo_lifetime)
        {
            reported.m_served = 0;
            reported.m_lost = 0;
        }
    }
    for (const runner_load& load : loads)
    {
        reported_load& reported = m_reported[load.m_runner];
        reported.m_active = load.m_active;
        if (load.m_served > 0 || load.m_lost > 0)
        {
            reported.m_served += load.m_served;
            reported.m_lost += load.m_lost;
            reported.m_at = now;
        }
    }
    absl::erase_if(m_reported,
                   [](const auto& entry)
                   {
                       const reported_load& reported = entry.second;
                       return reported.m_active == 0 && reported.m_served == 0 && reported.m_lost == 0;
                   });
}

std::vector<runner_load> member_view::without_own(const std::vector<runner_load>& loads)
{
    std::vector<runner_load> others = loads;
    for (runner_load& load : others)
    {
        auto own = m_reported.find(load.m_runner);
        if (own == m_reported.end())
        {
            continue;
        }
        reported_load& reported = own->second;
        load.m_active -=
            static_cast<std::uint16_t>(std::min<std::uint32_t>(load.m_active, reported.m_active));
        load.m_served = take_echo(load.m_served, reported.m_served);
        load.m_lost = take_echo(load.m_lost, reported.m_lost);
    }
    return others;
}

bool member_view::hears_anybody(instant now) const
{
    return std::any_of(m_heard.begin(), m_heard.end(),
                       [&](const auto& entry)
                       {
                           return now - entry.second <= m_options.m_lost_after;
                       });
}

bool member_view::is_recent(instant now, instant said) const
{
    return now - said <= m_options.m_lost_after;
}

bool member_view::hears_contact(instant now) const
{
    bool told = std::any_of(m_told_contact.begin(), m_told_contact.end(),
                            [&](const auto& entry)
                            {
                                return is_recent(now, entry.second);
                            });
    return told || own_zone_has_contact(now) || other_zone_has_contact(now);
}

bool member_view::zone_has_contact(instant now, bool own) const
{
    return std::any_of(m_zone_contact.begin(), m_zone_contact.end(),
                       [&](const auto& entry)
                       {
                           bool is_own = entry.second.m_zone == m_self.m_zone;
                           return is_own == own && is_recent(now, entry.second.m_at);
                       });
}

bool member_view::other_zone_has_contact(instant now) const
{
    return zone_has_contact(now, /*own=*/false);
}

bool member_view::own_zone_has_contact(instant now) const
{
    return zone_has_contact(now, /*own=*/true);
}

std::uint32_t member_view::gateways_without_ledger(instant now) const
{
    return now - m_counted <= m_options.m_lost_after ? m_without_ledger : 0;
}

void member_view::take_with_ledger(instant now, const std::vector<wire::Endpoint>& told)
{
    for (const wire::Endpoint& endpoint : told)
    {
        std::erase_if(m_with_ledger,
                      [&](const named_gateway& named)
                      {
                          return named.m_endpoint == endpoint;
                      });
        if (endpoint != m_self.m_endpoint)
        {
            m_with_ledger.push_back({now, endpoint});
        }
    }
    std::size_t surplus = m_with_ledger.size() - std::min(m_with_ledger.size(), m_options.m_most_with_ledger);
    m_with_ledger.erase(m_with_ledger.begin(), m_with_ledger.begin() + static_cast<std::ptrdiff_t>(surplus));
}

std::vector<wire::Endpoint> member_view::with_ledger(instant now, std::size_t most) const
{
    std::vector<wire::Endpoint> endpoints;
    for (auto named = m_with_ledger.rbegin(); named != m_with_ledger.rend(); ++named)
    {
        if (endpoints.size() < most && now - named->m_at <= m_options.m_lost_after)
        {
            endpoints.push_back(named->m_endpoint);
        }
    }
    return endpoints;
}

}  // namespace martenyard::aggregation
