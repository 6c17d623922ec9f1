#include "forwarding/isolation/isolation_gate.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace martenyard::forwarding
{

std::chrono::milliseconds move_delay(std::chrono::milliseconds isolated_for, double point,
                                     const isolation_options& options)
{
    std::chrono::milliseconds remaining = std::max(options.m_move_time - isolated_for, options.m_min_delay);
    auto spread = static_cast<std::int64_t>(point * static_cast<double>(options.m_spread.count()));
    return remaining + std::chrono::milliseconds(spread);
}

isolation_gate::waiting_request::waiting_request(isolation_gate& gate, std::function<void()> on_reject)
    : m_gate(gate), m_on_reject(std::move(on_reject))
{
    m_gate.m_waiting.insert(this);
}

isolation_gate::waiting_request::~waiting_request()
{
    m_gate.m_waiting.erase(this);
}

void isolation_gate::set(std::optional<instant> isolated_since)
{
    bool closes = isolated_since && !m_isolated_since;
    m_isolated_since = isolated_since;
    if (!closes)
    {
        return;
    }
    // A handler may run, and unregister its request, while others are being rejected.
    std::vector<waiting_request*> waiting(m_waiting.begin(), m_waiting.end());
    for (waiting_request* request : waiting)
    {
        if (m_waiting.contains(request) && request->m_on_reject)
        {
            std::exchange(request->m_on_reject, nullptr)();
        }
    }
}

}  // namespace martenyard::forwarding
