#include "discovery/load/runner_speeds.h"

#include <algorithm>

namespace martenyard::discovery
{

runner_speeds::runner_speeds(const runner_speed_options& options) : m_options(options)
{
}

void runner_speeds::add(const service_time_sample& sample)
{
    m_total.m_busy += sample.m_busy;
    m_total.m_completions += sample.m_completions;
}

std::chrono::duration<double> runner_speeds::mean() const
{
    // Less than one completion in all is left of a service that has been idle for long.
    bool known = m_total.m_completions >= 1 && m_total.m_busy > 0;
    return std::chrono::duration<double>(known ? m_total.m_busy / m_total.m_completions : 0);
}

double runner_speeds::relative(const service_time_sample& sample, double loss_rate) const
{
    double mean_seconds = mean().count();
    if (mean_seconds <= 0)
    {
        return 1;
    }
    double completions = sample.m_completions + m_options.m_credit;
    double busy = sample.m_busy / mean_seconds + m_options.m_credit;
    double floor = std::max(m_options.m_fastest, std::min(1.0, loss_rate / m_options.m_full_loss_rate));
    return std::clamp(busy / completions, floor, m_options.m_slowest);
}

}  // namespace martenyard::discovery
