#include "roles/exchange/change_sender.h"

#include <utility>

#include "wire/codec.h"

namespace martenyard::roles
{

aggregation::mirror_revisions last_revisions(const mirror_list& mirrors)
{
    aggregation::mirror_revisions revisions{};
    for (std::size_t mirror = 0; mirror < mirrors.size(); ++mirror)
    {
        revisions[mirror] = mirrors[mirror]->last_change();
    }
    return revisions;
}

change_sender::change_sender(wire::Transport& transport, wire::Transport& bulk_transport,
                             const mirror_list& mirrors, std::function<turn_ledger::Machine()> self)
    : m_transport(transport), m_bulk_transport(bulk_transport), m_mirrors(mirrors), m_self(std::move(self))
{
}

send_result change_sender::send(const wire::Endpoint& to, std::size_t mirror, std::uint64_t from_revision)
{
    wire::Transport& transport = mirror == aggregation::runners_mirror ? m_bulk_transport : m_transport;
    if (transport.Unsent(to) > 0)
    {
        return send_result::pending;
    }
    const store::PrefixMirror& source = *m_mirrors[mirror];
    std::uint64_t to_revision = source.last_change();
    bool cached = m_cached && m_cached->m_mirror == mirror && m_cached->m_from_revision == from_revision &&
                  m_cached->m_to_revision == to_revision;
    if (!cached)
    {
        store::news_reply reply{static_cast<std::uint8_t>(mirror), source.ChangesSince(from_revision)};
        m_cached = encoded_delta{mirror, from_revision, to_revision,
                                 wire::Encode(turn_ledger::Envelope{m_self(), std::move(reply)})};
    }
    return transport.SendFrame(to, m_cached->m_frame) ? send_result::queued : send_result::no_room;
}

}  // namespace martenyard::roles
