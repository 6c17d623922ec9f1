// By how much the ids of a service's events rise, learned from its whole streams.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "forwarding/service_configuration.h"

namespace martenyard::forwarding
{

/// @brief remembers the step of each service's event ids
///
/// With it, a run that a client itself resumed is told from one that leaves an event out: until the first
/// event is passed on, the stream alone does not say where the next one belongs.
class id_steps
{
  public:
    /// Services remembered at once. Configurations name a few; when more come, all is learned anew.
    static constexpr std::size_t most_services = 256;

    /// @param[in] step  by how much ids rose throughout one stream; 0: it was not always the same
    void note(const ServiceName& service, std::uint64_t step);

    /// @return the step that all streams of the service had; 0 when they differed or none is known
    std::uint64_t step_of(const ServiceName& service) const;

  private:
    std::map<ServiceName, std::uint64_t> m_steps;
};

}  // namespace martenyard::forwarding
