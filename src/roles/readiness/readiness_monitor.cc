#include "roles/readiness/readiness_monitor.h"

namespace martenyard::roles
{
namespace
{

bool is_majority(std::size_t count, std::size_t total)
{
    return total > 0 && 2 * count > total;
}

}  // namespace

readiness_monitor::readiness_monitor(const readiness_options& options) : m_options(options)
{
}

bool readiness_monitor::update(const ledger_observation& observation)
{
    bool unreachable = is_majority(observation.m_unresponsive_groups, observation.m_groups);
    if (unreachable != m_unreachable)
    {
        m_unreachable = unreachable;
        m_changed_at = observation.m_now;
    }
    bool shared_fault = is_majority(observation.m_peers_without_ledger, observation.m_peers);
    if (shared_fault || observation.m_peers == 0)
    {
        m_ready = true;
        return m_ready;
    }
    auto elapsed =
        m_changed_at ? observation.m_now - *m_changed_at : std::chrono::steady_clock::duration::zero();
    if (unreachable && elapsed >= m_options.m_lost_after - m_options.m_unresponsive_after)
    {
        m_ready = false;
    }
    else if (!unreachable && elapsed >= m_options.m_regained_after)
    {
        m_ready = true;
    }
    return m_ready;
}

bool readiness_monitor::isolated_from_ledger() const
{
    return m_unreachable && !m_ready;
}

bool readiness_monitor::ledger_unreachable() const
{
    return m_unreachable;
}

}  // namespace martenyard::roles
