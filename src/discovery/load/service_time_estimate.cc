#include "discovery/load/service_time_estimate.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace martenyard::discovery
{

using seconds = std::chrono::duration<double>;

service_time_estimate::service_time_estimate(const service_time_options& options) : m_options(options)
{
}

bool service_time_estimate::idle() const
{
    return m_own + m_peers == 0 && m_sums.m_busy == 0 && m_sums.m_completions == 0;
}

void service_time_estimate::advance(instant now)
{
    if (idle())
    {
        m_updated_at = std::max(now, m_updated_at);
        return;
    }
    double half_life = seconds(m_options.m_half_life).count();
    while (m_updated_at < now)
    {
        instant end = now;
        for (instant boundary : {m_counted_from, m_peers_until})
        {
            end = boundary > m_updated_at ? std::min(end, boundary) : end;
        }
        std::uint32_t active = m_own + (m_updated_at < m_peers_until ? m_peers : 0);
        double in_service = m_updated_at < m_counted_from ? 0 : std::min(active, m_slots);
        double factor = std::exp2(-seconds(end - m_updated_at).count() / half_life);
        // The integral of the decaying weight over the interval is (1 - factor) * half_life / ln 2.
        m_sums.m_busy = m_sums.m_busy * factor + in_service * (1 - factor) * half_life / std::numbers::ln2;
        m_sums.m_completions *= factor;
        m_updated_at = end;
    }
}

void service_time_estimate::set_active(instant now, std::uint32_t own, std::uint32_t peers,
                                       std::uint32_t slots)
{
    advance(now);
    bool turns_busy = m_own + m_peers == 0 && own + peers > 0;
    if (turns_busy && m_sums.m_completions < 1)
    {
        m_counted_from = m_updated_at + m_options.m_first_completion_grace;
    }
    m_own = own;
    m_peers = peers;
    m_slots = slots;
}

void service_time_estimate::set_own_active(instant now, std::uint32_t active, std::uint32_t slots)
{
    set_active(now, active, m_peers, slots);
}

void service_time_estimate::set_peers_active(instant now, std::uint32_t active, std::uint32_t slots)
{
    set_active(now, m_own, active, slots);
    m_peers_until = m_updated_at + m_options.m_peer_load_lifetime;
}

void service_time_estimate::record_completions(instant now, std::uint32_t served)
{
    if (served == 0)
    {
        return;
    }
    advance(now);
    m_counted_from = std::min(m_counted_from, m_updated_at);
    m_sums.m_completions += served;
}

service_time_sample service_time_estimate::sample(instant now) const
{
    service_time_estimate at_now = *this;
    at_now.advance(now);
    return at_now.m_sums;
}

}  // namespace martenyard::discovery
