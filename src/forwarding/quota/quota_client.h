// A gateway's way to the tenants' limits: asks whoever counts the requests of a tenant, and puts requests of
// one tenant that come together into one question.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "async_http/task.h"
#include "tenancy/rate_limiter.h"
#include "turn_ledger/ledger_client.h"

namespace martenyard::forwarding
{

/// @brief whether a request is within its tenant's limit
enum class quota_verdict
{
    granted,
    refused,
    /// nobody answered in time
    unknown,
};

struct quota_decision
{
    quota_verdict m_verdict = quota_verdict::unknown;
    /// the request may go on after this time
    std::chrono::milliseconds m_wait{0};
    /// a refused one may come back after this time
    std::chrono::milliseconds m_retry_after{0};
};

/// @brief on the loop's thread only
class quota_client
{
  public:
    /// @param[in] ledger  must outlive the client
    /// @param[in] bounds  how exactly limits hold
    /// @param[in] gateways  tells how many gateways there are
    quota_client(async_http::asio::io_context& context, turn_ledger::LedgerClient& ledger,
                 const tenancy::quota_bounds& bounds, std::function<std::uint32_t()> gateways);

    /// @brief asks whether one request of a tenant may go on
    /// @param[in] version  of the configuration that has the tenant
    /// @param[in] program  a hash of the program's id, 0 outside programs
    async_http::Task<quota_decision> admit(const tenancy::tenant& tenant, std::uint64_t version,
                                           std::uint64_t program, absl::Time deadline);

    /// @return decisions by this gateway's own share of a limit
    std::uint64_t own_decisions() const
    {
        return m_own_decisions;
    }

    /// @return questions asked since the start
    std::uint64_t questions() const
    {
        return m_questions;
    }

  private:
    /// A request that waits for its decision.
    struct waiting
    {
        explicit waiting(async_http::asio::io_context& context) : m_decided(context)
        {
        }
        async_http::Signal m_decided;
        std::uint64_t m_program = 0;
        absl::Time m_deadline;
        bool m_done = false;
        quota_decision m_decision;
    };

    /// Of one tenant.
    struct queue
    {
        tenancy::rate_limit m_limit;
        std::uint64_t m_version = 0;
        std::deque<std::shared_ptr<waiting>> m_waiting;
        bool m_asking = false;
    };

    async_http::Task<void> ask(std::string tenant);
    async_http::Task<void> ask_once(std::string tenant);

    /// @brief decides by this gateway's share of the limit: nobody counts for all gateways while a ledger
    ///        leads whose build has no limits
    tenancy::quota_reply take_own_share(tenancy::quota_request request);

    async_http::asio::io_context& m_context;
    turn_ledger::LedgerClient& m_ledger;
    std::function<std::uint32_t()> m_gateways;
    std::chrono::milliseconds m_window;
    tenancy::rate_limiter m_own_share;
    tenancy::instant m_own_used;
    std::uint64_t m_own_decisions = 0;
    absl::flat_hash_map<std::string, std::unique_ptr<queue>> m_queues;
    std::uint64_t m_questions = 0;
};

}  // namespace martenyard::forwarding
