// Who is told the store's changes by whom. Decision code: no I/O, no clock.
//
// Aggregators watch the store and push what changed to the gateways that go by their digests. What gets
// lost, or what an aggregator doesn't know, is asked for: one question a prefix at a time.
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

/// @brief changes to send without being asked
struct change_push
{
    wire::Endpoint m_to;
    std::size_t m_mirror = 0;
    /// the last change that the receiver knows
    std::uint64_t m_since = 0;
};

/// @brief changes to ask for
struct change_query
{
    wire::Endpoint m_peer;
    std::size_t m_mirror = 0;
};

/// @brief named knobs
struct change_propagation_options
{
    /// before the same changes are pushed to the same gateway again: its next report, a tenth of a
    /// second later, tells that they came
    std::chrono::milliseconds m_push_retry_interval{400};
    /// a gateway that goes by another aggregator's digests is helped after it was behind for this long
    std::chrono::milliseconds m_secondary_push_delay{800};
    /// what a push or a watch should bring is asked for after this time
    std::chrono::milliseconds m_query_delay{400};
    /// before the next question for the same prefix: its answer is on the way
    std::chrono::milliseconds m_query_interval{400};
    /// who was not heard for this long isn't asked
    std::chrono::milliseconds m_peer_lifetime{1600};
    /// pushes at a time: a machine's link of 30 Mbit/s carries eight whole copies of 45 KB in a tenth of
    /// a second
    std::size_t m_max_pushes = 8;
};

/// @brief decides on pushes and questions
class change_propagation
{
  public:
    explicit change_propagation(std::uint64_t seed, const change_propagation_options& options = {});

    /// @brief a peer told the last changes that it knows
    void record_revisions(instant now, const contact& peer, const mirror_revisions& revisions);

    /// @brief forgets peers that fell silent
    void expire(instant now);

    /// @param[in] own    the last changes that this gateway knows
    /// @param[in] first  gateways that are told at once although they go by nobody's digests: the zone's
    ///                   other aggregators, which tell theirs
    /// @return what an aggregator should push now; it counts as pushed
    std::vector<change_push> take_due_pushes(instant now, const mirror_revisions& own,
                                             const aggregator& own_aggregator,
                                             const std::vector<contact>& immediate = {});

    /// @param[in] patient  the changes may still come by a watch or a push
    /// @return the question that is due for a mirror, if any; it counts as asked
    std::optional<change_query> next_query(instant now, std::size_t mirror, std::uint64_t own, bool may_wait);

  private:
    struct peer_state
    {
        instant m_last_seen;
        contact m_contact;
        mirror_revisions m_revisions{};
    };

    /// Of one gateway and mirror.
    struct push_state
    {
        std::optional<instant> m_behind_since;
        std::optional<instant> m_pushed_at;
    };

    /// Of one mirror of this gateway.
    struct lag_state
    {
        std::optional<instant> m_since;
        std::optional<instant> m_queried_at;
    };

    bool is_due(instant now, bool behind, bool immediately, push_state& state) const;

    change_propagation_options m_options;
    Random m_random;
    std::map<std::string, peer_state> m_peers;
    std::map<std::string, std::array<push_state, mirror_count>> m_pushes;
    std::array<lag_state, mirror_count> m_lags;
};

}  // namespace martenyard::aggregation
