#include "forwarding/crashes/suspect_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace martenyard::forwarding
{

suspect_table::suspect_table(const suspect_options& options) : m_options(options)
{
}

suspect_table::entry& suspect_table::find_or_add(instant now, const request_fingerprint& request)
{
    if (!m_requests.contains(request))
    {
        make_room(now);
    }
    entry& suspect = m_requests[request];
    if (suspect.m_expires < now)
    {
        suspect = {};
    }
    suspect.m_expires = now + m_options.m_lifetime;
    return suspect;
}

void suspect_table::add(instant now, const request_fingerprint& request, const turn_ledger::TurnId& record)
{
    find_or_add(now, request).m_committed.insert(record);
}

void suspect_table::add_uncommitted(instant now, const request_fingerprint& request,
                                    const turn_ledger::TurnId& record)
{
    find_or_add(now, request).m_uncommitted.insert(record);
}

void suspect_table::replace(instant now, const request_fingerprint& request,
                            turn_ledger::crash_records records)
{
    auto found = m_requests.find(request);
    bool uncommitted = found != m_requests.end() && !found->second.m_uncommitted.empty();
    if (records.empty() && !uncommitted)
    {
        m_requests.erase(request);
        return;
    }
    entry& suspect = find_or_add(now, request);
    for (const turn_ledger::TurnId& record : records)
    {
        suspect.m_uncommitted.erase(record);
    }
    suspect.m_committed = std::move(records);
}

void suspect_table::clear(const request_fingerprint& request, const turn_ledger::TurnId& record)
{
    auto found = m_requests.find(request);
    if (found == m_requests.end())
    {
        return;
    }
    found->second.m_committed.erase(record);
    found->second.m_uncommitted.erase(record);
    if (found->second.size() == 0)
    {
        m_requests.erase(found);
    }
}

void suspect_table::forget(const request_fingerprint& request)
{
    m_requests.erase(request);
}

turn_ledger::crash_records suspect_table::records(instant now, const request_fingerprint& request) const
{
    auto found = m_requests.find(request);
    if (found == m_requests.end() || found->second.m_expires < now)
    {
        return {};
    }
    turn_ledger::crash_records records = found->second.m_committed;
    records.insert(found->second.m_uncommitted.begin(), found->second.m_uncommitted.end());
    return records;
}

void suspect_table::make_room(instant now)
{
    if (m_requests.size() < m_options.m_max_requests)
    {
        return;
    }
    std::erase_if(m_requests,
                  [now](const auto& known)
                  {
                      return known.second.m_expires < now;
                  });
    if (m_requests.size() < m_options.m_max_requests)
    {
        return;
    }
    auto least = std::min_element(m_requests.begin(), m_requests.end(),
                                  [](const auto& left, const auto& right)
                                  {
                                      return std::make_tuple(left.second.size(), left.second.m_expires) <
                                             std::make_tuple(right.second.size(), right.second.m_expires);
                                  });
    m_requests.erase(least);
}

}  // namespace martenyard::forwarding
