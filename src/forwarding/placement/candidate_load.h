// Derives a candidate's relative service time and memory from the state of its runner. Decision logic: no
// I/O, no clock.
#pragma once

#include <chrono>
#include <cstdint>

#include "discovery/runner_table.h"
#include "forwarding/overload/overload_options.h"
#include "forwarding/runner_choice.h"

namespace martenyard::forwarding
{

/// @brief what the placement of one request knows about the runners of a service
class candidate_load
{
  public:
    using instant = std::chrono::steady_clock::time_point;

    /// @param[in] options       the members of disabled mechanisms stay as they are in `Candidate`
    /// @param[in] cache_tokens  capacity of an engine's cache; 0 if there is none or it is unknown
    candidate_load(instant now, const discovery::RunnerTable& runners, const ServiceName& service,
                   const overload_options& options, std::uint64_t cache_tokens);

    /// @brief sets the candidate's relative service time, extra service time and memory
    /// @param[in] candidate  its number of active requests and its loss rate are set already
    void apply(const discovery::RunnerState& runner, Candidate& candidate) const;

  private:
    instant m_now;
    overload_options m_options;
    std::uint64_t m_cache_tokens;
    discovery::runner_speeds m_speeds;
    double m_mean_tokens;
};

}  // namespace martenyard::forwarding
