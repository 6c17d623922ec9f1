// Records of where streams began, kept as ids of reservations.
//
// The reservation of a resumable turn has an id that also names the origin of its stream. The record needs
// no message of its own, is as durable as the reservation, and leaves the layout of log entries and snapshots
// as it was: builds that don't know of origins replicate it unread.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "turn_ledger/streams/stream_origin.h"
#include "turn_ledger/types.h"

namespace martenyard::turn_ledger
{

/// @brief a stream's origin as recorded by one reservation
struct origin_record
{
    /// a stream that begins elsewhere before its first event is delivered has another record, of the next
    /// generation; the highest one holds
    std::uint32_t m_generation = 0;
    stream_origin m_origin;
};

/// @return the id of a reservation that records the origin of `stream`
TurnId recording_id(const TurnId& stream, const origin_record& record);

/// @return the record in the id of a reservation of `stream`; nothing if it has none
std::optional<origin_record> record_of(const TurnId& stream, const TurnId& reservation);

/// @return the prefix of the ids of all reservations that record the origin of `stream`
TurnId recording_prefix(const TurnId& stream);

/// @return the turn of a reservation, whether or not its id records an origin
TurnId turn_of(const TurnId& reservation);

/// @brief finds the record that holds among those of one stream
class origin_search
{
  public:
    /// @param[in] stream  the request that delivered the first event
    explicit origin_search(TurnId stream);

    /// @brief considers the reservations of an account
    /// @param[in] reservations  a map ordered by their ids
    template <typename Reservations>
    void add(const Reservations& reservations)
    {
        for (auto entry = reservations.lower_bound(m_prefix); entry != reservations.end(); ++entry)
        {
            if (!has_prefix(entry->first))
            {
                return;
            }
            add_reservation(entry->first);
        }
    }

    /// @brief considers one reservation, of any stream
    void add_reservation(const TurnId& reservation);

    /// @return the origin; nothing if the stream has no record, or different ones of the same generation
    std::optional<stream_origin> result() const;

  private:
    bool has_prefix(const TurnId& reservation) const;

    TurnId m_stream;
    TurnId m_prefix;
    std::optional<origin_record> m_latest;
    bool m_ambiguous = false;
};

/// @brief finds the origin that all recorded streams of an account have in common
class common_origin_search
{
  public:
    /// @brief considers the reservations of an account
    /// @param[in] reservations  a map whose keys are their ids
    template <typename Reservations>
    void add(const Reservations& reservations)
    {
        for (const auto& entry : reservations)
        {
            add_reservation(entry.first);
        }
    }

    /// @return nothing if there is no record, if a stream's records are ambiguous, or if streams differ
    std::optional<stream_origin> result() const;

  private:
    void add_reservation(const TurnId& reservation);

    std::map<TurnId, origin_search> m_streams;
};

}  // namespace martenyard::turn_ledger
