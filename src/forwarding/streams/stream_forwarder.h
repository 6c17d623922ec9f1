// Forwards the streamed response of one attempt to the client.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "async_http/server.h"
#include "forwarding/attempt.h"
#include "forwarding/streams/delivered_events.h"
#include "forwarding/streams/sse_parser.h"

namespace martenyard::forwarding
{

/// @brief forwards the complete events of one attempt to the client
///
/// Each attempt needs its own object, so that the head and the incomplete event of a failed attempt are not
/// joined to the response of the next one.
class stream_forwarder : public StreamSink
{
  public:
    /// @param[in] exchange   the client's request
    /// @param[in] delivered  events delivered by earlier attempts; those of this attempt are added
    /// @param[in] on_head    called when the runner has started its response
    /// @param[in] on_start   called before the response head is sent to the client
    stream_forwarder(async_http::Exchange& exchange, delivered_events& delivered,
                     std::function<void()> on_head, std::function<void()> on_start);

    void OnHead(const async_http::HttpHead& head) override;
    async_http::Task<StreamStatus> OnBytes(std::string bytes) override;
    const char* WhyIncomplete(bool ended_by_close) const override;
    std::size_t HeldBytes() const override
    {
        return m_parser.unfinished().size() + m_delivered.data().size();
    }

    /// @brief sends the bytes after the last blank line of a complete body; the caller ends the response
    /// @return false when the client has disconnected
    async_http::Task<bool> forward_unfinished();

    /// @return whether the response head of this attempt was sent to the client
    bool sent_head() const
    {
        return m_sent_head;
    }

    /// @return the id of this attempt's first event with an id
    const std::string& first_event_id() const
    {
        return m_first_event_id;
    }

    /// @return when the first complete event arrived from the runner
    std::optional<std::chrono::steady_clock::time_point> first_event_at() const
    {
        return m_first_event_at;
    }

    std::size_t unfinished_bytes() const
    {
        return m_parser.unfinished().size();
    }

  private:
    /// @return whether `event` may follow the delivered events
    bool is_in_order(const sse_event& event) const;
    /// @return false if `event` is out of order; it is not recorded then
    bool accept(const sse_event& event);
    /// @return whether the content type is an event stream; a missing one counts as such
    bool is_event_stream() const;
    /// @return false when the client has disconnected
    async_http::Task<bool> start_stream();

    async_http::Exchange& m_exchange;
    delivered_events& m_delivered;
    std::function<void()> m_on_head;
    std::function<void()> m_on_start;
    std::optional<async_http::HttpHead> m_head;
    sse_parser m_parser;
    std::string m_first_event_id;
    std::optional<std::chrono::steady_clock::time_point> m_first_event_at;
    bool m_sent_head = false;
    /// the client had received a response head of an earlier attempt
    const bool m_is_resumption;
    /// the position of an event with data was checked; later events are not checked
    bool m_position_checked = false;
};

}  // namespace martenyard::forwarding
