// Which gateways are their zone's aggregators. Decision code: no I/O, no clock.
//
// Each zone has a few slots, one key each in the store. A gateway that sees a vacant one, or one whose
// holder it no longer hears, takes it by a conditional write after a pause of its own, so that one of
// many tries first and the others see its name there.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "aggregation/messages.h"

namespace martenyard::aggregation
{

/// aggregators of a zone: two may be lost and one still tells the zone's gateways of the others
constexpr std::size_t slots_per_zone = 3;

/// @brief a slot as the store has it
struct slot
{
    /// nobody: the slot is vacant
    std::optional<contact> m_holder;
    /// of the key's last change; 0 if it was never written
    std::uint64_t m_revision = 0;
};

/// @brief all zones' slots, by zone and number
using slot_table = std::map<std::string, std::map<std::size_t, slot>>;

/// @brief a slot to take
struct slot_claim
{
    std::size_t m_slot = 0;
    /// the write's condition
    std::uint64_t m_revision = 0;
};

/// @return the zones that `zone` exchanges sums with: the next ones on both sides in the circle of names.
///         News of the store reach all others through them
std::vector<std::string> neighbor_zones(const slot_table& table, const std::string& zone,
                                        std::size_t max_count);

/// @return a zone's aggregators, in the order of their slots
std::vector<contact> slot_holders(const slot_table& table, const std::string& zone);

/// @return the zone whose gateways tell a storage machine what the store has: its own, or where no gateway
///         holds a slot there, one of the others; empty if there is none
std::string announcing_zone(const slot_table& table, const std::string& machine, const std::string& zone);

/// @param[in] hears  whether an aggregator was heard lately
/// @return the zone's first aggregator that is heard, or `self` if none before it is: it watches the store
///         and exchanges sums with other zones for the zone
template <typename Hears>
contact zone_representative(const slot_table& table, const contact& self, Hears is_alive)
{
    for (const contact& holder : slot_holders(table, self.m_zone))
    {
        if (holder.m_name == self.m_name || is_alive(holder))
        {
            return holder;
        }
    }
    return self;
}

/// @param[in] hears  whether an aggregator was heard lately
/// @return of each near zone the aggregator that speaks for it, or all of them while none does
template <typename Hears>
std::vector<wire::Endpoint> summary_targets(const slot_table& table, const contact& self, Hears is_alive,
                                            std::size_t max_zones)
{
    std::vector<wire::Endpoint> targets;
    for (const std::string& zone : neighbor_zones(table, self.m_zone, max_zones))
    {
        std::vector<contact> holders = slot_holders(table, zone);
        auto representative = std::find_if(holders.begin(), holders.end(), is_alive);
        if (representative != holders.end())
        {
            targets.push_back(representative->m_endpoint);
            continue;
        }
        for (const contact& holder : holders)
        {
            targets.push_back(holder.m_endpoint);
        }
    }
    return targets;
}

/// @brief named knobs
struct slot_options
{
    /// machines with a smaller share of a core take a slot only after this time
    double m_low_cpu_share = 0.2;
    std::chrono::milliseconds m_low_cpu_delay{600};
    /// the pauses of a zone's gateways lie spread over this time. The store's answer takes some
    /// milliseconds and fifty gateways may want the slot: one in twenty milliseconds
    std::chrono::milliseconds m_jitter{1000};
    /// a holder that was not heard for this long is replaced. A process restarts within a second
    std::chrono::milliseconds m_holder_timeout{4000};
    /// while no aggregator at all is heard, this gateway may be the one that is cut off
    std::chrono::milliseconds m_isolated_timeout{10000};
    /// before the same slot is tried for again
    std::chrono::milliseconds m_retry_interval{1500};
};

/// @brief decides when to take a slot
class slot_claim_policy
{
  public:
    /// @param[in] processor_share  of one core, that the machine may use
    slot_claim_policy(contact self, double processor_share, const slot_options& options = {});

    /// @brief what the gateway hears of aggregators
    struct peer_activity
    {
        instant m_now;
        /// when each aggregator was last heard, by name
        const std::map<std::string, instant>* m_last_seen = nullptr;
    };

    /// @return the slot to take now, if any
    std::optional<slot_claim> next_claim(const peer_activity& activity, const slot_table& table);

    /// @brief the slot was tried for; it isn't due again for a while
    void record_attempt(instant now, const slot_claim& claim);

    /// @brief a slot was taken, or may have been: no other one is due until the slots show it, or a while
    ///        has passed
    void record_claim(instant now);

    /// @return the slot that this gateway holds, if any
    std::optional<std::size_t> held_slot(const slot_table& table) const;

  private:
    struct tracked_slot
    {
        /// its holder's name, empty while it is vacant
        std::string m_holder;
        /// since when that has been known here: before, the holder could not be heard
        std::optional<instant> m_holder_since;
        std::optional<instant> m_last_attempt;
    };

    /// @return how long this gateway waits before it takes the slot
    std::chrono::milliseconds claim_delay(std::size_t number) const;
    bool is_due(const peer_activity& activity, const slot& current, tracked_slot& tracked,
                std::size_t number) const;
    bool any_aggregator_alive(const peer_activity& activity) const;

    contact m_self;
    double m_processor_share;
    slot_options m_options;
    std::map<std::size_t, tracked_slot> m_tracked;
    std::optional<instant> m_last_claim;
};

}  // namespace martenyard::aggregation
