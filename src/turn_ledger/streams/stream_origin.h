// Where a resumable stream began.
#pragma once

#include <string>

#include "base/ids.h"

namespace martenyard::turn_ledger
{

/// @brief the runners that may continue a stream: those of one software version of one service
struct stream_origin
{
    ServiceName m_service;
    std::string m_version;
    friend auto operator<=>(const stream_origin&, const stream_origin&) = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_service, m_version);
    }
};

}  // namespace martenyard::turn_ledger
