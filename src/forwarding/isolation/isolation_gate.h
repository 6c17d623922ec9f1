// Rejects the requests that wait for the ledger at a gateway that is isolated from it.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>

namespace martenyard::forwarding
{

/// @brief tuning parameters
struct isolation_options
{
    /// expected time from the start of the isolation until the load balancer sends new connections of the
    /// zone's clients elsewhere: two failed probes, one second apart
    std::chrono::milliseconds m_move_time{1800};
    /// minimum retry delay
    std::chrono::milliseconds m_min_delay{100};
    /// retry delays are spread over this time
    std::chrono::milliseconds m_spread{300};
};

/// @param[in] isolated_for  time since the gateway became isolated
/// @param[in] point         random, in [0, 1)
/// @return the retry delay of a rejected request: the time until its client reaches another gateway
std::chrono::milliseconds move_delay(std::chrono::milliseconds isolated_for, double point,
                                     const isolation_options& options = {});

/// @brief whether this gateway is isolated, and the requests to reject when it becomes isolated
///
/// Not thread-safe: for the event loop's thread only.
class isolation_gate
{
  public:
    using instant = std::chrono::steady_clock::time_point;

    /// @brief a request that waits for the ledger; unregistered by its destructor
    class waiting_request
    {
      public:
        /// @param[in] gate       must outlive the object
        /// @param[in] on_reject  called at most once, when the gateway becomes isolated
        waiting_request(isolation_gate& gate, std::function<void()> on_reject);
        ~waiting_request();
        waiting_request(const waiting_request&) = delete;
        waiting_request& operator=(const waiting_request&) = delete;

      private:
        friend class isolation_gate;

        isolation_gate& m_gate;
        std::function<void()> m_on_reject;
    };

    /// @brief sets since when the gateway has been isolated, or that it is not; rejects all waiting requests
    ///        when it becomes isolated
    void set(std::optional<instant> isolated_since);

    /// @return since when the gateway has been isolated; empty if it is not
    std::optional<instant> isolated_since() const
    {
        return m_isolated_since;
    }

    bool closed() const
    {
        return m_isolated_since.has_value();
    }

    void count_rejection()
    {
        ++m_rejections;
    }

    /// @return the number of rejected requests
    std::uint64_t rejections() const
    {
        return m_rejections;
    }

  private:
    std::optional<instant> m_isolated_since;
    std::set<waiting_request*> m_waiting;
    std::uint64_t m_rejections = 0;
};

}  // namespace martenyard::forwarding
