// The question for the origin of a stream, which accompanies an operation of the ledger.
#pragma once

#include "turn_ledger/types.h"

namespace martenyard::turn_ledger
{

/// @brief asks the leader of a group where a stream began
struct origin_query
{
    /// has the reservations of the stream
    ProgramId m_account;
    /// the request that delivered the stream's first event; empty if it is not known which stream of the
    /// account is meant: then the origin that all of them have in common is asked for
    TurnId m_stream;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_account, m_stream);
    }
};

}  // namespace martenyard::turn_ledger
