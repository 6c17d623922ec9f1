// Token-bucket rate limiter for tenants, central for all gateways. Decision logic: no I/O, no clock.
//
// The buckets of a tenant are kept by one process at a time: the leader of the ledger group that the tenant
// is hashed to, while it holds its leader lease. They are in memory only. A new leader starts with nearly
// empty buckets, so that the sum in a window stays within the bound whatever its predecessor granted.
//
// The bound leaves headroom beyond rate and burst: `m_overage` and `m_slack` of quota_bounds. Most of it is
// for uneven arrivals, some for changes of leader, and some for requests that reach a runner some time after
// they were admitted.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/match.h"
#include "absl/strings/string_view.h"
#include "tenancy/bounds.h"
#include "tenancy/configuration_lease.h"
#include "tenancy/program_rates.h"
#include "tenancy/tenant.h"
#include "wire/layout.h"

namespace martenyard::tenancy
{

/// @return the key under which the requests to a cold runner are counted, distinct from all tenants' names
inline std::string runner_limit_key(absl::string_view runner)
{
    return scoped_id("runner", runner);
}

/// @brief whether `key` is a @ref runner_limit_key
inline bool is_runner_limit_key(absl::string_view key)
{
    return absl::StartsWith(key, scoped_id("runner", ""));
}

/// @brief a gateway's request to admit requests of a tenant, or requests to a cold runner
struct quota_request
{
    /// the tenant's name, or a @ref runner_limit_key
    std::string m_tenant;
    /// from the gateway's configuration
    rate_limit m_limit;
    /// version of that configuration; the limit of the newest version applies
    std::uint64_t m_version = 0;
    /// one entry per request: a hash of its program's id, 0 outside programs
    std::vector<std::uint64_t> m_programs;
    /// the gateway is overloaded: new programs of a tenant far above its usual rate are refused
    bool m_overloaded = false;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_tenant, m_limit, m_version, m_programs);
        if (wire::HasLayout(archive, wire::Layout::kMarked4))
        {
            archive(m_overloaded);
        }
    }
};

/// @brief the reply to a quota_request
struct quota_reply
{
    /// one entry per request: milliseconds after which it may proceed, or `refused`
    std::vector<std::int32_t> m_waits_ms;
    /// delay after which a refused request may be retried
    std::uint32_t m_retry_after_ms = 0;

    static constexpr std::int32_t refused = -1;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_waits_ms, m_retry_after_ms);
    }
};

/// @brief tuning parameters
struct rate_limiter_options
{
    /// how long a request beyond the limit may be delayed instead of refused; about the cost of a retry
    std::chrono::milliseconds m_max_wait{250};
    /// a program without requests for this long has ended; pauses and tool calls take less
    std::chrono::milliseconds m_program_timeout{6000};
    /// time until a new limiter can tell new programs from running ones
    std::chrono::milliseconds m_warmup{4000};
    /// initial estimate of the requests of a program: 5 turns and 7 tool calls
    double m_requests_per_program = 12;
    /// weight of the latest ended program in the moving average of requests per program
    double m_mean_weight = 0.02;
    /// new programs may take the rate of this period at once, on top of the capacity
    std::chrono::milliseconds m_program_burst{1000};
    /// programs that a tenant may start at once, at least, however many requests each makes
    double m_min_programs = 4;
    /// whether new programs are refused while running ones need the limit
    bool m_protect_programs = true;
    /// programs tracked per tenant; further ones are not told from new ones
    std::size_t m_max_programs = 4000;
    /// buckets without requests for this long are removed; zero: never
    std::chrono::milliseconds m_idle_timeout{0};
    /// usual rates of new programs
    program_rates_options m_rates;
};

class rate_limiter
{
  public:
    explicit rate_limiter(const quota_bounds& bounds, const rate_limiter_options& options = {});

    /// @brief discards all buckets, since another process may have granted requests until now
    void reset(instant now);

    /// @brief decides on requests in their order
    quota_reply take(instant now, const quota_request& request);

    /// @return the number of requests refused because their tenant exceeded its share under overload
    std::uint64_t share_refusals() const
    {
        return m_share_refusals;
    }

    /// @return the number of tenants or runners with a bucket
    std::size_t tenants() const
    {
        return m_buckets.size();
    }

  private:
    struct program
    {
        instant m_last;
        std::uint32_t m_requests = 0;
    };

    struct tenant_bucket
    {
        rate_limit m_limit;
        std::uint64_t m_version = 0;
        instant m_last_refill;
        /// requests that may be admitted now; negative if requests are delayed
        double m_tokens = 0;
        /// the same for the expected requests of new programs
        double m_program_tokens = 0;
        double m_requests_per_program = 0;
        instant m_last_prune;
        absl::flat_hash_map<std::uint64_t, program> m_programs;
        program_rates m_rates;

        tenant_bucket(instant start, const program_rates_options& options) : m_rates(start, options)
        {
        }
    };

    /// @return requests beyond rate and burst that the bound allows in a window
    double headroom(const rate_limit& limit) const;
    double capacity(const rate_limit& limit) const;
    double program_capacity(const tenant_bucket& bucket) const;
    tenant_bucket& find_or_add(instant now, const quota_request& request);
    void refill(instant now, tenant_bucket& bucket) const;
    void prune(instant now, tenant_bucket& bucket) const;
    /// @brief removes idle buckets; a bucket that is added again is as full as an idle one
    void remove_idle(instant now);
    bool is_new_program(instant now, const tenant_bucket& bucket, std::uint64_t program) const;
    /// @return whether the usual rates are known
    bool knows_usual_rates(instant now) const;
    std::int32_t take_one(instant now, tenant_bucket& bucket, std::uint64_t program) const;
    /// @return whether the program is new and its tenant far above its usual rate
    bool exceeds_share(instant now, const tenant_bucket& bucket, std::uint64_t program) const;

    quota_bounds m_bounds;
    rate_limiter_options m_options;
    instant m_reset;
    instant m_idle_removed_at;
    std::uint64_t m_share_refusals = 0;
    absl::flat_hash_map<std::string, tenant_bucket> m_buckets;
};

}  // namespace martenyard::tenancy
