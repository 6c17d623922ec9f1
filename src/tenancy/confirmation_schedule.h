// Schedules a gateway's queries whether its configuration is still the newest. Decision logic: no I/O, no
// clock.
//
// One aggregator of each zone queries the store, about five times within a lease. The other gateways query
// the aggregators, so the load on the store grows with the zones, not with the gateways. A gateway that gets
// no confirmation for a while falls back to the aggregators of other zones, then to the store.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "tenancy/configuration_lease.h"

namespace martenyard::tenancy
{

/// @brief the role of a gateway in its zone
enum class zone_role
{
    /// the aggregator that queries the store for its zone
    representative,
    /// another aggregator
    aggregator,
    member,
};

/// @brief input of the schedule
struct confirmation_state
{
    instant m_now;
    zone_role m_role = zone_role::member;
    /// when the configuration in force was last known to be the newest
    std::optional<instant> m_last_confirmed;
};

/// @brief whom to query now
struct confirmation_targets
{
    bool m_store = false;
    /// one aggregator of this gateway's zone
    bool m_own_zone = false;
    /// all aggregators of this gateway's zone, and some of other zones
    bool m_other_zones = false;
};

/// @brief tuning parameters, as fractions of the lease's duration; the store's five queries within it
///        tolerate the loss of three
struct confirmation_options
{
    /// age of the last confirmation from which on the representative queries the store
    double m_store_query_age = 0.2;
    /// age from which on the others query their aggregators; lower, since these queries are cheap and leave
    /// more of the lease when the store fails
    double m_peer_query_age = 0.1;
    /// between queries to peers, and initially between queries to a store that doesn't reply
    double m_retry_interval = 0.1;
    /// age from which on peers of other zones are queried too
    double m_other_zones_age = 0.4;
    /// ages from which on other gateways query the store themselves
    double m_aggregator_store_age = 0.5;
    double m_member_store_age = 0.65;
    /// members start to query the store staggered over this fraction
    double m_member_stagger = 0.2;
    /// between a member's queries to the store while aggregators reply without a newer confirmation: the
    /// store is then most likely unavailable to all
    double m_member_store_retry = 0.8;
    /// upper bound of the backoff between queries to a store that doesn't reply
    double m_max_pause = 0.4;
};

class confirmation_schedule
{
  public:
    /// @param[in] lease_duration  of the lease to be renewed
    /// @param[in] stagger  position of this gateway in the staggered start of members, 0 to 1
    confirmation_schedule(std::chrono::milliseconds lease_duration, double stagger,
                          const confirmation_options& options = {});

    /// @return whom to query now; these queries count as sent
    confirmation_targets due(const confirmation_state& state);

    /// @brief a query to the store was answered, or was not
    void on_store_reply(bool answered);

    /// @brief the store replies to other calls of this process again: resets the backoff, which would
    ///        otherwise keep the lease expired although the store has recovered
    void on_store_recovered();

    /// @brief an aggregator replied, with a confirmation or without
    void on_peer_reply(instant now);

  private:
    std::chrono::nanoseconds fraction_of_lease(double fraction) const;
    bool store_query_is_due(const confirmation_state& state, std::chrono::nanoseconds age);
    std::chrono::nanoseconds store_query_age(zone_role role) const;
    std::chrono::nanoseconds store_query_pause(const confirmation_state& state) const;

    std::chrono::milliseconds m_lease_duration;
    double m_stagger;
    confirmation_options m_options;
    std::optional<instant> m_first_call;
    std::optional<instant> m_last_store_query;
    std::optional<instant> m_last_peer_query;
    std::optional<instant> m_last_peer_reply;
    /// consecutive queries that the store did not answer
    int m_unanswered_queries = 0;
};

}  // namespace martenyard::tenancy
