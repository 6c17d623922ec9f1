// Messages by which a gateway reads the chain of a stored turn from any replica.
//
// A stored turn is immutable, so any replica that has it can serve it, however far behind it is. A replica
// that lacks the turn can't tell whether it exists; only the leader can, through the log.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "turn_ledger/types.h"

namespace martenyard::turn_ledger
{

/// @brief requests the text of a turn's chain from a replica
struct chain_request
{
    /// unique per gateway process
    std::uint64_t m_request = 0;
    GroupId m_group{1};
    TurnId m_turn;
    /// a turn whose chain the requester has; if it is an ancestor, only the text after it is sent
    std::optional<TurnId> m_known;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_request, m_group, m_turn, m_known);
    }
};

/// @brief a replica's reply to a chain request
struct chain_reply
{
    std::uint64_t m_request = 0;
    /// false if the machine is not a replica of the group
    bool m_is_replica = false;
    /// false if this replica doesn't have the turn (yet)
    bool m_found = false;
    /// the text starts after the chain that the requester has
    bool m_after_known = false;
    /// inputs and outputs, oldest first
    std::string m_text;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_request, m_is_replica, m_found, m_after_known, m_text);
    }
};

}  // namespace martenyard::turn_ledger
