// Aggregates the reports of a zone's gateways and the summaries of other zones. Decision logic: no I/O, no
// clock.
//
// Memory and traffic grow with the gateways of the zone and with the zones that summaries are exchanged
// with; both are bounded. See docs/design/0007.
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

/// @brief tuning parameters of an aggregator
struct aggregator_options
{
    /// loads of a gateway or zone without a message for this time are removed; both send at least one a
    /// second
    std::chrono::milliseconds m_lifetime{1600};
    /// a gateway without a report for this time is removed; until then it is sent short digests, so that it
    /// finds its aggregators if it restarts without access to the store
    std::chrono::milliseconds m_retention{60000};
    /// maximum number of members of the own zone or cell. Cells are added far below it (see cells.h); until
    /// gateways have moved there, an aggregator serves more of them.
    std::size_t m_max_members = 512;
    /// maximum number of members of other zones, which report here while their own aggregators are lost
    std::size_t m_max_foreign = 32;
    /// placements per message; 64 of 16 bytes fit into one packet
    std::size_t m_max_placements = 64;
    /// rate limit of full digests to one gateway, in bytes; two thirds of its control traffic budget of 12
    /// KB/s
    std::size_t m_digest_bytes_per_second = 8000;
    /// minimum time between full digests
    std::chrono::milliseconds m_min_interval{100};
    /// time between short digests to a gateway that has another primary
    std::chrono::milliseconds m_short_interval{500};
    /// after this time without a summary from the same aggregator, another one of its zone is accepted
    std::chrono::milliseconds m_source_timeout{500};
    /// number of gateways with access to the ledger that are listed in a digest
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

/// @brief sums of all zones, and the messages built from them
class aggregator
{
  public:
    aggregator(contact self, std::uint64_t seed, const aggregator_options& options = {});

    const contact& self() const
    {
        return m_self;
    }

    /// @brief handles a report from a gateway of the zone, or from one whose own aggregators are lost
    /// @return false if it was dropped, since there is no room for another member
    bool handle(instant now, const member_report& report);

    /// @brief removes the silent members that belong to another cell now
    /// @param[in] belongs_here  whether a gateway, by name, belongs to the cell of this aggregator
    template <typename Predicate>
    void remove_moved(instant now, Predicate belongs_here)
    {
        std::erase_if(m_members,
                      [&](const auto& entry)
                      {
                          bool own = entry.second.m_contact.m_zone == m_self.m_zone;
                          return own && !is_live(now, entry.second) && !belongs_here(entry.first);
                      });
    }

    /// @brief handles a summary of another zone, or one of all other zones relayed by an aggregator of this
    ///        zone
    void handle(instant now, const zone_summary& summary);

    /// @brief sets whether this aggregator represents its zone; if not, it uses the summaries that the
    ///        representative relays
    void set_representative(instant now, bool is_representative);

    /// @brief removes gateways and zones without a recent message
    void expire(instant now);

    /// @return the totals of this zone, with the outcomes since the last call
    zone_summary make_summary(instant now);

    /// @return the totals of the other zones for the other aggregators of this zone, with the outcomes since
    ///         the last call
    zone_summary make_relayed_summary(instant now);

    /// @return the totals of all zones, with the outcomes since the last call
    digest make_digest(instant now);

    /// @return a digest without loads
    digest make_short_digest(instant now);

    /// @return whether the next full digest is due; the interval depends on the size of the last one
    bool digest_is_due(instant now) const;

    /// @brief records that a full digest of this size was sent
    void record_digest_sent(instant now, std::size_t bytes);

    /// @return the addresses of the gateways that have this aggregator as their primary
    std::vector<wire::Endpoint> primary_members(instant now) const;

    /// @return the addresses of the other gateways whose short digest is due; it is recorded as sent
    std::vector<wire::Endpoint> take_short_digest_due(instant now);

    /// @return all known gateways, by name
    const std::map<std::string, member>& members() const
    {
        return m_members;
    }

    bool is_live(instant now, const member& gateway) const;

    /// @return whether the gateway is a member and has reported recently
    bool has_live_member(instant now, const std::string& name) const;

    /// @return the number of live gateways of all zones, including this one
    std::uint32_t gateway_count(instant now) const;

  private:
    /// latest totals of another zone, or of all other zones if relayed
    struct zone_state
    {
        instant m_last_seen;
        /// the aggregator whose summaries are accepted, since several may send the same totals
        std::string m_source;
        std::uint32_t m_gateways = 0;
        std::uint32_t m_without_ledger = 0;
    };

    /// @return whether a new gateway can be added to the members
    bool has_room_for(const contact& gateway) const;
    /// @return whether to accept a summary of this zone: either relayed or direct summaries are used
    bool accepts_summary_of(instant now, const std::string& zone) const;
    /// @brief a summary was accepted: drops the totals of the other kind, relayed or direct, since these
    ///        cover the same gateways
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
