#include "roles/exchange/zone_exchange.h"

#include <algorithm>
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

/// bounds the memory of a gateway that nobody takes reports from
constexpr std::size_t most_placements = 400;

std::uint8_t at_most_a_byte(std::uint32_t count)
{
    return static_cast<std::uint8_t>(std::min<std::uint32_t>(count, UINT8_MAX));
}

/// @return this gateway's requests by runner, with what it has not told yet of their outcomes
std::vector<runner_load> own_loads(discovery::RunnerTable& runners)
{
    std::vector<runner_load> loads;
    for (const auto& [id, state] : runners.all())
    {
        const discovery::request_outcomes& outcomes = state.unreported;
        if (state.own_active > 0 || outcomes.m_served > 0 || outcomes.m_lost > 0)
        {
            loads.push_back({state.short_id, static_cast<std::uint16_t>(state.own_active),
                             at_most_a_byte(outcomes.m_served), at_most_a_byte(outcomes.m_lost)});
        }
    }
    return loads;
}

/// the outcomes were told
void mark_reported(const std::vector<runner_load>& loads, discovery::RunnerTable& runners)
{
    for (const runner_load& load : loads)
    {
        if (discovery::RunnerState* runner = runners.FindShort(load.m_runner))
        {
            runner->unreported.m_served -= load.m_served;
            runner->unreported.m_lost -= load.m_lost;
        }
    }
}

}  // namespace

zone_exchange::zone_exchange(async_http::asio::io_context& context, const RoleSettings& settings,
                             store::MetadataStore& store, wire::Transport& transport,
                             const followed_mirrors& mirrors, forwarding::GatewayState& state,
                             event_log::EventLog& log, const exchange_options& options)
    : m_context(context),
      m_settings(settings),
      m_store(store),
      m_transport(transport),
      m_state(state),
      m_log(log),
      m_options(options),
      m_mirrors{&mirrors.m_configuration, &mirrors.m_runners, &mirrors.m_ledger, &mirrors.m_aggregators},
      m_sender(transport, m_mirrors,
               [this]
               {
                   return machine();
               }),
      m_registry(context, store, settings, log),
      m_storage(
          m_settings, m_mirrors,
          [this](const wire::Endpoint& to, const datagram& message)
          {
              send(to, wire::Encode(message));
          },
          log),
      m_news(state.random.NextId()),
      m_lease(
          context, store, mirrors.m_configuration, state.lease, log,
          [this](const wire::Endpoint& to, const datagram& message)
          {
              send(to, wire::Encode(message));
          },
          [&state]
          {
              state.informed.Notify();
          },
          state.random.NextId()),
      m_watch(settings.node)
{
}

void zone_exchange::start(std::uint16_t internal_port)
{
    m_settings.internal_port = internal_port;
    m_claims.emplace(self(), m_settings.processor_share);
    m_view.emplace(self());
    m_began = SteadyInstant();
    m_lease.start(m_settings.revocation.lease_duration(), self().m_endpoint);
    m_registry.start();
    m_storage.start(m_began, self());
    judge_watching(m_began);
    judge_reading(m_began);
}

contact zone_exchange::self() const
{
    return {m_settings.node, m_settings.zone, {m_settings.address, m_settings.internal_port}};
}

turn_ledger::Machine zone_exchange::machine() const
{
    turn_ledger::Machine self;
    self.name = m_settings.node;
    self.endpoint = {m_settings.address, m_settings.internal_port};
    self.zone = ZoneName(m_settings.zone);
    return self;
}

aggregation::known_changes zone_exchange::changes() const
{
    return last_changes(m_mirrors);
}

bool zone_exchange::in_contact() const
{
    return m_watching && m_store_answers.value_or(false);
}

void zone_exchange::complete(instant now, digest& told) const
{
    told.m_changes = changes();
    // Another zone's word is as good; it is passed on in digests only, so that it goes round nowhere.
    told.m_in_contact = in_contact() || m_view->other_zone_has_contact(now);
}

// ---- Slots ----

