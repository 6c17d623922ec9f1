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

void peer_link::send_request(const wire::Endpoint& to, Body request)
{
    instant now = SteadyInstant();
    bool needs_greeting = m_layouts.on_request(now, to);
    std::optional<Layout> reads = m_layouts.of(to);
    if (needs_greeting)
    {
        send_greeting(to, /*wants_reply=*/true);
        send_probes(to);
    }
    if (reads)
    {
        send_request_in_layout(to, std::move(request), *reads);
        return;
    }
    enqueue(now, to, std::move(request));
}

void peer_link::enqueue(instant now, const wire::Endpoint& to, Body request)
{
    std::vector<pending_request> pending = take_pending(now, to);
    std::size_t bytes = wire::Encode(request).size();
    pending.push_back({now, bytes, std::move(request)});
    for (pending_request& entry : pending)
    {
        if (m_pending_bytes + entry.m_bytes > m_options.m_max_pending_bytes)
        {
            ++m_stats.m_dropped;
            continue;
        }
        m_pending_bytes += entry.m_bytes;
        m_pending[to].push_back(std::move(entry));
    }
}

std::vector<peer_link::pending_request> peer_link::take_pending(instant now, const wire::Endpoint& peer)
{
    auto found = m_pending.extract(peer);
    if (found.empty())
    {
        return {};
    }
    std::vector<pending_request> pending = std::move(found.mapped());
    for (const pending_request& queued : pending)
    {
        m_pending_bytes -= queued.m_bytes;
    }
    m_stats.m_dropped += std::erase_if(pending,
                                       [&](const pending_request& queued)
                                       {
                                           return now - queued.m_queued_at > m_options.m_max_pending_age;
                                       });
    return pending;
}

void peer_link::send_reply(const wire::Endpoint& to, Body body, Layout layout)
{
    send(to, std::move(body), layout);
}

void peer_link::send_message(const wire::Endpoint& to, Body body)
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

void peer_link::send_request_in_layout(const wire::Endpoint& to, Body request, Layout layout)
{
    const auto* ledger_request = std::get_if<turn_ledger::LedgerRequest>(&request);
    std::uint64_t request_number = ledger_request == nullptr ? 0 : ledger_request->request;
    auto payload = turn_ledger::encode_frame({m_self(), std::move(request)}, layout);
    if (payload)
    {
        m_transport.SendFrame(to, *payload);
    }
    else if (m_on_unsupported)
    {
        m_on_unsupported(to, request_number);
    }
}

void peer_link::send_greeting(const wire::Endpoint& to, bool wants_reply)
{
    ++m_stats.m_greetings_sent;
    turn_ledger::Machine self = m_self();
    m_transport.SendFrame(to, wire::EncodeGreeting({self.endpoint, self.name, BuildName(), wants_reply}));
}

void peer_link::send_probes(const wire::Endpoint& to)
{
    // Replies to probes carry the request number 0, which no ledger call uses.
    turn_ledger::LedgerRequest request;
    request.operation = turn_ledger::Probe{};
    for (Layout layout : probed_layouts)
    {
        send(to, request, layout);
    }
}

void peer_link::send_pending(const wire::Endpoint& to, Layout layout)
{
    for (pending_request& request : take_pending(SteadyInstant(), to))
    {
        send_request_in_layout(to, std::move(request.m_body), layout);
    }
}

void peer_link::on_closed(const wire::Endpoint& peer)
{
    m_layouts.on_connection_closed(peer);
    m_stats.m_dropped += take_pending(SteadyInstant(), peer).size();
}

// ---- Receiving ----

std::optional<turn_ledger::decoded_message> peer_link::read(const std::string& payload)
{
    turn_ledger::decoded_frame decoded = turn_ledger::decode_frame(payload);
    if (auto* message = std::get_if<turn_ledger::decoded_message>(&decoded))
    {
        const turn_ledger::Machine& from = message->m_envelope.from;
        on_frame_received(from.endpoint, from.name, message->m_sender_reads);
        return std::move(*message);
    }
    if (const auto* greeting = std::get_if<turn_ledger::greeting_frame>(&decoded))
    {
        on_greeting(greeting->m_greeting, greeting->m_newest);
    }
    else if (const auto* unreadable = std::get_if<turn_ledger::unreadable_frame>(&decoded))
    {
        log_unreadable(*unreadable, payload.size());
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
    on_frame_received(greeting.from, greeting.node, turn_ledger::common_layout(newest));
    if (greeting.wants_reply)
    {
        send_greeting(greeting.from, /*wants_reply=*/false);
    }
}

void peer_link::on_frame_received(const wire::Endpoint& from, const std::string& name,
                                  std::optional<Layout> reads)
{
    bool changed = m_layouts.on_frame_received(from, reads);
    if (!changed)
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
    send_pending(from, *reads);
}

void peer_link::log_unreadable(const turn_ledger::unreadable_frame& details, std::size_t bytes)
{
    ++m_stats.m_unreadable;
    instant now = SteadyInstant();
    if (m_last_logged && now - *m_last_logged < m_options.m_min_log_interval)
    {
        return;
    }
    m_last_logged = now;
    m_log.Write(Line("frame_unreadable")
                    .Number("bytes", static_cast<std::int64_t>(bytes))
                    .Text("from", details.m_from)
                    .Number("layout", details.m_layout)
                    .Number("newest", details.m_newest)
                    .Number("so_far", static_cast<std::int64_t>(m_stats.m_unreadable)));
}

}  // namespace martenyard::roles
