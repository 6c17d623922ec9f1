// Sums of the loads that several sources tell. Decision code: no I/O, no clock.
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
/// Taking a message costs as much as it and the one before are long, whatever the others said.
class load_sums
{
  public:
    /// @param[in] lifetime  a source silent for this long counts as having no requests
    explicit load_sums(std::chrono::milliseconds lifetime);

    /// @brief replaces what the source said before
    void update(instant now, const std::string& source, std::vector<runner_load> loads);

    /// @brief forgets sources that fell silent
    void expire(instant now);

    /// @brief adds the sums to others
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

/// @brief what became of requests since the last message, and where prompts were read; each is told once
class pending_updates
{
  public:
    /// @param[in] most_placements  those beyond are dropped: they only save an engine some reading
    explicit pending_updates(std::size_t max_placements);

    void record(const std::vector<runner_load>& loads, const std::vector<placement>& placements);

    /// @brief moves what is pending into the loads of a message, as much as its small counters hold
    /// @param[in] active  requests under way by runner
    std::vector<runner_load> take_loads(const absl::flat_hash_map<std::uint32_t, std::uint32_t>& active);

    std::vector<placement> take_placements();

    /// @return placements dropped since the start
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
