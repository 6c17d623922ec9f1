#include "discovery/health/failure_estimate.h"

#include <algorithm>
#include <cmath>

namespace martenyard::discovery
{

failure_estimate::failure_estimate(const failure_estimate_options& options) : m_options(options)
{
}

double failure_estimate::faded(instant now) const
{
    std::chrono::duration<double> age = std::max(now, m_noted) - m_noted;
    return std::exp2(-age / std::chrono::duration<double>(m_options.m_half_life));
}

void failure_estimate::note(instant now, const request_outcomes& outcomes)
{
    double left = faded(now);
    m_served = m_served * left + outcomes.m_served;
    m_lost = m_lost * left + outcomes.m_lost;
    m_noted = std::max(now, m_noted);
}

double failure_estimate::rate(instant now) const
{
    double left = faded(now);
    double lost = m_lost * left;
    return lost / (lost + m_served * left + m_options.m_credit);
}

}  // namespace martenyard::discovery
