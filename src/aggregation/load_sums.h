// Sums of the loads that several sources report. Decision logic: no I/O, no clock.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "aggregation/messages.h"

namespace martenyard::aggregation
{

/// @brief the latest loads of each source, summed by runner
///
/// The cost of an update is linear in the size of the source's previous and new report and independent of
/// the other sources.
class load_sums
{
  public:
    /// @param[in] lifetime  the loads of a source that sends no update for this time are removed
    explicit load_sums(std::chrono::milliseconds lifetime);

    /// @brief replaces the loads of the source
    void update(instant now, const std::string& source, std::vector<runner_load> loads);

    /// @brief removes sources without a recent update
    void expire(instant now);

    /// @brief adds the sums to `active`
    void add_to(absl::flat_hash_map<std::uint32_t, std::uint32_t>& active) const;

  private:
    struct source_state
    {
        instant m_received_at;
        std::vector<runner_load> m_loads;
    };

    void add(const std::vector<runner_load>& loads, int sign);

    std::chrono::milliseconds m_lifetime;
    std::map<std::string, source_state> m_sources;
    absl::flat_hash_map<std::uint32_t, std::int64_t> m_active;
};

/// @brief request outcomes and placements since the last message; each is sent once
class pending_updates
{
  public:
    /// @param[in] max_placements  further placements are dropped; they are only an optimization
    explicit pending_updates(std::size_t max_placements);

    void record(const std::vector<runner_load>& loads, const std::vector<placement>& placements);

    /// @brief moves pending outcomes into the loads of a message, up to the limit of its 8-bit counters
    /// @param[in] active  requests in progress by runner
    std::vector<runner_load> take_loads(const absl::flat_hash_map<std::uint32_t, std::uint32_t>& active);

    std::vector<placement> take_placements();

    /// @return the number of dropped placements
    std::uint64_t dropped() const
    {
        return m_dropped;
    }

  private:
    struct outcomes
    {
        std::uint32_t m_served = 0;
        std::uint32_t m_lost = 0;
    };

    std::size_t m_max_placements;
    absl::flat_hash_map<std::uint32_t, outcomes> m_outcomes;
    std::vector<placement> m_placements;
    std::uint64_t m_dropped = 0;
};

}  // namespace martenyard::aggregation
