#include "roles/readiness/readiness_monitor.h"

#include <algorithm>

namespace martenyard::roles
{
namespace
{

bool is_majority(std::size_t count, std::size_t total)
{
    return total > 0 && 2 * count > total;
}

/// @brief sets the time when a condition began to hold without interruption
void track(std::optional<ledger_observation::instant>& since, bool holds, ledger_observation::instant now)
{
    if (!holds)
    {
        since.reset();
    }
    else if (!since)
    {
        since = now;
    }
}

bool has_lasted(const std::optional<ledger_observation::instant>& since, ledger_observation::instant now,
                std::chrono::milliseconds duration)
{
    return since && now - *since >= duration;
}

}  // namespace

const char* name_of(readiness_state state)
{
    switch (state)
    {
        case readiness_state::ready:
            return "ready";
        case readiness_state::shared_outage:
            return "shared_outage";
        case readiness_state::ledger_lost:
            return "ledger_lost";
        case readiness_state::isolated:
            return "isolated";
        case readiness_state::starting:
            return "starting";
    }
    return "unknown";
}

readiness_monitor::readiness_monitor(const readiness_options& options)
    : m_options(options),
      m_state(options.m_zone_isolation ? readiness_state::starting : readiness_state::ready)
{
}

bool readiness_monitor::ready() const
{
    return m_state == readiness_state::ready || m_state == readiness_state::shared_outage;
}

void readiness_monitor::track_ledger(instant now, bool unreachable)
{
    if (unreachable != m_unreachable)
    {
        m_unreachable = unreachable;
        m_changed_at = now;
    }
}

bool readiness_monitor::update(const ledger_observation& observation)
{
    track_ledger(observation.m_now, is_majority(observation.m_unresponsive_groups, observation.m_groups));
    if (m_options.m_zone_isolation)
    {
        update_with_isolation(observation);
        m_was_ready = m_was_ready || ready();
        m_rejects_turns =
            is_without_ledger() &&
            (m_was_ready || has_lasted(m_isolated_since, observation.m_now, m_options.m_start_time));
    }
    else
    {
        update_by_peers(observation, observation.m_peers);
    }
    return ready();
}

void readiness_monitor::update_by_peers(const ledger_observation& observation, std::size_t peers)
{
    bool shared_fault = is_majority(observation.m_peers_without_ledger, peers);
    if (shared_fault || peers == 0)
    {
        m_state = m_unreachable && shared_fault ? readiness_state::shared_outage : readiness_state::ready;
        return;
    }
    auto elapsed =
        m_changed_at ? observation.m_now - *m_changed_at : std::chrono::steady_clock::duration::zero();
    if (m_unreachable && elapsed >= m_options.m_lost_after - m_options.m_unresponsive_after)
    {
        m_state = readiness_state::ledger_lost;
    }
    else if (!m_unreachable && elapsed >= m_options.m_regained_after)
    {
        m_state = readiness_state::ready;
    }
}

void readiness_monitor::remember_peers(const ledger_observation& observation)
{
    if (!m_ledger_answers_since || m_isolated_since)
    {
        return;
    }
    bool settled = has_lasted(m_ledger_answers_since, observation.m_now, m_options.m_settle_time);
    m_known_peers = settled ? observation.m_peers : std::max(m_known_peers, observation.m_peers);
}

bool readiness_monitor::is_cut_off(const ledger_observation& observation) const
{
    if (observation.m_other_zones != zone_contact_state::lost)
    {
        return false;
    }
    if (!observation.m_ledger_answered)
    {
        return true;
    }
    if (observation.m_own_zone_has_quorum)
    {
        return m_unreachable && has_lasted(m_changed_at, observation.m_now, m_options.m_election_time);
    }
    // A leader in the own zone answers until it notices that it has lost its quorum, so one silent group is
    // enough.
    return observation.m_silent_groups > 0;
}

void readiness_monitor::update_with_isolation(const ledger_observation& observation)
{
    bool cut_off = is_cut_off(observation);
    bool answers = observation.m_ledger_answered && !cut_off &&
                   !is_majority(observation.m_silent_groups, observation.m_groups);
    track(m_ledger_answers_since, answers, observation.m_now);
    track(m_other_zones_heard_since, observation.m_other_zones == zone_contact_state::heard,
          observation.m_now);
    remember_peers(observation);
    std::size_t peers = std::max(m_known_peers, observation.m_peers);
    if (cut_off)
    {
        m_state = readiness_state::isolated;
        m_isolated_since = m_isolated_since.value_or(observation.m_now);
        return;
    }
    if (m_state == readiness_state::isolated)
    {
        try_to_end_isolation(observation, peers);
        return;
    }
    if (m_state == readiness_state::starting)
    {
        if (!observation.m_ledger_answered && observation.m_other_zones != zone_contact_state::heard)
        {
            return;
        }
        m_state = readiness_state::ready;
    }
    update_by_peers(observation, peers);
}

void readiness_monitor::try_to_end_isolation(const ledger_observation& observation, std::size_t peers)
{
    // A process that was never ready has no clients that would move back and forth.
    std::chrono::milliseconds regained_after =
        m_was_ready ? m_options.m_regained_after : std::chrono::milliseconds(0);
    bool regained = has_lasted(m_ledger_answers_since, observation.m_now, regained_after);
    bool shared = has_lasted(m_other_zones_heard_since, observation.m_now, m_options.m_shared_after) &&
                  is_majority(observation.m_peers_without_ledger, peers);
    if (regained || shared)
    {
        m_state = regained ? readiness_state::ready : readiness_state::shared_outage;
        m_isolated_since.reset();
    }
}

bool readiness_monitor::isolated_from_ledger() const
{
    if (!m_options.m_zone_isolation)
    {
        return m_unreachable && !ready();
    }
    return is_without_ledger() || (m_unreachable && m_state == readiness_state::ledger_lost);
}

bool readiness_monitor::is_without_ledger() const
{
    return m_state == readiness_state::isolated && !m_ledger_answers_since;
}

bool readiness_monitor::ledger_unreachable() const
{
    return m_unreachable || is_without_ledger() || m_state == readiness_state::starting;
}

}  // namespace martenyard::roles
