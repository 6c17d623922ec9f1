// Checks requests against the tenants' quotas, which are counted by the ledger groups. Concurrent requests of
// one tenant are sent as one batch.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "async_http/task.h"
#include "tenancy/rate_limiter.h"
#include "turn_ledger/ledger_client.h"

namespace martenyard::forwarding
{

/// @brief result of a quota check
enum class quota_verdict
{
    granted,
    refused,
    /// no reply before the deadline
    unknown,
};

struct quota_decision
{
    quota_verdict m_verdict = quota_verdict::unknown;
    /// delay before a granted request may continue
    std::chrono::milliseconds m_wait{0};
    /// delay before a refused request may be retried
    std::chrono::milliseconds m_retry_after{0};
};

/// @brief not thread-safe: for the event loop's thread only
class quota_client
{
  public:
    /// @param[in] ledger  must outlive the client
    /// @param[in] bounds  accuracy of the rate limits
    /// @param[in] gateway_count  returns the current number of gateways
    /// @param[in] overloaded  returns whether a service of this gateway is overloaded
    quota_client(async_http::asio::io_context& context, turn_ledger::LedgerClient& ledger,
                 const tenancy::quota_bounds& bounds, std::function<std::uint32_t()> gateway_count,
                 std::function<bool()> overloaded);

    /// @brief checks one request against the quota of its tenant
    /// @param[in] version  version of the configuration that `tenant` is from
    /// @param[in] program  hash of the program id, 0 for requests outside of programs
    async_http::Task<quota_decision> admit(const tenancy::tenant& tenant, std::uint64_t version,
                                           std::uint64_t program, absl::Time deadline);

    /// @return number of decisions by the local limiter
    std::uint64_t local_decisions() const
    {
        return m_local_decisions;
    }

    /// @return number of batches sent to the ledger
    std::uint64_t batches_sent() const
    {
        return m_batches_sent;
    }

    /// @return number of batches that reported an overload
    std::uint64_t overloaded_batches_sent() const
    {
        return m_overloaded_batches_sent;
    }

  private:
    /// a request that waits for its decision
    struct pending_request
    {
        explicit pending_request(async_http::asio::io_context& context) : m_decided(context)
        {
        }
        async_http::Signal m_decided;
        std::uint64_t m_program = 0;
        absl::Time m_deadline;
        bool m_done = false;
        quota_decision m_decision;
    };

    /// the pending requests of one tenant
    struct tenant_queue
    {
        tenancy::rate_limit m_limit;
        std::uint64_t m_version = 0;
        std::deque<std::shared_ptr<pending_request>> m_pending;
        bool m_sending = false;
    };

    async_http::Task<void> send_batches(std::string tenant);
    async_http::Task<void> send_batch(std::string tenant);

    /// @return whether this gateway is overloaded, or was a moment ago
    bool recently_overloaded(tenancy::instant now);

    /// @brief decides by this gateway's share of the limit, for ledger leaders of builds without quotas
    tenancy::quota_reply decide_locally(tenancy::quota_request request);

    async_http::asio::io_context& m_context;
    turn_ledger::LedgerClient& m_ledger;
    std::function<std::uint32_t()> m_gateway_count;
    std::function<bool()> m_overloaded;
    std::optional<tenancy::instant> m_last_overloaded;
    std::chrono::milliseconds m_window;
    tenancy::rate_limiter m_local_limiter;
    tenancy::instant m_local_last_used;
    std::uint64_t m_local_decisions = 0;
    absl::flat_hash_map<std::string, std::unique_ptr<tenant_queue>> m_queues;
    std::uint64_t m_batches_sent = 0;
    std::uint64_t m_overloaded_batches_sent = 0;
};

}  // namespace martenyard::forwarding
