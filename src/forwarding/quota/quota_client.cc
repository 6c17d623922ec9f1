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

/// limit that keeps the frames of a batch and its reply within one packet
constexpr std::size_t max_batch_size = 100;

/// Near its limit the load of a service varies around it. Without the hold, the room that falls free between
/// two overloads would go to the tenant with the most requests.
constexpr std::chrono::milliseconds overload_hold{1000};

/// The slack is shared by all gateways, so the local limiter of one gateway gets none.
tenancy::quota_bounds without_slack(tenancy::quota_bounds bounds)
{
    bounds.m_slack = 0;
    return bounds;
}

}  // namespace

quota_client::quota_client(async_http::asio::io_context& context, turn_ledger::LedgerClient& ledger,
                           const tenancy::quota_bounds& bounds, std::function<std::uint32_t()> gateway_count,
                           std::function<bool()> overloaded)
    : m_context(context),
      m_ledger(ledger),
      m_gateway_count(std::move(gateway_count)),
      m_overloaded(std::move(overloaded)),
      m_window(bounds.m_window),
      m_local_limiter(without_slack(bounds))
{
}

bool quota_client::recently_overloaded(tenancy::instant now)
{
    if (m_overloaded())
    {
        m_last_overloaded = now;
    }
    return m_last_overloaded && now - *m_last_overloaded < overload_hold;
}

tenancy::quota_reply quota_client::decide_locally(tenancy::quota_request request)
{
    tenancy::instant now = SteadyInstant();
    if (now - m_local_last_used > m_window)
    {
        m_local_limiter.reset(now);  // The ledger has counted since and may have granted the burst.
    }
    m_local_last_used = now;
    double gateway_count = std::max<std::uint32_t>(1, m_gateway_count());
    request.m_limit.m_rate /= gateway_count;
    request.m_limit.m_burst /= gateway_count;
    // The usual rate is that of all gateways; one gateway's part of it is too uneven to compare with.
    request.m_overloaded = false;
    // A new version each time, since the share changes with the number of gateways.
    request.m_version = ++m_local_decisions;
    return m_local_limiter.take(now, request);
}

Task<quota_decision> quota_client::admit(const tenancy::tenant& tenant, std::uint64_t version,
                                         std::uint64_t program, absl::Time deadline)
{
    std::unique_ptr<tenant_queue>& queue = m_queues[tenant.m_name];
    if (!queue)
    {
        queue = std::make_unique<tenant_queue>();
    }
    queue->m_limit = version >= queue->m_version ? tenant.m_limit : queue->m_limit;
    queue->m_version = std::max(queue->m_version, version);
    auto request = std::make_shared<pending_request>(m_context);
    request->m_program = program;
    request->m_deadline = deadline;
    queue->m_pending.push_back(request);
    if (!queue->m_sending)
    {
        queue->m_sending = true;
        async_http::asio::co_spawn(m_context, send_batches(tenant.m_name), async_http::asio::detached);
    }
    while (!request->m_done && SteadyNow() < deadline)
    {
        co_await request->m_decided.Wait(deadline - SteadyNow());
    }
    co_return request->m_decision;
}

Task<void> quota_client::send_batches(std::string tenant)
{
    while (!m_queues[tenant]->m_pending.empty())
    {
        co_await send_batch(tenant);
    }
    // Idle tenants are removed, since a new configuration may no longer have them.
    m_queues.erase(tenant);
}

Task<void> quota_client::send_batch(std::string tenant)
{
    tenant_queue& queue = *m_queues[tenant];
    std::vector<std::shared_ptr<pending_request>> batch;
    tenancy::quota_request request{tenant, queue.m_limit, queue.m_version, {}};
    absl::Time deadline = absl::InfinitePast();
    while (!queue.m_pending.empty() && batch.size() < max_batch_size)
    {
        batch.push_back(std::move(queue.m_pending.front()));
        queue.m_pending.pop_front();
        request.m_programs.push_back(batch.back()->m_program);
        deadline = std::max(deadline, batch.back()->m_deadline);
    }
    request.m_overloaded = recently_overloaded(SteadyInstant());
    ++m_batches_sent;
    m_overloaded_batches_sent += request.m_overloaded ? 1 : 0;
    GroupId group = m_ledger.GroupOf(ProgramId(tenant));
    // A named variable, since GCC 12 destroys braced temporaries in co_await arguments twice.
    turn_ledger::Operation operation = turn_ledger::TakeQuota{request};
    turn_ledger::CallResult result = co_await m_ledger.Call(group, std::move(operation), deadline);
    if (result.status == turn_ledger::CallStatus::kUnsupported)
    {
        result->quota = decide_locally(std::move(request));
        result.status = turn_ledger::CallStatus::kDone;
    }
    const std::vector<std::int32_t>& waits = result->quota.m_waits_ms;
    for (std::size_t index = 0; index < batch.size(); ++index)
    {
        batch[index]->m_done = true;
        if (result && index < waits.size())
        {
            bool refused = waits[index] == tenancy::quota_reply::refused;
            batch[index]->m_decision = {refused ? quota_verdict::refused : quota_verdict::granted,
                                        std::chrono::milliseconds(std::max(waits[index], 0)),
                                        std::chrono::milliseconds(result->quota.m_retry_after_ms)};
        }
        batch[index]->m_decided.Notify();
    }
}

}  // namespace martenyard::forwarding
