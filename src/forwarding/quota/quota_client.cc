#include "forwarding/quota/quota_client.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace martenyard::forwarding
{

using async_http::Task;

namespace
{

/// Requests in one question: it and its answer stay below a packet.
constexpr std::size_t most_requests = 100;

/// The slack is for all gateways together, so none of it is one gateway's own.
tenancy::quota_bounds bounds_of_share(tenancy::quota_bounds bounds)
{
    bounds.m_slack = 0;
    return bounds;
}

}  // namespace

quota_client::quota_client(async_http::asio::io_context& context, turn_ledger::LedgerClient& ledger,
                           const tenancy::quota_bounds& bounds, std::function<std::uint32_t()> gateways)
    : m_context(context),
      m_ledger(ledger),
      m_gateways(std::move(gateways)),
      m_window(bounds.m_window),
      m_own_share(bounds_of_share(bounds))
{
}

tenancy::quota_reply quota_client::take_own_share(tenancy::quota_request request)
{
    tenancy::instant now = SteadyInstant();
    if (now - m_own_used > m_window)
    {
        m_own_share.reset(now);  // Somebody else counted until now, and may have let a burst in.
    }
    m_own_used = now;
    double gateways = std::max<std::uint32_t>(1, m_gateways());
    request.m_limit.m_rate /= gateways;
    request.m_limit.m_burst /= gateways;
    // The share changes with the number of gateways: the latest one counts.
    request.m_version = ++m_own_decisions;
    return m_own_share.take(now, request);
}

Task<quota_decision> quota_client::admit(const tenancy::tenant& tenant, std::uint64_t version,
                                         std::uint64_t program, absl::Time deadline)
{
    std::unique_ptr<queue>& of = m_queues[tenant.m_name];
    if (!of)
    {
        of = std::make_unique<queue>();
    }
    of->m_limit = version >= of->m_version ? tenant.m_limit : of->m_limit;
    of->m_version = std::max(of->m_version, version);
    auto request = std::make_shared<waiting>(m_context);
    request->m_program = program;
    request->m_deadline = deadline;
    of->m_waiting.push_back(request);
    if (!of->m_asking)
    {
        of->m_asking = true;
        async_http::asio::co_spawn(m_context, ask(tenant.m_name), async_http::asio::detached);
    }
    while (!request->m_done && SteadyNow() < deadline)
    {
        co_await request->m_decided.Wait(deadline - SteadyNow());
    }
    co_return request->m_decision;
}

Task<void> quota_client::ask(std::string tenant)
{
    while (!m_queues[tenant]->m_waiting.empty())
    {
        co_await ask_once(tenant);
    }
    // Nothing is kept of a tenant that is quiet: a configuration may have taken it away.
    m_queues.erase(tenant);
}

Task<void> quota_client::ask_once(std::string tenant)
{
    queue& of = *m_queues[tenant];
    std::vector<std::shared_ptr<waiting>> asked;
    tenancy::quota_request request{tenant, of.m_limit, of.m_version, {}};
    absl::Time deadline = absl::InfinitePast();
    while (!of.m_waiting.empty() && asked.size() < most_requests)
    {
        asked.push_back(std::move(of.m_waiting.front()));
        of.m_waiting.pop_front();
        request.m_programs.push_back(asked.back()->m_program);
        deadline = std::max(deadline, asked.back()->m_deadline);
    }
    ++m_questions;
    GroupId group = m_ledger.GroupOf(ProgramId(tenant));
    // Named, since GCC 12 destroys a braced temporary among a co_await's arguments twice.
    turn_ledger::Operation operation = turn_ledger::TakeQuota{request};
    turn_ledger::CallResult result = co_await m_ledger.Call(group, std::move(operation), deadline);
    if (result.end == turn_ledger::CallEnd::kUnsupported)
    {
        result->quota = take_own_share(std::move(request));
        result.end = turn_ledger::CallEnd::kDone;
    }
    const std::vector<std::int32_t>& waits = result->quota.m_waits_ms;
    for (std::size_t index = 0; index < asked.size(); ++index)
    {
        asked[index]->m_done = true;
        if (result && index < waits.size())
        {
            bool refused = waits[index] == tenancy::quota_reply::refused;
            asked[index]->m_decision = {refused ? quota_verdict::refused : quota_verdict::granted,
                                        std::chrono::milliseconds(std::max(waits[index], 0)),
                                        std::chrono::milliseconds(result->quota.m_retry_after_ms)};
        }
        asked[index]->m_decided.Notify();
    }
}

}  // namespace martenyard::forwarding
