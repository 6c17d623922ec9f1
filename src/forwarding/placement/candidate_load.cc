#include "forwarding/placement/candidate_load.h"

#include <algorithm>

namespace martenyard::forwarding
{

candidate_load::candidate_load(instant now, const discovery::RunnerTable& runners, const ServiceName& service,
                               const overload_options& options, std::uint64_t cache_tokens)
    : m_now(now), m_options(options), m_cache_tokens(cache_tokens), m_mean_tokens(runners.MeanTokens(service))
{
    if (m_options.m_runner_speeds)
    {
        m_speeds = runners.SpeedsOf(now, service);
    }
}

void candidate_load::apply(const discovery::RunnerState& runner, Candidate& candidate) const
{
    if (m_options.m_runner_speeds)
    {
        candidate.relative_service_time =
            m_speeds.relative(runner.service_time.sample(m_now), candidate.loss_rate);
        std::chrono::duration<double, std::milli> mean = m_speeds.mean();
        candidate.extra_service_ms = (candidate.relative_service_time - 1) * mean.count();
    }
    if (m_options.m_memory_placement && m_cache_tokens > 0)
    {
        double tokens =
            static_cast<double>(runner.own_tokens) + static_cast<double>(runner.peers_active) * m_mean_tokens;
        // Requests that wait for a slot hold no memory yet.
        double running = std::min(
            1.0, static_cast<double>(candidate.slots) / std::max<std::uint32_t>(1, candidate.active));
        candidate.held_tokens = tokens * running;
        candidate.cache_tokens = m_cache_tokens;
    }
}

}  // namespace martenyard::forwarding
