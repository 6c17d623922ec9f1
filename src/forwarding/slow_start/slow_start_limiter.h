// Limits the requests that all gateways together send to a cold runner.
//
// The leader of a ledger group counts the requests of each cold runner that is hashed to the group,
// as it counts the requests of tenants: one process at a time under a leader lease, so a partition
// or a gateway that was suspended cannot raise the sum. Without a reply a cold runner gets no
// requests.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

#include "absl/time/time.h"
#include "async_http/task.h"
#include "discovery/runner.h"
#include "forwarding/quota/quota_client.h"

namespace martenyard::forwarding
{

/// @brief result of asking for a permit
enum class permit_verdict
{
    granted,
    /// the runner gets no requests for now
    refused,
    /// no reply: no cold runner gets requests for now
    unknown,
};

/// @brief permission to send one request to a cold runner
struct slow_start_permit
{
    permit_verdict m_verdict = permit_verdict::unknown;
    /// for a granted permit: the request must be sent before this time
    absl::Time m_send_before = absl::InfiniteFuture();
    /// otherwise: delay before the next permit may be requested
    absl::Duration m_retry_after = absl::ZeroDuration();
};

/// @brief tuning parameters
struct slow_start_options
{
    /// time for the ledger to reply; another runner can usually take the request
    absl::Duration m_timeout = absl::Milliseconds(150);
    /// time from the request of a permit until it expires; a suspended gateway must not use it
    /// afterwards
    absl::Duration m_validity = absl::Milliseconds(400);
    absl::Duration m_retry_after_timeout = absl::Milliseconds(300);
    /// share of a cold runner's rate that is granted; requests may arrive up to the validity later
    double m_rate_share = 0.9;
};

/// @brief not thread-safe: for the event loop's thread only
class slow_start_limiter
{
  public:
    /// @param[in] quotas  must outlive the limiter
    explicit slow_start_limiter(quota_client& quotas, const slow_start_options& options = {});

    /// @brief requests a permit for one request
    /// @param[in] rate      requests per second that the runner bears while cold
    /// @param[in] version   version of the configuration that `rate` is from
    /// @param[in] deadline  of the request
    async_http::Task<slow_start_permit> request_permit(const discovery::RunnerId& runner, double rate,
                                                       std::uint64_t version, absl::Time deadline);

  private:
    quota_client& m_quotas;
    slow_start_options m_options;
};

}  // namespace martenyard::forwarding
