#include "roles/exchange/storage_link.h"

#include <utility>

namespace martenyard::roles
{

using aggregation::datagram;

storage_link::storage_link(const RoleSettings& settings, const mirror_list& mirrors, send_datagram send,
                           event_log::EventLog& log, const storage_link_options& options)
    : m_settings(settings), m_mirrors(mirrors), m_send(std::move(send)), m_log(log), m_options(options)
{
}

void storage_link::start(instant now, aggregation::contact self)
{
    m_started_at = now;
    m_self = std::move(self);
}

void storage_link::set_machines(std::vector<turn_ledger::Machine> machines)
{
    m_machines = std::move(machines);
}

void storage_link::announce(instant now, const aggregation::slot_table& slots)
{
    aggregation::mirror_revisions revisions = last_revisions(m_mirrors);
    if (revisions == m_announced && now - m_announced_at < m_options.m_announce_interval)
    {
        return;
    }
    m_announced = revisions;
    m_announced_at = now;
    aggregation::digest announcement;
    announcement.m_from = m_self;
    announcement.m_revisions = revisions;
    const datagram message(std::move(announcement));
    for (const turn_ledger::Machine& machine : m_machines)
    {
        if (aggregation::announcing_zone(slots, machine.name, machine.zone.value) == m_self.m_zone)
        {
            m_send(machine.endpoint, message);
        }
    }
}

void storage_link::request_missing(instant now, bool all_mirrors, bool receives_copy)
{
    bool due = now - m_started_at >= m_options.m_request_delay &&
               now - m_requested_at >= m_options.m_request_interval;
    if (!due || m_settings.first_start || m_settings.seeds.empty())
    {
        return;
    }
    const wire::Endpoint& seed = m_settings.seeds[m_next_seed % m_settings.seeds.size()];
    std::int64_t requested = 0;
    for (std::size_t index = 0; index < m_mirrors.size(); ++index)
    {
        // Only few gateways request all mirrors; the aggregators push them to the others.
        bool needed = all_mirrors || index + 1 == m_mirrors.size();
        bool arrives = receives_copy && index == aggregation::runners_mirror;
        if (needed && !arrives && !m_mirrors[index]->complete())
        {
            ++requested;
            m_send(seed,
                   store::news_request{static_cast<std::uint8_t>(index), m_mirrors[index]->last_change(),
                                       m_self.m_endpoint.address, m_self.m_endpoint.port});
        }
    }
    if (requested > 0)
    {
        m_requested_at = now;
        ++m_next_seed;
        m_log.Write(
            event_log::Line("storage_asked").Text("machine", seed.ToString()).Number("copies", requested));
    }
}

}  // namespace martenyard::roles
