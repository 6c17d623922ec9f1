#include "forwarding/streams/delivered_events.h"

#include <optional>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "async_http/field_syntax.h"

namespace martenyard::forwarding
{

namespace
{

std::optional<std::uint64_t> number_of(const std::string& id)
{
    std::uint64_t number = 0;
    if (!absl::SimpleAtoi(id, &number))
    {
        return std::nullopt;
    }
    return number;
}

bool has_id(const sse_event& event)
{
    return event.m_id && !event.m_id->empty();
}

}  // namespace

delivered_events::delivered_events(std::string after, std::uint64_t stride)
    : m_last_id(std::move(after)), m_known_stride(stride)
{
}

bool delivered_events::may_follow(const sse_event& event) const
{
    if (m_last_id.empty())
    {
        return true;
    }
    if (!has_id(event))
    {
        // Without an id its position can't be checked; accept it only if nothing was delivered yet.
        return m_count == 0;
    }
    std::optional<std::uint64_t> last = number_of(m_last_id);
    std::optional<std::uint64_t> next = number_of(*event.m_id);
    if (!last || !next)
    {
        return *event.m_id != m_last_id;
    }
    std::uint64_t stride = expected_stride();
    return stride == 0 ? *next > *last : *next == *last + stride;
}

std::uint64_t delivered_events::expected_stride() const
{
    if (m_strides_seen > 0)
    {
        return m_stride;
    }
    // A single event gives no stride; most services count by one.
    bool assumes_unit_stride = m_count > 0 && m_known_stride == 0;
    return assumes_unit_stride ? 1 : m_known_stride;
}

bool delivered_events::can_be_resumed() const
{
    return m_count > 0 && m_last_has_id && async_http::IsFieldValue(m_last_id);
}

std::optional<std::uint64_t> delivered_events::stride() const
{
    if (m_strides_seen == 0)
    {
        return std::nullopt;
    }
    return m_stride;
}

void delivered_events::add(const sse_event& event)
{
    if (has_id(event))
    {
        record_stride(*event.m_id);
        m_last_id = *event.m_id;
    }
    if (event.m_data)
    {
        if (m_keeps_data)
        {
            absl::StrAppend(&m_data, *event.m_data, "\n");
        }
        ++m_count;
        m_last_has_id = has_id(event);
    }
}

void delivered_events::record_stride(const std::string& id)
{
    std::optional<std::uint64_t> last = number_of(m_last_id);
    std::optional<std::uint64_t> next = number_of(id);
    if (m_count == 0 || !last || !next || *next <= *last)
    {
        return;
    }
    std::uint64_t stride = *next - *last;
    bool first = m_strides_seen == 0;
    ++m_strides_seen;
    m_stride = first || stride == m_stride ? stride : 0;
}

}  // namespace martenyard::forwarding
