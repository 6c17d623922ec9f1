#include "roles/exchange/zone_exchange.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "roles/exchange/slot_records.h"
#include "wire/codec.h"

namespace martenyard::roles
{

using aggregation::contact;
using aggregation::datagram;
using aggregation::digest;
using aggregation::member_report;
using aggregation::placement;
using aggregation::report_target;
using aggregation::runner_load;
using aggregation::zone_summary;
using event_log::Line;

namespace
{

/// bounds the memory of a gateway without a receiver of its reports
constexpr std::size_t max_placements = 400;

std::uint8_t saturate_to_byte(std::uint32_t count)
{
    return static_cast<std::uint8_t>(std::min<std::uint32_t>(count, UINT8_MAX));
}

/// @return the requests of this gateway by runner, with the outcomes that it has not reported yet
std::vector<runner_load> own_loads(discovery::RunnerTable& runners)
{
    std::vector<runner_load> loads;
    for (const auto& [id, state] : runners.all())
    {
        const discovery::request_outcomes& outcomes = state.unreported;
        if (state.own_active > 0 || outcomes.m_served > 0 || outcomes.m_lost > 0)
        {
            loads.push_back({state.short_id, static_cast<std::uint16_t>(state.own_active),
                             saturate_to_byte(outcomes.m_served), saturate_to_byte(outcomes.m_lost)});
        }
    }
    return loads;
}

/// subtracts reported outcomes from the unreported ones
void clear_reported(const std::vector<runner_load>& loads, discovery::RunnerTable& runners)
{
    for (const runner_load& load : loads)
    {
        if (discovery::RunnerState* runner = runners.FindByShortId(load.m_runner))
        {
            runner->unreported.m_served -= load.m_served;
            runner->unreported.m_lost -= load.m_lost;
        }
    }
}

/// @return the aggregators of each other zone, over all its cells; zones without one are left out
std::vector<std::vector<contact>> aggregators_of_other_zones(
    const aggregation::slot_table& table, const std::string& own_zone,
    const std::map<ZoneName, std::string>& zones_of_deployment)
{
    std::map<std::string, std::vector<contact>> by_zone;
    for (const auto& [cell, slots] : table)
    {
        std::string zone = cell;
        for (const auto& [name, region] : zones_of_deployment)
        {
            zone = aggregation::is_cell_of(name.value, cell) ? name.value : zone;
        }
        std::vector<contact> holders = aggregation::slot_holders(table, cell);
        if (!aggregation::is_cell_of(own_zone, cell) && !holders.empty())
        {
            std::vector<contact>& aggregators = by_zone[zone];
            aggregators.insert(aggregators.end(), holders.begin(), holders.end());
        }
    }
    std::vector<std::vector<contact>> result;
    for (auto& [zone, aggregators] : by_zone)
    {
        result.push_back(std::move(aggregators));
    }
    return result;
}

}  // namespace

zone_exchange::zone_exchange(async_http::asio::io_context& context, const RoleSettings& settings,
                             store::MetadataStore& store, wire::Transport& transport,
                             wire::Transport& bulk_transport, const mirror_references& mirrors,
                             forwarding::GatewayState& state, event_log::EventLog& log,
                             const exchange_options& options)
    : m_context(context),
      m_settings(settings),
      m_store(store),
      m_transport(transport),
      m_state(state),
      m_log(log),
      m_options(options),
      m_mirrors{&mirrors.m_configuration, &mirrors.m_runners, &mirrors.m_ledger, &mirrors.m_aggregators},
      m_change_sender(transport, bulk_transport, m_mirrors,
                      [this]
                      {
                          return machine();
                      }),
      m_registry(context, store, settings, log),
      m_storage_link(
          m_settings, m_mirrors,
          [this](const wire::Endpoint& to, const datagram& message)
          {
              send(to, wire::Encode(message));
          },
          log),
      m_cells(settings.zone, settings.node),
      m_propagation(state.random.NextId()),
      m_lease_renewer(
          context, store, mirrors.m_configuration, mirrors.m_configuration_key, state.lease, log,
          [this](const wire::Endpoint& to, const datagram& message)
          {
              send(to, wire::Encode(message));
          },
          [&state]
          {
              state.prerequisite_changed.Notify();
          },
          state.random.NextId()),
      m_watch_policy(settings.node),
      m_first_zone_question(state.random.NextId()),
      m_last_zone_question(m_first_zone_question)
{
}

void zone_exchange::start(std::uint16_t internal_port)
{
    m_settings.internal_port = internal_port;
    m_claim_policy.emplace(self(), m_settings.processor_share);
    m_view.emplace(self());
    m_started_at = SteadyInstant();
    m_lease_renewer.start(m_settings.revocation.lease_duration(), self().m_endpoint);
    m_registry.start();
    m_storage_link.start(m_started_at, self());
    update_watching(m_started_at);
    update_reading(m_started_at);
}

contact zone_exchange::self() const
{
    return {m_settings.node, m_cells.cell(), {m_settings.address, m_settings.internal_port}};
}

turn_ledger::Machine zone_exchange::machine() const
{
    turn_ledger::Machine self;
    self.name = m_settings.node;
    self.endpoint = {m_settings.address, m_settings.internal_port};
    self.zone = ZoneName(m_settings.zone);
    return self;
}

aggregation::mirror_revisions zone_exchange::revisions() const
{
    return last_revisions(m_mirrors);
}

bool zone_exchange::reaches_store() const
{
    return m_watching && m_store_answered.value_or(false);
}

void zone_exchange::set_sender_state(instant now, digest& outgoing) const
{
    outgoing.m_revisions = revisions();
    // A report from another zone is forwarded in digests only, not in summaries, so that it cannot circulate
    // between zones.
    outgoing.m_store_reachable = reaches_store() || m_view->other_zone_reaches_store(now);
}

// ---- Slots ----

void zone_exchange::on_slots_change()
{
    m_slots = read_slots(m_mirrors.back()->items(), m_log);
    if (!m_view)
    {
        return;
    }
    update_cell(SteadyInstant());
    m_view->set_slots(m_slots);
    set_slot(m_claim_policy->held_slot(m_slots));
    update_reading(SteadyInstant());
    if (!m_mirrors.front()->complete())
    {
        report(SteadyInstant());  // Aggregators push the missing mirrors on receipt.
    }
}

void zone_exchange::update_cell(instant now)
{
    std::string previous = m_cells.cell();
    m_cells.update(now, m_slots);
    const std::string& cell = m_cells.cell();
    if (cell != previous)
    {
        m_log.Write(Line("cell_changed").Text("cell", cell).Text("previous", previous));
        m_view->set_cell(cell);
        m_claim_policy->set_cell(cell);
        m_registry.set_cell(cell);
        m_storage_link.set_cell(cell);
        m_aggregator.reset();  // It aggregated the other cell.
        m_slot.reset();
    }
}

void zone_exchange::add_cells(instant now)
{
    std::vector<aggregation::new_cell> cells = m_cells.plan(now, m_slots, *m_aggregator);
    if (!cells.empty())
    {
        async_http::asio::co_spawn(m_context, write_cells(std::move(cells)), async_http::asio::detached);
    }
}

async_http::Task<void> zone_exchange::write_cells(std::vector<aggregation::new_cell> cells)
{
    store::Transaction transaction;
    for (const aggregation::new_cell& cell : cells)
    {
        std::string key = slot_key(cell.m_name, 0);
        transaction.conditions.push_back({key, 0});
        transaction.puts.push_back({key, wire::Encode(cell.m_holder), 0});
    }
    store::StoreStatus status = co_await m_store.Commit(std::move(transaction));
    m_log.Write(Line("cells_added")
                    .Text("first", cells.front().m_name)
                    .Number("cells", static_cast<std::int64_t>(cells.size()))
                    .Number("status", static_cast<std::int64_t>(status)));
}

std::vector<std::string> zone_exchange::neighbor_cells() const
{
    return aggregation::neighbor_cells(m_slots, m_settings.zone, m_cells.cell(), m_options.m_max_zones);
}

void zone_exchange::log_dropped_reports(instant now)
{
    if (m_stats.m_reports_dropped == m_drops_logged ||
        now - m_drops_logged_at < m_options.m_drop_log_interval)
    {
        return;
    }
    m_log.Write(Line("reports_dropped")
                    .Number("reports", static_cast<std::int64_t>(m_stats.m_reports_dropped - m_drops_logged))
                    .Number("members", static_cast<std::int64_t>(m_aggregator->members().size())));
    m_drops_logged_at = now;
    m_drops_logged = m_stats.m_reports_dropped;
}

void zone_exchange::on_store_reachability(bool reachable)
{
    m_store_answered = reachable;
    update_reading(SteadyInstant());
    m_state.store_reachable = store_reachable();
}

void zone_exchange::set_slot(std::optional<std::size_t> slot)
{
    if (slot == m_slot)
    {
        return;
    }
    m_slot = slot;
    bool holds_slot = slot.has_value();
    m_log.Write(Line("aggregator_role")
                    .Flag("aggregates", holds_slot)
                    .Number("slot", static_cast<std::int64_t>(slot.value_or(0))));
    if (holds_slot && !m_aggregator)
    {
        m_aggregator = std::make_unique<aggregation::aggregator>(self(), m_state.random.NextId());
    }
    else if (!holds_slot)
    {
        m_aggregator.reset();
    }
    m_view->set_is_aggregator(holds_slot);
}

void zone_exchange::claim_slot(instant now)
{
    if (m_claiming || !m_mirrors.back()->complete())
    {
        return;
    }
    auto claim = m_claim_policy->next_claim({now, &m_view->last_seen()}, m_slots);
    if (!claim)
    {
        return;
    }
    bool claim_watch_active =
        m_claim_watch_began && now - *m_claim_watch_began < m_options.m_claim_watch_period;
    if (!claim_watch_active)
    {
        m_claim_watch_began = now;
    }
    else if (now - *m_claim_watch_began >= m_options.m_pre_claim_watch)
    {
        m_claiming = true;
        m_claim_policy->record_attempt(now, *claim);
        async_http::asio::co_spawn(m_context, write_claim(*claim), async_http::asio::detached);
    }
}

async_http::Task<void> zone_exchange::write_claim(aggregation::slot_claim claim)
{
    store::Transaction transaction;
    std::string key = slot_key(m_cells.cell(), claim.m_slot);
    transaction.conditions.push_back({key, claim.m_revision});
    transaction.puts.push_back({key, wire::Encode(self()), 0});
    store::StoreStatus status = co_await m_store.Commit(std::move(transaction));
    m_log.Write(Line("slot_claimed")
                    .Number("slot", static_cast<std::int64_t>(claim.m_slot))
                    .Number("revision", static_cast<std::int64_t>(claim.m_revision))
                    .Number("status", static_cast<std::int64_t>(status)));
    if (status == store::StoreStatus::kDone || status == store::StoreStatus::kUnknown)
    {
        m_claim_policy->record_claim(SteadyInstant());
    }
    m_claiming = false;
}

bool zone_exchange::is_alive(instant now, const contact& aggregator) const
{
    auto seen = m_view->last_seen().find(aggregator.m_name);
    return seen != m_view->last_seen().end() && now - seen->second <= m_options.m_representative_timeout;
}

bool zone_exchange::represents_zone(instant now) const
{
    auto is_alive_now = [&](const contact& aggregator)
    {
        return is_alive(now, aggregator);
    };
    return is_aggregator() && aggregation::zone_representative(m_slots, self(), is_alive_now) == self();
}

// ---- Messages received ----

void zone_exchange::on_datagram(const std::string& payload)
{
    auto message = wire::Decode<datagram>(payload);
    if (!message || !m_view)
    {
        ++m_stats.m_datagrams_unreadable;
        return;
    }
    instant now = SteadyInstant();
    std::visit(
        [&](const auto& content)
        {
            handle(now, content);
        },
        *message);
}

void zone_exchange::handle(instant now, const member_report& report)
{
    ++m_stats.m_reports_received;
    m_propagation.record_revisions(now, report.m_from, report.m_revisions);
    if (!m_aggregator)
    {
        return;
    }
    if (!m_aggregator->handle(now, report))
    {
        ++m_stats.m_reports_dropped;
    }
    if (report.m_revisions.front() == 0)
    {
        push_changes(now);  // The gateway has just started and is not ready yet.
    }
}

void zone_exchange::handle(instant now, const zone_summary& summary)
{
    m_propagation.record_revisions(now, summary.m_from, summary.m_revisions);
    m_view->handle(now, summary);
    if (m_aggregator)
    {
        m_aggregator->handle(now, summary);
    }
}

void zone_exchange::handle(instant now, const digest& received)
{
    ++m_stats.m_digests_received;
    m_propagation.record_revisions(now, received.m_from, received.m_revisions);
    if (m_view->handle(now, received))
    {
        apply(now, m_view->subtract_own(received.m_loads), received.m_placements);
    }
}

void zone_exchange::handle(instant /*now*/, const store::news_request& request)
{
    if (request.m_mirror < m_mirrors.size())
    {
        m_change_sender.send({request.m_address, request.m_port}, request.m_mirror, request.m_last_change);
    }
}

void zone_exchange::handle(instant /*now*/, const aggregation::confirmation_question& request)
{
    m_lease_renewer.on_request(request);
}

void zone_exchange::handle(instant /*now*/, const aggregation::confirmation_answer& reply)
{
    if (reply.m_timestamp - m_first_zone_question < m_last_zone_question - m_first_zone_question)
    {
        m_other_zone_answered = true;
        return;
    }
    m_lease_renewer.on_reply(reply);
}

lease_peers zone_exchange::lease_renewal_peers(instant now) const
{
    lease_peers peers;
    if (is_aggregator())
    {
        peers.m_role =
            represents_zone(now) ? tenancy::zone_role::representative : tenancy::zone_role::aggregator;
    }
    for (const report_target& target : m_view->report_targets(now))
    {
        // The primary comes first.
        auto place = target.m_primary ? peers.m_own_zone.begin() : peers.m_own_zone.end();
        peers.m_own_zone.insert(place, target.m_endpoint);
    }
    for (const std::string& cell : neighbor_cells())
    {
        for (const contact& holder : aggregation::slot_holders(m_slots, cell))
        {
            peers.m_other_zones.push_back(holder.m_endpoint);
        }
    }
    return peers;
}

void zone_exchange::confirm_configuration()
{
    if (m_view && m_state.lease.bounded())
    {
        m_lease_renewer.tick(lease_renewal_peers(SteadyInstant()));
    }
}

void zone_exchange::on_changes(const store::news_reply& reply)
{
    if (reply.m_mirror >= m_mirrors.size())
    {
        m_log.Write(Line("news_unreadable").Number("mirror", reply.m_mirror));
        return;
    }
    store::PrefixMirror& mirror = *m_mirrors[reply.m_mirror];
    if (reply.m_delta.m_last_change > mirror.last_change())
    {
        m_log.Write(Line("news_from_peer")
                        .Number("mirror", reply.m_mirror)
                        .Number("items", static_cast<std::int64_t>(reply.m_delta.m_items.size()))
                        .Number("removals", static_cast<std::int64_t>(reply.m_delta.m_removals.size()))
                        .Number("from", static_cast<std::int64_t>(mirror.last_change()))
                        .Number("to", static_cast<std::int64_t>(reply.m_delta.m_last_change)));
    }
    mirror.ApplyDelta(reply.m_delta);
    if (m_aggregator)
    {
        push_changes(SteadyInstant());  // Propagate without waiting for the next tick.
    }
}

void zone_exchange::announce_runner_end(const ServiceName& service)
{
    if (!m_view)
    {
        return;
    }
    instant now = SteadyInstant();
    aggregation::runner_end_notice notice;
    notice.m_service = service.value;
    std::string payload = wire::Encode(datagram(notice));
    for (const report_target& target : m_view->report_targets(now))
    {
        send(target.m_endpoint, payload);
    }
    if (m_aggregator)
    {
        relay(now, std::move(notice));
    }
}

void zone_exchange::handle(instant now, const aggregation::runner_end_notice& notice)
{
    bool news = m_state.crashes->raise_alert(ServiceName(notice.m_service));
    if (news && m_aggregator)
    {
        relay(now, notice);
    }
}

void zone_exchange::relay(instant now, aggregation::runner_end_notice notice)
{
    ++notice.m_hops;
    std::string payload = wire::Encode(datagram(notice));
    for (const wire::Endpoint& receiver :
         aggregation::notice_receivers(now, *m_aggregator, m_slots, neighbor_cells(), notice))
    {
        send(receiver, payload);
    }
}

void zone_exchange::apply(instant now, const std::vector<runner_load>& others,
                          const std::vector<placement>& placements)
{
    m_digest_received_at = now;
    m_state.admissions.record_report(now);
    discovery::RunnerTable& runners = m_state.runners;
    bool uses_peer_loads = m_settings.policy.enabled(mechanism::peer_loads);
    clear_peer_loads();
    for (const runner_load& load : others)
    {
        discovery::RunnerState* runner = runners.FindByShortId(load.m_runner);
        if (runner == nullptr || !uses_peer_loads)
        {
            continue;
        }
        runner->peers_active = load.m_active;
        if (load.m_served > 0 || load.m_lost > 0)
        {
            runner->failure_rate.record(now, {load.m_served, load.m_lost});
            runner->service_time.record_completions(now, load.m_served);
        }
    }
    if (m_state.options.overload.m_runner_speeds)
    {
        runners.RecordPeerLoads(now);
    }
    absl::Time applied_at = SteadyNow();
    for (const placement& placed : placements)
    {
        m_state.prefixes.Record(applied_at, {placed.m_part, placed.m_tokens}, placed.m_runner);
    }
}

void zone_exchange::expire_peer_loads(instant now)
{
    if (!m_digest_received_at || now - *m_digest_received_at <= m_options.m_digest_lifetime)
    {
        return;
    }
    m_digest_received_at.reset();
    m_state.admissions.record_reports_ceased();
    m_log.Write(Line("digests_stopped"));
    clear_peer_loads();
    m_state.runners.RecordPeerLoads(now);
}

void zone_exchange::clear_peer_loads()
{
    for (auto& [id, runner] : m_state.runners.all())
    {
        runner.peers_active = 0;
    }
}

void zone_exchange::record_placement(const forwarding::PromptPart& part, std::uint32_t runner)
{
    if (m_placements.size() < max_placements)
    {
        m_placements.push_back({part.id, part.tokens, runner});
    }
}

// ---- Messages sent ----

void zone_exchange::tick(bool ledger_unreachable)
{
    instant now = SteadyInstant();
    m_ledger_unreachable = ledger_unreachable;
    update_watching(now);
    update_reading(now);
    claim_slot(now);
    m_propagation.expire(now);
    report(now);
    if (m_aggregator)
    {
        m_aggregator->set_representative(now, represents_zone(now));
        m_aggregator->expire(now);
        m_aggregator->remove_moved(now,
                                   [this](const std::string& name)
                                   {
                                       return aggregation::cell_of_gateway(m_slots, m_settings.zone, name) ==
                                              m_cells.cell();
                                   });
        send_digests(now);
        send_introductions(now);
        send_summary(now);
        push_changes(now);
        log_dropped_reports(now);
        if (represents_zone(now))
        {
            add_cells(now);
            m_storage_link.announce(now, m_slots);
            m_registry.register_missing(now, *m_aggregator);
        }
    }
    query_changes(now);
    m_storage_link.request_missing(now, reads_all_mirrors(now), is_receiving_copy());
    confirm_configuration();
    expire_peer_loads(now);
    m_state.gateway_count = std::max<std::uint32_t>(1, m_view->gateway_count());
    m_state.store_reachable = store_reachable();
}

void zone_exchange::update_watching(instant now)
{
    aggregation::watch_state state;
    state.m_now = now;
    state.m_is_aggregator = is_aggregator();
    state.m_is_representative = represents_zone(now);
    state.m_zone_reaches_store = m_view->own_zone_reaches_store(now);
    state.m_any_reaches_store = m_view->any_reaches_store(now);
    bool watch = m_watch_policy.should_watch(state) || !m_settings.policy.enabled(mechanism::peer_news);
    if (watch != m_watching)
    {
        m_watching = watch;
        m_store_answered.reset();  // Replies from before the watch prove nothing.
        m_log.Write(Line("store_watching").Flag("watching", watch));
    }
    for (std::size_t mirror = 0; mirror + 1 < m_mirrors.size(); ++mirror)
    {
        m_mirrors[mirror]->SetWatching(watch);
    }
    bool may_claim =
        m_claiming || m_claim_policy->next_claim({now, &m_view->last_seen()}, m_slots).has_value();
    bool claim_watch_active =
        m_claim_watch_began && now - *m_claim_watch_began < m_options.m_claim_watch_period && may_claim;
    m_mirrors.back()->SetWatching(watch || claim_watch_active);
}

bool zone_exchange::waits_for_push(instant now) const
{
    auto timeout = m_settings.first_start ? m_options.m_first_start_read_delay : m_options.m_read_delay;
    bool slots_known = m_mirrors.back()->complete();
    bool may_receive_push = m_settings.first_start || !m_view->report_targets(now).empty();
    return now - m_started_at < timeout && (!slots_known || may_receive_push);
}

bool zone_exchange::reads_all_mirrors(instant now) const
{
    return is_aggregator() || m_watching || !waits_for_push(now);
}

void zone_exchange::update_reading(instant now)
{
    bool reads = reads_all_mirrors(now);
    // While the store is unreachable, only the configuration mirror keeps trying.
    bool store_unreachable = !m_store_answered.value_or(true);
    for (std::size_t mirror = 0; mirror + 1 < m_mirrors.size(); ++mirror)
    {
        bool arrives = mirror == aggregation::runners_mirror && is_receiving_copy();
        m_mirrors[mirror]->SetPaused(!reads || arrives || (mirror > 0 && store_unreachable));
    }
    m_registry.set_paused(!is_aggregator() || store_unreachable);
    log_reading_change(reads, store_unreachable);
}

void zone_exchange::log_reading_change(bool reads, bool store_unreachable)
{
    if (m_reading == reads && m_store_unreachable == store_unreachable)
    {
        return;
    }
    m_reading = reads;
    m_store_unreachable = store_unreachable;
    m_log.Write(
        Line("store_reading").Flag("reads", reads).Flag("configuration_only", reads && store_unreachable));
}

bool zone_exchange::store_reachable() const
{
    // Without a watch, earlier replies of the store do not prove that it is still reachable.
    return m_watching ? m_store_answered.value_or(false)
                      : m_view && m_view->any_reaches_store(SteadyInstant());
}

std::chrono::milliseconds zone_exchange::configuration_lag() const
{
    return m_propagation.lag(SteadyInstant(), aggregation::configuration_mirror);
}

std::size_t zone_exchange::peer_count() const
{
    return m_view ? m_view->gateway_count() - 1 : 0;
}

std::size_t zone_exchange::peers_without_ledger() const
{
    std::size_t without = m_view ? m_view->gateways_without_ledger(SteadyInstant()) : 0;
    // The totals may include this gateway.
    return without - std::min<std::size_t>(without, m_last_report.m_ledger_unreachable ? 1 : 0);
}

std::vector<wire::Endpoint> zone_exchange::peers_with_ledger(std::size_t max_count) const
{
    return m_view ? m_view->gateways_with_ledger(SteadyInstant(), max_count) : std::vector<wire::Endpoint>();
}

std::vector<wire::Endpoint> zone_exchange::own_peers_with_ledger(instant since, std::size_t max_count) const
{
    return m_view ? m_view->own_gateways_with_ledger(since, max_count) : std::vector<wire::Endpoint>();
}

bool zone_exchange::ask_other_zones()
{
    std::vector<std::vector<contact>> zones =
        aggregators_of_other_zones(m_slots, m_settings.zone, m_settings.regions);
    std::vector<std::vector<contact>> asked;
    std::sample(zones.begin(), zones.end(), std::back_inserter(asked), m_options.m_asked_zones,
                m_state.random.engine());
    aggregation::confirmation_question question;
    question.m_from = self().m_endpoint;
    question.m_timestamp = m_last_zone_question++;
    std::string payload = wire::Encode(datagram(question));
    for (const std::vector<contact>& aggregators : asked)
    {
        std::vector<contact> targets;
        std::sample(aggregators.begin(), aggregators.end(), std::back_inserter(targets),
                    m_options.m_asked_per_zone, m_state.random.engine());
        for (const contact& target : targets)
        {
            send(target.m_endpoint, payload);
            ++m_stats.m_zone_questions_sent;
        }
    }
    return !asked.empty();
}

bool zone_exchange::report_is_due(instant now, const member_report& fresh,
                                  const std::vector<report_target>& targets) const
{
    bool changed = fresh.m_loads != m_last_report.m_loads || !fresh.m_placements.empty() ||
                   fresh.m_revisions != m_last_report.m_revisions ||
                   fresh.m_ledger_unreachable != m_last_report.m_ledger_unreachable ||
                   targets != m_last_report_targets;
    return changed || now - m_last_report_at >= m_options.m_keepalive_interval;
}

void zone_exchange::report(instant now)
{
    member_report fresh;
    fresh.m_from = self();
    fresh.m_revisions = revisions();
    fresh.m_ledger_unreachable = m_ledger_unreachable;
    fresh.m_loads = own_loads(m_state.runners);
    fresh.m_placements = m_placements;
    std::vector<report_target> targets = m_view->report_targets(now);
    bool has_receiver = is_aggregator() || !targets.empty();
    if (!has_receiver || !report_is_due(now, fresh, targets))
    {
        return;
    }
    clear_reported(fresh.m_loads, m_state.runners);
    m_view->record_reported(now, fresh.m_loads);
    m_placements.clear();
    if (m_aggregator)
    {
        m_aggregator->handle(now, fresh);
    }
    std::string secondary_payload = wire::Encode(datagram(fresh));
    fresh.m_primary = true;
    std::string primary_payload = wire::Encode(datagram(fresh));
    for (const report_target& target : targets)
    {
        send(target.m_endpoint, target.m_primary ? primary_payload : secondary_payload);
        ++m_stats.m_reports_sent;
    }
    m_last_report = std::move(fresh);
    m_last_report_targets = std::move(targets);
    m_last_report_at = now;
}

void zone_exchange::send_digests(instant now)
{
    if (m_aggregator->digest_is_due(now))
    {
        digest full = m_aggregator->make_digest(now);
        set_sender_state(now, full);
        std::string payload = wire::Encode(datagram(full));
        m_aggregator->record_digest_sent(now, payload.size());
        send_all(m_aggregator->primary_members(now), payload, m_stats.m_digests_sent);
        m_view->set_counts(now, full.m_gateways, full.m_without_ledger);
        apply(now, m_view->subtract_own(full.m_loads), full.m_placements);
    }
    send_short_digest(now, m_aggregator->take_short_digest_due(now));
}

void zone_exchange::send_short_digest(instant now, const std::vector<wire::Endpoint>& receivers)
{
    if (receivers.empty())
    {
        return;
    }
    digest brief = m_aggregator->make_short_digest(now);
    set_sender_state(now, brief);
    send_all(receivers, wire::Encode(datagram(brief)), m_stats.m_digests_sent);
}

void zone_exchange::send_introductions(instant now)
{
    if (now - m_introduced_at < m_options.m_introduction_interval)
    {
        return;
    }
    m_introduced_at = now;
    send_short_digest(now, m_registry.unreporting(*m_aggregator));
}

void zone_exchange::send_summary(instant now)
{
    if (now - m_summary_sent_at < m_options.m_summary_interval || !represents_zone(now))
    {
        return;
    }
    m_summary_sent_at = now;
    zone_summary summary = m_aggregator->make_summary(now);
    summary.m_revisions = revisions();
    summary.m_store_reachable = reaches_store();
    std::string payload = wire::Encode(datagram(std::move(summary)));
    auto is_alive_now = [&](const contact& aggregator)
    {
        return is_alive(now, aggregator);
    };
    send_all(aggregation::summary_targets(m_slots, neighbor_cells(), is_alive_now), payload,
             m_stats.m_summaries_sent);
    relay_summary(now);
}

void zone_exchange::relay_summary(instant now)
{
    zone_summary others = m_aggregator->make_relayed_summary(now);
    others.m_revisions = revisions();
    others.m_store_reachable = reaches_store();
    std::string payload = wire::Encode(datagram(std::move(others)));
    for (const contact& holder : aggregation::slot_holders(m_slots, m_cells.cell()))
    {
        if (holder.m_name != m_settings.node)
        {
            send(holder.m_endpoint, payload);
            ++m_stats.m_summaries_sent;
        }
    }
}

void zone_exchange::push_changes(instant now)
{
    std::array<std::size_t, aggregation::mirror_count> sizes{};
    std::transform(m_mirrors.begin(), m_mirrors.end(), sizes.begin(),
                   [](const store::PrefixMirror* mirror)
                   {
                       return mirror->bytes();
                   });
    m_propagation.set_copy_sizes(sizes);
    for (const aggregation::change_push& push : m_propagation.take_due_pushes(
             now, revisions(), *m_aggregator, aggregation::slot_holders(m_slots, m_cells.cell())))
    {
        send_result result = m_change_sender.send(push.m_to, push.m_mirror, push.m_since);
        if (result == send_result::no_room)
        {
            m_propagation.cancel(push);
        }
        m_stats.m_changes_pushed += result == send_result::queued ? 1 : 0;
    }
}

bool zone_exchange::is_receiving_copy() const
{
    return !m_mirrors[aggregation::runners_mirror]->complete() &&
           m_transport.IsReceiving(m_options.m_min_copy_bytes,
                                   absl::FromChrono(m_options.m_copy_stall_timeout));
}

void zone_exchange::query_changes(instant now)
{
    for (std::size_t mirror = 0; mirror < m_mirrors.size(); ++mirror)
    {
        if (mirror == aggregation::runners_mirror && is_receiving_copy())
        {
            continue;
        }
        // A push or this gateway's own watch may still deliver the change, unless the watch has failed.
        bool may_wait = !m_watching || m_store_answered.value_or(false);
        auto query = m_propagation.next_query(now, mirror, m_mirrors[mirror]->last_change(), may_wait);
        if (query)
        {
            ++m_stats.m_changes_queried;
            store::news_request request{static_cast<std::uint8_t>(mirror), m_mirrors[mirror]->last_change(),
                                        m_settings.address, m_settings.internal_port};
            send(query->m_peer, wire::Encode(datagram(request)));
        }
    }
}

void zone_exchange::set_storage_machines(std::vector<turn_ledger::Machine> machines)
{
    m_storage_link.set_machines(std::move(machines));
}

void zone_exchange::send(const wire::Endpoint& to, const std::string& payload)
{
    m_transport.SendDatagram(to, payload);
}

void zone_exchange::send_all(const std::vector<wire::Endpoint>& receivers, const std::string& payload,
                             std::uint64_t& counter)
{
    for (const wire::Endpoint& receiver : receivers)
    {
        send(receiver, payload);
        ++counter;
    }
}

}  // namespace martenyard::roles
