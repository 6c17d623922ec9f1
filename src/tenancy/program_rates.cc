#include "tenancy/program_rates.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace martenyard::tenancy
{
namespace
{

constexpr std::chrono::milliseconds min_retry_delay{100};
constexpr std::chrono::milliseconds max_retry_delay{1000};

double seconds(std::chrono::nanoseconds span)
{
    return std::chrono::duration<double>(span).count();
}

}  // namespace

program_rates::program_rates(instant start, const program_rates_options& options)
    : m_options(options), m_last(start), m_credit(options.m_min_burst), m_rotated_at(start)
{
}

double program_rates::usual() const
{
    return m_programs / std::max(m_seconds, seconds(m_options.m_min_observed));
}

double program_rates::limit() const
{
    return std::max(usual() * m_options.m_max_ratio, m_options.m_min_rate);
}

double program_rates::capacity() const
{
    return std::max(limit() * seconds(m_options.m_current_period), m_options.m_min_burst);
}

void program_rates::advance(instant now, bool overloaded)
{
    std::chrono::nanoseconds elapsed = std::max<std::chrono::nanoseconds>(now - m_last, {});
    m_last = std::max(m_last, now);
    rotate_remembered(now);
    // An interval with an overloaded gateway at either end does not count, unless the rate is still unknown.
    bool unknown = m_observed < m_options.m_min_observed;
    m_counting = unknown || !(overloaded || m_overloaded);
    m_overloaded = overloaded;
    if (elapsed > m_options.m_idle_timeout)
    {
        m_programs = 0;
        m_seconds = 0;
        m_observed = {};
        m_counting = true;
    }
    else if (m_counting)
    {
        double period = seconds(m_options.m_usual_period);
        double decay = std::exp(-seconds(elapsed) / period);
        m_programs *= decay;
        m_seconds = m_seconds * decay + period * (1 - decay);
        m_observed += elapsed;
    }
    m_credit = std::min(m_credit + seconds(elapsed) * limit(), capacity());
    m_refused *= std::exp(-seconds(elapsed) / seconds(m_options.m_current_period));
}

void program_rates::record_program()
{
    // After a surge without overload, the credit is back after one period.
    double lowest = -limit() * seconds(m_options.m_current_period);
    m_credit = std::max(m_credit - 1, lowest);
    m_programs += m_counting ? 1 : 0;
}

std::chrono::milliseconds program_rates::retry_delay() const
{
    std::chrono::duration<double> room((m_refused - m_credit) / limit());
    return std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(room), min_retry_delay,
                      max_retry_delay);
}

void program_rates::rotate_remembered(instant now)
{
    if (now - m_rotated_at < m_options.m_remembered)
    {
        return;
    }
    // After a long pause both sets are outdated.
    bool outdated = now - m_rotated_at >= 2 * m_options.m_remembered;
    m_remembered_before = outdated ? absl::flat_hash_set<std::uint64_t>() : std::move(m_remembered);
    m_remembered.clear();
    m_rotated_at = now;
}

void program_rates::remember(instant now, std::uint64_t program)
{
    rotate_remembered(now);
    if (m_remembered.size() < m_options.m_max_remembered)
    {
        m_remembered.insert(program);
    }
}

}  // namespace martenyard::tenancy
