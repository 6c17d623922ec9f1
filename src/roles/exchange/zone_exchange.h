// Exchange of loads, request outcomes and store changes between gateways. Connects the decision logic of
// aggregation/ to datagrams, frames, store mirrors and the runner table.
//
// Every gateway reports to the aggregators of its zone and applies the digests of one of them; a gateway
// that holds a slot is an aggregator itself. The traffic and memory of a gateway do not grow with the size
// of the fleet. See docs/design/0007.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "aggregation/aggregator.h"
#include "aggregation/cells.h"
#include "aggregation/change_propagation.h"
#include "aggregation/member_view.h"
#include "aggregation/messages.h"
#include "aggregation/notices.h"
#include "aggregation/slots.h"
#include "aggregation/watch_policy.h"
#include "async_http/task.h"
#include "event_log/event_log.h"
#include "forwarding/gateway_state.h"
#include "roles/exchange/change_sender.h"
#include "roles/exchange/lease_renewer.h"
#include "roles/exchange/member_registry.h"
#include "roles/exchange/storage_link.h"
#include "roles/role_settings.h"
#include "store/metadata_store.h"
#include "store/prefix_mirror.h"
#include "turn_ledger/messages.h"
#include "wire/transport.h"

namespace martenyard::roles
{

/// @brief the store mirrors whose changes gateways propagate, in the order of
///        aggregation::mirror_revisions
struct mirror_references
{
    store::PrefixMirror& m_configuration;
    store::PrefixMirror& m_runners;
    store::PrefixMirror& m_ledger;
    store::PrefixMirror& m_aggregators;
    /// the configuration's key; its mirror has all keys that the operator writes
    std::string m_configuration_key;
};

/// @brief tuning parameters
struct exchange_options
{
    /// an unchanged report is sent again after this time
    std::chrono::milliseconds m_keepalive_interval{1000};
    /// time between summaries to other zones
    std::chrono::milliseconds m_summary_interval{100};
    /// number of cells of other zones that summaries are exchanged with
    std::size_t m_max_zones = 8;
    /// an aggregator without a message for this time does not represent its zone; aggregators send at least
    /// one message each 500 ms
    std::chrono::milliseconds m_representative_timeout{900};
    /// time between short digests to registered gateways that do not report
    std::chrono::milliseconds m_introduction_interval{1000};
    /// an incomplete frame of this size is taken for a copy of the runners while it goes on growing
    std::size_t m_min_copy_bytes = std::size_t{64} << 10U;
    std::chrono::milliseconds m_copy_stall_timeout{400};
    /// minimum time between two log lines about dropped reports
    std::chrono::milliseconds m_drop_log_interval{1000};
    /// without a full digest for this time, the loads of other gateways are reset
    std::chrono::milliseconds m_digest_lifetime{1600};
    /// a slot is claimed only after watching the slot records for this time, to see concurrent claims
    std::chrono::milliseconds m_pre_claim_watch{300};
    /// total time for which the slot records are watched, from the start of that watch
    std::chrono::milliseconds m_claim_watch_period{3000};
    /// time after the start in which a gateway waits for an aggregator to push all mirrors, before it reads
    /// them from the store; longer at the first start of the system, when the slots are still vacant
    std::chrono::milliseconds m_read_delay{400};
    std::chrono::milliseconds m_first_start_read_delay{2500};
    /// number of other zones, and of aggregators of each, that are asked whether they answer. A zone may be
    /// lost as well, and an aggregator may be slow or restarting.
    std::size_t m_asked_zones = 2;
    std::size_t m_asked_per_zone = 2;
};

/// @brief counters since the process start, exported as metrics
struct exchange_stats
{
    std::uint64_t m_reports_sent = 0;
    std::uint64_t m_reports_received = 0;
    std::uint64_t m_reports_dropped = 0;
    std::uint64_t m_digests_sent = 0;
    std::uint64_t m_digests_received = 0;
    std::uint64_t m_summaries_sent = 0;
    std::uint64_t m_changes_pushed = 0;
    std::uint64_t m_changes_queried = 0;
    std::uint64_t m_zone_questions_sent = 0;
    std::uint64_t m_datagrams_unreadable = 0;
};

/// @brief not thread-safe: for the event loop's thread only
class zone_exchange
{
  public:
    /// All references must outlive the object.
    zone_exchange(async_http::asio::io_context& context, const RoleSettings& settings,
                  store::MetadataStore& store, wire::Transport& transport, wire::Transport& bulk_transport,
                  const mirror_references& mirrors, forwarding::GatewayState& state, event_log::EventLog& log,
                  const exchange_options& options = {});

