#include "forwarding/streams/sse_parser.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace martenyard::forwarding
{

namespace
{

/// @param[in,out] from  start of the search; set to the start of the next one if there is no blank line
/// @return the position after the first blank line, or npos
std::size_t end_of_event(absl::string_view text, std::size_t& from)
{
    std::size_t line_feed = text.find('\n', from);
    while (line_feed != absl::string_view::npos)
    {
        std::size_t next = line_feed + 1;
        if (next < text.size() && text[next] == '\r')
        {
            ++next;
        }
        if (next >= text.size())
        {
            from = line_feed;
            return absl::string_view::npos;
        }
        if (text[next] == '\n')
        {
            return next + 1;
        }
        line_feed = text.find('\n', line_feed + 1);
    }
    from = text.size();
    return absl::string_view::npos;
}

/// @return the field value without the optional space after the colon
absl::string_view value_of(absl::string_view rest)
{
    absl::ConsumePrefix(&rest, " ");
    return rest;
}

sse_event read_event(absl::string_view text)
{
    sse_event event;
    event.m_text = std::string(text);
    for (absl::string_view line : absl::StrSplit(text, '\n'))
    {
        absl::ConsumeSuffix(&line, "\r");
        if (absl::ConsumePrefix(&line, "id:"))
        {
            event.m_id = std::string(value_of(line));
        }
        else if (absl::ConsumePrefix(&line, "data:"))
        {
            if (event.m_data)
            {
                event.m_data->push_back('\n');
            }
            else
            {
                event.m_data.emplace();
            }
            absl::StrAppend(&*event.m_data, value_of(line));
        }
    }
    return event;
}

}  // namespace

std::vector<sse_event> sse_parser::feed(absl::string_view bytes)
{
    absl::StrAppend(&m_unfinished, bytes);
    std::vector<sse_event> events;
    std::size_t consumed = 0;
    while (true)
    {
        absl::string_view rest = absl::string_view(m_unfinished).substr(consumed);
        std::size_t from = consumed == 0 ? m_scanned : 0;
        std::size_t end = end_of_event(rest, from);
        if (end == absl::string_view::npos)
        {
            m_scanned = from;
            break;
        }
        events.push_back(read_event(rest.substr(0, end)));
        consumed += end;
    }
    m_unfinished.erase(0, consumed);
    return events;
}

sse_event sse_parser::unfinished_event() const
{
    return read_event(m_unfinished);
}

}  // namespace martenyard::forwarding
