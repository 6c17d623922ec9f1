// An aggregator's side: sums what its zone's gateways and the other zones' aggregators tell, and says
// what to tell whom. Decision code: no I/O, no clock.
//
// What it keeps and sends grows with its zone's gateways, which are capped, and with the zones that it
// exchanges sums with, which are capped too. See docs/design/0007.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "aggregation/load_sums.h"
#include "aggregation/messages.h"
#include "base/random.h"

namespace martenyard::aggregation
{

/// @brief named knobs of an aggregator
struct aggregator_options
{
    /// a gateway or zone silent for this long counts as having no requests; they report each second
    std::chrono::milliseconds m_lifetime{1600};
    /// a gateway silent for this long is forgotten; until then it gets short digests, so that it finds
    /// its aggregators also when it restarts while the store turns it away
    std::chrono::milliseconds m_retention{60000};
    /// gateways of the zone that are taken; a larger zone needs more aggregators
    std::size_t m_max_members = 128;
    /// gateways of other zones that are taken besides, while their own aggregators are lost
    std::size_t m_max_foreign = 32;
    /// placements passed on in one message: 64 of 16 bytes keep it below a packet
    std::size_t m_max_placements = 64;
    /// bytes a second of full digests to one gateway: two thirds of the 12 KB/s that control may use
    std::size_t m_digest_bytes_per_second = 8000;
    /// between full digests at least
    std::chrono::milliseconds m_min_interval{100};
    /// between short digests to a gateway that goes by another aggregator's
    std::chrono::milliseconds m_short_interval{500};
    /// after this time without the summary that was taken, another aggregator's of the zone is
    std::chrono::milliseconds m_source_timeout{500};
    /// gateways named in a digest as ones that reach the ledger
    std::size_t m_listed_with_ledger = 4;
};

/// @brief a gateway that reports to this aggregator
struct member
{
    contact m_contact;
    instant m_last_seen;
    mirror_revisions m_revisions{};
    bool m_primary = false;
    bool m_ledger_unreachable = false;
    instant m_short_digest_sent;
};

/// @brief sums, and what follows from them
class aggregator
{
  public:
    aggregator(contact self, std::uint64_t seed, const aggregator_options& options = {});

    /// @brief a gateway of the zone, or one whose own aggregators are gone, told what it does
    void handle(instant now, const member_report& report);

    /// @brief an aggregator of another zone told its zone's sums, or one of this zone told on those of
    ///        all others
    void handle(instant now, const zone_summary& summary);

    /// @brief whether this aggregator exchanges sums with other zones for its own; if not, it goes by
    ///        what the one that does tells on
    void set_representative(instant now, bool is_representative);

    /// @brief forgets who fell silent
    void expire(instant now);

    /// @return this zone's sums; what became of requests since the last call is told once
    zone_summary make_summary(instant now);

    /// @return the sums of the other zones, for the zone's other aggregators; what became of requests
    ///         since the last call is told once
    zone_summary make_relayed_summary(instant now);

    /// @return the sums of all zones; what became of requests since the last call is told once
    digest make_digest(instant now);

    /// @return a digest without loads
    digest make_short_digest(instant now);

    /// @return whether the next full digest is due, by the size of the last one
    bool digest_is_due(instant now) const;

    /// @brief a full digest of this size was sent
    void record_digest_sent(instant now, std::size_t bytes);

    /// @return where the gateways are that go by this aggregator's full digests
    std::vector<wire::Endpoint> primary_members(instant now) const;

    /// @return where the others are whose short digest is due; they count as told
    std::vector<wire::Endpoint> take_short_digest_due(instant now);

    /// @return all gateways that reported, by name
    const std::map<std::string, member>& members() const
    {
        return m_members;
    }

    bool is_live(instant now, const member& gateway) const;

    /// @return whether a gateway was heard lately
    bool has_live_member(instant now, const std::string& name) const;

    /// @return gateways of all zones that were heard of lately, this one included
    std::uint32_t gateway_count(instant now) const;

  private:
    /// What one zone's aggregators told last.
    struct zone_state
    {
        instant m_last_seen;
        /// the aggregator whose counts are taken: several tell the same
        std::string m_source;
        std::uint32_t m_gateways = 0;
        std::uint32_t m_without_ledger = 0;
    };

    /// @return whether a gateway that reports for the first time can be taken
    bool has_room_for(const contact& gateway) const;
    /// @return whether the sums of this other zone count, or what an aggregator of this zone told on
    bool accepts_summary_of(instant now, const std::string& zone) const;
    /// @brief this zone's sums were taken: drops those of the other kind, told on or the zones' own,
    ///        which the taken ones contain
    void drop_superseded(instant now, const std::string& zone);
    template <typename Predicate>
    std::uint32_t count_members(instant now, Predicate predicate) const;
    std::vector<wire::Endpoint> pick_with_ledger(instant now);
    digest make_header(instant now);

    contact m_self;
    aggregator_options m_options;
    Random m_random;
    std::map<std::string, member> m_members;
    std::map<std::string, zone_state> m_zones;
    load_sums m_zone_loads;
    load_sums m_other_loads;
    pending_updates m_zone_updates;
    pending_updates m_other_updates;
    pending_updates m_all_updates;
    bool m_is_representative = false;
    instant m_digest_sent;
    std::chrono::milliseconds m_digest_interval;
};

}  // namespace martenyard::aggregation
