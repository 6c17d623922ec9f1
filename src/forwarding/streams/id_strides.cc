#include "forwarding/streams/id_strides.h"

namespace martenyard::forwarding
{

void id_strides::record(const turn_ledger::stream_origin& origin, std::uint64_t stride)
{
    if (m_strides.size() >= max_origins && !m_strides.contains(origin))
    {
        m_strides.clear();
    }
    auto [known, is_new] = m_strides.try_emplace(origin, stride);
    if (!is_new && known->second != stride)
    {
        known->second = 0;
    }
}

std::uint64_t id_strides::stride_of(const turn_ledger::stream_origin& origin) const
{
    auto known = m_strides.find(origin);
    if (known != m_strides.end())
    {
        return known->second;
    }
    std::uint64_t shared = 0;
    for (auto other = m_strides.lower_bound({origin.m_service, ""});
         other != m_strides.end() && other->first.m_service == origin.m_service; ++other)
    {
        if (other->second == 0 || (shared != 0 && other->second != shared))
        {
            return 0;
        }
        shared = other->second;
    }
    return shared;
}

}  // namespace martenyard::forwarding
