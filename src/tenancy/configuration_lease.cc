#include "tenancy/configuration_lease.h"

#include <algorithm>

namespace martenyard::tenancy
{

void configuration_lease::set_revision(std::uint64_t revision)
{
    if (revision <= m_revision)
    {
        return;
    }
    m_revision = revision;
    // m_last_confirmed stays: it precedes the commit of this revision, so it is a safe bound for it as well.
    if (m_newer_confirmed && m_newer_revision <= revision)
    {
        m_last_confirmed = std::max(m_last_confirmed.value_or(*m_newer_confirmed), *m_newer_confirmed);
        m_newer_confirmed.reset();
    }
}

void configuration_lease::confirm(instant requested_at, std::uint64_t revision)
{
    if (revision > m_revision)
    {
        bool is_newest = revision > m_newer_revision || !m_newer_confirmed;
        m_newer_confirmed = is_newest ? requested_at : std::max(*m_newer_confirmed, requested_at);
        m_newer_revision = std::max(m_newer_revision, revision);
        return;
    }
    m_last_confirmed = std::max(m_last_confirmed.value_or(requested_at), requested_at);
}

bool configuration_lease::is_valid(instant now) const
{
    return !m_duration || (m_last_confirmed && now - *m_last_confirmed < *m_duration);
}

}  // namespace martenyard::tenancy
