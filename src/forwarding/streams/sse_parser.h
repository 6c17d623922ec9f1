// Incremental parser of server-sent event streams.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

namespace martenyard::forwarding
{

/// @brief a complete event, including the blank line that ends it
struct sse_event
{
    /// the event's bytes, unchanged
    std::string m_text;
    std::optional<std::string> m_id;
    /// data lines joined by line feeds; absent for comments and events without data
    std::optional<std::string> m_data;
};

/// @brief parses the response body of one attempt
class sse_parser
{
  public:
    /// @brief appends a piece of the stream of any length
    /// @return the events completed by it
    std::vector<sse_event> feed(absl::string_view bytes);

    /// @return the bytes of the incomplete last event
    const std::string& unfinished() const
    {
        return m_unfinished;
    }

    /// @return the incomplete last event, parsed as if a blank line followed
    sse_event unfinished_event() const;

  private:
    std::string m_unfinished;
    /// number of bytes of `m_unfinished` already searched for the end of an event
    std::size_t m_scanned = 0;
};

}  // namespace martenyard::forwarding
