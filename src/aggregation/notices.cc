#include "aggregation/notices.h"

namespace martenyard::aggregation
{

std::vector<wire::Endpoint> notice_receivers(instant now, const aggregator& own, const slot_table& slots,
                                             const std::vector<std::string>& neighbor_cells,
                                             const runner_end_notice& notice)
{
    std::vector<wire::Endpoint> receivers;
    for (const auto& [name, gateway] : own.members())
    {
        if (own.is_live(now, gateway))
        {
            receivers.push_back(gateway.m_contact.m_endpoint);
        }
    }
    if (notice.m_hops >= max_notice_hops)
    {
        return receivers;
    }
    for (const std::string& cell : neighbor_cells)
    {
        for (const contact& holder : slot_holders(slots, cell))
        {
            receivers.push_back(holder.m_endpoint);
        }
    }
    return receivers;
}

}  // namespace martenyard::aggregation
