#include "tenancy/tenant_table.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"

namespace martenyard::tenancy
{

tenant_table::tenant_table(std::vector<tenant> tenants)
{
    std::set<std::string> names;
    for (tenant& candidate : tenants)
    {
        if (candidate.m_name.empty())
        {
            m_errors.emplace_back("a tenant has no name");
        }
        else if (!names.insert(candidate.m_name).second)
        {
            m_errors.push_back(absl::StrCat("tenant ", candidate.m_name, " is listed twice"));
        }
        else
        {
            m_tenants.push_back(std::move(candidate));
        }
    }
    std::vector<key_hash> shared_keys;
    for (std::size_t index = 0; index < m_tenants.size(); ++index)
    {
        for (const key_hash& key : m_tenants[index].m_keys)
        {
            auto [known, added] = m_by_key.emplace(key, index);
            if (!added && known->second != index)
            {
                shared_keys.push_back(key);
                m_errors.push_back(absl::StrCat("tenants ", m_tenants[known->second].m_name, " and ",
                                                m_tenants[index].m_name, " claim the same key"));
            }
        }
    }
    // A key of several tenants identifies none of them, so it is valid for none.
    for (const key_hash& key : shared_keys)
    {
        m_by_key.erase(key);
    }
}

key_check tenant_table::check(const std::vector<absl::string_view>& keys, bool is_public,
                              const key_hasher& hasher) const
{
    if (m_tenants.empty())
    {
        return {};
    }
    bool has_one_key = keys.size() == 1 && !keys.front().empty();
    auto known = has_one_key ? m_by_key.find(hasher.hash(keys.front())) : m_by_key.end();
    if (known != m_by_key.end())
    {
        return {key_verdict::allowed, &m_tenants[known->second]};
    }
    if (is_public)
    {
        return {};
    }
    return {has_one_key ? key_verdict::unknown : key_verdict::missing, nullptr};
}

}  // namespace martenyard::tenancy
