#include "forwarding/streams/stream_forwarder.h"

#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "forwarding/headers/end_to_end.h"

namespace martenyard::forwarding
{

using async_http::HttpHead;
using async_http::Task;

stream_forwarder::stream_forwarder(async_http::Exchange& exchange, delivered_events& delivered,
                                   std::function<void()> on_head, std::function<void()> on_start)
    : m_exchange(exchange),
      m_delivered(delivered),
      m_on_head(std::move(on_head)),
      m_on_start(std::move(on_start)),
      m_is_resumption(exchange.stream_started())
{
}

void stream_forwarder::OnHead(const HttpHead& head)
{
    m_on_head();
    m_head = forwarded_head(head);
}

bool stream_forwarder::is_in_order(const sse_event& event) const
{
    bool has_position = event.m_id || event.m_data;
    return m_position_checked || !has_position || m_delivered.may_follow(event);
}

bool stream_forwarder::accept(const sse_event& event)
{
    if (event.m_id && m_first_event_id.empty())
    {
        m_first_event_id = *event.m_id;
    }
    if (!is_in_order(event))
    {
        return false;
    }
    m_position_checked = m_position_checked || event.m_data;
    m_delivered.add(event);
    return true;
}

bool stream_forwarder::is_event_stream() const
{
    auto type = m_head->find(boost::beast::http::field::content_type);
    if (type == m_head->end())
    {
        return true;
    }
    std::string name = absl::AsciiStrToLower(absl::string_view(type->value().data(), type->value().size()));
    return absl::StrContains(name, "text/event-stream");
}

Task<StreamStatus> stream_forwarder::OnBytes(std::string bytes)
{
    std::string whole;
    for (const sse_event& event : m_parser.feed(bytes))
    {
        if (!accept(event))
        {
            co_return StreamStatus::kOutOfOrder;
        }
        absl::StrAppend(&whole, event.m_text);
    }
    if (whole.empty())
    {
        co_return StreamStatus::kForwarded;
    }
    if (!m_first_event_at)
    {
        m_first_event_at = SteadyInstant();
    }
    bool sent = co_await start_stream();
    sent = sent && co_await m_exchange.Write(whole);
    co_return sent ? StreamStatus::kForwarded : StreamStatus::kClientGone;
}

const char* stream_forwarder::WhyIncomplete(bool ended_by_close) const
{
    const std::string& rest = m_parser.unfinished();
    bool only_line_breaks = rest.find_first_not_of("\r\n") == std::string::npos;
    if (!is_event_stream())
    {
        return m_is_resumption ? "the resumed response is not an event stream" : nullptr;
    }
    // The end of the connection alone doesn't prove that the stream is complete.
    if (ended_by_close && (!only_line_breaks || !m_position_checked))
    {
        return "the connection was closed and the stream did not end with a complete event";
    }
    sse_event last = m_parser.unfinished_event();
    bool has_position = last.m_id || last.m_data;
    bool fits = only_line_breaks || m_position_checked ||
                (has_position ? m_delivered.may_follow(last) : !m_is_resumption);
    return fits ? nullptr : "the stream does not continue after the last delivered event";
}

Task<bool> stream_forwarder::start_stream()
{
    if (m_exchange.stream_started())
    {
        co_return true;  // A resumed stream keeps the head of the first attempt.
    }
    m_sent_head = true;
    m_on_start();
    co_return co_await m_exchange.StartStream(*m_head);
}

Task<bool> stream_forwarder::forward_unfinished()
{
    bool sent = co_await start_stream();
    if (sent && !m_parser.unfinished().empty())
    {
        // The client parses these bytes as the last event, so they count as delivered.
        m_delivered.add(m_parser.unfinished_event());
        sent = co_await m_exchange.Write(m_parser.unfinished());
    }
    co_return sent;
}

}  // namespace martenyard::forwarding