void zone_exchange::on_slots_change()
{
    m_slots = read_slots(m_mirrors.back()->items(), m_log);
    if (!m_view)
    {
        return;
    }
    m_view->set_slots(m_slots);
    become(m_claims->held(m_slots));
    judge_reading(SteadyInstant());
    if (!m_mirrors.front()->complete())
    {
        report(SteadyInstant());  // What this gateway lacks is pushed at once.
    }
}

void zone_exchange::on_contact(bool reachable)
{
    m_store_answers = reachable;
    judge_reading(SteadyInstant());
    m_state.store_reachable = store_reachable();
}

void zone_exchange::become(std::optional<std::size_t> slot)
{
    if (slot == m_slot)
    {
        return;
    }
    m_slot = slot;
    bool aggregates = slot.has_value();
    m_log.Write(Line("aggregator_role")
                    .Flag("aggregates", aggregates)
                    .Number("slot", static_cast<std::int64_t>(slot.value_or(0))));
    if (aggregates && !m_sums)
    {
        m_sums = std::make_unique<aggregation::aggregator>(self(), m_state.random.NextId());
    }
    else if (!aggregates)
    {
        m_sums.reset();
    }
    m_view->set_aggregates(aggregates);
}

void zone_exchange::claim_slot(instant now)
{
    if (m_claiming || !m_mirrors.back()->complete())
    {
        return;
    }
    auto claim = m_claims->due({now, &m_view->heard()}, m_slots);
    if (!claim)
    {
        return;
    }
    bool looks = m_looked && now - *m_looked < m_options.m_claim_watch;
    if (!looks)
    {
        m_looked = now;
    }
    else if (now - *m_looked >= m_options.m_look)
    {
        m_claiming = true;
        m_claims->note_tried(now, *claim);
        async_http::asio::co_spawn(m_context, write_claim(*claim), async_http::asio::detached);
    }
}

async_http::Task<void> zone_exchange::write_claim(aggregation::slot_claim claim)
{
    store::Transaction transaction;
    std::string key = slot_key(m_settings.zone, claim.m_slot);
    transaction.conditions.push_back({key, claim.m_revision});
    transaction.puts.push_back({key, wire::Encode(self()), 0});
    store::StoreStatus status = co_await m_store.Commit(std::move(transaction));
    m_log.Write(Line("slot_claimed")
                    .Number("slot", static_cast<std::int64_t>(claim.m_slot))
                    .Number("revision", static_cast<std::int64_t>(claim.m_revision))
                    .Number("status", static_cast<std::int64_t>(status)));
    if (status == store::StoreStatus::kDone || status == store::StoreStatus::kUnknown)
    {
        m_claims->note_taken(SteadyInstant());
    }
    m_claiming = false;
}

bool zone_exchange::hears(instant now, const contact& aggregator) const
{
    auto heard = m_view->heard().find(aggregator.m_name);
    return heard != m_view->heard().end() && now - heard->second <= m_options.m_speaker_patience;
}

bool zone_exchange::speaks_for_zone(instant now) const
{
    auto is_heard = [&](const contact& aggregator)
    {
        return hears(now, aggregator);
    };
    return aggregates() && aggregation::first_heard(m_slots, self(), is_heard) == self();
}

// ---- What peers tell ----

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
        [&](const auto& told)
        {
            take(now, told);
        },
        *message);
}

void zone_exchange::take(instant now, const member_report& report)
{
    ++m_stats.m_reports_taken;
    m_news.heard(now, report.m_from, report.m_changes);
    if (!m_sums)
    {
        return;
    }
    m_sums->take(now, report);
    if (report.m_changes.front() == 0)
    {
        push_news(now);  // It has just started, and clients may wait for it.
    }
}

void zone_exchange::take(instant now, const zone_summary& summary)
{
    m_news.heard(now, summary.m_from, summary.m_changes);
    m_view->take(now, summary);
    if (m_sums)
    {
        m_sums->take(now, summary);
    }
}

void zone_exchange::take(instant now, const digest& told)
{
    ++m_stats.m_digests_taken;
    m_news.heard(now, told.m_from, told.m_changes);
    if (m_view->take(now, told))
    {
        apply(now, m_view->without_own(told.m_loads), told.m_placements);
    }
}

