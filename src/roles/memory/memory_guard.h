// Whether a process is so near its limit of memory that it must take no new work. Decision code, but
// for the function that asks the allocator.
#pragma once

#include <cstdint>

namespace martenyard::roles
{

/// @brief named knobs, as shares of the limit
struct memory_guard_options
{
    /// full from here on
    double m_full_share = 0.8;
    /// no longer full below
    double m_free_share = 0.72;
};

/// @brief says full and not full with some distance between, so that it doesn't flap
class memory_guard
{
  public:
    /// @param[in] limit  bytes that the process may use
    explicit memory_guard(std::uint64_t limit, const memory_guard_options& options = {});

    /// @param[in] used  bytes in use now
    /// @return whether the process is full
    bool judge(std::uint64_t used);

    /// @return what was said last
    bool full() const;

  private:
    std::uint64_t m_limit;
    memory_guard_options m_options;
    bool m_full = false;
};

/// @return bytes that the allocator has taken from the system for this process
std::uint64_t allocated_bytes();

}  // namespace martenyard::roles
