// Whether a gateway watches the store itself. Decision code: no I/O, no clock.
#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "aggregation/messages.h"

namespace martenyard::aggregation
{

/// @brief what a gateway sees
struct watch_state
{
    instant m_now;
    /// it holds a slot
    bool m_is_aggregator = false;
    /// it is the aggregator that exchanges sums for its zone
    bool m_is_representative = false;
    /// the one that does said lately that the store answers it
    bool m_zone_reaches_store = false;
    /// some aggregator said lately that the store answers it, or another zone's
    bool m_any_reaches_store = false;
};

/// @brief named knobs
struct watch_options
{
    /// an aggregator that doesn't speak for its zone begins when the one that does was out of contact with
    /// the store for this long. That one asks again at once, and a change may be due everywhere within 2 s
    std::chrono::milliseconds m_standby_delay{400};
    /// any gateway may begin when no aggregator was in contact with it for this long
    std::chrono::milliseconds m_fallback_delay{1600};
    /// these begin one after the other over this time: the store may be down for all
    std::chrono::milliseconds m_fallback_jitter{30000};
};

/// @brief turns views, one after the other, into watching or not
class watch_policy
{
  public:
    explicit watch_policy(const std::string& name, const watch_options& options = {});

    /// @brief takes what is seen now
    /// @return whether to watch
    bool should_watch(const watch_state& state);

  private:
    watch_options m_options;
    std::chrono::milliseconds m_own_jitter;
    std::optional<instant> m_zone_unreachable_since;
    std::optional<instant> m_all_unreachable_since;
};

}  // namespace martenyard::aggregation
