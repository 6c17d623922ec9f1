// Switches for the mechanisms of the policies. All are enabled by default; experiments disable some to
// measure their effect.
#pragma once

#include <set>
#include <string>

#include "absl/strings/string_view.h"
#include "base/errors.h"

namespace martenyard::roles
{

/// @brief a mechanism that can be disabled
enum class mechanism
{
    /// runners in other zones have a higher cost
    zone_cost,
    /// each shared prompt prefix has a preferred runner
    home,
    /// runners with more of the prompt in their cache have a lower cost
    kept_prompts,
    /// requests queued at a runner add to its cost
    waiting_cost,
    /// requests running at a runner add to its cost
    active_cost,
    /// a runner's rate of lost requests, weighted with the cost of a loss, adds to its cost
    loss_rates,
    /// runners that failed repeatedly are avoided for a while
    avoidance,
    /// the loads that other gateways cause are taken into account
    peer_loads,
    /// the ledger returns the runner of the previous turn
    turn_places,
    /// a repeatable request without a response is retried at another runner after a timeout
    silence_limit,
    /// gateways cache turn chains
    chain_cache,
    /// turn chains are read from any replica
    replica_chains,
    /// a gateway that alone has lost the ledger reports not ready
    readiness,
    /// a gateway that alone has lost the ledger reaches it through a peer
    relays,
    /// a few gateways watch the store and propagate its changes to the others
    peer_news,
    /// reservations are refused while a ledger group does not answer
    silence_refusal,
    /// a leader refuses reservations while its oldest pending one has waited too long
    overload_refusal,
    /// new programs wait while the engines are at capacity
    program_admission,
    /// leadership is transferred back to the preferred leader
    hand_back,
    /// a gateway behind a cut stays not ready and refuses at once
    zone_isolation,
    /// runners of unreachable zones are neither candidates nor capacity
    zone_reachability,
    /// new programs of a lower rank are refused first
    rank_admission,
    /// the load limit of a service follows the observed turn times
    adaptive_limit,
    /// programs that were refused before begin ahead of new ones
    waiting_programs,
    /// costs are scaled by the observed speed of each runner
    runner_speeds,
    /// the memory of running requests adds to a runner's cost
    memory_placement,
    /// runners far above the mean load are chosen last
    load_bound,
};

/// @brief invalid list of mechanisms or parameters
struct policy_error
{
    std::string m_detail;
};

/// @brief the set of disabled mechanisms
class policy_switches
{
  public:
    /// all mechanisms enabled
    policy_switches() = default;

    /// @param[in] disabled  comma-separated names of mechanisms to disable; may be empty
    /// Errors: policy_error names the unknown mechanism and lists the valid names.
    static Result<policy_switches> parse(absl::string_view disabled);

    bool enabled(mechanism which) const;

    /// @return the comma-separated names of the disabled mechanisms
    std::string disabled_names() const;

  private:
    std::set<mechanism> m_disabled;
};

}  // namespace martenyard::roles
