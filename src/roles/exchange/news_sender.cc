#include "roles/exchange/news_sender.h"

#include <utility>

#include "wire/codec.h"

namespace martenyard::roles
{

aggregation::known_changes last_changes(const followed_copies& copies)
{
    aggregation::known_changes known{};
    for (std::size_t copy = 0; copy < copies.size(); ++copy)
    {
        known[copy] = copies[copy]->last_change();
    }
    return known;
}

news_sender::news_sender(wire::Transport& transport, const followed_copies& copies,
                         std::function<turn_ledger::Machine()> self)
    : m_transport(transport), m_copies(copies), m_self(std::move(self))
{
}

void news_sender::send(const wire::Endpoint& to, std::size_t copy, std::uint64_t since)
{
    if (m_transport.Unsent(to) > 0)
    {
        return;
    }
    const store::PrefixMirror& known = *m_copies[copy];
    std::uint64_t until = known.last_change();
    bool encoded =
        m_encoded && m_encoded->m_copy == copy && m_encoded->m_since == since && m_encoded->m_until == until;
    if (!encoded)
    {
        store::news_reply reply{static_cast<std::uint8_t>(copy), known.ChangesSince(since)};
        m_encoded = encoded_changes{copy, since, until,
                                    wire::Encode(turn_ledger::Envelope{m_self(), std::move(reply)})};
    }
    m_transport.SendFrame(to, m_encoded->m_frame);
}

}  // namespace martenyard::roles
