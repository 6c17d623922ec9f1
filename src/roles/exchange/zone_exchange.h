// A gateway's part in what gateways tell each other: loads, outcomes, the store's news. Wires the
// decisions of aggregation/ to datagrams, frames, mirrors of the store and the runner table.
//
// Every gateway reports to its zone's few aggregators and goes by the digests of one of them; a gateway
// that holds a slot is an aggregator itself. What a gateway sends, receives and keeps doesn't grow with
// the fleet. See docs/design/0007.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "aggregation/aggregator.h"
#include "aggregation/member_view.h"
#include "aggregation/messages.h"
#include "aggregation/news.h"
#include "aggregation/slots.h"
#include "aggregation/watching.h"
#include "async_http/task.h"
#include "event_log/event_log.h"
#include "forwarding/gateway_state.h"
#include "roles/exchange/lease_keeper.h"
#include "roles/exchange/member_registry.h"
#include "roles/exchange/news_sender.h"
#include "roles/exchange/storage_link.h"
#include "roles/role_settings.h"
#include "store/metadata_store.h"
#include "store/prefix_mirror.h"
#include "turn_ledger/messages.h"
#include "wire/transport.h"

namespace martenyard::roles
{

/// @brief the copies of the store's prefixes that gateways tell each other of, in the order of
///        aggregation::known_changes
struct followed_mirrors
{
    store::PrefixMirror& m_configuration;
    store::PrefixMirror& m_runners;
    store::PrefixMirror& m_ledger;
    store::PrefixMirror& m_aggregators;
};

/// @brief named knobs
struct exchange_options
{
    /// an unchanged report is told again after this time
    std::chrono::milliseconds m_quiet_interval{1000};
    /// between a zone's sums to the other zones
    std::chrono::milliseconds m_summary_interval{100};
    /// zones that sums are exchanged with
    std::size_t m_most_zones = 8;
    /// an aggregator that said nothing for this long doesn't speak for its zone; digests to other
    /// aggregators and sums come each half a second at least
    std::chrono::milliseconds m_speaker_patience{900};
    /// registered gateways that are silent get a short digest so often
    std::chrono::milliseconds m_introduction_interval{1000};
    /// without a full digest for this long, other gateways' requests count as none
    std::chrono::milliseconds m_digest_lifetime{1600};
    /// who may take a slot looks at the slots' records for so long first: another may just have done so
    std::chrono::milliseconds m_look{300};
    /// and goes on looking for so long, whatever comes of it
    std::chrono::milliseconds m_claim_watch{3000};
    /// a gateway that has just started waits so long for an aggregator to tell it everything before it
    /// reads the store by itself. When the whole system starts, the slots must be taken first
    std::chrono::milliseconds m_read_after{400};
    std::chrono::milliseconds m_first_read_after{2500};
};

/// @brief counters since the start, for the metrics address
struct exchange_stats
{
    std::uint64_t m_reports_sent = 0;
    std::uint64_t m_reports_taken = 0;
    std::uint64_t m_digests_sent = 0;
    std::uint64_t m_digests_taken = 0;
    std::uint64_t m_summaries_sent = 0;
    std::uint64_t m_news_pushed = 0;
    std::uint64_t m_news_asked = 0;
    std::uint64_t m_datagrams_unreadable = 0;
};

/// @brief on the loop's thread only
class zone_exchange
{
  public:
    /// All references must outlive the exchange.
    zone_exchange(async_http::asio::io_context& context, const RoleSettings& settings,
                  store::MetadataStore& store, wire::Transport& transport, const followed_mirrors& mirrors,
                  forwarding::GatewayState& state, event_log::EventLog& log,
                  const exchange_options& options = {});

    /// @brief begins; the internal port is known by now
    void start(std::uint16_t internal_port);

    /// @brief the slots' records changed
    void on_slots_change();

    /// @brief the storage machines, as the ledger's directory names them
    void set_storage(std::vector<turn_ledger::Machine> machines);

    /// @brief a datagram came
    void on_datagram(const std::string& payload);

    /// @brief a peer told changes of the store
    void on_news(const store::news_reply& reply);

    /// @brief a runner is about to read a part of a prompt
    void note_placement(const forwarding::PromptPart& part, std::uint32_t runner);

    /// @brief a mirror had lost the store, and it answers again
    void on_store_back()
    {
        m_lease.on_store_back();
    }