void zone_exchange::take(instant /*now*/, const store::news_request& request)
{
    if (request.m_mirror < m_mirrors.size())
    {
        m_sender.send({request.m_address, request.m_port}, request.m_mirror, request.m_last_change);
    }
}

void zone_exchange::take(instant /*now*/, const aggregation::confirmation_question& question)
{
    m_lease.on_question(question);
}

void zone_exchange::take(instant /*now*/, const aggregation::confirmation_answer& answer)
{
    m_lease.on_answer(answer);
}

lease_peers zone_exchange::peers_for_lease(instant now) const
{
    lease_peers peers;
    if (aggregates())
    {
        peers.m_part =
            speaks_for_zone(now) ? tenancy::zone_role::representative : tenancy::zone_role::aggregator;
    }
    for (const report_target& target : m_view->targets(now))
    {
        // The one whose digests this gateway goes by is asked first.
        auto place = target.m_primary ? peers.m_own_zone.begin() : peers.m_own_zone.end();
        peers.m_own_zone.insert(place, target.m_endpoint);
    }
    for (const std::string& zone : aggregation::near_zones(m_slots, m_settings.zone, m_options.m_most_zones))
    {
        for (const contact& holder : aggregation::holders_of(m_slots, zone))
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
        m_lease.tick(peers_for_lease(SteadyInstant()));
    }
}

void zone_exchange::on_news(const store::news_reply& reply)
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
    mirror.TakeDelta(reply.m_delta);
    if (m_sums)
    {
        push_news(SteadyInstant());  // Its gateways shouldn't wait for the next tick.
    }
}

void zone_exchange::apply(instant now, const std::vector<runner_load>& others,
                          const std::vector<placement>& placements)
{
    m_digest_taken = now;
    discovery::RunnerTable& runners = m_state.runners;
    bool counts = m_settings.policy.on(mechanism::peer_loads);
    clear_peer_loads();
    for (const runner_load& load : others)
    {
        discovery::RunnerState* runner = runners.FindShort(load.m_runner);
        if (runner == nullptr || !counts)
        {
            continue;
        }
        runner->peers_active = load.m_active;
        if (load.m_served > 0 || load.m_lost > 0)
        {
            runner->losses.note(now, {load.m_served, load.m_lost});
        }
    }
    absl::Time noted = SteadyNow();
    for (const placement& placed : placements)
    {
        m_state.prefixes.Note(noted, {placed.m_part, placed.m_tokens}, placed.m_runner);
    }
}

void zone_exchange::forget_old_loads(instant now)
{
    if (!m_digest_taken || now - *m_digest_taken <= m_options.m_digest_lifetime)
    {
        return;
    }
    m_digest_taken.reset();
    m_log.Write(Line("digests_stopped"));
    clear_peer_loads();
}

void zone_exchange::clear_peer_loads()
{
    for (auto& [id, runner] : m_state.runners.all())
    {
        runner.peers_active = 0;
    }
}

void zone_exchange::note_placement(const forwarding::PromptPart& part, std::uint32_t runner)
{
    if (m_placements.size() < most_placements)
    {
        m_placements.push_back({part.id, part.tokens, runner});
    }
}

// ---- What is told ----

void zone_exchange::tick(bool ledger_silent)
{
    instant now = SteadyInstant();
    m_ledger_silent = ledger_silent;
    judge_watching(now);
    judge_reading(now);
    claim_slot(now);
    m_news.expire(now);
    report(now);
    if (m_sums)
    {
        m_sums->set_speaks(now, speaks_for_zone(now));
        m_sums->expire(now);
        send_digests(now);
        send_introductions(now);
        send_summary(now);
        push_news(now);
        if (speaks_for_zone(now))
        {
            m_storage.tell(now, m_slots);
            m_registry.write_missing(now, *m_sums);
        }
    }
    ask_for_news(now);
    m_storage.ask(now, reads_everything(now));
    confirm_configuration();
    forget_old_loads(now);
    m_state.gateways = std::max<std::uint32_t>(1, m_view->gateways());
    m_state.store_reachable = store_reachable();
}

