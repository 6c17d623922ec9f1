#include "roles/peers/peer_link.h"

#include <utility>

#include "base/build_info.h"
#include "base/clock.h"
#include "wire/codec.h"

namespace martenyard::roles
{

using event_log::Line;
using turn_ledger::Body;
using wire::Layout;

namespace
{

/// @brief layouts of builds without greetings; their replicas answer a probe whether or not they lead
constexpr Layout probed_layouts[] = {Layout::kUnmarked2, Layout::kUnmarked1};

}  // namespace

peer_link::peer_link(wire::Transport& transport, std::function<turn_ledger::Machine()> self,
                     event_log::EventLog& log, unsupported_handler on_unsupported,
                     const peer_link_options& options)
    : m_transport(transport),
      m_self(std::move(self)),
      m_log(log),
      m_on_unsupported(std::move(on_unsupported)),
      m_options(options),
      m_layouts(options.m_layouts)
{
    transport.SetClosedHandler(
        [this](const wire::Endpoint& peer)
        {
            on_closed(peer);
        });
}

// ---- Sending ----

void peer_link::ask(const wire::Endpoint& to, Body request)
{
    instant now = SteadyInstant();
    bool unknown = m_layouts.note_request(now, to);
    std::optional<Layout> reads = m_layouts.of(to);
    if (unknown)
    {
        greet(to, /*wants_answer=*/true);
        probe(to);
    }
    if (reads)
    {
        send_request(to, std::move(request), *reads);
        return;
    }
    hold(now, to, std::move(request));
}

void peer_link::hold(instant now, const wire::Endpoint& to, Body request)
{
    std::vector<waiting_request> waiting = take_waiting(now, to);
    std::size_t bytes = wire::Encode(request).size();
    waiting.push_back({now, bytes, std::move(request)});
    for (waiting_request& each : waiting)
    {
        if (m_waiting_bytes + each.m_bytes > m_options.m_most_waiting_bytes)
        {
            ++m_stats.m_dropped;
            continue;
        }
        m_waiting_bytes += each.m_bytes;
        m_waiting[to].push_back(std::move(each));
    }
}

std::vector<peer_link::waiting_request> peer_link::take_waiting(instant now, const wire::Endpoint& peer)
{
    auto found = m_waiting.extract(peer);
    if (found.empty())
    {
        return {};
    }
    std::vector<waiting_request> waiting = std::move(found.mapped());
    for (const waiting_request& taken : waiting)
    {
        m_waiting_bytes -= taken.m_bytes;
    }
    m_stats.m_dropped += std::erase_if(waiting,
                                       [&](const waiting_request& taken)
                                       {
                                           return now - taken.m_since > m_options.m_longest_wait;
                                       });
    return waiting;
}

void peer_link::answer(const wire::Endpoint& to, Body body, Layout layout)
{
    send(to, std::move(body), layout);
}

void peer_link::tell(const wire::Endpoint& to, Body body)
{
    send(to, std::move(body), wire::kOldestLayout);
}

void peer_link::send(const wire::Endpoint& to, Body body, Layout layout)
{
    auto payload = turn_ledger::encode_frame({m_self(), std::move(body)}, layout);
    if (payload)
    {
        m_transport.SendFrame(to, *payload);
    }
}

void peer_link::send_request(const wire::Endpoint& to, Body request, Layout layout)
{
    const auto* asked = std::get_if<turn_ledger::LedgerRequest>(&request);
    std::uint64_t number = asked == nullptr ? 0 : asked->request;
    auto payload = turn_ledger::encode_frame({m_self(), std::move(request)}, layout);
    if (payload)
    {
        m_transport.SendFrame(to, *payload);
    }
    else if (m_on_unsupported)
    {
        m_on_unsupported(to, number);
    }
}

void peer_link::greet(const wire::Endpoint& to, bool wants_answer)
{
    ++m_stats.m_greetings;
    turn_ledger::Machine self = m_self();
    m_transport.SendFrame(to, wire::EncodeGreeting({self.endpoint, self.name, BuildName(), wants_answer}));
}

void peer_link::probe(const wire::Endpoint& to)
{
    // Replies to probes carry the request number 0, which no ledger call uses.
    turn_ledger::LedgerRequest request;
    request.operation = turn_ledger::Probe{};
    for (Layout layout : probed_layouts)
    {
        send(to, request, layout);
    }
}

void peer_link::send_waiting(const wire::Endpoint& to, Layout layout)
{
    for (waiting_request& request : take_waiting(SteadyInstant(), to))
    {
        send_request(to, std::move(request.m_body), layout);
    }
}

void peer_link::on_closed(const wire::Endpoint& peer)
{
    m_layouts.note_closed(peer);
    m_stats.m_dropped += take_waiting(SteadyInstant(), peer).size();
}

// ---- Receiving ----

std::optional<turn_ledger::read_message> peer_link::read(const std::string& payload)
{
    turn_ledger::frame came = turn_ledger::decode_frame(payload);
    if (auto* message = std::get_if<turn_ledger::read_message>(&came))
    {
        const turn_ledger::Machine& from = message->m_envelope.from;
        note_heard(from.endpoint, from.name, message->m_sender_reads);
        return std::move(*message);
    }
    if (const auto* greeting = std::get_if<turn_ledger::greeting_frame>(&came))
    {
        on_greeting(greeting->m_greeting, greeting->m_newest);
    }
    else if (const auto* unreadable = std::get_if<turn_ledger::unreadable_frame>(&came))
    {
        tell_unreadable(*unreadable, payload.size());
    }
    return std::nullopt;
}

void peer_link::on_greeting(const wire::Greeting& greeting, std::uint16_t newest)
{
    if (newest > static_cast<std::uint16_t>(wire::kNewestLayout))
    {
        m_log.Write(Line("peer_of_later_layout")
                        .Text("peer", greeting.node)
                        .Text("build", greeting.build)
                        .Number("newest", newest));
    }
    note_heard(greeting.from, greeting.node, turn_ledger::common_layout(newest));
    if (greeting.wants_answer)
    {
        greet(greeting.from, /*wants_answer=*/false);
    }
}

void peer_link::note_heard(const wire::Endpoint& from, const std::string& name, std::optional<Layout> reads)
{
    bool news = m_layouts.note_heard(from, reads);
    if (!news)
    {
        return;
    }
    if (*reads != wire::kNewestLayout)
    {
        m_log.Write(Line("peer_of_earlier_layout")
                        .Text("peer", name)
                        .Text("address", from.ToString())
                        .Number("layout", static_cast<std::int64_t>(*reads)));
    }
    send_waiting(from, *reads);
}

void peer_link::tell_unreadable(const turn_ledger::unreadable_frame& told, std::size_t bytes)
{
    ++m_stats.m_unreadable;
    instant now = SteadyInstant();
    if (m_last_line && now - *m_last_line < m_options.m_line_pause)
    {
        return;
    }
    m_last_line = now;
    m_log.Write(Line("frame_unreadable")
                    .Number("bytes", static_cast<std::int64_t>(bytes))
                    .Text("from", told.m_from)
                    .Number("layout", told.m_layout)
                    .Number("newest", told.m_newest)
                    .Number("so_far", static_cast<std::int64_t>(m_stats.m_unreadable)));
}

}  // namespace martenyard::roles
