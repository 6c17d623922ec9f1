// What the deployment asks of keys and limits, as its operator states it.
#pragma once

#include <chrono>
#include <optional>

namespace martenyard::tenancy
{

/// @brief how soon a key that is taken away must open nothing any more, on every machine
struct revocation_bound
{
    /// from the store's taking the new configuration; nothing: as soon as a machine hears of it
    std::optional<std::chrono::milliseconds> m_within;

    /// @return how long a configuration may be used after the moment at which it was known to be the newest
    std::optional<std::chrono::milliseconds> lease() const
    {
        // For steady clocks that run a little apart, and the tick between a look at one and a request.
        constexpr std::chrono::milliseconds margin{250};
        if (!m_within)
        {
            return std::nullopt;
        }
        return *m_within > 2 * margin ? *m_within - margin : *m_within / 2;
    }
};

/// @brief how many requests of a tenant may run in any window of time, beyond its rate and burst
struct quota_bounds
{
    std::chrono::milliseconds m_window{5000};
    /// as a share of what rate and burst allow in a window
    double m_overage = 0.1;
    /// requests
    double m_slack = 20;
};

}  // namespace martenyard::tenancy
