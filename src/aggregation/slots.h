// Election of the aggregators of a zone. Decision logic: no I/O, no clock.
//
// Each zone has a fixed number of slots, each stored under a key of the store. A gateway claims a vacant
// slot, or one whose holder is unresponsive, by a conditional write after a delay derived from its name, so
// that usually only one gateway tries.
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

/// aggregators per zone; tolerates the loss of two
constexpr std::size_t slots_per_zone = 3;

/// @brief a slot as recorded in the store
struct slot
{
    /// empty if the slot is vacant
    std::optional<contact> m_holder;
    /// revision of the last change of the key; 0 if it was never written
    std::uint64_t m_revision = 0;
};

/// @brief slots of all zones, by zone and slot number
using slot_table = std::map<std::string, std::map<std::size_t, slot>>;

/// @brief a conditional write that claims a slot
struct slot_claim
{
    std::size_t m_slot = 0;
    /// the write succeeds only if the key still has this revision
    std::uint64_t m_revision = 0;
};

/// @param[in] names  other names than `name`, in order
/// @return the nearest ones on both sides of `name` in the ring of names
std::vector<std::string> nearest_in_ring(const std::vector<std::string>& names, const std::string& name,
                                         std::size_t max_count);

/// @return the zones that `zone` exchanges summaries with: the nearest ones on both sides in the ring of
///         zone names; changes reach the other zones through them
std::vector<std::string> neighbor_zones(const slot_table& table, const std::string& zone,
                                        std::size_t max_count);

/// @return the aggregators of a zone in slot order
std::vector<contact> slot_holders(const slot_table& table, const std::string& zone);

/// @return the zone whose representative announces store changes to a storage machine: its own zone, or
///         another one if no gateway holds a slot there; empty if no zone has an aggregator
std::string announcing_zone(const slot_table& table, const std::string& machine, const std::string& zone);

/// @param[in] is_alive  whether a message from an aggregator was received recently
/// @return the representative of the zone, which watches the store and exchanges summaries with other
///         zones: the first aggregator in slot order that is alive or is `self`, or else `self`
template <typename Predicate>
contact zone_representative(const slot_table& table, const contact& self, Predicate is_alive)
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

/// @param[in] is_alive  whether a message from an aggregator was received recently
/// @return the representative of each neighbor zone, or all aggregators of a zone if none is alive
template <typename Predicate>
std::vector<wire::Endpoint> summary_targets(const slot_table& table,
                                            const std::vector<std::string>& neighbors, Predicate is_alive)
{
    std::vector<wire::Endpoint> targets;
    for (const std::string& zone : neighbors)
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

/// @brief tuning parameters
struct slot_options
{
    /// machines with a smaller share of a core claim a slot later, by @ref m_low_cpu_delay
    double m_low_cpu_share = 0.2;
    std::chrono::milliseconds m_low_cpu_delay{600};
    /// claim delays are distributed over this time; must be much longer than a store round trip for each
    /// gateway of a zone
    std::chrono::milliseconds m_jitter{1000};
    /// an unresponsive holder is replaced after this time; must exceed the time of a process restart
    std::chrono::milliseconds m_holder_timeout{4000};
    /// the same while no aggregator is alive: this gateway may be the one that is partitioned
    std::chrono::milliseconds m_isolated_timeout{10000};
    /// minimum time between two claims of the same slot
    std::chrono::milliseconds m_retry_interval{1500};
};

/// @brief decides when to claim a slot
class slot_claim_policy
{
  public:
    /// @param[in] processor_share  share of one core that is available to this machine
    slot_claim_policy(contact self, double processor_share, const slot_options& options = {});

    /// @brief sets the cell of the zone that this gateway belongs to
    void set_cell(const std::string& cell);

    /// @brief when this gateway last received messages from aggregators
    struct peer_activity
    {
        instant m_now;
        /// time of the last message from each aggregator, by name
        const std::map<std::string, instant>* m_last_seen = nullptr;
    };

    /// @return the slot to claim now, if any
    std::optional<slot_claim> next_claim(const peer_activity& activity, const slot_table& table);

    /// @brief a claim was started; the slot is not claimed again within @ref slot_options::m_retry_interval
    void record_attempt(instant now, const slot_claim& claim);

    /// @brief a claim succeeded or may have succeeded: no other slot is claimed until the slot table shows
    ///        it or @ref slot_options::m_retry_interval has passed
    void record_claim(instant now);

    /// @return the number of the slot that this gateway holds, if any
    std::optional<std::size_t> held_slot(const slot_table& table) const;

  private:
    struct tracked_slot
    {
        /// name of the holder; empty while the slot is vacant
        std::string m_holder;
        /// when this gateway first saw the holder in the slot table
        std::optional<instant> m_holder_since;
        std::optional<instant> m_last_attempt;
    };

    /// @return the delay before this gateway claims the slot
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