    /// @brief the store answered the configuration's mirror, or did not
    void on_contact(bool reachable);

    /// @brief a configuration is in force: asks whether it is the newest, if that is due
    void confirm_configuration();

    /// @brief does what is due; each tenth of a second
    /// @param[in] ledger_silent  most groups of the ledger don't answer
    void tick(bool ledger_silent);

    /// @return whether the configuration is known to be the newest: the store answers, or an aggregator
    ///         says that it does
    bool store_reachable() const;

    /// @return other gateways that are known of, and those among them without the ledger
    std::size_t peers() const;
    std::size_t peers_without_ledger() const;

    /// @return up to `most` gateways that reach the ledger
    std::vector<wire::Endpoint> peers_with_ledger(std::size_t most) const;

    bool aggregates() const
    {
        return m_sums != nullptr;
    }
    const lease_stats& leases() const
    {
        return m_lease.stats();
    }
    const exchange_stats& stats() const
    {
        return m_stats;
    }
    /// @return gateways that report to this one, if it is an aggregator
    std::size_t members() const
    {
        return m_sums ? m_sums->members().size() : 0;
    }

  private:
    using instant = aggregation::instant;

    void take(instant now, const aggregation::member_report& report);
    void take(instant now, const aggregation::zone_summary& summary);
    void take(instant now, const aggregation::digest& told);
    void take(instant now, const store::news_request& request);
    void take(instant now, const aggregation::confirmation_question& question);
    void take(instant now, const aggregation::confirmation_answer& answer);
    lease_peers peers_for_lease(instant now) const;

    aggregation::known_changes changes() const;
    /// @return whether the store answers this gateway itself
    bool in_contact() const;
    void complete(instant now, aggregation::digest& told) const;
    aggregation::contact self() const;
    turn_ledger::Machine machine() const;
    void judge_watching(instant now);
    /// which mirrors may ask the store
    void judge_reading(instant now);
    /// writes a line when it changed which mirrors may ask
    void note_reading(bool reads, bool store_is_away);
    bool waits_for_push(instant now) const;
    void claim_slot(instant now);
    async_http::Task<void> write_claim(aggregation::slot_claim claim);
    bool hears(instant now, const aggregation::contact& aggregator) const;
    /// @return whether this aggregator watches the store and exchanges sums for its zone
    bool speaks_for_zone(instant now) const;
    void become(std::optional<std::size_t> slot);

    void report(instant now);
    bool report_is_due(instant now, const aggregation::member_report& fresh,
                       const std::vector<aggregation::report_target>& targets) const;
    void send_digests(instant now);
    void send_introductions(instant now);
    void send_short_digest(instant now, const std::vector<wire::Endpoint>& receivers);
    void send_summary(instant now);
    void relay_summary(instant now);
    void push_news(instant now);
    void ask_for_news(instant now);
    bool reads_everything(instant now) const;
    void apply(instant now, const std::vector<aggregation::runner_load>& others,
               const std::vector<aggregation::placement>& placements);
    void forget_old_loads(instant now);
    /// takes all other gateways' requests off the runner table
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
    followed_copies m_mirrors;
    news_sender m_sender;
    member_registry m_registry;
    storage_link m_storage;

    aggregation::slot_table m_slots;
    std::optional<aggregation::slot_claims> m_claims;
    std::optional<aggregation::member_view> m_view;
    aggregation::news_decisions m_news;
    lease_keeper m_lease;
    std::unique_ptr<aggregation::aggregator> m_sums;
    std::optional<std::size_t> m_slot;
    bool m_claiming = false;
    std::optional<instant> m_looked;
    bool m_watching = false;
    instant m_began;
    bool m_ledger_silent = false;
    bool m_reads = true;
    bool m_store_is_away = false;
    /// whether the store answered the last question for the configuration; nothing before the first
    std::optional<bool> m_store_answers;

    aggregation::member_report m_reported;
    std::vector<aggregation::report_target> m_reported_to;
    instant m_reported_at;
    std::vector<aggregation::placement> m_placements;
    instant m_summary_sent;
    instant m_introduced_at;
    aggregation::watch_decision m_watch;
    std::optional<instant> m_digest_taken;
    exchange_stats m_stats;
};

}  // namespace martenyard::roles
