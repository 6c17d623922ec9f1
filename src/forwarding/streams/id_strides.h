// Learns the constant difference (stride) between consecutive event ids of each service and software version.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "turn_ledger/streams/stream_origin.h"

namespace martenyard::forwarding
{

/// @brief the stride of the event ids of each origin of streams, learned from complete streams
///
/// When a client resumes a stream, the stride is needed to detect a missing event before the first event is
/// delivered.
class id_strides
{
  public:
    /// maximum number of origins; all entries are cleared when it is exceeded
    static constexpr std::size_t max_origins = 256;

    /// @param[in] stride  the id stride of a complete stream; 0 if it was not constant
    void record(const turn_ledger::stream_origin& origin, std::uint64_t stride);

    /// @return the stride shared by all streams of the origin, or by those of the service's other versions if
    /// none of the origin is known; 0 if they differ or none is known
    std::uint64_t stride_of(const turn_ledger::stream_origin& origin) const;

  private:
    std::map<turn_ledger::stream_origin, std::uint64_t> m_strides;
};

}  // namespace martenyard::forwarding
