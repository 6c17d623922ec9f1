#include "aggregation/aggregator.h"

#include <algorithm>
#include <utility>

namespace martenyard::aggregation
{

aggregator::aggregator(contact self, std::uint64_t seed, const aggregator_options& options)
    : m_self(std::move(self)),
      m_options(options),
      m_random(seed),
      m_zone_loads(options.m_lifetime),
      m_other_loads(options.m_lifetime),
      m_zone_updates(options.m_max_placements),
      m_other_updates(options.m_max_placements),
      m_all_updates(options.m_max_placements),
      m_digest_interval(options.m_min_interval)
{
}

bool aggregator::has_room_for(const contact& gateway) const
{
    bool is_own = gateway.m_zone == m_self.m_zone;
    auto taken = std::count_if(m_members.begin(), m_members.end(),
                               [&](const auto& entry)
                               {
                                   return (entry.second.m_contact.m_zone == m_self.m_zone) == is_own;
                               });
    std::size_t max_count = is_own ? m_options.m_max_members : m_options.m_max_foreign;
    return static_cast<std::size_t>(taken) < max_count;
}

bool aggregator::handle(instant now, const member_report& report)
{
    const std::string& name = report.m_from.m_name;
    auto known = m_members.find(name);
    if (known == m_members.end())
    {
        if (!has_room_for(report.m_from))
        {
            return false;
        }
        known = m_members.emplace(name, member{}).first;
    }
    member& gateway = known->second;
    gateway.m_contact = report.m_from;
    gateway.m_last_seen = now;
    gateway.m_revisions = report.m_revisions;
    gateway.m_primary = report.m_primary;
    gateway.m_ledger_unreachable = report.m_ledger_unreachable;
    m_zone_loads.update(now, name, report.m_loads);
    m_zone_updates.record(report.m_loads, report.m_placements);
    m_all_updates.record(report.m_loads, report.m_placements);
    return true;
}

void aggregator::set_representative(instant now, bool is_representative)
{
    if (is_representative && !m_is_representative)
    {
        m_zones.erase(m_self.m_zone);
        m_other_loads.update(now, m_self.m_zone, {});
        // The previous representative has already sent earlier outcomes.
        m_zone_updates = pending_updates(m_options.m_max_placements);
        m_other_updates = pending_updates(m_options.m_max_placements);
    }
    m_is_representative = is_representative;
}

bool aggregator::accepts_summary_of(instant now, const std::string& zone) const
{
    if (zone == m_self.m_zone)
    {
        return !m_is_representative;
    }
    auto relayed = m_zones.find(m_self.m_zone);
    bool is_relayed =
        relayed != m_zones.end() && now - relayed->second.m_last_seen < m_options.m_source_timeout;
    return m_is_representative || !is_relayed;
}

void aggregator::handle(instant now, const zone_summary& summary)
{
    if (!accepts_summary_of(now, summary.m_from.m_zone))
    {
        return;
    }
    zone_state& zone = m_zones[summary.m_from.m_zone];
    bool is_source = zone.m_source.empty() || zone.m_source == summary.m_from.m_name;
    if (!is_source && now - zone.m_last_seen < m_options.m_source_timeout)
    {
        return;
    }
    zone = {now, summary.m_from.m_name, summary.m_gateways, summary.m_without_ledger};
    drop_superseded(now, summary.m_from.m_zone);
    m_other_loads.update(now, summary.m_from.m_zone, summary.m_loads);
    m_other_updates.record(summary.m_loads, summary.m_placements);
    m_all_updates.record(summary.m_loads, summary.m_placements);
}

void aggregator::drop_superseded(instant now, const std::string& zone)
{
    // A relayed summary has the totals of all other zones, so adding both kinds would count them twice.
    bool from_relay = zone == m_self.m_zone;
    for (const auto& [name, other] : m_zones)
    {
        if ((name == m_self.m_zone) != from_relay)
        {
            m_other_loads.update(now, name, {});
        }
    }
    std::erase_if(m_zones,
                  [&](const auto& entry)
                  {
                      return (entry.first == m_self.m_zone) != from_relay;
                  });
}

void aggregator::expire(instant now)
{
    m_zone_loads.expire(now);
    m_other_loads.expire(now);
    std::erase_if(m_members,
                  [&](const auto& entry)
                  {
                      // A gateway of another zone returns to its own aggregators.
                      bool is_own = entry.second.m_contact.m_zone == m_self.m_zone;
                      auto retention = is_own ? m_options.m_retention : m_options.m_lifetime;
                      return now - entry.second.m_last_seen > retention;
                  });
    std::erase_if(m_zones,
                  [&](const auto& entry)
                  {
                      return now - entry.second.m_last_seen > m_options.m_lifetime;
                  });
}

bool aggregator::is_live(instant now, const member& gateway) const
{
    return now - gateway.m_last_seen <= m_options.m_lifetime;
}

bool aggregator::has_live_member(instant now, const std::string& name) const
{
    auto found = m_members.find(name);
    return found != m_members.end() && is_live(now, found->second);
}

template <typename Predicate>
std::uint32_t aggregator::count_members(instant now, Predicate predicate) const
{
    return static_cast<std::uint32_t>(std::count_if(m_members.begin(), m_members.end(),
                                                    [&](const auto& entry)
                                                    {
                                                        return is_live(now, entry.second) &&
                                                               predicate(entry.second);
                                                    }));
}

std::uint32_t aggregator::gateway_count(instant now) const
{
    std::uint32_t count = count_members(now,
                                        [](const member&)
                                        {
                                            return true;
                                        });
    for (const auto& [name, zone] : m_zones)
    {
        count += now - zone.m_last_seen <= m_options.m_lifetime ? zone.m_gateways : 0;
    }
    return count;
}

zone_summary aggregator::make_summary(instant now)
{
    zone_summary summary;
    summary.m_from = m_self;
    summary.m_gateways = count_members(now,
                                       [](const member&)
                                       {
                                           return true;
                                       });
    summary.m_without_ledger = count_members(now,
                                             [](const member& gateway)
                                             {
                                                 return gateway.m_ledger_unreachable;
                                             });
    absl::flat_hash_map<std::uint32_t, std::uint32_t> active;
    m_zone_loads.add_to(active);
    summary.m_loads = m_zone_updates.take_loads(active);
    summary.m_placements = m_zone_updates.take_placements();
    summary.m_with_ledger = pick_with_ledger(now);
    return summary;
}

zone_summary aggregator::make_relayed_summary(instant now)
{
    zone_summary summary;
    summary.m_from = m_self;
    for (const auto& [name, zone] : m_zones)
    {
        // A relayed summary is not relayed again.
        bool live = now - zone.m_last_seen <= m_options.m_lifetime && name != m_self.m_zone;
        summary.m_gateways += live ? zone.m_gateways : 0;
        summary.m_without_ledger += live ? zone.m_without_ledger : 0;
    }
    absl::flat_hash_map<std::uint32_t, std::uint32_t> active;
    m_other_loads.add_to(active);
    summary.m_loads = m_other_updates.take_loads(active);
    summary.m_placements = m_other_updates.take_placements();
    return summary;
}

std::vector<wire::Endpoint> aggregator::pick_with_ledger(instant now)
{
    std::vector<wire::Endpoint> candidates;
    for (const auto& [name, gateway] : m_members)
    {
        if (is_live(now, gateway) && !gateway.m_ledger_unreachable)
        {
            candidates.push_back(gateway.m_contact.m_endpoint);
        }
    }
    std::vector<wire::Endpoint> picked;
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(picked),
                m_options.m_listed_with_ledger, m_random.engine());
    return picked;
}

