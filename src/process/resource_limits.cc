#include "process/resource_limits.h"

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>

namespace martenyard::process
{

namespace
{

std::uint64_t soft_limit(int resource)
{
    rlimit limit{};
    bool known = getrlimit(static_cast<__rlimit_resource_t>(resource), &limit) == 0;
    return known && limit.rlim_cur != RLIM_INFINITY ? limit.rlim_cur : resource_limits::unlimited;
}

std::int64_t logged(std::uint64_t limit)
{
    constexpr std::uint64_t most = INT64_MAX;
    return limit == resource_limits::unlimited ? -1 : static_cast<std::int64_t>(std::min(limit, most));
}

}  // namespace

resource_limits read_resource_limits()
{
    resource_limits limits;
    limits.m_descriptors = soft_limit(RLIMIT_NOFILE);
    limits.m_address_space_bytes = soft_limit(RLIMIT_AS);
    limits.m_threads = soft_limit(RLIMIT_NPROC);
    limits.m_file_bytes = soft_limit(RLIMIT_FSIZE);
    limits.m_stack_bytes = soft_limit(RLIMIT_STACK);
    return limits;
}

void raise_descriptor_limit(std::uint64_t wanted)
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < wanted)
    {
        limit.rlim_cur = std::min<rlim_t>(wanted, limit.rlim_max);
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

void use_one_heap()
{
    mallopt(M_ARENA_MAX, 1);
}

event_log::Line describe(const resource_limits& limits)
{
    event_log::Line line("resource_limits");
    line.Number("descriptors", logged(limits.m_descriptors))
        .Number("address_space", logged(limits.m_address_space_bytes))
        .Number("threads", logged(limits.m_threads))
        .Number("file_size", logged(limits.m_file_bytes))
        .Number("stack", logged(limits.m_stack_bytes));
    return line;
}

}  // namespace martenyard::process
