#include "forwarding/slow_start/slow_start_limiter.h"

#include <algorithm>

#include "base/clock.h"
#include "tenancy/rate_limiter.h"

namespace martenyard::forwarding
{

slow_start_limiter::slow_start_limiter(quota_client& quotas, const slow_start_options& options)
    : m_quotas(quotas), m_options(options)
{
}

async_http::Task<slow_start_permit> slow_start_limiter::request_permit(const discovery::RunnerId& runner,
                                                                       double rate, std::uint64_t version,
                                                                       absl::Time deadline)
{
    tenancy::tenant limited;
    limited.m_name = tenancy::runner_limit_key(runner.value);
    limited.m_limit.m_rate = rate * m_options.m_rate_share;
    absl::Time requested_at = SteadyNow();
    absl::Time timeout = std::min(deadline, requested_at + m_options.m_timeout);
    quota_decision decision = co_await m_quotas.admit(limited, version, /*program=*/0, timeout);
    slow_start_permit permit;
    switch (decision.m_verdict)
    {
        case quota_verdict::granted:
            permit.m_verdict = permit_verdict::granted;
            permit.m_send_before = requested_at + m_options.m_validity;
            break;
        case quota_verdict::refused:
            permit.m_verdict = permit_verdict::refused;
            permit.m_retry_after = absl::FromChrono(decision.m_retry_after);
            break;
        case quota_verdict::unknown:
            permit.m_retry_after = m_options.m_retry_after_timeout;
            break;
    }
    co_return permit;
}

}  // namespace martenyard::forwarding
