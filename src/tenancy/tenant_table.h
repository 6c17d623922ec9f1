// Finds the tenant of a request by its API key. Decision code: no I/O, no clock.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "tenancy/tenant.h"

namespace martenyard::tenancy
{

/// @brief what became of a request at the check of its key
enum class key_verdict
{
    /// the request may go on, for `key_check::m_tenant` if that is set
    allowed,
    /// it names no key, an empty one, or several
    missing,
    /// no tenant has its key
    unknown,
};

struct key_check
{
    key_verdict m_verdict = key_verdict::allowed;
    /// null on routes that need no key, and where there are no tenants
    const tenant* m_tenant = nullptr;
};

/// @brief an immutable index over the tenants of one version of the configuration
class tenant_table
{
  public:
    /// no tenants: requests need no key
    tenant_table() = default;

    /// Tenants without a name and keys that two tenants claim are left out; `faults` tells of them.
    explicit tenant_table(std::vector<tenant> tenants);

    /// @param[in] keys  the values of all key headers of the request
    /// @param[in] is_public  the route needs no key
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
    /// what is wrong with the tenants, one sentence each, without any key
    const std::vector<std::string>& faults() const
    {
        return m_faults;
    }

  private:
    std::vector<tenant> m_tenants;
    /// into `m_tenants`
    absl::flat_hash_map<key_hash, std::size_t> m_by_key;
    std::vector<std::string> m_faults;
};

}  // namespace martenyard::tenancy
