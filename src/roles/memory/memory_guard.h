// Decides whether a process is too close to its memory limit to accept new work.
#pragma once

#include <cstdint>

namespace martenyard::roles
{

/// @brief tuning parameters, as shares of the limit
struct memory_guard_options
{
    /// full at or above this share
    double m_full_share = 0.8;
    /// no longer full below this share
    double m_free_share = 0.72;
};

/// @brief threshold with hysteresis
class memory_guard
{
  public:
    /// @param[in] limit  memory limit of the process, in bytes
    explicit memory_guard(std::uint64_t limit, const memory_guard_options& options = {});

    /// @param[in] used  bytes in use
    /// @return whether the process is full
    bool update(std::uint64_t used);

    /// @return the last decision
    bool full() const;

  private:
    std::uint64_t m_limit;
    memory_guard_options m_options;
    bool m_full = false;
};

/// @return bytes that the allocator has obtained from the operating system
std::uint64_t allocated_bytes();

}  // namespace martenyard::roles