digest aggregator::make_header(instant now)
{
    digest result;
    result.m_from = m_self;
    result.m_gateways = gateway_count(now);
    result.m_without_ledger = count_members(now,
                                            [](const member& gateway)
                                            {
                                                return gateway.m_ledger_unreachable;
                                            });
    for (const auto& [name, zone] : m_zones)
    {
        result.m_without_ledger += now - zone.m_last_seen <= m_options.m_lifetime ? zone.m_without_ledger : 0;
    }
    result.m_with_ledger = pick_with_ledger(now);
    return result;
}

digest aggregator::make_digest(instant now)
{
    digest result = make_header(now);
    result.m_full = true;
    absl::flat_hash_map<std::uint32_t, std::uint32_t> active;
    m_zone_loads.add_to(active);
    m_other_loads.add_to(active);
    result.m_loads = m_all_updates.take_loads(active);
    result.m_placements = m_all_updates.take_placements();
    return result;
}

digest aggregator::make_short_digest(instant now)
{
    return make_header(now);
}

bool aggregator::digest_is_due(instant now) const
{
    return now - m_digest_sent >= m_digest_interval;
}

void aggregator::record_digest_sent(instant now, std::size_t bytes)
{
    using std::chrono::milliseconds;
    constexpr std::size_t milliseconds_per_second = 1000;
    m_digest_sent = now;
    milliseconds by_size(bytes * milliseconds_per_second / m_options.m_digest_bytes_per_second);
    m_digest_interval = std::max(m_options.m_min_interval, by_size);
}

std::vector<wire::Endpoint> aggregator::primary_members(instant now) const
{
    std::vector<wire::Endpoint> endpoints;
    for (const auto& [name, gateway] : m_members)
    {
        if (gateway.m_primary && is_live(now, gateway) && name != m_self.m_name)
        {
            endpoints.push_back(gateway.m_contact.m_endpoint);
        }
    }
    return endpoints;
}

std::vector<wire::Endpoint> aggregator::take_short_digest_due(instant now)
{
    std::vector<wire::Endpoint> endpoints;
    for (auto& [name, gateway] : m_members)
    {
        bool gets_full_digest = gateway.m_primary && is_live(now, gateway);
        bool due = now - gateway.m_short_digest_sent >= m_options.m_short_interval;
        if (!gets_full_digest && due && name != m_self.m_name)
        {
            gateway.m_short_digest_sent = now;
            endpoints.push_back(gateway.m_contact.m_endpoint);
        }
    }
    return endpoints;
}

}  // namespace martenyard::aggregation
