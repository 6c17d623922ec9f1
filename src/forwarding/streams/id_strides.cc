#include "forwarding/streams/id_strides.h"

namespace martenyard::forwarding
{

void id_strides::record(const ServiceName& service, std::uint64_t stride)
{
    if (m_strides.size() >= max_services && !m_strides.contains(service))
    {
        m_strides.clear();
    }
    auto [known, is_new] = m_strides.try_emplace(service, stride);
    if (!is_new && known->second != stride)
    {
        known->second = 0;
    }
}

std::uint64_t id_strides::stride_of(const ServiceName& service) const
{
    auto known = m_strides.find(service);
    return known == m_strides.end() ? 0 : known->second;
}

}  // namespace martenyard::forwarding
