#include "turn_ledger/crashes/unsettled_tries.h"

#include <algorithm>
#include <string>

#include "tenancy/tenant.h"
#include "turn_ledger/crashes/crash_record.h"
#include "turn_ledger/streams/origin_record.h"

namespace martenyard::turn_ledger
{

unsettled_tries::unsettled_tries(const unsettled_tries_options& options) : m_options(options)
{
}

void unsettled_tries::reset()
{
    m_tries.clear();
    m_reservations.clear();
}

void unsettled_tries::add(instant now, const ProgramId& request, const TurnId& reservation)
{
    expire(now);
    if (m_tries.size() >= m_options.m_max_tries)
    {
        return;
    }
    if (m_tries.emplace(reservation, unsettled_try{request, now}).second)
    {
        m_reservations[request].insert(reservation);
    }
}

void unsettled_tries::settle(const TurnId& reservation)
{
    auto found = m_tries.find(reservation);
    if (found == m_tries.end())
    {
        return;
    }
    auto of_request = m_reservations.find(found->second.m_request);
    of_request->second.erase(reservation);
    if (of_request->second.empty())
    {
        m_reservations.erase(of_request);
    }
    m_tries.erase(found);
}

std::size_t unsettled_tries::count(const ProgramId& request, const TurnId& own,
                                   const std::vector<TurnId>& records) const
{
    auto found = m_reservations.find(request);
    if (found == m_reservations.end())
    {
        return 0;
    }
    std::set<std::string> recorded;
    for (const TurnId& record : records)
    {
        recorded.insert(try_of_record(record));
    }
    auto counts = [&](const TurnId& reservation)
    {
        std::string attempt = tenancy::unscoped_id(turn_of(reservation).value);
        return reservation != own && !recorded.contains(attempt);
    };
    return static_cast<std::size_t>(std::count_if(found->second.begin(), found->second.end(), counts));
}

void unsettled_tries::expire(instant now)
{
    if (now - m_expired_at < m_options.m_expiry_interval)
    {
        return;
    }
    m_expired_at = now;
    std::vector<TurnId> expired;
    for (const auto& [reservation, entry] : m_tries)
    {
        if (now - entry.m_added > m_options.m_lifetime)
        {
            expired.push_back(reservation);
        }
    }
    for (const TurnId& reservation : expired)
    {
        settle(reservation);
    }
}

}  // namespace martenyard::turn_ledger
