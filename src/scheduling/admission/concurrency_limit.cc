#include "scheduling/admission/concurrency_limit.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace martenyard::scheduling
{

namespace
{

/// weight of a new sample in the mean turn time
constexpr double turn_time_weight = 0.05;
constexpr double short_turn_quantile = 0.1;
/// a step after a long silence counts as one of this length
constexpr double max_step_seconds = 1.0;

seconds_f total_time(seconds_f first_event, seconds_f per_event, std::uint32_t events)
{
    return first_event + per_event * (events > 1 ? events - 1 : 0);
}

}  // namespace

low_quantile::low_quantile(double quantile, double step) : m_quantile(quantile), m_step(step)
{
}

void low_quantile::record(double value)
{
    ++m_count;
    if (m_value == 0)
    {
        m_value = value;
        return;
    }
    double step = std::max(m_step, 1.0 / static_cast<double>(m_count));
    m_value *= 1 + step * (value > m_value ? m_quantile : m_quantile - 1);
}

concurrency_limit::concurrency_limit(const concurrency_limit_options& options)
    : m_options(options),
      m_limit(options.m_start),
      m_idle_first_event(options.m_idle_quantile, options.m_idle_step),
      m_idle_per_event(options.m_idle_quantile, options.m_idle_step),
      m_events(short_turn_quantile, options.m_idle_step)
{
}

void concurrency_limit::record(steady_time now, const turn_times& turn)
{
    seconds_f took = total_time(turn.m_first_event, turn.m_per_event, turn.m_events);
    if (turn.m_events == 0 || took.count() <= 0)
    {
        return;
    }
    m_events.record(turn.m_events);
    // Only turns on idle runners: after a restart under load, the lowest times seen are not idle times, and
    // the limit would rise to its maximum.
    if (turn.m_runner_load <= m_options.m_idle_load && turn.m_events > 1)
    {
        m_idle_first_event.record(turn.m_first_event.count());
        m_idle_per_event.record(turn.m_per_event.count());
        ++m_idle_samples;
    }
    m_turn_time = m_turn_time ? *m_turn_time + (took - *m_turn_time) * turn_time_weight : took;
    if (std::optional<seconds_f> idle = idle_time(turn.m_events))
    {
        m_samples.push_back({now, took / *idle});
    }
    drop_old_samples(now);
}

void concurrency_limit::drop_old_samples(steady_time now)
{
    bool too_many = m_samples.size() > m_options.m_max_samples;
    while (!m_samples.empty() && (too_many || now - m_samples.front().m_at > m_options.m_window))
    {
        m_samples.pop_front();
        too_many = m_samples.size() > m_options.m_max_samples;
    }
}

std::optional<seconds_f> concurrency_limit::turn_time() const
{
    return m_turn_time;
}

std::optional<seconds_f> concurrency_limit::idle_time(std::uint32_t events) const
{
    if (m_idle_samples < m_options.m_min_idle_samples)
    {
        return std::nullopt;
    }
    seconds_f time =
        total_time(seconds_f(m_idle_first_event.value()), seconds_f(m_idle_per_event.value()), events);
    return time.count() > 0 ? std::optional(time) : std::nullopt;
}

std::optional<seconds_f> concurrency_limit::shortest_turn() const
{
    return idle_time(static_cast<std::uint32_t>(m_events.value()));
}

std::optional<double> concurrency_limit::median_slowdown() const
{
    if (m_samples.size() < m_options.m_min_samples)
    {
        return std::nullopt;
    }
    std::vector<double> values;
    values.reserve(m_samples.size());
    for (const sample& each : m_samples)
    {
        values.push_back(each.m_slowdown);
    }
    auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

void concurrency_limit::update(steady_time now, double load, bool refused)
{
    m_demand = m_demand || refused || load >= m_options.m_demand_share * m_limit;
    if (!m_stepped_at)
    {
        m_stepped_at = now;
    }
    if (now - *m_stepped_at < m_options.m_step)
    {
        return;
    }
    drop_old_samples(now);
    m_slowdown = median_slowdown();
    step(std::min(seconds_f(now - *m_stepped_at).count(), max_step_seconds));
    m_stepped_at = now;
    m_demand = false;
}

void concurrency_limit::step(double seconds)
{
    double target = m_options.m_start;
    std::chrono::milliseconds time = m_options.m_return_time;
    if (m_slowdown)
    {
        double proportional =
            m_options.m_start - m_options.m_gain * (*m_slowdown / m_options.m_allowed_slowdown - 1);
        // Without demand at the limit, the slowdown says nothing about higher loads.
        if (proportional < m_limit || m_demand)
        {
            target = proportional;
            time = m_options.m_change_time;
        }
    }
    m_limit += (target - m_limit) * (1 - std::exp(-seconds / seconds_f(time).count()));
    m_limit = std::clamp(m_limit, m_options.m_min, m_options.m_max);
}

}  // namespace martenyard::scheduling
