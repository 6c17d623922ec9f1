// What a client has been given of a streamed answer, over all runs that had a part in it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "forwarding/streams/event_cutter.h"

namespace martenyard::forwarding
{

/// @brief the events passed on so far; a run's unfinished bytes and its head are not among them
class passed_events
{
  public:
    /// @param[in] after  the id of the event after which the client asked to go on; empty: from the start
    /// @param[in] step   by how much the service's ids are known to rise; 0: not known
    explicit passed_events(std::string after = {}, std::uint64_t step = 0);

    /// @brief tells whether a run that was asked to go on after `last_id` begins at the right place
    ///
    /// Ids rise. By how much is known from the service's other streams or from the events passed on; after a
    /// single event of a service that nothing is known of, they are taken to count by one. A run that leaves
    /// an event out is so told from one that does not.
    /// @param[in] event  the run's first event with an id or data
    bool may_follow(const stream_event& event) const;

    void take(const stream_event& event);

    /// @return events with data
    std::uint64_t count() const
    {
        return m_count;
    }

    /// @return the data of each event, each followed by a line feed
    const std::string& data() const
    {
        return m_data;
    }

    /// @return the id of the last event that had one, else of the one that the client named
    const std::string& last_id() const
    {
        return m_last_id;
    }

    /// @return whether `last_id` names the last event with data, so that another run can go on after it;
    /// an empty id names none
    bool can_be_resumed() const
    {
        return m_count > 0 && m_last_has_id;
    }

    /// @return by how much ids rose from one event to the next; 0 when it was not always the same; nothing
    /// before two events
    std::optional<std::uint64_t> step() const;

  private:
    void note_step(const std::string& id);
    /// @return what the next id is expected to add to the last; 0: it need only rise
    std::uint64_t expected_step() const;

    std::uint64_t m_count = 0;
    std::string m_data;
    std::string m_last_id;
    bool m_last_has_id = false;
    std::uint64_t m_known_step;
    /// by how much ids rose; 0 when it was not always the same
    std::uint64_t m_step = 0;
    /// pairs of events whose ids were compared
    std::uint64_t m_steps_seen = 0;
};

}  // namespace martenyard::forwarding
