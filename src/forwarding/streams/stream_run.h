// One run's part of a streamed answer, on its way from a runner to the client.
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

/// @brief passes one run's whole events on to the client
///
/// The run's head and the bytes of its unfinished event live and end with this object, and there is one for
/// each attempt: kept any longer, they are joined to the next run's answer.
class stream_run : public StreamSink
{
  public:
    /// @param[in] exchange  the client's request
    /// @param[in] passed    what the client has been given by earlier runs; this run's events are added
    /// @param[in] on_head   called when the runner has begun its answer
    stream_run(async_http::Exchange& exchange, passed_events& passed, std::function<void()> on_head);

    void OnHead(const async_http::HttpHead& head) override;
    async_http::Task<StreamStep> OnBytes(std::string bytes) override;
    const char* WhyIncomplete(bool ended_by_close) const override;

    /// @brief passes on what stands behind the last blank line of a body that is whole; the end mark of the
    /// client's answer is the caller's
    /// @return false when the client can't be reached
    async_http::Task<bool> pass_unfinished();

    /// @return whether the client got this run's head
    bool gave_head() const
    {
        return m_gave_head;
    }

    /// @return the id of this run's first event that had one
    const std::string& first_id() const
    {
        return m_first_id;
    }

    std::size_t unfinished_bytes() const
    {
        return m_cutter.unfinished().size();
    }

  private:
    /// @return whether an event may stand where the client's stream is
    bool is_in_place(const stream_event& event) const;
    /// @return false when it may not; then nothing is noted of it
    bool take(const stream_event& event);
    /// @return whether the body is an event stream by its head; one that does not say counts as such
    bool is_event_stream() const;
    /// @return false when the client can't be reached
    async_http::Task<bool> start_stream();

    async_http::Exchange& m_exchange;
    passed_events& m_passed;
    std::function<void()> m_on_head;
    std::optional<async_http::HttpHead> m_head;
    event_cutter m_cutter;
    std::string m_first_id;
    bool m_gave_head = false;
    /// the client had events of an earlier run when this one began
    const bool m_resumes;
    /// an event with data was compared with what the client has: from there on the runner's order counts
    bool m_place_checked = false;
};

}  // namespace martenyard::forwarding
