// Restricts a request to the regions that its route and its tenant allow. Decision logic: no I/O.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "base/ids.h"

namespace martenyard::forwarding
{

/// @brief the regions in which one request may be processed and its text stored
class region_restriction
{
  public:
    /// Unrestricted.
    region_restriction() = default;

    /// @param[in] route   regions allowed by the route; empty: all
    /// @param[in] tenant  regions allowed by the tenant; empty: all
    region_restriction(const std::set<std::string>& route, const std::set<std::string>& tenant)
        : m_route(route), m_tenant(tenant)
    {
    }

    /// @return whether some regions are not allowed
    bool restricted() const
    {
        return !m_route.empty() || !m_tenant.empty();
    }

    /// @param[in] region  empty if unknown
    bool allows(const std::string& region) const
    {
        return contains(m_route, region) && contains(m_tenant, region);
    }

    /// @brief whether the text may be stored on machines of any zone
    /// @param[in] regions  the region of each zone
    /// @param[in] own      the region of this gateway, which has received the text from the client
    bool allows_storing(const std::map<ZoneName, std::string>& regions, const std::string& own) const
    {
        auto may_store = [&](const auto& entry)
        {
            return entry.second == own || allows(entry.second);
        };
        return std::all_of(regions.begin(), regions.end(), may_store);
    }

  private:
    static bool contains(const std::set<std::string>& allowed, const std::string& region)
    {
        return allowed.empty() || allowed.contains(region);
    }

    std::set<std::string> m_route;
    std::set<std::string> m_tenant;
};

}  // namespace martenyard::forwarding