    /// @brief starts the exchange, once the internal port is bound
    void start(std::uint16_t internal_port);

    /// @brief handles a change of the slot records
    void on_slots_change();

    /// @brief sets the storage machines listed in the ledger directory
    void set_storage_machines(std::vector<turn_ledger::Machine> machines);

    void on_datagram(const std::string& payload);

    /// @brief applies store changes sent by a peer
    void on_changes(const store::news_reply& reply);

    /// @brief records that a runner is about to process a part of a prompt
    void record_placement(const forwarding::PromptPart& part, std::uint32_t runner);

    /// @brief notifies the other gateways that a runner of the service has ended under a request
    void announce_runner_end(const ServiceName& service);

    /// @brief the store is reachable again after an outage
    void on_store_recovered()
    {
        m_lease_renewer.on_store_recovered();
    }

    /// @param[in] reachable  whether the last call of the configuration mirror got a reply
    void on_store_reachability(bool reachable);

    /// @brief renews the lease of the current configuration if that is due
    void confirm_configuration();

    /// @brief runs all periodic work; called every 100 ms
    /// @param[in] ledger_unreachable  whether most ledger groups do not reply
    void tick(bool ledger_unreachable);

    /// @return whether the configuration is known to be current: the store is reachable, or an aggregator
    ///         reports that it is
    bool store_reachable() const;

    /// @return how long other gateways have reported a newer configuration than this one has; to a tick's
    ///         precision
    std::chrono::milliseconds configuration_lag() const;

    /// @return the number of other known gateways, and of those that do not reach the ledger
    std::size_t peer_count() const;
    std::size_t peers_without_ledger() const;

    /// @return up to `max_count` gateways that reach the ledger
    std::vector<wire::Endpoint> peers_with_ledger(std::size_t max_count) const;

    /// @return up to `max_count` gateways of the own zone that were reported since then to reach the ledger
    std::vector<wire::Endpoint> own_peers_with_ledger(aggregation::instant since,
                                                      std::size_t max_count) const;

    /// @brief asks aggregators of other zones for an answer; see @ref take_other_zone_answered
    /// @return whether there was an aggregator to ask
    bool ask_other_zones();

    /// @return whether another zone has answered a question since the last call
    bool take_other_zone_answered()
    {
        return std::exchange(m_other_zone_answered, false);
    }

    bool is_aggregator() const
    {
        return m_aggregator != nullptr;
    }
    const lease_stats& lease_counters() const
    {
        return m_lease_renewer.stats();
    }
    const exchange_stats& stats() const
    {
        return m_stats;
    }
    /// @return whether the loads of other gateways are known from recent digests
    bool receives_digests() const
    {
        return m_digest_received_at.has_value();
    }
    /// @return the number of gateways that report to this one, if it is an aggregator
    std::size_t member_count() const
    {
        return m_aggregator ? m_aggregator->members().size() : 0;
    }

  private:
    using instant = aggregation::instant;

    void handle(instant now, const aggregation::member_report& report);
    void handle(instant now, const aggregation::zone_summary& summary);
    void handle(instant now, const aggregation::digest& received);
    void handle(instant now, const store::news_request& request);
    void handle(instant now, const aggregation::confirmation_question& request);
    void handle(instant now, const aggregation::confirmation_answer& reply);
    void handle(instant now, const aggregation::runner_end_notice& notice);
    /// @brief passes a notice on to the gateways of the cell, and to the aggregators of other cells
    void relay(instant now, aggregation::runner_end_notice notice);
    lease_peers lease_renewal_peers(instant now) const;

