// Counts the requests of tenants against their limits, in one place for all gateways. Decision code: no
// I/O, no clock.
//
// For each tenant one process at a time keeps the token buckets: the leader of the ledger group that the
// tenant is hashed to, for as long as its lease of leadership holds. They are in memory only. A new leader
// begins with little: whatever the one before it gave out, the sum in a window stays within the bound.
//
// The bound leaves room beyond rate and burst: `overage` and `slack` of quota_bounds. Most of it is for
// uneven arrivals, some for a change of leaders, and some for requests that are on their way to a runner for
// a while after they were let in.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "tenancy/bounds.h"
#include "tenancy/configuration_lease.h"
#include "tenancy/tenant.h"

namespace martenyard::tenancy
{

/// @brief a gateway asks to let requests of a tenant in
struct quota_request
{
    std::string m_tenant;
    /// as the gateway's configuration has it
    rate_limit m_limit;
    /// of that configuration; the newest limit heard of counts
    std::uint64_t m_version = 0;
    /// one entry a request: a hash of its program's id, 0 outside programs
    std::vector<std::uint64_t> m_programs;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_tenant, m_limit, m_version, m_programs);
    }
};

/// @brief the answer
struct quota_answer
{
    /// one entry a request: milliseconds after which it may go on, or `refused`
    std::vector<std::int32_t> m_waits_ms;
    /// when a refused request may come back
    std::uint32_t m_retry_after_ms = 0;

    static constexpr std::int32_t refused = -1;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_waits_ms, m_retry_after_ms);
    }
};

/// @brief named knobs
struct rate_limiter_options
{
    /// a request beyond the limit waits this long at most, so that some that come close together are not
    /// told to come back: about what a client's coming back costs
    std::chrono::milliseconds m_longest_wait{250};
    /// programs that nothing was heard of for this long are over: pauses and calls of tools take less
    std::chrono::milliseconds m_program_lifetime{6000};
    /// before a new limiter tells new programs from those under way
    std::chrono::milliseconds m_learning{4000};
    /// requests that a program makes, until programs that ended tell it: 5 turns and 7 calls of tools
    double m_requests_per_program = 12;
    /// weight of the last program that ended in the mean
    double m_learning_rate = 0.02;
    /// new programs may need this much of the rate at once, on top of the capacity
    std::chrono::milliseconds m_program_burst{1000};
    /// the least programs at once that a tenant may begin, however many requests each makes
    double m_least_programs = 4;
    /// whether new programs wait while those under way need the limit
    bool m_guards_programs = true;
    /// programs remembered for a tenant; more are not told from new ones
    std::size_t m_most_programs = 4000;
};

class rate_limiter
{
  public:
    explicit rate_limiter(const quota_bounds& bounds, const rate_limiter_options& options = {});

    /// @brief begins anew: another process may have counted until now
    void reset(instant now);

    /// @brief decides about requests, in their order
    quota_answer take(instant now, const quota_request& request);

    /// @return tenants that were heard of
    std::size_t tenants() const
    {
        return m_accounts.size();
    }

  private:
    struct program
    {
        instant m_last;
        std::uint32_t m_requests = 0;
    };

    struct account
    {
        rate_limit m_limit;
        std::uint64_t m_version = 0;
        instant m_filled;
        /// requests that may be let in now; negative: promised to those that wait
        double m_level = 0;
        /// the same for requests that new programs will make
        double m_program_level = 0;
        double m_requests_per_program = 0;
        instant m_pruned;
        absl::flat_hash_map<std::uint64_t, program> m_programs;
    };

    /// @return requests in a window that the bound allows beyond rate and burst
    double room(const rate_limit& limit) const;
    double capacity(const rate_limit& limit) const;
    double program_capacity(const account& of) const;
    account& find(instant now, const quota_request& request);
    void fill(instant now, account& of) const;
    void prune(instant now, account& of) const;
    bool begins_program(instant now, const account& of, std::uint64_t program) const;
    std::int32_t take_one(instant now, account& of, std::uint64_t program) const;

    quota_bounds m_bounds;
    rate_limiter_options m_options;
    instant m_reset;
    absl::flat_hash_map<std::string, account> m_accounts;
};

}  // namespace martenyard::tenancy
