// Statistics of the ledger event loop's work, for the event log.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "absl/time/time.h"
#include "base/clock.h"

namespace martenyard::roles
{

/// @brief kinds of work, in the order of @ref work_kind_names
enum class work_kind : std::size_t
{
    chain_reads,
    requests,
    log_messages,
    staged_entries,
    store_writes,
    applying,
    snapshot_steps,
    transfers
};

inline constexpr std::array<const char*, 8> work_kind_names{"chain_reads",    "requests",     "log_messages",
                                                            "staged_entries", "store_writes", "applying",
                                                            "snapshot_steps", "transfers"};

/// @brief totals of one kind of work
struct work_total
{
    std::int64_t m_count = 0;
    std::int64_t m_bytes = 0;
    absl::Duration m_duration;
    absl::Duration m_max_duration;
};

/// @brief accumulates totals until they are taken
class work_stats
{
  public:
    using totals = std::array<work_total, work_kind_names.size()>;

    /// @brief runs `work` and adds its duration to the totals
    template <typename Work>
    auto measure(work_kind kind, Work work)
    {
        const scoped_timer timer(m_totals[static_cast<std::size_t>(kind)]);
        return work();
    }

    void add_bytes(work_kind kind, std::size_t bytes)
    {
        m_totals[static_cast<std::size_t>(kind)].m_bytes += static_cast<std::int64_t>(bytes);
    }

    totals take()
    {
        totals current = m_totals;
        m_totals = {};
        return current;
    }

  private:
    /// adds the elapsed time on destruction
    class scoped_timer
    {
      public:
        explicit scoped_timer(work_total& total) : m_total(total), m_start(SteadyNow())
        {
        }
        ~scoped_timer()
        {
            absl::Duration elapsed = SteadyNow() - m_start;
            ++m_total.m_count;
            m_total.m_duration += elapsed;
            m_total.m_max_duration = elapsed > m_total.m_max_duration ? elapsed : m_total.m_max_duration;
        }
        scoped_timer(const scoped_timer&) = delete;
        scoped_timer& operator=(const scoped_timer&) = delete;

      private:
        work_total& m_total;
        absl::Time m_start;
    };

    totals m_totals;
};

}  // namespace martenyard::roles
