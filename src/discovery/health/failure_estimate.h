// How likely a runner is to lose a request, from what became of the requests that it got lately.
//
// A runner that loses every request shows at once; one that loses a few in a hundred shows only where
// the observations of all gateways are put together. Old observations fade, so that a runner that has
// recovered is tried again. Decision code: no I/O, no clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace martenyard::discovery
{

/// @brief requests that ended at a runner, by how
struct request_outcomes
{
    std::uint32_t m_served = 0;
    /// sent, and no whole answer came
    std::uint32_t m_lost = 0;
};

/// @brief named knobs
struct failure_estimate_options
{
    /// an observation counts half after this time
    std::chrono::milliseconds m_half_life{3000};
    /// served requests that every runner is credited with: little is known of one without them
    double m_credit = 4;
};

/// @brief one runner's share of lost requests
class failure_estimate
{
  public:
    using instant = std::chrono::steady_clock::time_point;

    explicit failure_estimate(const failure_estimate_options& options = {});

    /// @brief takes what this gateway saw, or what a peer told
    void note(instant now, const request_outcomes& outcomes);

    /// @return the share of requests that the runner is expected to lose, 0 to 1
    double rate(instant now) const;

  private:
    /// @return what is left of an observation's weight since the last note
    double faded(instant now) const;

    failure_estimate_options m_options;
    instant m_noted;
    double m_served = 0;
    double m_lost = 0;
};

}  // namespace martenyard::discovery
