#include "roles/exchange/lease_keeper.h"

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

/// Aggregators of other zones that are asked at once: one of two is most likely not cut off as well.
constexpr std::size_t foreign_peers = 2;
/// Told where nothing was ever confirmed, in milliseconds: older than any lease.
constexpr std::uint32_t never_confirmed = UINT32_MAX;

std::uint64_t milliseconds_between(tenancy::instant from, tenancy::instant to)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(to - from).count());
}

}  // namespace

lease_keeper::lease_keeper(async_http::asio::io_context& context, store::MetadataStore& store,
                           store::PrefixMirror& configuration, tenancy::configuration_lease& lease,
                           event_log::EventLog& log, send_datagram send, std::function<void()> on_held,
                           std::uint64_t seed)
    : m_context(context),
      m_store(store),
      m_configuration(configuration),
      m_lease(lease),
      m_log(log),
      m_send(std::move(send)),
      m_on_held(std::move(on_held)),
      m_random(seed)
{
}

void lease_keeper::start(std::optional<milliseconds> length, const wire::Endpoint& self)
{
    if (!length)
    {
        return;
    }
    m_self = self;
    m_began = SteadyInstant();
    m_stamp_base = m_random.NextId();
    m_lease = tenancy::configuration_lease(*length);
    m_plan.emplace(*length, m_random.Uniform());
}

void lease_keeper::tick(const lease_peers& peers)
{
    if (!m_plan || m_lease.revision() == 0)
    {
        return;
    }
    instant now = SteadyInstant();
    tenancy::confirmation_targets due = m_plan->due({now, peers.m_part, m_lease.last_confirmed()});
    if (due.m_store && !m_asking_store)
    {
        const auto& items = m_configuration.items();
        if (!items.empty())
        {
            m_asking_store = true;
            async_http::asio::co_spawn(m_context,
                                       ask_store(items.begin()->first, items.begin()->second.revision),
                                       async_http::asio::detached);
        }
    }
    if (due.m_own_zone && !peers.m_own_zone.empty())
    {
        ask_peers(now, {peers.m_own_zone.front()});
    }
    if (due.m_other_zones)
    {
        ask_peers(now, widely(peers));
    }
    tell_changes(now);
}

std::vector<wire::Endpoint> lease_keeper::widely(const lease_peers& peers)
{
    std::vector<wire::Endpoint> asked = peers.m_own_zone;
    std::sample(peers.m_other_zones.begin(), peers.m_other_zones.end(), std::back_inserter(asked),
                foreign_peers, m_random.engine());
    return asked;
}

async_http::Task<void> lease_keeper::ask_store(std::string key, store::Revision revision)
{
    // A transaction without effect, on the condition that the revision is still the newest. Unlike a
    // watch's silence its answer is linearizable, and unlike a read it doesn't bring the whole text.
    store::Transaction transaction;
    transaction.conditions.push_back({std::move(key), revision});
    instant asked = SteadyInstant();
    ++m_stats.m_store_questions;
    store::StoreStatus status = co_await m_store.Commit(std::move(transaction));
    m_asking_store = false;
    bool answered = status == store::StoreStatus::kDone || status == store::StoreStatus::kConflict;
    m_plan->on_store_reply(answered);
    if (status == store::StoreStatus::kDone)
    {
        m_lease.confirm(asked, revision);
        tell_changes(SteadyInstant());
    }
    else if (status == store::StoreStatus::kConflict)
    {
        m_log.Write(Line("configuration_superseded").Number("revision", static_cast<std::int64_t>(revision)));
        m_configuration.Refresh();
    }
}

void lease_keeper::ask_peers(instant now, const std::vector<wire::Endpoint>& peers)
{
    aggregation::confirmation_question question;
    question.m_from = m_self;
    question.m_stamp = m_stamp_base + milliseconds_between(m_began, now);
    for (const wire::Endpoint& peer : peers)
    {
        ++m_stats.m_peer_questions;
        m_send(peer, question);
    }
}

void lease_keeper::on_store_back()
{
    if (m_plan)
    {
        m_plan->on_store_recovered();
    }
}

void lease_keeper::on_question(const aggregation::confirmation_question& question)
{
    aggregation::confirmation_answer answer;
    answer.m_stamp = question.m_stamp;
    answer.m_revision = m_lease.revision();
    answer.m_age_ms = never_confirmed;
    if (m_lease.last_confirmed())
    {
        // Rounded up: an age must never be told too low.
        std::uint64_t age = milliseconds_between(*m_lease.last_confirmed(), SteadyInstant()) + 1;
        answer.m_age_ms = static_cast<std::uint32_t>(std::min<std::uint64_t>(age, never_confirmed));
    }
    m_send(question.m_from, answer);
}

void lease_keeper::on_answer(const aggregation::confirmation_answer& answer)
{
    if (!m_plan)
    {
        return;
    }
    instant now = SteadyInstant();
    std::uint64_t asked = answer.m_stamp - m_stamp_base;
    if (asked > milliseconds_between(m_began, now))
    {
        return;  // An answer to a question of this address's earlier process.
    }
    ++m_stats.m_peer_answers;
    m_plan->on_peer_reply(now);
    if (answer.m_age_ms != never_confirmed)
    {
        instant confirmed = m_began + milliseconds(asked) - milliseconds(answer.m_age_ms);
        m_lease.confirm(confirmed, answer.m_revision);
        tell_changes(now);
    }
}

void lease_keeper::tell_changes(instant now)
{
    bool holds = m_lease.is_valid(now);
    if (holds == m_held)
    {
        return;
    }
    m_held = holds;
    std::int64_t age = m_lease.last_confirmed()
                           ? static_cast<std::int64_t>(milliseconds_between(*m_lease.last_confirmed(), now))
                           : -1;
    m_log.Write(Line(holds ? "configuration_lease_held" : "configuration_lease_lost")
                    .Number("revision", static_cast<std::int64_t>(m_lease.revision()))
                    .Number("confirmed_ms_ago", age));
    if (holds)
    {
        m_on_held();
    }
}

}  // namespace martenyard::roles
