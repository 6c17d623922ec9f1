// Decides whether this gateway reports ready. Decision logic: no I/O, no clock.
//
// A gateway that alone has lost the turn ledger reports not ready, so that its clients move to gateways
// that can serve them. If most of its peers have lost the ledger too, the outage is the ledger's, and
// moving clients would not help: it stays ready.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

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
};

/// @brief derives the readiness from successive observations
class readiness_monitor
{
  public:
    explicit readiness_monitor(const readiness_options& options = {});

    /// @return whether the gateway is ready
    bool update(const ledger_observation& observation);

    /// @return whether most ledger groups are unresponsive to this gateway; reported to its peers
    bool ledger_unreachable() const;

    /// @return whether this gateway, but not most of its peers, has lost the ledger
    bool isolated_from_ledger() const;

  private:
    readiness_options m_options;
    bool m_ready = true;
    bool m_unreachable = false;
    /// time of the last change of @ref m_unreachable
    std::optional<ledger_observation::instant> m_changed_at;
};

}  // namespace martenyard::roles
