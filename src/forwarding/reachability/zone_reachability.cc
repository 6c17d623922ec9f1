#include "forwarding/reachability/zone_reachability.h"

#include <algorithm>
#include <utility>

namespace martenyard::forwarding
{

zone_reachability::zone_reachability(ZoneName own_zone, const reachability_options& options)
    : m_own_zone(std::move(own_zone)), m_options(options)
{
    add_zone(m_own_zone);
}

void zone_reachability::add_zone(const ZoneName& zone)
{
    m_zones.try_emplace(zone);
}

std::optional<bool> zone_reachability::record(instant now, const observation& observed)
{
    if (observed.m_zone == m_own_zone)
    {
        return std::nullopt;
    }
    zone_state& state = m_zones[observed.m_zone];
    bool was_unreachable = state.m_unreachable;
    switch (observed.m_contact)
    {
        case contact::answered:
            state.m_answered_at = now;
            state.m_timed_out.clear();
            state.m_silent = false;
            state.m_unreachable = false;
            break;
        case contact::timed_out:
            record_timeout(now, observed, state);
            break;
        case contact::silent:
            state.m_silent = state.m_silent || !state.m_answered_at ||
                             now - *state.m_answered_at >= m_options.m_silence_limit;
            break;
        case contact::inconclusive:
            break;
    }
    if (state.m_unreachable == was_unreachable)
    {
        return std::nullopt;
    }
    m_unreachable += state.m_unreachable ? 1 : -1;
    return !state.m_unreachable;
}

void zone_reachability::record_timeout(instant now, const observation& observed, zone_state& state)
{
    // An attempt from before the last answer may have begun before the zone became reachable again.
    if (state.m_answered_at && observed.m_began < *state.m_answered_at)
    {
        return;
    }
    std::erase_if(state.m_timed_out,
                  [&](const auto& entry)
                  {
                      return now - entry.second > m_options.m_evidence_lifetime;
                  });
    state.m_timed_out[observed.m_runner] = now;
    if (!state.m_unreachable && state.m_timed_out.size() >= m_options.m_runners)
    {
        state.m_unreachable = true;
        state.m_next_trial = now + m_options.m_backoff;
    }
}

bool zone_reachability::is_reachable(const ZoneName& zone) const
{
    if (all_reachable())
    {
        return true;
    }
    auto found = m_zones.find(zone);
    return found == m_zones.end() || !found->second.m_unreachable;
}

bool zone_reachability::all_reachable() const
{
    return m_unreachable == 0 || 2 * m_unreachable > m_zones.size();
}

bool zone_reachability::has_timeouts(instant now, const zone_state& state) const
{
    return std::ranges::any_of(state.m_timed_out,
                               [&](const auto& entry)
                               {
                                   return now - entry.second <= m_options.m_evidence_lifetime;
                               });
}

bool zone_reachability::is_due(instant now, const zone_state& state) const
{
    if (state.m_trials > 0)
    {
        return false;
    }
    if (state.m_unreachable)
    {
        return now >= state.m_next_trial;
    }
    bool timed_out = has_timeouts(now, state);
    if (!timed_out && !state.m_silent)
    {
        return false;
    }
    std::chrono::milliseconds interval =
        timed_out ? m_options.m_recheck_interval : m_options.m_silence_interval;
    return !state.m_trial_began || now - *state.m_trial_began >= interval;
}

std::size_t zone_reachability::begin_trials(instant now, const ZoneName& zone)
{
    auto found = m_zones.find(zone);
    if (found == m_zones.end() || !is_due(now, found->second))
    {
        return 0;
    }
    zone_state& state = found->second;
    state.m_trials = state.m_unreachable ? 1 : m_options.m_runners;
    state.m_trial_began = now;
    return state.m_trials;
}

std::optional<bool> zone_reachability::end_trial(instant now, const observation& observed, double jitter)
{
    zone_state& state = m_zones[observed.m_zone];
    state.m_trials -= state.m_trials > 0 ? 1 : 0;
    if (observed.m_contact == contact::inconclusive)
    {
        state.m_silent = false;  // Reported again if it continues.
    }
    std::optional<bool> change = record(now, observed);
    if (state.m_unreachable)
    {
        std::chrono::duration<double, std::milli> delay = m_options.m_backoff * (1 - jitter / 4);
        state.m_next_trial = now + std::chrono::duration_cast<instant::duration>(delay);
    }
    return change;
}

std::vector<ZoneName> zone_reachability::zones_in_question(instant now) const
{
    std::vector<ZoneName> zones;
    for (const auto& [zone, state] : m_zones)
    {
        if (state.m_unreachable || state.m_silent || has_timeouts(now, state))
        {
            zones.push_back(zone);
        }
    }
    return zones;
}

}  // namespace martenyard::forwarding
