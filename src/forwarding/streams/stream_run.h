// Forwards the streamed response of one attempt to the client.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "async_http/server.h"
#include "forwarding/attempt.h"
#include "forwarding/streams/event_cutter.h"
#include "forwarding/streams/passed_events.h"

namespace martenyard::forwarding
{

/// @brief forwards the complete events of one attempt to the client
///
/// Each attempt needs its own object, so that the head and the incomplete event of a failed attempt are not
/// joined to the response of the next one.
class stream_run : public StreamSink
{
  public:
    /// @param[in] exchange   the client's request
    /// @param[in] delivered  events delivered by earlier attempts; those of this attempt are added
    /// @param[in] on_head    called when the runner has started its response
    stream_run(async_http::Exchange& exchange, passed_events& passed, std::function<void()> on_head);

    void OnHead(const async_http::HttpHead& head) override;
    async_http::Task<StreamStep> OnBytes(std::string bytes) override;
    const char* WhyIncomplete(bool ended_by_close) const override;

    /// @brief sends the bytes after the last blank line of a complete body; the caller ends the response
    /// @return false when the client has disconnected
    async_http::Task<bool> pass_unfinished();

    /// @return whether the response head of this attempt was sent to the client
    bool gave_head() const
    {
        return m_gave_head;
    }

    /// @return the id of this attempt's first event with an id
    const std::string& first_id() const
    {
        return m_first_id;
    }

    std::size_t unfinished_bytes() const
    {
        return m_cutter.unfinished().size();
    }

  private:
    /// @return whether `event` may follow the delivered events
    bool is_in_place(const stream_event& event) const;
    /// @return false if `event` is out of order; it is not recorded then
    bool take(const stream_event& event);
    /// @return whether the content type is an event stream; a missing one counts as such
    bool is_event_stream() const;
    /// @return false when the client has disconnected
    async_http::Task<bool> start_stream();

    async_http::Exchange& m_exchange;
    passed_events& m_passed;
    std::function<void()> m_on_head;
    std::optional<async_http::HttpHead> m_head;
    event_cutter m_cutter;
    std::string m_first_id;
    bool m_gave_head = false;
    /// the client had received a response head of an earlier attempt
    const bool m_resumes;
    /// the position of an event with data was checked; later events are not checked
    bool m_place_checked = false;
};

}  // namespace martenyard::forwarding
