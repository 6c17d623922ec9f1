#include "aggregation/watch_policy.h"

#include "base/hash.h"

namespace martenyard::aggregation
{
namespace
{

/// @return whether `condition` has been false for `duration`; `false_since` holds the state between calls
bool has_been_false_for(instant now, bool condition, std::chrono::milliseconds duration,
                        std::optional<instant>& false_since)
{
    if (condition)
    {
        false_since.reset();
        return false;
    }
    false_since = false_since.value_or(now);
    return now - *false_since >= duration;
}

}  // namespace

watch_policy::watch_policy(const std::string& name, const watch_options& options)
    : m_options(options),
      m_own_jitter(StableHash(name) % static_cast<std::uint64_t>(options.m_fallback_jitter.count()))
{
}

bool watch_policy::should_watch(const watch_state& state)
{
    bool zone_covered = !state.m_is_aggregator || state.m_zone_reaches_store;
    bool standby_watches =
        has_been_false_for(state.m_now, zone_covered, m_options.m_standby_delay, m_zone_unreachable_since);
    bool fallback_watches =
        has_been_false_for(state.m_now, state.m_any_reaches_store, m_options.m_fallback_delay + m_own_jitter,
                           m_all_unreachable_since);
    return state.m_is_representative || standby_watches || fallback_watches;
}

}  // namespace martenyard::aggregation
