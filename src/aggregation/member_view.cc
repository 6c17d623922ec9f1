#include "aggregation/member_view.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace martenyard::aggregation
{
namespace
{

/// @brief subtracts the smaller of the two counts from both
std::uint8_t subtract_echo(std::uint8_t total, std::uint32_t& reported)
{
    auto own = static_cast<std::uint8_t>(std::min<std::uint32_t>(total, reported));
    reported -= own;
    return static_cast<std::uint8_t>(total - own);
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
                m_unlisted.erase(taken.m_holder->m_name);
            }
        }
    }
    // Ranking by a hash of both names balances the gateways among the aggregators.
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
    auto seen = m_last_seen.find(name);
    return seen == m_last_seen.end() || now - seen->second > m_options.m_lost_timeout;
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
    for (const auto& [name, aggregator] : m_unlisted)
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
        auto seen = m_last_seen.find(aggregator.m_name);
        if (seen != m_last_seen.end() && now - seen->second <= m_options.m_primary_timeout)
        {
            return aggregator;
        }
    }
    return candidates.empty() ? std::nullopt : std::make_optional(candidates.front());
}

std::vector<report_target> member_view::report_targets(instant now) const
{
    std::vector<contact> aggregators = own_aggregators();
    bool own_are_lost = std::all_of(aggregators.begin(), aggregators.end(),
                                    [&](const contact& aggregator)
                                    {
                                        return is_lost(now, aggregator.m_name);
                                    });
    if (own_are_lost && !m_is_aggregator)
    {
        std::vector<contact> foreign = foreign_aggregators();
        foreign.resize(std::min(foreign.size(), m_options.m_max_foreign_targets));
        aggregators.insert(aggregators.end(), foreign.begin(), foreign.end());
    }
    std::optional<contact> chosen = m_is_aggregator ? std::nullopt : primary(now);
    std::vector<report_target> targets;
    for (const contact& aggregator : aggregators)
    {
        targets.push_back({aggregator.m_endpoint, chosen && chosen->m_name == aggregator.m_name});
    }
    return targets;
}

void member_view::record_seen(instant now, const std::string& name)
{
    m_last_seen[name] = now;
    auto is_old = [&](const auto& entry)
    {
        return now - entry.second > m_options.m_retention;
    };
    std::erase_if(m_last_seen, is_old);
    std::erase_if(m_store_reports, is_old);
    std::erase_if(m_zone_store_reports,
                  [&](const auto& entry)
                  {
                      return now - entry.second.m_received_at > m_options.m_retention;
                  });
}

bool member_view::handle(instant now, const digest& received)
{
    const std::string& name = received.m_from.m_name;
    record_seen(now, name);
    // A report that the store is unreachable takes effect at once, so that other gateways start to watch
    // the store without waiting for the lost timeout.
    if (received.m_store_reachable)
    {
        m_store_reports[name] = now;
    }
    else
    {
        m_store_reports.erase(name);
    }
    bool known = std::any_of(m_aggregators.begin(), m_aggregators.end(),
                             [&](const contact& aggregator)
                             {
                                 return aggregator == received.m_from;
                             });
    if (!known)
    {
        m_unlisted[name] = received.m_from;
    }
    std::erase_if(m_unlisted,
                  [&](const auto& entry)
                  {
                      return is_lost(now, entry.first);
                  });
    update_with_ledger(now, received.m_with_ledger, received.m_from.m_zone == m_self.m_zone);
    if (m_is_aggregator)
    {
        return false;
    }
    set_counts(now, received.m_gateways, received.m_without_ledger);
    std::optional<contact> chosen = primary(now);
    return received.m_full && chosen && chosen->m_name == name;
}

void member_view::handle(instant now, const zone_summary& summary)
{
    record_seen(now, summary.m_from.m_name);
    if (summary.m_store_reachable)
    {
        m_zone_store_reports[summary.m_from.m_name] = {summary.m_from.m_zone, now};
    }
    else
    {
        m_zone_store_reports.erase(summary.m_from.m_name);
    }
    update_with_ledger(now, summary.m_with_ledger, /*from_own_zone=*/false);
}

void member_view::set_counts(instant now, std::uint32_t gateways, std::uint32_t without_ledger)
{
    m_gateways = std::max<std::uint32_t>(1, gateways);
    m_without_ledger = without_ledger;
    m_counts_received_at = now;
}