void zone_exchange::judge_watching(instant now)
{
    aggregation::watch_view seen;
    seen.m_now = now;
    seen.m_aggregates = aggregates();
    seen.m_speaks = speaks_for_zone(now);
    seen.m_zone_has_contact = m_view->own_zone_has_contact(now);
    seen.m_hears_contact = m_view->hears_contact(now);
    bool watch = m_watch.judge(seen) || !m_settings.policy.on(mechanism::peer_news);
    if (watch != m_watching)
    {
        m_watching = watch;
        m_store_answers.reset();  // An answer from before the watching proves nothing now.
        m_log.Write(Line("store_watching").Flag("watching", watch));
    }
    for (std::size_t mirror = 0; mirror + 1 < m_mirrors.size(); ++mirror)
    {
        m_mirrors[mirror]->SetWatching(watch);
    }
    bool may_claim = m_claiming || m_claims->due({now, &m_view->heard()}, m_slots).has_value();
    bool looks = m_looked && now - *m_looked < m_options.m_claim_watch && may_claim;
    m_mirrors.back()->SetWatching(watch || looks);
}

bool zone_exchange::waits_for_push(instant now) const
{
    auto patience = m_settings.first_start ? m_options.m_first_read_after : m_options.m_read_after;
    bool slots_known = m_mirrors.back()->complete();
    bool somebody_may_push = m_settings.first_start || !m_view->targets(now).empty();
    return now - m_began < patience && (!slots_known || somebody_may_push);
}

bool zone_exchange::reads_everything(instant now) const
{
    return aggregates() || m_watching || !waits_for_push(now);
}

void zone_exchange::judge_reading(instant now)
{
    bool reads = reads_everything(now);
    // One question at a time while the store is away: the configuration's.
    bool store_is_away = !m_store_answers.value_or(true);
    for (std::size_t mirror = 0; mirror + 1 < m_mirrors.size(); ++mirror)
    {
        m_mirrors[mirror]->SetPaused(!reads || (mirror > 0 && store_is_away));
    }
    m_registry.set_paused(!aggregates() || store_is_away);
    note_reading(reads, store_is_away);
}

void zone_exchange::note_reading(bool reads, bool store_is_away)
{
    if (m_reads == reads && m_store_is_away == store_is_away)
    {
        return;
    }
    m_reads = reads;
    m_store_is_away = store_is_away;
    m_log.Write(
        Line("store_reading").Flag("reads", reads).Flag("configuration_only", reads && store_is_away));
}

bool zone_exchange::store_reachable() const
{
    // One who doesn't watch has no proof of its own, whatever the store answered it once.
    return m_watching ? m_store_answers.value_or(false) : m_view && m_view->hears_contact(SteadyInstant());
}

std::size_t zone_exchange::peers() const
{
    return m_view ? m_view->gateways() - 1 : 0;
}

std::size_t zone_exchange::peers_without_ledger() const
{
    std::size_t without = m_view ? m_view->gateways_without_ledger(SteadyInstant()) : 0;
    // The sums may count this gateway too.
    return without - std::min<std::size_t>(without, m_reported.m_ledger_silent ? 1 : 0);
}

std::vector<wire::Endpoint> zone_exchange::peers_with_ledger(std::size_t most) const
{
    return m_view ? m_view->with_ledger(SteadyInstant(), most) : std::vector<wire::Endpoint>();
}

bool zone_exchange::report_is_due(instant now, const member_report& fresh,
                                  const std::vector<report_target>& targets) const
{
    bool changed = fresh.m_loads != m_reported.m_loads || !fresh.m_placements.empty() ||
                   fresh.m_changes != m_reported.m_changes ||
                   fresh.m_ledger_silent != m_reported.m_ledger_silent || targets != m_reported_to;
    return changed || now - m_reported_at >= m_options.m_quiet_interval;
}

