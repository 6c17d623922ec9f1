// Tenants, their API keys and their rate limits.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "tenancy/key_hasher.h"

namespace martenyard::tenancy
{

/// @brief token bucket parameters of a tenant, over all gateways
struct rate_limit
{
    /// requests per second; 0: no limit
    double m_rate = 0;
    /// requests beyond the rate that may come at once
    double m_burst = 0;

    bool limited() const
    {
        return m_rate > 0;
    }

    friend bool operator==(const rate_limit&, const rate_limit&) = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_rate, m_burst);
    }
};

/// @brief a tenant in one version of the configuration
struct tenant
{
    std::string m_name;
    std::vector<key_hash> m_keys;
    /// 0 is the most urgent; compared before the priority of the route
    int m_priority = 0;
    rate_limit m_limit;
    /// regions in which its requests may be processed and stored; empty: all
    std::set<std::string> m_allowed_regions;
};

/// between a tenant's name and an id; a control character can't be in a header, so that it is unambiguous
inline constexpr char scope_separator = '\x1f';

/// @brief makes an id chosen by a client unique over all tenants
/// @param[in] tenant_name  empty if there are no tenants; the id is then unchanged
inline std::string scoped_id(absl::string_view tenant_name, absl::string_view id)
{
    if (tenant_name.empty())
    {
        return std::string(id);
    }
    std::string scoped(tenant_name);
    scoped.push_back(scope_separator);
    scoped.append(id.data(), id.size());
    return scoped;
}

/// @return the id that the client chose, without the tenant's name
inline std::string unscoped_id(absl::string_view scoped)
{
    return std::string(scoped.substr(scoped.rfind(scope_separator) + 1));
}

}  // namespace martenyard::tenancy