void member_view::set_is_aggregator(bool is_aggregator)
{
    m_is_aggregator = is_aggregator;
}

void member_view::record_reported(instant now, const std::vector<runner_load>& loads)
{
    for (auto& [runner, reported] : m_reported)
    {
        reported.m_active = 0;
        if (now - reported.m_received_at > m_options.m_echo_lifetime)
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
            reported.m_received_at = now;
        }
    }
    absl::erase_if(m_reported,
                   [](const auto& entry)
                   {
                       const reported_load& reported = entry.second;
                       return reported.m_active == 0 && reported.m_served == 0 && reported.m_lost == 0;
                   });
}

std::vector<runner_load> member_view::subtract_own(const std::vector<runner_load>& loads)
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
        load.m_served = subtract_echo(load.m_served, reported.m_served);
        load.m_lost = subtract_echo(load.m_lost, reported.m_lost);
    }
    return others;
}

bool member_view::any_aggregator_alive(instant now) const
{
    return std::any_of(m_last_seen.begin(), m_last_seen.end(),
                       [&](const auto& entry)
                       {
                           return now - entry.second <= m_options.m_lost_timeout;
                       });
}

bool member_view::is_recent(instant now, instant reported_at) const
{
    return now - reported_at <= m_options.m_lost_timeout;
}

bool member_view::any_reaches_store(instant now) const
{
    bool reported = std::any_of(m_store_reports.begin(), m_store_reports.end(),
                                [&](const auto& entry)
                                {
                                    return is_recent(now, entry.second);
                                });
    return reported || own_zone_reaches_store(now) || other_zone_reaches_store(now);
}

bool member_view::zone_reaches_store(instant now, bool own) const
{
    return std::any_of(m_zone_store_reports.begin(), m_zone_store_reports.end(),
                       [&](const auto& entry)
                       {
                           bool is_own = entry.second.m_zone == m_self.m_zone;
                           return is_own == own && is_recent(now, entry.second.m_received_at);
                       });
}

bool member_view::other_zone_reaches_store(instant now) const
{
    return zone_reaches_store(now, /*own=*/false);
}

bool member_view::own_zone_reaches_store(instant now) const
{
    return zone_reaches_store(now, /*own=*/true);
}

std::uint32_t member_view::gateways_without_ledger(instant now) const
{
    return now - m_counts_received_at <= m_options.m_lost_timeout ? m_without_ledger : 0;
}

void member_view::update_with_ledger(instant now, const std::vector<wire::Endpoint>& endpoints,
                                     bool from_own_zone)
{
    for (const wire::Endpoint& endpoint : endpoints)
    {
        std::erase_if(m_with_ledger,
                      [&](const ledger_gateway& gateway)
                      {
                          return gateway.m_endpoint == endpoint;
                      });
        if (endpoint != m_self.m_endpoint)
        {
            m_with_ledger.push_back({now, endpoint, from_own_zone});
        }
    }
    std::size_t surplus = m_with_ledger.size() - std::min(m_with_ledger.size(), m_options.m_max_with_ledger);
    m_with_ledger.erase(m_with_ledger.begin(), m_with_ledger.begin() + static_cast<std::ptrdiff_t>(surplus));
}

std::vector<wire::Endpoint> member_view::gateways_with_ledger(instant now, std::size_t max_count) const
{
    std::vector<wire::Endpoint> endpoints;
    for (auto gateway = m_with_ledger.rbegin(); gateway != m_with_ledger.rend(); ++gateway)
    {
        if (endpoints.size() < max_count && now - gateway->m_received_at <= m_options.m_lost_timeout)
        {
            endpoints.push_back(gateway->m_endpoint);
        }
    }
    return endpoints;
}

std::vector<wire::Endpoint> member_view::own_gateways_with_ledger(instant since, std::size_t max_count) const
{
    std::vector<wire::Endpoint> endpoints;
    for (auto gateway = m_with_ledger.rbegin(); gateway != m_with_ledger.rend(); ++gateway)
    {
        if (endpoints.size() < max_count && gateway->m_from_own_zone && gateway->m_received_at >= since)
        {
            endpoints.push_back(gateway->m_endpoint);
        }
    }
    return endpoints;
}

}  // namespace martenyard::aggregation
