// How a gateway reads the chain of a kept turn from any replica.
//
// A kept turn never changes, so a replica that has it may tell it, however far behind it is; one that
// doesn't have it knows nothing. That there is no such turn is only said by the leader, through the log.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "turn_ledger/types.h"

namespace martenyard::turn_ledger
{

/// @brief asks a replica for the text of a turn's chain
struct chain_request
{
    /// unique per gateway process
    std::uint64_t m_request = 0;
    GroupId m_group{1};
    TurnId m_turn;
    /// a turn whose chain the requester holds; where it is an ancestor, only what follows it is sent
    std::optional<TurnId> m_known;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_request, m_group, m_turn, m_known);
    }
};

/// @brief what a replica knows of the chain
struct chain_reply
{
    std::uint64_t m_request = 0;
    /// false on machines that are no replica at present
    bool m_is_replica = false;
    /// false when this replica doesn't have the turn (yet)
    bool m_found = false;
    /// the text begins after the chain that the requester holds
    bool m_after_known = false;
    /// inputs and outputs, the oldest first
    std::string m_text;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_request, m_is_replica, m_found, m_after_known, m_text);
    }
};

}  // namespace martenyard::turn_ledger
