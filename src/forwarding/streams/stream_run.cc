#include "forwarding/streams/stream_run.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "forwarding/headers/end_to_end.h"

namespace martenyard::forwarding
{

using async_http::HttpHead;
using async_http::Task;

stream_run::stream_run(async_http::Exchange& exchange, passed_events& passed, std::function<void()> on_head)
    : m_exchange(exchange), m_passed(passed), m_on_head(std::move(on_head))
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

bool stream_run::take(const stream_event& event)
{
    if (event.m_data && !m_in_place)
    {
        if (!m_passed.may_follow(event))
        {
            return false;
        }
        m_in_place = true;
    }
    if (event.m_id && m_first_id.empty())
    {
        m_first_id = *event.m_id;
    }
    m_passed.take(event);
    return true;
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

bool stream_run::EndsAfterWholeEvent() const
{
    return m_in_place && m_cutter.unfinished().empty();
}

Task<bool> stream_run::start_stream()
{
    if (m_exchange.stream_started())
    {
        co_return true;  // A resumed stream keeps its first run's head.
    }
    m_gave_head = true;
    co_return co_await m_exchange.StartStream(*m_head);
}

Task<bool> stream_run::pass_rest()
{
    bool passed = co_await start_stream();
    if (passed && !m_cutter.unfinished().empty())
    {
        passed = co_await m_exchange.Write(m_cutter.unfinished());
    }
    co_return passed;
}

}  // namespace martenyard::forwarding
