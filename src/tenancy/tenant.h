// Tenants: who may send requests with which API keys, and how many.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "tenancy/key_hasher.h"

namespace martenyard::tenancy
{

/// @brief how many requests a tenant may make, over all gateways together
struct rate_limit
{
    /// requests a second; 0: no limit
    double m_rate = 0;
    /// requests on top of that at one moment
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

/// @brief a tenant as one version of the configuration has it
struct tenant
{
    std::string m_name;
    std::vector<key_hash> m_keys;
    /// 0 is the most urgent; comes before a route's own priority
    int m_priority = 0;
    rate_limit m_limit;
};

/// @brief makes an id that a client chose unique over all tenants: equal ids of two tenants never meet
/// @param[in] tenant_name  empty where there are no tenants: the id stays as it is
inline std::string scoped_id(absl::string_view tenant_name, absl::string_view id)
{
    // A control character, which stands in no header: no name and id read as another pair.
    constexpr char separator = '\x1f';
    if (tenant_name.empty())
    {
        return std::string(id);
    }
    std::string scoped(tenant_name);
    scoped.push_back(separator);
    scoped.append(id.data(), id.size());
    return scoped;
}

}  // namespace martenyard::tenancy