    aggregation::mirror_revisions revisions() const;
    /// @return whether this gateway watches the store and the last call succeeded
    bool reaches_store() const;
    void set_sender_state(instant now, aggregation::digest& outgoing) const;
    aggregation::contact self() const;
    turn_ledger::Machine machine() const;
    void update_watching(instant now);
    /// sets which mirrors may read from the store
    void update_reading(instant now);
    /// logs a change of the mirrors that may read from the store
    void log_reading_change(bool reads, bool store_unreachable);
    bool waits_for_push(instant now) const;
    void claim_slot(instant now);
    async_http::Task<void> write_claim(aggregation::slot_claim claim);
    bool is_alive(instant now, const aggregation::contact& aggregator) const;
    /// @return whether this gateway is the representative of its zone
    bool represents_zone(instant now) const;
    void set_slot(std::optional<std::size_t> slot);
    /// updates the cell of this gateway from the slot records
    void update_cell(instant now);
    /// adds cells to a zone that has become too large for its aggregators
    void add_cells(instant now);
    async_http::Task<void> write_cells(std::vector<aggregation::new_cell> cells);
    std::vector<std::string> neighbor_cells() const;
    void log_dropped_reports(instant now);

    void report(instant now);
    bool report_is_due(instant now, const aggregation::member_report& fresh,
                       const std::vector<aggregation::report_target>& targets) const;
    void send_digests(instant now);
    void send_introductions(instant now);
    void send_short_digest(instant now, const std::vector<wire::Endpoint>& receivers);
    void send_summary(instant now);
    void relay_summary(instant now);
    void push_changes(instant now);
    void query_changes(instant now);
    bool reads_all_mirrors(instant now) const;
    /// @return whether a copy of the runners, which this gateway lacks, seems to be arriving: a large frame
    bool is_receiving_copy() const;
    void apply(instant now, const std::vector<aggregation::runner_load>& others,
               const std::vector<aggregation::placement>& placements);
    void expire_peer_loads(instant now);
    /// resets the loads of other gateways in the runner table
    void clear_peer_loads();
    void send(const wire::Endpoint& to, const std::string& payload);
    void send_all(const std::vector<wire::Endpoint>& receivers, const std::string& payload,
                  std::uint64_t& counter);

    async_http::asio::io_context& m_context;
    RoleSettings m_settings;
    store::MetadataStore& m_store;
    wire::Transport& m_transport;
    forwarding::GatewayState& m_state;
    event_log::EventLog& m_log;
    exchange_options m_options;
    mirror_list m_mirrors;
    change_sender m_change_sender;
    member_registry m_registry;
    storage_link m_storage_link;

    aggregation::slot_table m_slots;
    aggregation::cell_policy m_cells;
    std::optional<aggregation::slot_claim_policy> m_claim_policy;
    std::optional<aggregation::member_view> m_view;
    aggregation::change_propagation m_propagation;
    lease_renewer m_lease_renewer;
    std::unique_ptr<aggregation::aggregator> m_aggregator;
    std::optional<std::size_t> m_slot;
    bool m_claiming = false;
    std::optional<instant> m_claim_watch_began;
    bool m_watching = false;
    instant m_started_at;
    bool m_ledger_unreachable = false;
    bool m_reading = true;
    bool m_store_unreachable = false;
    /// whether the last call of the configuration mirror got a reply; empty before the first call
    std::optional<bool> m_store_answered;

    aggregation::member_report m_last_report;
    std::vector<aggregation::report_target> m_last_report_targets;
    instant m_last_report_at;
    std::vector<aggregation::placement> m_placements;
    instant m_summary_sent_at;
    instant m_introduced_at;
    instant m_drops_logged_at;
    std::uint64_t m_drops_logged = 0;
    aggregation::watch_policy m_watch_policy;
    std::optional<instant> m_digest_received_at;
    /// the ids of questions to other zones are this random number and the following ones, up to the last one
    std::uint64_t m_first_zone_question;
    std::uint64_t m_last_zone_question;
    bool m_other_zone_answered = false;
    exchange_stats m_stats;
};

}  // namespace martenyard::roles
