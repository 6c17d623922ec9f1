#include "forwarding/crashes/loss_watch.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace martenyard::forwarding
{

loss_watch::loss_watch(std::chrono::seconds lifetime, std::size_t capacity)
    : m_lifetime(lifetime), m_capacity(capacity)
{
}

void loss_watch::add(const std::string& runner, lost_request loss)
{
    if (m_size >= m_capacity)
    {
        drop_oldest();
    }
    m_losses[runner].push_back(std::move(loss));
    ++m_size;
}

std::vector<lost_request> loss_watch::take_cleared(const std::string& runner, instant sent_at)
{
    std::vector<lost_request> cleared;
    auto found = m_losses.find(runner);
    if (found == m_losses.end())
    {
        return cleared;
    }
    std::vector<lost_request>& losses = found->second;
    auto settled = std::stable_partition(losses.begin(), losses.end(),
                                         [sent_at](const lost_request& loss)
                                         {
                                             return loss.m_lost_at > sent_at;
                                         });
    m_size -= static_cast<std::size_t>(std::distance(settled, losses.end()));
    std::copy_if(std::make_move_iterator(settled), std::make_move_iterator(losses.end()),
                 std::back_inserter(cleared),
                 [](const lost_request& loss)
                 {
                     return loss.m_record.has_value();
                 });
    losses.erase(settled, losses.end());
    if (losses.empty())
    {
        m_losses.erase(found);
    }
    return cleared;
}

std::vector<lost_request> loss_watch::take_uncounted(const std::string& runner)
{
    std::vector<lost_request> uncounted;
    auto found = m_losses.find(runner);
    if (found == m_losses.end())
    {
        return uncounted;
    }
    std::vector<lost_request>& losses = found->second;
    auto taken = std::stable_partition(losses.begin(), losses.end(),
                                       [](const lost_request& loss)
                                       {
                                           return loss.m_record.has_value();
                                       });
    std::move(taken, losses.end(), std::back_inserter(uncounted));
    m_size -= uncounted.size();
    losses.erase(taken, losses.end());
    if (losses.empty())
    {
        m_losses.erase(found);
    }
    return uncounted;
}

std::vector<std::string> loss_watch::runners_where(
    const std::function<bool(const std::string&)>& predicate) const
{
    std::vector<std::string> runners;
    for (const auto& [runner, losses] : m_losses)
    {
        if (predicate(runner))
        {
            runners.push_back(runner);
        }
    }
    return runners;
}

void loss_watch::expire(instant now)
{
    for (auto entry = m_losses.begin(); entry != m_losses.end();)
    {
        m_size -= std::erase_if(entry->second,
                                [&](const lost_request& loss)
                                {
                                    return loss.m_lost_at + m_lifetime < now;
                                });
        entry = entry->second.empty() ? m_losses.erase(entry) : std::next(entry);
    }
}

void loss_watch::drop_oldest()
{
    auto oldest = std::min_element(m_losses.begin(), m_losses.end(),
                                   [](const auto& left, const auto& right)
                                   {
                                       return left.second.front().m_lost_at < right.second.front().m_lost_at;
                                   });
    oldest->second.erase(oldest->second.begin());
    if (oldest->second.empty())
    {
        m_losses.erase(oldest);
    }
    --m_size;
}

}  // namespace martenyard::forwarding
