// Decides which store changes are pushed to which gateways and queried from which peers. Decision logic:
// no I/O, no clock.
//
// Aggregators watch the store and push changes to the gateways that use them as their primary. Changes that
// were lost or that an aggregator lacks are queried from peers, with one query per mirror at a time.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "aggregation/aggregator.h"
#include "aggregation/messages.h"

namespace martenyard::aggregation
{

/// @brief changes to send to a gateway that has not requested them
struct change_push
{
    std::string m_name;
    wire::Endpoint m_to;
    std::size_t m_mirror = 0;
    /// revision of the last change that the receiver has
    std::uint64_t m_since = 0;
};

/// @brief changes to request from a peer
struct change_query
{
    wire::Endpoint m_peer;
    std::size_t m_mirror = 0;
};

/// @brief tuning parameters
struct change_propagation_options
{
    /// time before the same changes are pushed again; must leave time for the receiver's next report, which
    /// acknowledges them
    std::chrono::milliseconds m_push_retry_interval{400};
    /// a gateway with another primary is sent changes after it has lagged behind for this time
    std::chrono::milliseconds m_secondary_push_delay{800};
    /// time that a push or a watch has to deliver a change before it is queried
    std::chrono::milliseconds m_query_delay{400};
    /// minimum time between two queries for the same mirror
    std::chrono::milliseconds m_query_interval{400};
    /// peers without a message for this time are not queried
    std::chrono::milliseconds m_peer_lifetime{1600};
    /// pushes per call; eight full mirrors of 45 KB take 0.1 s on a 30 Mbit/s link
    std::size_t m_max_pushes = 8;
    /// bytes per second at which a full copy is expected to arrive: a quarter of a 30 Mbit/s link
    std::size_t m_min_copy_rate = 900'000;
};

/// @brief decides on pushes and queries
class change_propagation
{
  public:
    explicit change_propagation(std::uint64_t seed, const change_propagation_options& options = {});

    /// @brief records the revisions that a peer reported
    void record_revisions(instant now, const contact& peer, const mirror_revisions& revisions);

    /// @brief removes peers that stopped sending messages
    void expire(instant now);

    /// @param[in] own        the revisions of this gateway's mirrors
    /// @param[in] immediate  gateways without a primary that are sent changes without delay: the other
    ///                       aggregators of the zone, which push them to their own gateways
    /// @return the pushes that are due, up to the limit; they are recorded as sent. Copies of the runners are
    ///         large and come last, so that they delay no other change; among equals, those pushed longest
    ///         ago come first.
    std::vector<change_push> take_due_pushes(instant now, const mirror_revisions& own,
                                             const aggregator& own_aggregator,
                                             const std::vector<contact>& immediate = {});

    /// @brief a push could not be sent: it is due again
    void cancel(const change_push& push);

    /// @param[in] bytes  the size of a full copy of each mirror. Another copy is sent to a gateway only after
    ///                   the time that one of this size needs
    void set_copy_sizes(const std::array<std::size_t, mirror_count>& bytes)
    {
        m_copy_sizes = bytes;
    }

    /// @param[in] may_wait  a watch or a push may still deliver the changes
    /// @return the query that is due for a mirror, if any; it is recorded as sent
    std::optional<change_query> next_query(instant now, std::size_t mirror, std::uint64_t own, bool may_wait);

    /// @return how long peers have reported newer changes of a mirror than this gateway had; zero if none did
    ///         at the last call of @ref next_query
    std::chrono::milliseconds lag(instant now, std::size_t mirror) const;

  private:
    struct peer_state
    {
        instant m_last_seen;
        contact m_contact;
        mirror_revisions m_revisions{};
    };

    /// push state of one mirror of one gateway
    struct push_state
    {
        std::optional<instant> m_behind_since;
        std::optional<instant> m_pushed_at;
    };

    /// query state of one mirror of this gateway
    struct lag_state
    {
        std::optional<instant> m_since;
        std::optional<instant> m_queried_at;
    };

    struct due_push
    {
        change_push m_push;
        push_state* m_state = nullptr;
    };

    /// @param[in] copy_time  for a full copy to arrive; zero for a gateway that has one
    bool is_due(instant now, bool behind, bool immediately, std::chrono::milliseconds copy_time,
                push_state& state) const;
    std::chrono::milliseconds copy_time(std::size_t mirror) const;
    std::vector<due_push> find_due_pushes(instant now, const mirror_revisions& own,
                                          const aggregator& own_aggregator,
                                          const std::vector<contact>& immediate);

    change_propagation_options m_options;
    Random m_random;
    std::map<std::string, peer_state> m_peers;
    std::map<std::string, std::array<push_state, mirror_count>> m_pushes;
    std::array<lag_state, mirror_count> m_lags;
    std::array<std::size_t, mirror_count> m_copy_sizes{};
};

}  // namespace martenyard::aggregation
