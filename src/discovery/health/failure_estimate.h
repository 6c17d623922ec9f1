// Estimates the probability that a runner fails a request from the outcomes of recent requests.
//
// Low failure rates are detected only by combining the observations of all gateways. Observations
// decay exponentially, so that a runner that has recovered is used again. Decision logic: no I/O, no
// clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace martenyard::discovery
{

/// @brief counts of completed and failed requests of a runner
struct request_outcomes
{
    std::uint32_t m_served = 0;
    /// sent, but no complete response was received
    std::uint32_t m_lost = 0;
};

/// @brief tuning parameters
struct failure_estimate_options
{
    /// half-life of an observation's weight
    std::chrono::milliseconds m_half_life{3000};
    /// served requests that every runner starts with, so that a few failures weigh less
    double m_credit = 4;
};

/// @brief decaying estimate of one runner's failure rate
class failure_estimate
{
  public:
    using instant = std::chrono::steady_clock::time_point;

    explicit failure_estimate(const failure_estimate_options& options = {});

    /// @brief adds outcomes observed by this gateway or reported by a peer
    void record(instant now, const request_outcomes& outcomes);

    /// @return the expected share of failed requests, from 0 to 1
    double rate(instant now) const;

  private:
    /// @return the decay factor since the last update
    double decay_factor(instant now) const;

    failure_estimate_options m_options;
    instant m_updated_at;
    double m_served = 0;
    double m_lost = 0;
};

}  // namespace martenyard::discovery
