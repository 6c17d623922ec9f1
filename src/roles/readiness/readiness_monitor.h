// Decides whether this gateway reports ready. Decision logic: no I/O, no clock.
//
// A gateway that alone has lost the turn ledger reports not ready, so that its clients move to gateways
// that can serve them. If most of its peers have lost the ledger too, the outage is the ledger's, and
// moving clients would not help: it stays ready.
//
// With zone isolation, a gateway that reaches neither the ledger nor any other zone is isolated: its zone is
// partitioned, and gateways of other zones may still serve its clients. It stays not ready until the ledger
// has answered for a while. See docs/design/0014.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

#include "roles/readiness/zone_contact.h"

namespace martenyard::roles
{

/// @brief tuning parameters
struct readiness_options
{
    /// a ledger group without a reply for this long counts as unresponsive
    std::chrono::milliseconds m_unresponsive_after{450};
    /// after most groups have not replied for this long, the gateway is not ready
    std::chrono::milliseconds m_lost_after{800};
    /// after the ledger has answered again for this long, the gateway is ready again
    std::chrono::milliseconds m_regained_after{500};

    /// whether a partition of the own zone is detected; without it the options below have no effect
    bool m_zone_isolation = false;
    /// a ledger group without a reply for this long counts as silent. Exceeds the interval of probes.
    std::chrono::milliseconds m_silent_after{250};
    /// if the own zone has a quorum of the ledger machines, groups with a leader elsewhere elect a new one
    /// within this time
    std::chrono::milliseconds m_election_time{1500};
    /// the number of peers is lowered only after the ledger was reached for this long: after a partition it
    /// takes up to 1.6 s until all peers are known again
    std::chrono::milliseconds m_settle_time{3000};
    /// an isolated gateway that has heard from other zones for this long, and most of whose peers have no
    /// ledger either, shares an outage of the ledger
    std::chrono::milliseconds m_shared_after{2000};
    /// a process that has never been ready waits for the ledger for this long before it rejects requests:
    /// when all machines start at once, it finds neither the ledger nor other zones
    std::chrono::milliseconds m_start_time{2000};
};

/// @brief observed state of the ledger and the peers
struct ledger_observation
{
    using instant = std::chrono::steady_clock::time_point;

    instant m_now;
    /// ledger groups that are probed
    std::size_t m_groups = 0;
    /// those of them that have not replied for @ref readiness_options::m_unresponsive_after
    std::size_t m_unresponsive_groups = 0;
    /// other known gateways
    std::size_t m_peers = 0;
    /// those of them that recently reported that they have lost the ledger
    std::size_t m_peers_without_ledger = 0;

    // The following are used with zone isolation only.

    /// those of the groups that have not replied for @ref readiness_options::m_silent_after
    std::size_t m_silent_groups = 0;
    /// whether the ledger has answered this process at least once
    bool m_ledger_answered = false;
    /// whether other zones answer
    zone_contact_state m_other_zones = zone_contact_state::unknown;
    /// whether most ledger machines are in the own zone
    bool m_own_zone_has_quorum = false;
};

/// @brief the state of a gateway and its reason
enum class readiness_state
{
    /// ready
    ready,
    /// ready, since most peers have lost the ledger too
    shared_outage,
    /// not ready: this gateway has lost the ledger, and most of its peers have not
    ledger_lost,
    /// not ready: neither the ledger nor other zones answer
    isolated,
    /// not ready: a new process that neither the ledger nor another zone has answered yet
    starting,
};

/// @return the name of the state in logs
const char* name_of(readiness_state state);

/// @brief derives the readiness from successive observations
class readiness_monitor
{
  public:
    explicit readiness_monitor(const readiness_options& options = {});

    /// @return whether the gateway is ready
    bool update(const ledger_observation& observation);

    /// @return whether the ledger is unreachable to this gateway; reported to its peers
    bool ledger_unreachable() const;

    /// @return whether this gateway, but not most of its peers, has lost the ledger
    bool isolated_from_ledger() const;

    readiness_state state() const
    {
        return m_state;
    }

    /// @return whether to reject requests that need the ledger at once: the gateway is isolated, and the
    /// ledger
    ///         does not answer yet
    bool rejects_turns() const
    {
        return m_rejects_turns;
    }

    /// @return since when the gateway has been isolated; empty if it is not
    std::optional<ledger_observation::instant> isolated_since() const
    {
        return m_isolated_since;
    }

    /// @return the number of peers that the decision is based on
    std::size_t known_peers() const
    {
        return m_known_peers;
    }

  private:
    using instant = ledger_observation::instant;

    bool ready() const;
    /// @return whether the gateway is isolated and the ledger does not answer yet
    bool is_without_ledger() const;
    /// @brief records when the ledger became reachable or unreachable
    void track_ledger(instant now, bool unreachable);
    /// @brief the decision without zone isolation
    void update_by_peers(const ledger_observation& observation, std::size_t peers);
    void update_with_isolation(const ledger_observation& observation);
    void remember_peers(const ledger_observation& observation);
    bool is_cut_off(const ledger_observation& observation) const;
    /// @brief ends the isolation if the ledger has answered for long enough or the outage is shared
    void try_to_end_isolation(const ledger_observation& observation, std::size_t peers);

    readiness_options m_options;
    readiness_state m_state;
    bool m_was_ready = false;
    bool m_rejects_turns = false;
    bool m_unreachable = false;
    /// time of the last change of @ref m_unreachable
    std::optional<instant> m_changed_at;
    std::optional<instant> m_isolated_since;
    /// since when the ledger, or other zones, have answered without interruption
    std::optional<instant> m_ledger_answers_since;
    std::optional<instant> m_other_zones_heard_since;
    /// the number of peers when the ledger was last reached
    std::size_t m_known_peers = 0;
};

}  // namespace martenyard::roles
