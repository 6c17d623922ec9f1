// A gateway's view of its aggregators: which of them receive its reports, and whose digests it applies.
// Decision logic: no I/O, no clock.
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

/// @brief tuning parameters
struct member_options
{
    /// after this time without a digest another aggregator becomes the primary; must exceed the interval of
    /// short digests
    std::chrono::milliseconds m_primary_timeout{700};
    /// an aggregator without a message for this time is considered lost
    std::chrono::milliseconds m_lost_timeout{1600};
    /// the state of an aggregator without a message for this time is removed
    std::chrono::milliseconds m_retention{60000};
    /// number of other zones' aggregators that receive reports while the own zone's are lost
    std::size_t m_max_foreign_targets = 2;
    /// reported outcomes that no digest has included by then are considered lost in transit
    std::chrono::milliseconds m_echo_lifetime{2000};
    /// number of remembered gateways that reach the ledger
    std::size_t m_max_with_ledger = 8;
};

/// @brief a receiver of reports
struct report_target
{
    wire::Endpoint m_endpoint;
    bool m_primary = false;

    friend bool operator==(const report_target&, const report_target&) = default;
};

/// @brief what a gateway knows about its aggregators and, through them, about all gateways
class member_view
{
  public:
    explicit member_view(contact self, const member_options& options = {});

    /// @brief replaces the slot table
    void set_slots(const slot_table& table);

    /// @brief sets the cell of the zone that this gateway belongs to
    void set_cell(const std::string& cell)
    {
        m_self.m_zone = cell;
    }

    /// @return the receivers of reports: the aggregators of the own zone and, while these are lost, some of
    ///         other zones
    std::vector<report_target> report_targets(instant now) const;

    /// @return whether to apply the loads, outcomes and placements: the digest is full and from the primary
    bool handle(instant now, const digest& received);

    /// @brief handles a summary of another zone, or one relayed by the own zone's representative
    void handle(instant now, const zone_summary& summary);

    /// @brief sets the number of gateways of all zones, and of those that do not reach the ledger
    void set_counts(instant now, std::uint32_t gateways, std::uint32_t without_ledger);

    /// @brief an aggregator applies its own digests and has no primary
    void set_is_aggregator(bool is_aggregator);

    /// @brief records the loads and outcomes that this gateway has reported
    void record_reported(instant now, const std::vector<runner_load>& loads);

    /// @brief subtracts this gateway's own share from the loads of a full digest
    /// @return the loads and outcomes of the other gateways
    std::vector<runner_load> subtract_own(const std::vector<runner_load>& loads);

    /// @return the time of the last message from each aggregator, by name
    const std::map<std::string, instant>& last_seen() const
    {
        return m_last_seen;
    }

    bool any_aggregator_alive(instant now) const;

    /// @return whether any aggregator recently reported that it or another zone reaches the store
    bool any_reaches_store(instant now) const;

    /// @return whether an aggregator of another zone recently reported that it reaches the store
    bool other_zone_reaches_store(instant now) const;

    /// @return whether the representative of the own zone recently reported that it reaches the store
    bool own_zone_reaches_store(instant now) const;

    /// @return the number of gateways of all zones, and of those that do not reach the ledger
    std::uint32_t gateway_count() const
    {
        return m_gateways;
    }
    std::uint32_t gateways_without_ledger(instant now) const;

    /// @return up to `max_count` gateways that were recently reported to reach the ledger
    std::vector<wire::Endpoint> gateways_with_ledger(instant now, std::size_t max_count) const;

    /// @return up to `max_count` gateways that an aggregator of the own zone has reported since then to reach
    /// the
    ///         ledger
    std::vector<wire::Endpoint> own_gateways_with_ledger(instant since, std::size_t max_count) const;

  private:
    struct reported_load
    {
        std::uint32_t m_active = 0;
        std::uint32_t m_served = 0;
        std::uint32_t m_lost = 0;
        /// time of the last report with outcomes
        instant m_received_at;
    };

    struct ledger_gateway
    {
        instant m_received_at;
        wire::Endpoint m_endpoint;
        /// reported by an aggregator of the own zone
        bool m_from_own_zone = false;
    };

    bool is_lost(instant now, const std::string& name) const;
    /// @return the other aggregators of the own zone in order of preference
    std::vector<contact> own_aggregators() const;
    std::vector<contact> foreign_aggregators() const;
    std::optional<contact> primary(instant now) const;
    void record_seen(instant now, const std::string& name);
    /// @return whether a recent summary from the own zone, or from another zone, reported that its sender
    ///         reaches the store
    bool zone_reaches_store(instant now, bool own) const;
    bool is_recent(instant now, instant reported_at) const;
    void update_with_ledger(instant now, const std::vector<wire::Endpoint>& endpoints, bool from_own_zone);

    contact m_self;
    member_options m_options;
    std::vector<contact> m_aggregators;
    /// aggregators that are not in the slot table, with the address from their last digest
    std::map<std::string, contact> m_unlisted;
    std::map<std::string, instant> m_last_seen;
    /// time of the last digest from each aggregator that reported the store as reachable
    std::map<std::string, instant> m_store_reports;

    struct zone_store_report
    {
        std::string m_zone;
        instant m_received_at;
    };
    /// last summary from each aggregator that reported the store as reachable
    std::map<std::string, zone_store_report> m_zone_store_reports;
    bool m_is_aggregator = false;
    std::uint32_t m_gateways = 1;
    std::uint32_t m_without_ledger = 0;
    instant m_counts_received_at;
    absl::flat_hash_map<std::uint32_t, reported_load> m_reported;
    std::vector<ledger_gateway> m_with_ledger;
};

}  // namespace martenyard::aggregation
