#include "forwarding/streams/id_steps.h"

namespace martenyard::forwarding
{

void id_steps::note(const ServiceName& service, std::uint64_t step)
{
    if (m_steps.size() >= most_services && !m_steps.contains(service))
    {
        m_steps.clear();
    }
    auto [known, is_new] = m_steps.try_emplace(service, step);
    if (!is_new && known->second != step)
    {
        known->second = 0;
    }
}

std::uint64_t id_steps::step_of(const ServiceName& service) const
{
    auto known = m_steps.find(service);
    return known == m_steps.end() ? 0 : known->second;
}

}  // namespace martenyard::forwarding
