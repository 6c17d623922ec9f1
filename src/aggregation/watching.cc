#include "aggregation/watching.h"

#include "base/hash.h"

namespace martenyard::aggregation
{
namespace
{

/// @return whether `holds` has been false for `patience`; `since` keeps since when
bool lasts(instant now, bool holds, std::chrono::milliseconds patience, std::optional<instant>& since)
{
    if (holds)
    {
        since.reset();
        return false;
    }
    since = since.value_or(now);
    return now - *since >= patience;
}

}  // namespace

watch_decision::watch_decision(const std::string& name, const watch_options& options)
    : m_options(options),
      m_own_pause(StableHash(name) % static_cast<std::uint64_t>(options.m_any_spread.count()))
{
}

bool watch_decision::judge(const watch_view& seen)
{
    bool zone_is_served = !seen.m_aggregates || seen.m_zone_has_contact;
    bool stands_in = lasts(seen.m_now, zone_is_served, m_options.m_second_after, m_zone_without_contact);
    bool alone =
        lasts(seen.m_now, seen.m_hears_contact, m_options.m_any_after + m_own_pause, m_all_without_contact);
    return seen.m_speaks || stands_in || alone;
}

}  // namespace martenyard::aggregation
