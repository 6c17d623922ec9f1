#include "turn_ledger/admission/waiting_programs.h"

#include <algorithm>
#include <vector>

#include "base/hash.h"

namespace martenyard::turn_ledger
{

waiting_programs::waiting_programs(const waiting_programs_options& options) : m_options(options)
{
    reset(instant());
}

void waiting_programs::reset(instant now)
{
    m_reset = now;
    m_in_use = false;
    m_ordered_at = now;
    m_eligible_until = instant::max();
    m_programs.clear();
}

bool waiting_programs::expired(instant now, const waiting_program& program) const
{
    return now - program.m_last_refusal > m_options.m_retention;
}

waiting_programs::waiting_program* waiting_programs::find_or_add(instant now, std::uint64_t program)
{
    auto found = m_programs.find(program);
    if (found != m_programs.end())
    {
        if (expired(now, found->second))
        {
            found->second = {now, now};
        }
        return &found->second;
    }
    if (m_programs.size() >= m_options.m_max_programs)
    {
        return nullptr;
    }
    return &m_programs.emplace(program, waiting_program{now, now}).first->second;
}

void waiting_programs::update_order(instant now)
{
    if (now - m_ordered_at < m_options.m_order_interval)
    {
        return;
    }
    m_ordered_at = now;
    absl::erase_if(m_programs,
                   [&](const auto& entry)
                   {
                       return expired(now, entry.second);
                   });
    std::vector<instant> first_refusals;
    for (const auto& [program, entry] : m_programs)
    {
        if (!entry.m_admitted && now - entry.m_last_refusal <= m_options.m_contention)
        {
            first_refusals.push_back(entry.m_first_refusal);
        }
    }
    std::size_t eligible = std::max(m_options.m_min_eligible, (first_refusals.size() + 1) / 2);
    if (first_refusals.size() <= eligible)
    {
        m_eligible_until = instant::max();
        return;
    }
    auto last_eligible = first_refusals.begin() + static_cast<std::ptrdiff_t>(eligible) - 1;
    std::nth_element(first_refusals.begin(), last_eligible, first_refusals.end());
    m_eligible_until = *last_eligible;
}

bool waiting_programs::may_begin(instant now, const ProgramId& program)
{
    m_in_use = true;
    update_order(now);
    std::uint64_t key = StableHash(program.value);
    auto found = m_programs.find(key);
    bool waiting = found != m_programs.end() && !expired(now, found->second);
    bool eligible =
        waiting && (found->second.m_admitted || found->second.m_first_refusal <= m_eligible_until);
    bool admitted = eligible || now - m_reset < m_options.m_warmup;
    if (waiting_program* entry = find_or_add(now, key))
    {
        entry->m_last_refusal = now;
        entry->m_admitted = admitted;
    }
    return admitted;
}

void waiting_programs::record_refusal(instant now, const ProgramId& program)
{
    if (!m_in_use)
    {
        return;
    }
    update_order(now);
    if (waiting_program* entry = find_or_add(now, StableHash(program.value)))
    {
        entry->m_last_refusal = now;
    }
}

void waiting_programs::remove(const ProgramId& program)
{
    if (!m_programs.empty())
    {
        m_programs.erase(StableHash(program.value));
    }
}

}  // namespace martenyard::turn_ledger
