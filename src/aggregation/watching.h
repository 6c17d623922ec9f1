// Whether a gateway watches the store itself. Decision code: no I/O, no clock.
#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "aggregation/messages.h"

namespace martenyard::aggregation
{

/// @brief what a gateway sees
struct watch_view
{
    instant m_now;
    /// it holds a slot
    bool m_aggregates = false;
    /// it is the aggregator that exchanges sums for its zone
    bool m_speaks = false;
    /// the one that does said lately that the store answers it
    bool m_zone_has_contact = false;
    /// some aggregator said lately that the store answers it, or another zone's
    bool m_hears_contact = false;
};

/// @brief named knobs
struct watch_options
{
    /// an aggregator that doesn't speak for its zone begins when the one that does was out of contact with
    /// the store for this long. That one asks again at once, and a change may be due everywhere within 2 s
    std::chrono::milliseconds m_second_after{400};
    /// any gateway may begin when no aggregator was in contact with it for this long
    std::chrono::milliseconds m_any_after{1600};
    /// these begin one after the other over this time: the store may be down for all
    std::chrono::milliseconds m_any_spread{30000};
};

/// @brief turns views, one after the other, into watching or not
class watch_decision
{
  public:
    explicit watch_decision(const std::string& name, const watch_options& options = {});

    /// @brief takes what is seen now
    /// @return whether to watch
    bool judge(const watch_view& seen);

  private:
    watch_options m_options;
    std::chrono::milliseconds m_own_pause;
    std::optional<instant> m_zone_without_contact;
    std::optional<instant> m_all_without_contact;
};

}  // namespace martenyard::aggregation
