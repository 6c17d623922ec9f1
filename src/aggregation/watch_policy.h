// Decides whether a gateway watches the store itself. Decision logic: no I/O, no clock.
#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "aggregation/messages.h"

namespace martenyard::aggregation
{

/// @brief inputs of @ref watch_policy
struct watch_state
{
    instant m_now;
    /// this gateway holds a slot
    bool m_is_aggregator = false;
    /// this gateway represents its zone
    bool m_is_representative = false;
    /// the representative of the zone recently reported that it reaches the store
    bool m_zone_reaches_store = false;
    /// any aggregator recently reported that it or another zone reaches the store
    bool m_any_reaches_store = false;
};

/// @brief tuning parameters
struct watch_options
{
    /// other aggregators start to watch after the representative has not reached the store for this time;
    /// must leave time for a change to be applied on all gateways within 2 s
    std::chrono::milliseconds m_standby_delay{400};
    /// any gateway may start to watch after no aggregator has reached the store for this time
    std::chrono::milliseconds m_fallback_delay{1600};
    /// start times of these gateways are distributed over this time, to limit the load on the store
    std::chrono::milliseconds m_fallback_jitter{30000};
};

/// @brief decides from successive states whether to watch the store
class watch_policy
{
  public:
    explicit watch_policy(const std::string& name, const watch_options& options = {});

    /// @brief updates the decision from the current state
    /// @return whether to watch the store
    bool should_watch(const watch_state& state);

  private:
    watch_options m_options;
    std::chrono::milliseconds m_own_jitter;
    std::optional<instant> m_zone_unreachable_since;
    std::optional<instant> m_all_unreachable_since;
};

}  // namespace martenyard::aggregation
