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
    // What confirmed the older one lies before this one was written, so it holds for this one as well.
    if (m_newer_confirmed && m_newer_revision <= revision)
    {
        m_confirmed = std::max(m_confirmed.value_or(*m_newer_confirmed), *m_newer_confirmed);
        m_newer_confirmed.reset();
    }
}

void configuration_lease::confirm(instant asked, std::uint64_t revision)
{
    if (revision > m_revision)
    {
        bool newest = revision > m_newer_revision || !m_newer_confirmed;
        m_newer_confirmed = newest ? asked : std::max(*m_newer_confirmed, asked);
        m_newer_revision = std::max(m_newer_revision, revision);
        return;
    }
    m_confirmed = std::max(m_confirmed.value_or(asked), asked);
}

bool configuration_lease::holds(instant now) const
{
    return !m_length || (m_confirmed && now - *m_confirmed < *m_length);
}

}  // namespace martenyard::tenancy
