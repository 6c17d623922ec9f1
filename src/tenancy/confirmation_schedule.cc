#include "tenancy/confirmation_schedule.h"

#include <algorithm>

namespace martenyard::tenancy
{

using std::chrono::nanoseconds;

confirmation_schedule::confirmation_schedule(std::chrono::milliseconds lease_duration, double stagger,
                                             const confirmation_options& options)
    : m_lease_duration(lease_duration), m_stagger(stagger), m_options(options)
{
}

nanoseconds confirmation_schedule::fraction_of_lease(double fraction) const
{
    return std::chrono::duration_cast<nanoseconds>(m_lease_duration * fraction);
}

nanoseconds confirmation_schedule::store_query_age(zone_role role) const
{
    switch (role)
    {
        case zone_role::representative:
            return fraction_of_lease(m_options.m_store_query_age);
        case zone_role::aggregator:
            return fraction_of_lease(m_options.m_aggregator_store_age);
        case zone_role::member:
            break;
    }
    return fraction_of_lease(m_options.m_member_store_age + m_options.m_member_stagger * m_stagger);
}

nanoseconds confirmation_schedule::store_query_pause(const confirmation_state& state) const
{
    bool peer_replies = m_last_peer_reply &&
                        state.m_now - *m_last_peer_reply < fraction_of_lease(m_options.m_other_zones_age);
    if (state.m_role == zone_role::member && peer_replies)
    {
        return fraction_of_lease(m_options.m_member_store_retry);
    }
    double pause = m_options.m_retry_interval * static_cast<double>(1 << std::min(m_unanswered_queries, 4));
    return fraction_of_lease(std::min(pause, m_options.m_max_pause));
}

bool confirmation_schedule::store_query_is_due(const confirmation_state& state, nanoseconds age)
{
    bool old = age >= store_query_age(state.m_role);
    bool paused = m_last_store_query && state.m_now - *m_last_store_query < store_query_pause(state);
    if (!old || paused)
    {
        return false;
    }
    m_last_store_query = state.m_now;
    return true;
}

confirmation_targets confirmation_schedule::due(const confirmation_state& state)
{
    if (!m_first_call)
    {
        m_first_call = state.m_now;
    }
    // A gateway that was never confirmed queries its peers at once, and the store later like any other.
    nanoseconds age = state.m_last_confirmed ? nanoseconds(state.m_now - *state.m_last_confirmed)
                                             : nanoseconds(state.m_now - *m_first_call) +
                                                   fraction_of_lease(m_options.m_other_zones_age);
    confirmation_targets targets;
    targets.m_store = store_query_is_due(state, age);
    bool old = age >= fraction_of_lease(m_options.m_peer_query_age);
    bool peers_due = old && (!m_last_peer_query || state.m_now - *m_last_peer_query >=
                                                       fraction_of_lease(m_options.m_retry_interval));
    bool other_zones = age >= fraction_of_lease(m_options.m_other_zones_age);
    if (peers_due && (state.m_role != zone_role::representative || other_zones))
    {
        m_last_peer_query = state.m_now;
        targets.m_other_zones = other_zones;
        targets.m_own_zone = !other_zones;
    }
    return targets;
}

void confirmation_schedule::on_store_reply(bool answered)
{
    m_unanswered_queries = answered ? 0 : m_unanswered_queries + 1;
}

void confirmation_schedule::on_store_recovered()
{
    m_unanswered_queries = 0;
    m_last_store_query.reset();
}

void confirmation_schedule::on_peer_reply(instant now)
{
    m_last_peer_reply = now;
}

}  // namespace martenyard::tenancy
