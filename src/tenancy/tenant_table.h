// Looks up the tenant of a request by its API key. Decision logic: no I/O, no clock.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "tenancy/tenant.h"

namespace martenyard::tenancy
{

/// @brief result of checking a request's API key
enum class key_verdict
{
    /// the request is admitted, for `key_check::m_tenant` if that is set
    allowed,
    /// it has no key, an empty one, or several
    missing,
    /// the key belongs to no tenant
    unknown,
};

struct key_check
{
    key_verdict m_verdict = key_verdict::allowed;
    /// null if the route needs no key or there are no tenants
    const tenant* m_tenant = nullptr;
};

/// @brief an immutable index of the tenants in one version of the configuration
class tenant_table
{
  public:
    /// an empty table; requests need no key
    tenant_table() = default;

    /// Skips unnamed and repeated tenants and keys of more than one tenant, and reports them in `errors`.
    explicit tenant_table(std::vector<tenant> tenants);

    /// @param[in] keys       the values of all key headers of the request
    /// @param[in] is_public  whether the route needs no key
    key_check check(const std::vector<absl::string_view>& keys, bool is_public,
                    const key_hasher& hasher) const;

    bool empty() const
    {
        return m_tenants.empty();
    }
    const std::vector<tenant>& tenants() const
    {
        return m_tenants;
    }
    /// @return one message per configuration error, without any key
    const std::vector<std::string>& errors() const
    {
        return m_errors;
    }

  private:
    std::vector<tenant> m_tenants;
    /// index into `m_tenants`
    absl::flat_hash_map<key_hash, std::size_t> m_by_key;
    std::vector<std::string> m_errors;
};

}  // namespace martenyard::tenancy
