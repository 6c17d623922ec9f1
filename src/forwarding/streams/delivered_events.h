// The events of a streamed response that were delivered to the client, over all attempts.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "forwarding/streams/sse_parser.h"

namespace martenyard::forwarding
{

/// @brief the complete events delivered so far
class delivered_events
{
  public:
    /// @param[in] after   id of the event after which the client resumes; empty: from the start
    /// @param[in] stride  see @ref expect_stride
    explicit delivered_events(std::string after = {}, std::uint64_t stride = 0);

    /// @brief sets the known id stride of the runners that continue the stream; 0 if unknown
    void expect_stride(std::uint64_t stride)
    {
        m_known_stride = stride;
    }

    /// @brief checks whether `event` directly follows `last_id`, so that no event is missing or repeated
    ///
    /// The expected id stride comes from the delivered events or from other streams of the service. If
    /// neither is known after one event, it is assumed to be one.
    /// @param[in] event  the first event with an id or data of a resumed stream
    bool may_follow(const sse_event& event) const;

    void add(const sse_event& event);

    /// @return number of events with data
    std::uint64_t count() const
    {
        return m_count;
    }

    /// @brief keeps no data of events: only a turn that is stored needs it, and a stream may be long
    void discard_data()
    {
        m_keeps_data = false;
    }

    /// @return the data of each event, each followed by a line feed; empty after @ref discard_data
    const std::string& data() const
    {
        return m_data;
    }

    /// @return the id of the last event with an id, or the id that the client resumes after
    const std::string& last_id() const
    {
        return m_last_id;
    }

    /// @return whether another runner can continue the stream: the last event with data had a non-empty id,
    ///         and the id to resume after can be sent as a header field
    bool can_be_resumed() const;

    /// @return the id stride; 0 if it was not constant; nothing before two events
    std::optional<std::uint64_t> stride() const;

  private:
    void record_stride(const std::string& id);
    /// @return the expected stride of the next id; 0 if any greater id is accepted
    std::uint64_t expected_stride() const;

    std::uint64_t m_count = 0;
    bool m_keeps_data = true;
    std::string m_data;
    std::string m_last_id;
    bool m_last_has_id = false;
    std::uint64_t m_known_stride;
    /// stride of the delivered ids; 0 if it was not constant
    std::uint64_t m_stride = 0;
    /// number of consecutive id pairs compared
    std::uint64_t m_strides_seen = 0;
};

}  // namespace martenyard::forwarding
