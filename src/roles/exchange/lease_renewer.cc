#include "roles/exchange/lease_renewer.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/clock.h"

namespace martenyard::roles
{

using event_log::Line;
using std::chrono::milliseconds;

namespace
{

/// number of other zones' aggregators asked at a time, in case one of them is partitioned as well
constexpr std::size_t foreign_peer_count = 2;
/// age in a reply, in milliseconds, if the configuration was never confirmed
constexpr std::uint32_t never_confirmed = UINT32_MAX;

std::uint64_t milliseconds_between(tenancy::instant from, tenancy::instant to)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(to - from).count());
}

}  // namespace

lease_renewer::lease_renewer(async_http::asio::io_context& context, store::MetadataStore& store,
                             store::PrefixMirror& configuration, std::string configuration_key,
                             tenancy::configuration_lease& lease, event_log::EventLog& log,
                             send_datagram send, std::function<void()> on_valid, std::uint64_t seed)
    : m_context(context),
      m_store(store),
      m_configuration(configuration),
      m_configuration_key(std::move(configuration_key)),
      m_lease(lease),
      m_log(log),
      m_send(std::move(send)),
      m_on_valid(std::move(on_valid)),
      m_random(seed)
{
}

void lease_renewer::start(std::optional<milliseconds> length, const wire::Endpoint& self)
{
    if (!length)
    {
        return;
    }
    m_self = self;
    m_started_at = SteadyInstant();
    m_timestamp_base = m_random.NextId();
    m_lease = tenancy::configuration_lease(*length);
    m_plan.emplace(*length, m_random.Uniform());
}

void lease_renewer::tick(const lease_peers& peers)
{
    if (!m_plan || m_lease.revision() == 0)
    {
        return;
    }
    instant now = SteadyInstant();
    tenancy::confirmation_targets due = m_plan->due({now, peers.m_role, m_lease.last_confirmed()});
    if (due.m_store && !m_store_request_pending)
    {
        auto item = m_configuration.items().find(m_configuration_key);
        if (item != m_configuration.items().end())
        {
            m_store_request_pending = true;
            async_http::asio::co_spawn(m_context, request_from_store(item->first, item->second.revision),
                                       async_http::asio::detached);
        }
    }
    if (due.m_own_zone && !peers.m_own_zone.empty())
    {
        request_from_peers(now, {peers.m_own_zone.front()});
    }
    if (due.m_other_zones)
    {
        request_from_peers(now, wide_peers(peers));
    }
    report_state_change(now);
}

std::vector<wire::Endpoint> lease_renewer::wide_peers(const lease_peers& peers)
{
    std::vector<wire::Endpoint> targets = peers.m_own_zone;
    std::sample(peers.m_other_zones.begin(), peers.m_other_zones.end(), std::back_inserter(targets),
                foreign_peer_count, m_random.engine());
    return targets;
}

async_http::Task<void> lease_renewer::request_from_store(std::string key, store::Revision revision)
{
    // An empty transaction on the condition that the revision is still the newest: it is linearizable, and
    // does not transfer the configuration as a read would.
    store::Transaction transaction;
    transaction.conditions.push_back({std::move(key), revision});
    instant sent_at = SteadyInstant();
    ++m_stats.m_store_requests;
    store::StoreStatus status = co_await m_store.Commit(std::move(transaction));
    m_store_request_pending = false;
    bool store_answered = status == store::StoreStatus::kDone || status == store::StoreStatus::kConflict;
    m_plan->on_store_reply(store_answered);
    if (status == store::StoreStatus::kDone)
    {
        m_lease.confirm(sent_at, revision);
        report_state_change(SteadyInstant());
    }
    else if (status == store::StoreStatus::kConflict)
    {
        m_log.Write(Line("configuration_superseded").Number("revision", static_cast<std::int64_t>(revision)));
        m_configuration.Refresh();
    }
}

void lease_renewer::request_from_peers(instant now, const std::vector<wire::Endpoint>& peers)
{
    aggregation::confirmation_question request;
    request.m_from = m_self;
    request.m_timestamp = m_timestamp_base + milliseconds_between(m_started_at, now);
    for (const wire::Endpoint& peer : peers)
    {
        ++m_stats.m_peer_requests;
        m_send(peer, request);
    }
}

void lease_renewer::on_store_recovered()
{
    if (m_plan)
    {
        m_plan->on_store_recovered();
    }
}

void lease_renewer::on_request(const aggregation::confirmation_question& request)
{
    aggregation::confirmation_answer reply;
    reply.m_timestamp = request.m_timestamp;
    reply.m_revision = m_lease.revision();
    reply.m_age_ms = never_confirmed;
    if (m_lease.last_confirmed())
    {
        // Rounded up: an age that is too low would extend the peer's lease beyond its bound.
        std::uint64_t age = milliseconds_between(*m_lease.last_confirmed(), SteadyInstant()) + 1;
        reply.m_age_ms = static_cast<std::uint32_t>(std::min<std::uint64_t>(age, never_confirmed));
    }
    m_send(request.m_from, reply);
}

void lease_renewer::on_reply(const aggregation::confirmation_answer& reply)
{
    if (!m_plan)
    {
        return;
    }
    instant now = SteadyInstant();
    std::uint64_t sent_at_ms = reply.m_timestamp - m_timestamp_base;
    if (sent_at_ms > milliseconds_between(m_started_at, now))
    {
        return;  // A reply to a previous process at this address.
    }
    ++m_stats.m_peer_replies;
    m_plan->on_peer_reply(now);
    if (reply.m_age_ms != never_confirmed)
    {
        instant confirmed = m_started_at + milliseconds(sent_at_ms) - milliseconds(reply.m_age_ms);
        m_lease.confirm(confirmed, reply.m_revision);
        report_state_change(now);
    }
}

void lease_renewer::report_state_change(instant now)
{
    bool valid = m_lease.is_valid(now);
    if (valid == m_was_valid)
    {
        return;
    }
    m_was_valid = valid;
    std::int64_t age = m_lease.last_confirmed()
                           ? static_cast<std::int64_t>(milliseconds_between(*m_lease.last_confirmed(), now))
                           : -1;
    m_log.Write(Line(valid ? "configuration_lease_held" : "configuration_lease_lost")
                    .Number("revision", static_cast<std::int64_t>(m_lease.revision()))
                    .Number("confirmed_ms_ago", age));
    if (valid)
    {
        m_on_valid();
    }
}

}  // namespace martenyard::roles
