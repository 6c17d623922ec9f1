// Bounds on the revocation of API keys and on the precision of rate limits, as set by the operator.
#pragma once

#include <chrono>
#include <optional>

namespace martenyard::tenancy
{

/// @brief upper bound on the time until every machine rejects a revoked key
struct revocation_bound
{
    /// from the commit of the new configuration in the store; empty: no bound, keys are rejected once a
    /// machine has received it
    std::optional<std::chrono::milliseconds> m_max_delay;

    /// @return how long a configuration may be used after it was last known to be the newest
    std::optional<std::chrono::milliseconds> lease_duration() const
    {
        // Covers drift between steady clocks, and the time between checking the lease and admitting.
        constexpr std::chrono::milliseconds margin{250};
        if (!m_max_delay)
        {
            return std::nullopt;
        }
        return *m_max_delay > 2 * margin ? *m_max_delay - margin : *m_max_delay / 2;
    }
};

/// @brief how far the requests of a tenant in any time window may exceed its rate and burst
struct quota_bounds
{
    std::chrono::milliseconds m_window{5000};
    /// as a fraction of what rate and burst allow in a window
    double m_overage = 0.1;
    /// additional requests in a window
    double m_slack = 20;
};

}  // namespace martenyard::tenancy
