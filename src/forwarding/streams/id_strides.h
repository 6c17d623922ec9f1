// Learns the constant difference (stride) between consecutive event ids of each service.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "forwarding/service_configuration.h"

namespace martenyard::forwarding
{

/// @brief the stride of each service's event ids, learned from its complete streams
///
/// When a client resumes a stream, the stride is needed to detect a missing event before the first event is
/// delivered.
class id_strides
{
  public:
    /// maximum number of services; all entries are cleared when it is exceeded
    static constexpr std::size_t max_services = 256;

    /// @param[in] stride  the id stride of a complete stream; 0 if it was not constant
    void record(const ServiceName& service, std::uint64_t stride);

    /// @return the stride shared by all streams of the service; 0 if they differ or none is known
    std::uint64_t stride_of(const ServiceName& service) const;

  private:
    std::map<ServiceName, std::uint64_t> m_strides;
};

}  // namespace martenyard::forwarding