void zone_exchange::report(instant now)
{
    member_report fresh;
    fresh.m_from = self();
    fresh.m_changes = changes();
    fresh.m_ledger_silent = m_ledger_silent;
    fresh.m_loads = own_loads(m_state.runners);
    fresh.m_placements = m_placements;
    std::vector<report_target> targets = m_view->targets(now);
    bool has_taker = aggregates() || !targets.empty();
    if (!has_taker || !report_is_due(now, fresh, targets))
    {
        return;
    }
    mark_reported(fresh.m_loads, m_state.runners);
    m_view->note_reported(now, fresh.m_loads);
    m_placements.clear();
    if (m_sums)
    {
        m_sums->take(now, fresh);
    }
    std::string secondary_payload = wire::Encode(datagram(fresh));
    fresh.m_primary = true;
    std::string primary_payload = wire::Encode(datagram(fresh));
    for (const report_target& target : targets)
    {
        send(target.m_endpoint, target.m_primary ? primary_payload : secondary_payload);
        ++m_stats.m_reports_sent;
    }
    m_reported = std::move(fresh);
    m_reported_to = std::move(targets);
    m_reported_at = now;
}

void zone_exchange::send_digests(instant now)
{
    if (m_sums->digest_is_due(now))
    {
        digest full = m_sums->make_digest(now);
        complete(now, full);
        std::string payload = wire::Encode(datagram(full));
        m_sums->note_digest_sent(now, payload.size());
        send_all(m_sums->primary_members(now), payload, m_stats.m_digests_sent);
        m_view->take_counts(now, full.m_gateways, full.m_without_ledger);
        apply(now, m_view->without_own(full.m_loads), full.m_placements);
    }
    send_short_digest(now, m_sums->take_short_digest_due(now));
}

void zone_exchange::send_short_digest(instant now, const std::vector<wire::Endpoint>& receivers)
{
    if (receivers.empty())
    {
        return;
    }
    digest brief = m_sums->make_short_digest(now);
    complete(now, brief);
    send_all(receivers, wire::Encode(datagram(brief)), m_stats.m_digests_sent);
}

void zone_exchange::send_introductions(instant now)
{
    if (now - m_introduced_at < m_options.m_introduction_interval)
    {
        return;
    }
    m_introduced_at = now;
    send_short_digest(now, m_registry.silent(*m_sums));
}

void zone_exchange::send_summary(instant now)
{
    if (now - m_summary_sent < m_options.m_summary_interval || !speaks_for_zone(now))
    {
        return;
    }
    m_summary_sent = now;
    zone_summary summary = m_sums->make_summary(now);
    summary.m_changes = changes();
    summary.m_in_contact = in_contact();
    std::string payload = wire::Encode(datagram(std::move(summary)));
    auto is_heard = [&](const contact& aggregator)
    {
        return hears(now, aggregator);
    };
    send_all(aggregation::summary_targets(m_slots, self(), is_heard, m_options.m_most_zones), payload,
             m_stats.m_summaries_sent);
    relay_summary(now);
}

void zone_exchange::relay_summary(instant now)
{
    zone_summary others = m_sums->make_relayed_summary(now);
    others.m_changes = changes();
    others.m_in_contact = in_contact();
    std::string payload = wire::Encode(datagram(std::move(others)));
    for (const contact& holder : aggregation::holders_of(m_slots, m_settings.zone))
    {
        if (holder.m_name != m_settings.node)
        {
            send(holder.m_endpoint, payload);
            ++m_stats.m_summaries_sent;
        }
    }
}

void zone_exchange::push_news(instant now)
{
    for (const aggregation::news_push& push :
         m_news.take_due_pushes(now, changes(), *m_sums, aggregation::holders_of(m_slots, m_settings.zone)))
    {
        ++m_stats.m_news_pushed;
        m_sender.send(push.m_to, push.m_mirror, push.m_since);
    }
}

void zone_exchange::ask_for_news(instant now)
{
    for (std::size_t mirror = 0; mirror < m_mirrors.size(); ++mirror)
    {
        // A push or the own watch may still bring it, unless the store is lost to this gateway.
        bool patient = !m_watching || m_store_answers.value_or(false);
        auto question = m_news.next_question(now, mirror, m_mirrors[mirror]->last_change(), patient);
        if (question)
        {
            ++m_stats.m_news_asked;
            store::news_request request{static_cast<std::uint8_t>(mirror), m_mirrors[mirror]->last_change(),
                                        m_settings.address, m_settings.internal_port};
            send(question->m_peer, wire::Encode(datagram(request)));
        }
    }
}

void zone_exchange::set_storage(std::vector<turn_ledger::Machine> machines)
{
    m_storage.set_machines(std::move(machines));
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
