#include "discovery/health/failure_estimate.h"

#include <algorithm>
#include <cmath>

namespace martenyard::discovery
{

failure_estimate::failure_estimate(const failure_estimate_options& options) : m_options(options)
{
}

double failure_estimate::decay_factor(instant now) const
{
    std::chrono::duration<double> age = std::max(now, m_updated_at) - m_updated_at;
    return std::exp2(-age / std::chrono::duration<double>(m_options.m_half_life));
}

void failure_estimate::record(instant now, const request_outcomes& outcomes)
{
    double factor = decay_factor(now);
    m_served = m_served * factor + outcomes.m_served;
    m_lost = m_lost * factor + outcomes.m_lost;
    m_updated_at = std::max(now, m_updated_at);
}

double failure_estimate::rate(instant now) const
{
    double factor = decay_factor(now);
    double lost = m_lost * factor;
    return lost / (lost + m_served * factor + m_options.m_credit);
}

}  // namespace martenyard::discovery
