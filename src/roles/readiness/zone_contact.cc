#include "roles/readiness/zone_contact.h"

namespace martenyard::roles
{

zone_contact::zone_contact(const zone_contact_options& options) : m_options(options)
{
}

void zone_contact::record_answer(instant now)
{
    m_answered_at = now;
    m_unanswered_since.reset();
    m_state = zone_contact_state::heard;
}

bool zone_contact::update(instant now)
{
    bool suspended = m_updated_at && now - *m_updated_at > m_options.m_suspended_after;
    m_updated_at = now;
    if (suspended)
    {
        m_unanswered_since.reset();
    }
    bool silent = !m_answered_at || now - *m_answered_at >= m_options.m_lost_after;
    bool unanswered = m_unanswered_since && now - *m_unanswered_since >= m_options.m_answer_timeout;
    if (silent && unanswered)
    {
        m_state = zone_contact_state::lost;
    }
    return !m_answered_at || now - *m_answered_at >= m_options.m_ask_after;
}

void zone_contact::record_question(instant now)
{
    if (!m_unanswered_since)
    {
        m_unanswered_since = now;
    }
}

}  // namespace martenyard::roles
