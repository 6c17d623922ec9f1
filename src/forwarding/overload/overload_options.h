// Switches of the mechanisms for deployments that must bear the loss of a zone.
#pragma once

namespace martenyard::forwarding
{

/// @brief mechanisms that are enabled when the remaining zones must carry the load of a lost one
///
/// All are disabled by default: without such a requirement the engines are sized for the offered load.
struct overload_options
{
    /// gateways that are cut off from the ledger stay not ready and refuse at once
    bool m_zone_isolation = false;
    /// runners of unreachable zones are neither candidates nor capacity
    bool m_zone_reachability = false;
    /// new programs of a lower rank are refused first
    bool m_rank_admission = false;
    /// the load limit of a service follows the observed turn times
    bool m_adaptive_limit = false;
    /// programs that were refused before begin ahead of new ones
    bool m_waiting_programs = false;
    /// tenants above their usual rate are refused first. Not enabled by the gateway role: in a general burst
    /// all tenants are above their usual rate and are refused although none crowds out the others
    bool m_tenant_shares = false;
    /// costs are scaled by the observed speed of each runner
    bool m_runner_speeds = false;
    /// the memory of running requests adds to a runner's cost
    bool m_memory_placement = false;
    /// runners far above the mean load are chosen last
    bool m_load_bound = false;
    /// whether the last three also apply to requests with prompts. They move programs away from their cached
    /// prompts: engines then read more prompts again and preempt more requests than balance gains
    bool m_balance_prompts = false;
};

}  // namespace martenyard::forwarding
