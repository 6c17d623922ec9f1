// Cuts the body of a server-sent event stream into whole events.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

namespace martenyard::forwarding
{

/// @brief one whole event, up to and with the blank line that ends it
struct stream_event
{
    /// the event's bytes, unchanged
    std::string m_text;
    std::optional<std::string> m_id;
    /// several data lines are joined by line feeds; absent for comments and other events without data
    std::optional<std::string> m_data;
};

/// @brief cuts one run's bytes; a run is one back end's work on a request
class event_cutter
{
  public:
    /// @brief takes bytes as they come, cut anywhere
    /// @return the events that are whole now
    std::vector<stream_event> feed(absl::string_view bytes);

    /// @return the bytes of an event that has no end yet
    const std::string& unfinished() const
    {
        return m_unfinished;
    }

    /// @return what the unfinished bytes say, as if a blank line followed
    stream_event unfinished_event() const;

  private:
    std::string m_unfinished;
    /// bytes of `m_unfinished` that are known to hold no event's end
    std::size_t m_scanned = 0;
};

}  // namespace martenyard::forwarding
