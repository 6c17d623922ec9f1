#include "roles/memory/memory_guard.h"

#include <malloc.h>

namespace martenyard::roles
{

memory_guard::memory_guard(std::uint64_t limit, const memory_guard_options& options)
    : m_limit(limit), m_options(options)
{
}

bool memory_guard::update(std::uint64_t used)
{
    double share = static_cast<double>(used) / static_cast<double>(m_limit);
    m_full = share >= (m_full ? m_options.m_free_share : m_options.m_full_share);
    return m_full;
}

bool memory_guard::full() const
{
    return m_full;
}

std::uint64_t allocated_bytes()
{
    struct mallinfo2 heap = mallinfo2();
    return heap.arena + heap.hblkhd;
}

}  // namespace martenyard::roles
