#include "forwarding/crashes/suspect_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace martenyard::forwarding
{

suspect_table::suspect_table(const suspect_options& options) : m_options(options)
{
}

void suspect_table::add(instant now, const request_fingerprint& request, const turn_ledger::TurnId& record)
{
    if (!m_requests.contains(request))
    {
        make_room(now);
    }
    entry& suspect = m_requests[request];
    if (suspect.m_expires < now)
    {
        suspect.m_records.clear();
    }
    suspect.m_records.insert(record);
    suspect.m_expires = now + m_options.m_lifetime;
}

void suspect_table::replace(instant now, const request_fingerprint& request,
                            turn_ledger::crash_records records)
{
    if (!m_requests.contains(request))
    {
        make_room(now);
    }
    m_requests[request] = {std::move(records), now + m_options.m_lifetime};
}

void suspect_table::clear(const request_fingerprint& request, const turn_ledger::TurnId& record)
{
    auto found = m_requests.find(request);
    if (found == m_requests.end())
    {
        return;
    }
    found->second.m_records.erase(record);
    if (found->second.m_records.empty())
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
    return found->second.m_records;
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
    auto least =
        std::min_element(m_requests.begin(), m_requests.end(),
                         [](const auto& left, const auto& right)
                         {
                             return std::make_tuple(left.second.m_records.size(), left.second.m_expires) <
                                    std::make_tuple(right.second.m_records.size(), right.second.m_expires);
                         });
    m_requests.erase(least);
}

}  // namespace martenyard::forwarding
