#include "tenancy/rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace martenyard::tenancy
{
namespace
{

/// Of the room beyond rate and burst: for uneven arrivals, and for what a new leader begins with. The rest
/// is for requests that reach their runner some time after they were let in.
constexpr double uneven_share = 0.7;
constexpr double new_leader_share = 0.15;
/// A tenant whose level lies above this share of its capacity needs no guard.
constexpr double pressed_share = 0.5;
constexpr std::chrono::seconds prune_interval{1};
/// Told to a refused request at least: sooner than this nothing has changed.
constexpr double least_retry_s = 0.1;
/// And at most: a client gives up a third of its time at once.
constexpr double longest_retry_s = 1.0;

double seconds(std::chrono::nanoseconds span)
{
    return std::chrono::duration<double>(span).count();
}

}  // namespace

rate_limiter::rate_limiter(const quota_bounds& bounds, const rate_limiter_options& options)
    : m_bounds(bounds), m_options(options)
{
}

void rate_limiter::reset(instant now)
{
    m_reset = now;
    m_accounts.clear();
}

double rate_limiter::room(const rate_limit& limit) const
{
    double in_window = limit.m_rate * seconds(m_bounds.m_window) + limit.m_burst;
    return in_window * m_bounds.m_overage + m_bounds.m_slack;
}

double rate_limiter::capacity(const rate_limit& limit) const
{
    // At least one: a limit of less than a request at once would let none in.
    return std::max(1.0, limit.m_burst + room(limit) * uneven_share);
}

double rate_limiter::program_capacity(const account& of) const
{
    // What programs need beyond the rate while they are under way has to come out of the capacity.
    double spare = of.m_limit.m_rate * seconds(m_options.m_program_burst) + capacity(of.m_limit);
    return std::max(spare, m_options.m_least_programs * of.m_requests_per_program);
}

rate_limiter::account& rate_limiter::find(instant now, const quota_request& request)
{
    auto [found, added] = m_accounts.try_emplace(request.m_tenant);
    account& of = found->second;
    if (added)
    {
        // As if it had been here since the reset.
        of.m_limit = request.m_limit;
        of.m_version = request.m_version;
        of.m_filled = m_reset;
        of.m_pruned = now;
        of.m_level = room(of.m_limit) * new_leader_share;
        of.m_requests_per_program = m_options.m_requests_per_program;
        of.m_program_level = program_capacity(of);
    }
    else if (request.m_version > of.m_version)
    {
        fill(now, of);
        of.m_limit = request.m_limit;
        of.m_version = request.m_version;
    }
    fill(now, of);
    return of;
}

void rate_limiter::fill(instant now, account& of) const
{
    double passed = std::max(0.0, seconds(now - of.m_filled));
    of.m_filled = std::max(of.m_filled, now);
    of.m_level = std::min(of.m_level + passed * of.m_limit.m_rate, capacity(of.m_limit));
    of.m_program_level = std::min(of.m_program_level + passed * of.m_limit.m_rate, program_capacity(of));
}

void rate_limiter::prune(instant now, account& of) const
{
    if (now - of.m_pruned < prune_interval)
    {
        return;
    }
    of.m_pruned = now;
    absl::erase_if(of.m_programs,
                   [&](const auto& entry)
                   {
                       bool over = now - entry.second.m_last > m_options.m_program_lifetime;
                       if (over)
                       {
                           double difference = entry.second.m_requests - of.m_requests_per_program;
                           of.m_requests_per_program += difference * m_options.m_learning_rate;
                       }
                       return over;
                   });
}

bool rate_limiter::begins_program(instant now, const account& of, std::uint64_t program) const
{
    bool learned = now - m_reset > m_options.m_learning;
    return m_options.m_guards_programs && learned && program != 0 && !of.m_programs.contains(program) &&
           of.m_programs.size() < m_options.m_most_programs;
}

std::int32_t rate_limiter::take_one(instant now, account& of, std::uint64_t program) const
{
    bool begins = begins_program(now, of, program);
    bool pressed = of.m_level < capacity(of.m_limit) * pressed_share;
    if (begins && pressed && of.m_program_level <= 0)
    {
        return quota_answer::refused;
    }
    double wait_s = std::max(0.0, (1 - of.m_level) / of.m_limit.m_rate);
    if (wait_s > seconds(m_options.m_longest_wait))
    {
        return quota_answer::refused;
    }
    of.m_level -= 1;
    if (begins)
    {
        // Programs let in while the tenant was not pressed must not keep others out for ever after.
        double least = -program_capacity(of);
        of.m_program_level = std::max(of.m_program_level - of.m_requests_per_program, least);
    }
    if (program != 0 && (of.m_programs.contains(program) || of.m_programs.size() < m_options.m_most_programs))
    {
        auto& known = of.m_programs[program];
        known.m_last = now;
        ++known.m_requests;
    }
    return static_cast<std::int32_t>(std::ceil(wait_s * 1000));
}

quota_answer rate_limiter::take(instant now, const quota_request& request)
{
    quota_answer answer;
    if (!request.m_limit.limited())
    {
        answer.m_waits_ms.assign(request.m_programs.size(), 0);
        return answer;
    }
    account& of = find(now, request);
    prune(now, of);
    for (std::uint64_t program : request.m_programs)
    {
        answer.m_waits_ms.push_back(of.m_limit.limited() ? take_one(now, of, program) : 0);
    }
    if (of.m_limit.limited())
    {
        double missing = std::max(1 - of.m_level, 1 - of.m_program_level);
        double retry = std::clamp(missing / of.m_limit.m_rate, least_retry_s, longest_retry_s);
        answer.m_retry_after_ms = static_cast<std::uint32_t>(retry * 1000);
    }
    return answer;
}

}  // namespace martenyard::tenancy
