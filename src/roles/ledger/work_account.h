// Statistics of the ledger event loop's work, for the event log.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "absl/time/time.h"
#include "base/clock.h"

namespace martenyard::roles
{

/// @brief kinds of work, in the order of @ref work_names
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

inline constexpr std::array<const char*, 8> work_names{"chain_reads",    "requests",     "log_messages",
                                                       "staged_entries", "store_writes", "applying",
                                                       "snapshot_steps", "transfers"};

/// @brief totals of one kind of work
struct work_done
{
    std::int64_t m_times = 0;
    std::int64_t m_bytes = 0;
    absl::Duration m_taken;
    absl::Duration m_longest;
};

/// @brief accumulates totals until they are taken
class work_account
{
  public:
    using sums = std::array<work_done, work_names.size()>;

    /// @brief runs `work` and adds its duration to the totals
    template <typename Work>
    auto timed(work_kind kind, Work work)
    {
        const closing_entry entry(m_sums[static_cast<std::size_t>(kind)]);
        return work();
    }

    void add_bytes(work_kind kind, std::size_t bytes)
    {
        m_sums[static_cast<std::size_t>(kind)].m_bytes += static_cast<std::int64_t>(bytes);
    }

    sums take()
    {
        sums taken = m_sums;
        m_sums = {};
        return taken;
    }

  private:
    /// adds the elapsed time on destruction
    class closing_entry
    {
      public:
        explicit closing_entry(work_done& sum) : m_sum(sum), m_begun(SteadyNow())
        {
        }
        ~closing_entry()
        {
            absl::Duration taken = SteadyNow() - m_begun;
            ++m_sum.m_times;
            m_sum.m_taken += taken;
            m_sum.m_longest = taken > m_sum.m_longest ? taken : m_sum.m_longest;
        }
        closing_entry(const closing_entry&) = delete;
        closing_entry& operator=(const closing_entry&) = delete;

      private:
        work_done& m_sum;
        absl::Time m_begun;
    };

    sums m_sums;
};

}  // namespace martenyard::roles
