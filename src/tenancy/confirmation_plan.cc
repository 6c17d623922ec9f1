#include "tenancy/confirmation_plan.h"

#include <algorithm>

namespace martenyard::tenancy
{

using std::chrono::nanoseconds;

confirmation_plan::confirmation_plan(std::chrono::milliseconds length, double spread,
                                     const confirmation_options& options)
    : m_length(length), m_spread(spread), m_options(options)
{
}

nanoseconds confirmation_plan::share(double part) const
{
    return std::chrono::duration_cast<nanoseconds>(m_length * part);
}

nanoseconds confirmation_plan::store_age(zone_part part) const
{
    switch (part)
    {
        case zone_part::speaker:
            return share(m_options.m_ask_age);
        case zone_part::aggregator:
            return share(m_options.m_aggregator_store_age);
        case zone_part::member:
            break;
    }
    return share(m_options.m_member_store_age + m_options.m_member_spread * m_spread);
}

nanoseconds confirmation_plan::store_pause(const confirmation_view& seen) const
{
    bool peer_lives = m_peer_heard && seen.m_now - *m_peer_heard < share(m_options.m_widely_age);
    if (seen.m_part == zone_part::member && peer_lives)
    {
        return share(m_options.m_member_store_again);
    }
    double pause = m_options.m_ask_again * static_cast<double>(1 << std::min(m_unanswered, 4));
    return share(std::min(pause, m_options.m_longest_pause));
}

bool confirmation_plan::store_is_due(const confirmation_view& seen, nanoseconds age)
{
    bool old = age >= store_age(seen.m_part);
    bool paused = m_store_asked && seen.m_now - *m_store_asked < store_pause(seen);
    if (!old || paused)
    {
        return false;
    }
    m_store_asked = seen.m_now;
    return true;
}

confirmation_questions confirmation_plan::due(const confirmation_view& seen)
{
    if (!m_first_look)
    {
        m_first_look = seen.m_now;
    }
    // A gateway that was never confirmed asks its peers at once, and the store when its turn comes.
    nanoseconds age = seen.m_confirmed
                          ? nanoseconds(seen.m_now - *seen.m_confirmed)
                          : nanoseconds(seen.m_now - *m_first_look) + share(m_options.m_widely_age);
    confirmation_questions questions;
    questions.m_store = store_is_due(seen, age);
    bool old = age >= share(m_options.m_peer_ask_age);
    bool peers_due = old && (!m_peers_asked || seen.m_now - *m_peers_asked >= share(m_options.m_ask_again));
    bool widely = age >= share(m_options.m_widely_age);
    if (peers_due && (seen.m_part != zone_part::speaker || widely))
    {
        m_peers_asked = seen.m_now;
        questions.m_widely = widely;
        questions.m_own_zone = !widely;
    }
    return questions;
}

void confirmation_plan::note_store(bool answered)
{
    m_unanswered = answered ? 0 : m_unanswered + 1;
}

void confirmation_plan::note_store_back()
{
    m_unanswered = 0;
    m_store_asked.reset();
}

void confirmation_plan::note_peer(instant now)
{
    m_peer_heard = now;
}

}  // namespace martenyard::tenancy
