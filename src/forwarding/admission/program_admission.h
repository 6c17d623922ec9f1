// Admission control for new programs. Pure functions without I/O or clock.
//
// Running too many programs at once is a metastable overload: turns queue, cached prompts are evicted before
// their next turn, and slower programs raise the load further. New programs are therefore refused while the
// engines are nearly full; turns of running programs are always admitted.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

namespace martenyard::forwarding
{

/// @brief load of a service's engines, from all known gateways
struct engine_load
{
    std::uint32_t m_active = 0;
    /// total number of concurrent requests; draining runners are not counted
    std::uint32_t m_slots = 0;
};

/// @brief tuning parameters
struct admission_options
{
    /// active requests per slot from which on new programs are refused. About a third of the running programs
    /// pause or call tools at any moment; see docs/design/0008
    double m_max_load = 0.7;
    /// retry delay of a refused program as a share of the time left until its deadline
    double m_retry_delay_share = 0.05;
    /// clients accept a retry delay of at most a third of their attempt's time
    std::chrono::milliseconds m_max_retry_delay{1000};
    std::chrono::milliseconds m_min_retry_delay{100};
};

/// @param[in] remaining  time left until the program's deadline, if it has one
/// @param[in] jitter     from 0 to 1; spreads the retries of programs refused together
/// @return the retry delay of a refused program
inline std::chrono::milliseconds program_retry_delay(std::optional<std::chrono::milliseconds> remaining,
                                                     double jitter, const admission_options& options)
{
    using std::chrono::milliseconds;
    std::chrono::duration<double, std::milli> mean =
        remaining ? *remaining * options.m_retry_delay_share : options.m_max_retry_delay / 2.0;
    auto delay = std::chrono::duration_cast<milliseconds>(mean * (1 + jitter));
    return std::clamp(delay, options.m_min_retry_delay, options.m_max_retry_delay);
}

/// @return whether a new program may begin
inline bool admits_program(const engine_load& load, const admission_options& options)
{
    return load.m_slots == 0 || load.m_active < options.m_max_load * load.m_slots;
}

}  // namespace martenyard::forwarding
