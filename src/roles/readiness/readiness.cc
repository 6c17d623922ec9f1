#include "roles/readiness/readiness.h"

namespace martenyard::roles
{
namespace
{

bool most(std::size_t part, std::size_t whole)
{
    return whole > 0 && 2 * part > whole;
}

}  // namespace

readiness::readiness(const readiness_options& options) : m_options(options)
{
}

bool readiness::judge(const readiness_view& view)
{
    bool silent = most(view.m_silent_groups, view.m_groups);
    if (silent != m_silent)
    {
        m_silent = silent;
        m_since = view.m_now;
    }
    bool shared_fault = most(view.m_peers_without_ledger, view.m_peers);
    if (shared_fault || view.m_peers == 0)
    {
        m_ready = true;
        return m_ready;
    }
    auto lasted = m_since ? view.m_now - *m_since : std::chrono::steady_clock::duration::zero();
    if (silent && lasted >= m_options.m_lost_after - m_options.m_silent_after)
    {
        m_ready = false;
    }
    else if (!silent && lasted >= m_options.m_regained_after)
    {
        m_ready = true;
    }
    return m_ready;
}

bool readiness::lost_alone() const
{
    return m_silent && !m_ready;
}

bool readiness::ledger_silent() const
{
    return m_silent;
}

}  // namespace martenyard::roles
