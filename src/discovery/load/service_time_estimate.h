// Estimates a runner's service time by Little's law: the integral of the requests in service, divided by the
// completions.
//
// Both are known to every gateway from its own requests and from load digests. They decay exponentially at
// the same rate. Decision logic: no I/O, no clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace martenyard::discovery
{

/// @brief tuning parameters
struct service_time_options
{
    /// half-life of an observation's weight. With 1 s, a runner that became 8 times slower was found after up
    /// to 1.1 s, views of 0.1 to 0.4 s age included; with 600 ms within 1 s
    std::chrono::milliseconds m_half_life{600};
    /// A runner that turns busy completes nothing for one service time. Its busy time counts from the first
    /// completion, and at the latest from this time on, so that it is not taken for slow.
    std::chrono::milliseconds m_first_completion_grace{1000};
    /// Loads of peers count for this time after a digest. Completions missing for longer than a digest's
    /// usual delay of 0.1 to 0.4 s are more likely lost with the digests than not made.
    std::chrono::milliseconds m_peer_load_lifetime{500};
};

/// @brief decayed sums of one runner
struct service_time_sample
{
    /// seconds of requests in service
    double m_busy = 0;
    double m_completions = 0;
};

/// @brief decaying sums of the busy time and the completions of one runner
class service_time_estimate
{
  public:
    using instant = std::chrono::steady_clock::time_point;

    explicit service_time_estimate(const service_time_options& options = {});

    /// @param[in] active  requests in flight from this gateway from now on
    void set_own_active(instant now, std::uint32_t active, std::uint32_t slots);

    /// @param[in] active  requests in flight from other gateways, as of a digest received now
    void set_peers_active(instant now, std::uint32_t active, std::uint32_t slots);

    /// @param[in] served  requests with a complete response; lost requests do not count, so that a runner
    /// that fails fast is not taken for fast
    void record_completions(instant now, std::uint32_t served);

    service_time_sample sample(instant now) const;

  private:
    /// @brief adds the time since the last update to the sums
    void advance(instant now);
    void set_active(instant now, std::uint32_t own, std::uint32_t peers, std::uint32_t slots);
    bool idle() const;

    service_time_options m_options;
    instant m_updated_at;
    instant m_counted_from;
    instant m_peers_until;
    std::uint32_t m_own = 0;
    std::uint32_t m_peers = 0;
    std::uint32_t m_slots = 0;
    service_time_sample m_sums;
};

}  // namespace martenyard::discovery
