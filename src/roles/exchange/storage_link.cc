#include "roles/exchange/storage_link.h"

#include <utility>

namespace martenyard::roles
{

using aggregation::datagram;

storage_link::storage_link(const RoleSettings& settings, const followed_copies& copies, send_datagram send,
                           event_log::EventLog& log, const storage_link_options& options)
    : m_settings(settings), m_copies(copies), m_send(std::move(send)), m_log(log), m_options(options)
{
}

void storage_link::start(instant now, aggregation::contact self)
{
    m_began = now;
    m_self = std::move(self);
}

void storage_link::set_machines(std::vector<turn_ledger::Machine> machines)
{
    m_machines = std::move(machines);
}

void storage_link::tell(instant now, const aggregation::slot_table& slots)
{
    aggregation::known_changes known = last_changes(m_copies);
    if (known == m_told && now - m_told_at < m_options.m_tell_interval)
    {
        return;
    }
    m_told = known;
    m_told_at = now;
    aggregation::digest told;
    told.m_from = m_self;
    told.m_changes = known;
    const datagram message(std::move(told));
    for (const turn_ledger::Machine& machine : m_machines)
    {
        if (aggregation::teller_zone(slots, machine.name, machine.zone.value) == m_self.m_zone)
        {
            m_send(machine.endpoint, message);
        }
    }
}

void storage_link::ask(instant now, bool everything)
{
    bool due = now - m_began >= m_options.m_ask_after && now - m_asked_at >= m_options.m_ask_again;
    if (!due || m_settings.first_start || m_settings.seeds.empty())
    {
        return;
    }
    const wire::Endpoint& seed = m_settings.seeds[m_next_seed % m_settings.seeds.size()];
    std::int64_t asked = 0;
    for (std::size_t copy = 0; copy < m_copies.size(); ++copy)
    {
        // Everything goes to few: the zone's aggregators tell the others.
        bool wanted = everything || copy + 1 == m_copies.size();
        if (wanted && !m_copies[copy]->complete())
        {
            ++asked;
            m_send(seed, store::news_request{static_cast<std::uint8_t>(copy), m_copies[copy]->last_change(),
                                             m_self.m_endpoint.address, m_self.m_endpoint.port});
        }
    }
    if (asked > 0)
    {
        m_asked_at = now;
        ++m_next_seed;
        m_log.Write(
            event_log::Line("storage_asked").Text("machine", seed.ToString()).Number("copies", asked));
    }
}

}  // namespace martenyard::roles
