// Programs that were refused and are expected to return. Decision logic: no I/O, no clock.
//
// The table is kept by one process at a time: the leader of the programs' group, while it holds its leader
// lease. It is in memory only, and a new leader begins with an empty one.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "base/ids.h"

namespace martenyard::turn_ledger
{

/// @brief tuning parameters
struct waiting_programs_options
{
    /// programs in the table; further refused programs are not recorded and stay new
    std::size_t m_max_programs = 4000;
    /// a program that was not refused again for this long is not expected to return
    std::chrono::milliseconds m_retention{5000};
    /// time until a new leader's table has the waiting programs; the retry delay of a refusal is at most a
    /// second
    std::chrono::milliseconds m_warmup{4000};
    /// programs refused within this time hold back those that were refused for the first time after them;
    /// twice the longest retry delay, so that abandoned programs stop doing so before their entries expire
    std::chrono::milliseconds m_contention{2000};
    /// time between computations of the order, each of which scans the table
    std::chrono::milliseconds m_order_interval{100};
    /// this many of the programs that have waited longest may begin, or half of them if that is more
    std::size_t m_min_eligible = 8;
};

class waiting_programs
{
  public:
    using instant = std::chrono::steady_clock::time_point;

    explicit waiting_programs(const waiting_programs_options& options = {});

    /// @brief empties the table, since another leader has refused programs until now
    void reset(instant now);

    /// @brief decides on a program without an account while only waiting programs may begin; a refused
    /// program is recorded
    ///
    /// The longer-waiting half of the programs may begin, so that a little room does not go to whichever
    /// program returns first. A program that was told that it may begin stays eligible: a repeated request
    /// must not be refused while the first one is being committed.
    bool may_begin(instant now, const ProgramId& program);

    /// @brief records the refusal of a program while no new program may begin
    ///
    /// Does nothing before the first call of @ref may_begin since the reset: gateways that don't use the
    /// table cause no entries.
    void record_refusal(instant now, const ProgramId& program);

    /// @brief the program has an account now
    void remove(const ProgramId& program);

    /// @return the number of entries, including expired ones that have not been removed yet
    std::size_t size() const
    {
        return m_programs.size();
    }

  private:
    struct waiting_program
    {
        instant m_first_refusal;
        instant m_last_refusal;
        /// it was told that it may begin
        bool m_admitted = false;
    };

    bool expired(instant now, const waiting_program& program) const;
    /// @return the program's entry, added if there is room; nullptr otherwise
    waiting_program* find_or_add(instant now, std::uint64_t program);
    /// @brief removes expired programs and computes which of the others may begin
    void update_order(instant now);

    waiting_programs_options m_options;
    instant m_reset;
    bool m_in_use = false;
    instant m_ordered_at;
    /// programs that were first refused until then may begin
    instant m_eligible_until;
    /// by the hash of the program's id, so that long ids take no more memory
    absl::flat_hash_map<std::uint64_t, waiting_program> m_programs;
};

}  // namespace martenyard::turn_ledger
