#include "tenancy/rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace martenyard::tenancy
{
namespace
{

/// Shares of the headroom: for uneven arrivals, and for the initial level of a new leader's buckets. The rest
/// is for requests that reach their runner some time after they were admitted.
constexpr double burst_headroom_share = 0.7;
constexpr double initial_headroom_share = 0.15;
/// New programs are not refused while a bucket is filled above this share of its capacity.
constexpr double guard_share = 0.5;
constexpr std::chrono::seconds prune_interval{1};
/// Bounds of the retry delay that is sent with a refusal.
constexpr double min_retry_s = 0.1;
constexpr double max_retry_s = 1.0;

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
    m_buckets.clear();
}

double rate_limiter::headroom(const rate_limit& limit) const
{
    double window_allowance = limit.m_rate * seconds(m_bounds.m_window) + limit.m_burst;
    return window_allowance * m_bounds.m_overage + m_bounds.m_slack;
}

double rate_limiter::capacity(const rate_limit& limit) const
{
    // A capacity below one would admit no request at all.
    return std::max(1.0, limit.m_burst + headroom(limit) * burst_headroom_share);
}

double rate_limiter::program_capacity(const tenant_bucket& bucket) const
{
    // Requests of running programs beyond the rate are taken from the capacity.
    double burst = bucket.m_limit.m_rate * seconds(m_options.m_program_burst) + capacity(bucket.m_limit);
    return std::max(burst, m_options.m_min_programs * bucket.m_requests_per_program);
}

rate_limiter::tenant_bucket& rate_limiter::find_or_add(instant now, const quota_request& request)
{
    // Programs are told apart only after the warm-up; those that are under way then do not count as new.
    instant observed_from = std::max(now, m_reset + m_options.m_warmup);
    auto [found, added] = m_buckets.try_emplace(request.m_tenant, observed_from, m_options.m_rates);
    tenant_bucket& bucket = found->second;
    if (added)
    {
        // As if the bucket had existed since the reset.
        bucket.m_limit = request.m_limit;
        bucket.m_version = request.m_version;
        bucket.m_last_refill = m_reset;
        bucket.m_last_prune = now;
        bucket.m_tokens = headroom(bucket.m_limit) * initial_headroom_share;
        bucket.m_requests_per_program = m_options.m_requests_per_program;
        bucket.m_program_tokens = program_capacity(bucket);
    }
    else if (request.m_version > bucket.m_version)
    {
        refill(now, bucket);
        bucket.m_limit = request.m_limit;
        bucket.m_version = request.m_version;
    }
    refill(now, bucket);
    return bucket;
}

void rate_limiter::refill(instant now, tenant_bucket& bucket) const
{
    double elapsed = std::max(0.0, seconds(now - bucket.m_last_refill));
    bucket.m_last_refill = std::max(bucket.m_last_refill, now);
    bucket.m_tokens = std::min(bucket.m_tokens + elapsed * bucket.m_limit.m_rate, capacity(bucket.m_limit));
    bucket.m_program_tokens =
        std::min(bucket.m_program_tokens + elapsed * bucket.m_limit.m_rate, program_capacity(bucket));
}

void rate_limiter::prune(instant now, tenant_bucket& bucket) const
{
    if (now - bucket.m_last_prune < prune_interval)
    {
        return;
    }
    bucket.m_last_prune = now;
    absl::erase_if(bucket.m_programs,
                   [&](const auto& entry)
                   {
                       bool expired = now - entry.second.m_last > m_options.m_program_timeout;
                       if (expired)
                       {
                           double deviation = entry.second.m_requests - bucket.m_requests_per_program;
                           bucket.m_requests_per_program += deviation * m_options.m_mean_weight;
                           bucket.m_rates.remember(now, entry.first);
                       }
                       return expired;
                   });
}

bool rate_limiter::is_new_program(instant now, const tenant_bucket& bucket, std::uint64_t program) const
{
    bool warmed_up = now - m_reset > m_options.m_warmup;
    return m_options.m_protect_programs && warmed_up && program != 0 &&
           !bucket.m_programs.contains(program) && bucket.m_programs.size() < m_options.m_max_programs;
}

bool rate_limiter::knows_usual_rates(instant now) const
{
    return now - m_reset > m_options.m_warmup + m_options.m_rates.m_min_observed;
}

bool rate_limiter::exceeds_share(instant now, const tenant_bucket& bucket, std::uint64_t program) const
{
    return knows_usual_rates(now) && is_new_program(now, bucket, program) &&
           !bucket.m_rates.remembers(program) && !bucket.m_rates.within_share();
}

std::int32_t rate_limiter::take_one(instant now, tenant_bucket& bucket, std::uint64_t program) const
{
    bool is_new = is_new_program(now, bucket, program);
    bool below_guard = bucket.m_tokens < capacity(bucket.m_limit) * guard_share;
    if (is_new && below_guard && bucket.m_program_tokens <= 0)
    {
        return quota_reply::refused;
    }
    double wait_s = std::max(0.0, (1 - bucket.m_tokens) / bucket.m_limit.m_rate);
    if (wait_s > seconds(m_options.m_max_wait))
    {
        return quota_reply::refused;
    }
    bucket.m_tokens -= 1;
    if (is_new)
    {
        // Bounds how long programs admitted while the bucket was well filled keep others out.
        double lowest = -program_capacity(bucket);
        bucket.m_program_tokens = std::max(bucket.m_program_tokens - bucket.m_requests_per_program, lowest);
        if (!bucket.m_rates.remembers(program))
        {
            bucket.m_rates.record_program();
        }
    }
    if (program != 0 &&
        (bucket.m_programs.contains(program) || bucket.m_programs.size() < m_options.m_max_programs))
    {
        auto& known = bucket.m_programs[program];
        known.m_last = now;
        ++known.m_requests;
    }
    return static_cast<std::int32_t>(std::ceil(wait_s * 1000));
}

void rate_limiter::remove_idle(instant now)
{
    if (m_options.m_idle_timeout.count() == 0 || now - m_idle_removed_at < m_options.m_idle_timeout)
    {
        return;
    }
    m_idle_removed_at = now;
    absl::erase_if(m_buckets,
                   [&](const auto& entry)
                   {
                       return now - entry.second.m_last_refill > m_options.m_idle_timeout;
                   });
}

quota_reply rate_limiter::take(instant now, const quota_request& request)
{
    quota_reply reply;
    if (!request.m_limit.limited())
    {
        reply.m_waits_ms.assign(request.m_programs.size(), 0);
        return reply;
    }
    remove_idle(now);
    tenant_bucket& bucket = find_or_add(now, request);
    prune(now, bucket);
    bucket.m_rates.advance(now, request.m_overloaded);
    bool share_exceeded = false;
    for (std::uint64_t program : request.m_programs)
    {
        if (request.m_overloaded && exceeds_share(now, bucket, program))
        {
            share_exceeded = true;
            ++m_share_refusals;
            bucket.m_rates.record_refusal();
            reply.m_waits_ms.push_back(quota_reply::refused);
            continue;
        }
        reply.m_waits_ms.push_back(bucket.m_limit.limited() ? take_one(now, bucket, program) : 0);
    }
    if (bucket.m_limit.limited())
    {
        double shortfall = std::max(1 - bucket.m_tokens, 1 - bucket.m_program_tokens);
        double retry_s = std::clamp(shortfall / bucket.m_limit.m_rate, min_retry_s, max_retry_s);
        reply.m_retry_after_ms = static_cast<std::uint32_t>(retry_s * 1000);
    }
    if (share_exceeded)
    {
        auto delay = static_cast<std::uint32_t>(bucket.m_rates.retry_delay().count());
        reply.m_retry_after_ms = std::max(reply.m_retry_after_ms, delay);
    }
    return reply;
}

}  // namespace martenyard::tenancy
