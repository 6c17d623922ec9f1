#include "forwarding/streams/passed_events.h"

#include <optional>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

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

bool names_place(const stream_event& event)
{
    return event.m_id && !event.m_id->empty();
}

}  // namespace

passed_events::passed_events(std::string after, std::uint64_t step)
    : m_last_id(std::move(after)), m_known_step(step)
{
}

bool passed_events::may_follow(const stream_event& event) const
{
    if (m_last_id.empty())
    {
        return true;
    }
    if (!names_place(event))
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
    std::uint64_t step = expected_step();
    return step == 0 ? *next > *last : *next == *last + step;
}

std::uint64_t passed_events::expected_step() const
{
    if (m_steps_seen > 0)
    {
        return m_step;
    }
    // A single event gives no stride; most services count by one.
    bool assumes_one = m_count > 0 && m_known_step == 0;
    return assumes_one ? 1 : m_known_step;
}

std::optional<std::uint64_t> passed_events::step() const
{
    if (m_steps_seen == 0)
    {
        return std::nullopt;
    }
    return m_step;
}

void passed_events::take(const stream_event& event)
{
    if (names_place(event))
    {
        note_step(*event.m_id);
        m_last_id = *event.m_id;
    }
    if (event.m_data)
    {
        absl::StrAppend(&m_data, *event.m_data, "\n");
        ++m_count;
        m_last_has_id = names_place(event);
    }
}

void passed_events::note_step(const std::string& id)
{
    std::optional<std::uint64_t> last = number_of(m_last_id);
    std::optional<std::uint64_t> next = number_of(id);
    if (m_count == 0 || !last || !next || *next <= *last)
    {
        return;
    }
    std::uint64_t step = *next - *last;
    bool first = m_steps_seen == 0;
    ++m_steps_seen;
    m_step = first || step == m_step ? step : 0;
}

}  // namespace martenyard::forwarding
