// Decides which zones this gateway can reach. Decision logic: no I/O, no clock.
//
// A circuit breaker for each zone. Evidence comes from this gateway's own connections to runners, so no
// message between gateways is needed. See docs/design/0018-unreachable-zones.md.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "discovery/runner.h"

namespace martenyard::forwarding
{

/// @brief tuning parameters
struct reachability_options
{
    /// a zone is unreachable after connections to this many of its runners timed out; a single runner
    /// that is down is no evidence about its zone
    std::size_t m_runners = 2;
    /// a timeout is forgotten after this time
    std::chrono::milliseconds m_evidence_lifetime{2000};
    /// a runner that is read from without receiving a byte for this long is silent
    std::chrono::milliseconds m_silence_limit{200};
    /// interval of trials of a reachable zone after a connection to it timed out
    std::chrono::milliseconds m_recheck_interval{100};
    /// interval of trials of a reachable zone that is only silent; slow requests cause such silence, so
    /// the interval is longer
    std::chrono::milliseconds m_silence_interval{500};
    /// time from a failed trial of an unreachable zone to the next one, reduced by up to a quarter at random
    std::chrono::milliseconds m_backoff{300};
};

/// @brief what a connection to a runner tells about the way to it
enum class contact
{
    /// the connection was established, or bytes were received on it
    answered,
    /// the attempt to connect timed out
    timed_out,
    /// nothing was received for @ref reachability_options::m_silence_limit while reading
    silent,
    /// the attempt failed in a way that tells nothing, e.g. the connection was refused
    inconclusive,
};

/// @brief an observation of the way to one runner
struct observation
{
    using instant = std::chrono::steady_clock::time_point;

    ZoneName m_zone;
    discovery::RunnerId m_runner;
    contact m_contact = contact::inconclusive;
    /// when the connection attempt began or the wait for bytes began; earlier than the report
    instant m_began;
};

/// @brief the reachability of the zones as observed by one gateway
///
/// Load pattern: a zone becomes unreachable while a few requests a second go to each of its runners, most of
/// them on connections from before. Silence on these connections has other causes too (a slow tool, a queue
/// at an engine), so it only causes trials: new connections on which no request is sent. A zone becomes
/// unreachable when connections to two of its runners time out with no answer from any of its runners in
/// between, and reachable again with the next answer. Running requests are not affected. The gateway's own
/// zone is always reachable. Not thread-safe.
class zone_reachability
{
  public:
    using instant = observation::instant;

    explicit zone_reachability(ZoneName own_zone, const reachability_options& options = {});

    /// @brief makes a zone known before the first observation of it
    void add_zone(const ZoneName& zone);

    /// @return whether the zone has just become reachable (true) or unreachable (false); nothing if it stays
    /// as it was
    std::optional<bool> record(instant now, const observation& observed);

    /// @return whether requests may be sent to runners of the zone; true for all zones when more than half of
    /// them are unreachable, since this gateway is then the likely fault
    bool is_reachable(const ZoneName& zone) const;

    /// @return whether @ref is_reachable is true for all zones
    bool all_reachable() const;

    /// @brief starts the trials of a zone that are due
    /// @return the number of connections, to different runners, that must be attempted now;
    ///         @ref end_trial must be called for each of them
    std::size_t begin_trials(instant now, const ZoneName& zone);

    /// @brief records the result of a trial
    /// @param[in] jitter  in [0, 1); spreads the trials of several gateways
    /// @return as @ref record
    std::optional<bool> end_trial(instant now, const observation& observed, double jitter);

    /// @return the zones that may need trials: unreachable ones, and those with recent failures or silence
    std::vector<ZoneName> zones_in_question(instant now) const;

    /// @return the number of zones that are unreachable, whether or not this gateway is the likely fault
    std::size_t unreachable_zones() const
    {
        return m_unreachable;
    }

    /// @return the number of known zones, with this gateway's own
    std::size_t zones() const
    {
        return m_zones.size();
    }

    const reachability_options& options() const
    {
        return m_options;
    }

  private:
    struct zone_state
    {
        bool m_unreachable = false;
        /// silence was reported since the last answer
        bool m_silent = false;
        std::optional<instant> m_answered_at;
        /// runners to which connections timed out since the last answer, with the time of the last one
        std::map<discovery::RunnerId, instant> m_timed_out;
        std::size_t m_trials = 0;
        std::optional<instant> m_trial_began;
        /// of an unreachable zone
        instant m_next_trial;
    };

    void record_timeout(instant now, const observation& observed, zone_state& state);
    /// @return whether a connection to one of the zone's runners timed out recently
    bool has_timeouts(instant now, const zone_state& state) const;
    bool is_due(instant now, const zone_state& state) const;

    ZoneName m_own_zone;
    reachability_options m_options;
    std::map<ZoneName, zone_state> m_zones;
    std::size_t m_unreachable = 0;
};

}  // namespace martenyard::forwarding
