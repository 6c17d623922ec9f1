// A gateway's side: whom it reports to, and what it takes from whose digests. Decision code: no I/O, no
// clock.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "aggregation/messages.h"
#include "aggregation/slots.h"

namespace martenyard::aggregation
{

/// @brief named knobs
struct member_options
{
    /// after this time without a digest another aggregator becomes the primary; full ones come each
    /// tenth of a second, short ones each half
    std::chrono::milliseconds m_primary_timeout{700};
    /// an aggregator silent for this long counts as lost; short digests come each half a second
    std::chrono::milliseconds m_lost_timeout{1600};
    /// an aggregator silent for this long is removed from what is kept
    std::chrono::milliseconds m_retention{60000};
    /// aggregators of other zones that are reported to while the own zone's are lost
    std::size_t m_max_foreign_targets = 2;
    /// own outcomes that did not come back in a digest by then were lost on the way
    std::chrono::milliseconds m_echo_lifetime{2000};
    /// gateways remembered as ones that reach the ledger
    std::size_t m_max_with_ledger = 8;
};

/// @brief somebody to report to
struct report_target
{
    wire::Endpoint m_endpoint;
    bool m_primary = false;

    friend bool operator==(const report_target&, const report_target&) = default;
};

/// @brief what a gateway knows of its aggregators and, through them, of all gateways
class member_view
{
  public:
    explicit member_view(contact self, const member_options& options = {});

    /// @brief the slots as the store has them now
    void set_slots(const slot_table& table);

    /// @return whom to report to: the own zone's aggregators, or some of other zones' when these are lost
    std::vector<report_target> report_targets(instant now) const;

    /// @brief an aggregator told something
    /// @return whether its loads, outcomes and placements are to be taken: it is the primary
    bool handle(instant now, const digest& received);

    /// @brief an aggregator of another zone told its zone's sums
    void handle(instant now, const zone_summary& summary);

    /// @brief gateways of all zones, and those among them without the ledger
    void set_counts(instant now, std::uint32_t gateways, std::uint32_t without_ledger);

    /// @brief this gateway is itself the one whose full digests it goes by
    void set_is_aggregator(bool is_aggregator);

    /// @brief these loads were reported, outcomes included
    void record_reported(instant now, const std::vector<runner_load>& loads);

    /// @brief takes this gateway's own share off what a full digest told
    /// @return other gateways' requests under way and what became of theirs
    std::vector<runner_load> subtract_own(const std::vector<runner_load>& loads);

    /// @return when each aggregator was last heard, by name
    const std::map<std::string, instant>& last_seen() const
    {
        return m_last_seen;
    }

    bool any_aggregator_alive(instant now) const;

    /// @return whether an aggregator in contact with the store, or told so by one, was heard lately
    bool any_reaches_store(instant now) const;

    /// @return whether another zone's aggregator said lately that the store answers it
    bool other_zone_reaches_store(instant now) const;

    /// @return whether an aggregator of the own zone told on sums lately while the store answered it
    bool own_zone_reaches_store(instant now) const;

    /// @return gateways of all zones and those among them without the ledger, as last told
    std::uint32_t gateway_count() const
    {
        return m_gateways;
    }
    std::uint32_t gateways_without_ledger(instant now) const;

    /// @return up to `most` gateways that reach the ledger, as told lately
    std::vector<wire::Endpoint> gateways_with_ledger(instant now, std::size_t max_count) const;

  private:
    struct reported_load
    {
        std::uint32_t m_active = 0;
        std::uint32_t m_served = 0;
        std::uint32_t m_lost = 0;
        /// when outcomes were last reported
        instant m_received_at;
    };

    struct ledger_gateway
    {
        instant m_received_at;
        wire::Endpoint m_endpoint;
    };

    bool is_lost(instant now, const std::string& name) const;
    /// @return the own zone's aggregators but this gateway, the preferred ones first
    std::vector<contact> own_aggregators() const;
    std::vector<contact> foreign_aggregators() const;
    std::optional<contact> primary(instant now) const;
    void record_seen(instant now, const std::string& name);
    /// @return whether one of the zone, or of another one, said so lately in its sums
    bool zone_reaches_store(instant now, bool own) const;
    bool is_recent(instant now, instant reported_at) const;
    void update_with_ledger(instant now, const std::vector<wire::Endpoint>& endpoints);

    contact m_self;
    member_options m_options;
    std::vector<contact> m_aggregators;
    /// by aggregators that the slots don't name, or not yet: what came from them tells where they are
    std::map<std::string, contact> m_unlisted;
    std::map<std::string, instant> m_last_seen;
    /// when an aggregator last told in a digest that the store answers, it or another zone
    std::map<std::string, instant> m_store_reports;

    struct zone_store_report
    {
        std::string m_zone;
        instant m_received_at;
    };
    /// of itself, with the sums that it exchanges
    std::map<std::string, zone_store_report> m_zone_store_reports;
    bool m_is_aggregator = false;
    std::uint32_t m_gateways = 1;
    std::uint32_t m_without_ledger = 0;
    instant m_counts_received_at;
    absl::flat_hash_map<std::uint32_t, reported_load> m_reported;
    std::vector<ledger_gateway> m_with_ledger;
};

}  // namespace martenyard::aggregation
