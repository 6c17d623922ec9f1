// The operating system's limits on this process.
#pragma once

#include <cstdint>

#include "event_log/event_log.h"

namespace martenyard::process
{

/// @brief soft limits in force; `unlimited` where there is none
struct resource_limits
{
    static constexpr std::uint64_t unlimited = UINT64_MAX;

    std::uint64_t m_descriptors = unlimited;
    std::uint64_t m_address_space_bytes = unlimited;
    /// of the user's processes; each thread counts
    std::uint64_t m_threads = unlimited;
    std::uint64_t m_file_bytes = unlimited;
    std::uint64_t m_stack_bytes = unlimited;
};

resource_limits read_resource_limits();

/// @brief raises the soft limit on descriptors, up to the hard limit
/// @param[in] wanted  number of descriptors that the process may need
void raise_descriptor_limit(std::uint64_t wanted);

/// @brief makes all threads allocate from one heap
///
/// By default each thread gets a heap of its own, which reserves address space and keeps freed memory that
/// other threads can't use. To be called before other threads are started.
void use_one_heap();

/// @return the line `resource_limits`, in which -1 stands for no limit
event_log::Line describe(const resource_limits& limits);

}  // namespace martenyard::process
