#include "forwarding/streams/stream_run.h"

#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "forwarding/headers/end_to_end.h"

namespace martenyard::forwarding
{

using async_http::HttpHead;
using async_http::Task;

stream_run::stream_run(async_http::Exchange& exchange, passed_events& passed, std::function<void()> on_head)
    : m_exchange(exchange),
      m_passed(passed),
      m_on_head(std::move(on_head)),
      m_resumes(exchange.stream_started())
{
}

void stream_run::OnHead(const HttpHead& head)
{
    m_on_head();
    HttpHead passed;
    passed.result(head.result());
    passed.reason(head.reason());
    copy_end_to_end(head, passed);
    m_head = std::move(passed);
}

bool stream_run::is_in_place(const stream_event& event) const
{
    bool says_where = event.m_id || event.m_data;
    return m_place_checked || !says_where || m_passed.may_follow(event);
}

bool stream_run::take(const stream_event& event)
{
    if (event.m_id && m_first_id.empty())
    {
        m_first_id = *event.m_id;
    }
    if (!is_in_place(event))
    {
        return false;
    }
    m_place_checked = m_place_checked || event.m_data;
    m_passed.take(event);
    return true;
}

bool stream_run::is_event_stream() const
{
    auto type = m_head->find(boost::beast::http::field::content_type);
    if (type == m_head->end())
    {
        return true;
    }
    std::string name = absl::AsciiStrToLower(absl::string_view(type->value().data(), type->value().size()));
    return absl::StrContains(name, "text/event-stream");
}

Task<StreamStep> stream_run::OnBytes(std::string bytes)
{
    std::string whole;
    for (const stream_event& event : m_cutter.feed(bytes))
    {
        if (!take(event))
        {
            co_return StreamStep::kOutOfPlace;
        }
        absl::StrAppend(&whole, event.m_text);
    }
    if (whole.empty())
    {
        co_return StreamStep::kPassed;
    }
    bool passed = co_await start_stream();
    passed = passed && co_await m_exchange.Write(whole);
    co_return passed ? StreamStep::kPassed : StreamStep::kClientGone;
}

const char* stream_run::WhyIncomplete(bool ended_by_close) const
{
    const std::string& rest = m_cutter.unfinished();
    bool only_blank = rest.find_first_not_of("\r\n") == std::string::npos;
    if (!is_event_stream())
    {
        return m_resumes ? "the resumed response is not an event stream" : nullptr;
    }
    // The end of the connection alone doesn't prove that the stream is complete.
    if (ended_by_close && (!only_blank || !m_place_checked))
    {
        return "the connection was closed and the stream did not end with a complete event";
    }
    stream_event last = m_cutter.unfinished_event();
    bool says_where = last.m_id || last.m_data;
    bool fits = only_blank || m_place_checked || (says_where ? m_passed.may_follow(last) : !m_resumes);
    return fits ? nullptr : "the stream does not continue after the last delivered event";
}

Task<bool> stream_run::start_stream()
{
    if (m_exchange.stream_started())
    {
        co_return true;  // A resumed stream keeps the head of the first attempt.
    }
    m_gave_head = true;
    co_return co_await m_exchange.StartStream(*m_head);
}

Task<bool> stream_run::pass_unfinished()
{
    bool passed = co_await start_stream();
    if (passed && !m_cutter.unfinished().empty())
    {
        // The client parses these bytes as the last event, so they count as delivered.
        m_passed.take(m_cutter.unfinished_event());
        passed = co_await m_exchange.Write(m_cutter.unfinished());
    }
    co_return passed;
}

}  // namespace martenyard::forwarding
