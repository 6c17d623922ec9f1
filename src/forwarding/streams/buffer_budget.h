// Bounds the memory of the responses that this gateway holds for its clients.
#pragma once

#include <cstdint>
#include <set>

#include "async_http/task.h"

namespace martenyard::forwarding
{

/// @brief bytes of buffered responses, over all requests of the process
///
/// Load pattern: many large responses at once, or clients that read them slowly. Reading from the runners
/// pauses while the budget is used up; the response that began first is always read on, so that responses
/// that hold a part each do not wait for one another. The sum is at most twice the limit. Not thread-safe:
/// for the event loop's thread only.
class buffer_budget
{
  public:
    explicit buffer_budget(async_http::asio::io_context& context) : m_released(context)
    {
    }

    void set_limit(std::uint64_t bytes)
    {
        m_limit = bytes;
    }

    /// @return the largest response that may be buffered
    std::uint64_t limit() const
    {
        return m_limit;
    }

    std::uint64_t used() const
    {
        return m_used;
    }

  private:
    friend class buffer_reservation;

    std::uint64_t m_limit = UINT64_MAX;
    std::uint64_t m_used = 0;
    std::uint64_t m_last_id = 0;
    /// ids of the reservations, in the order of their creation
    std::set<std::uint64_t> m_reservations;
    async_http::Signal m_released;
};

/// @brief the bytes held by one response; released with the object
class buffer_reservation
{
  public:
    /// @param[in] budget  must outlive the reservation
    explicit buffer_reservation(buffer_budget& budget) : m_budget(budget), m_id(++budget.m_last_id)
    {
        m_budget.m_reservations.insert(m_id);
    }
    buffer_reservation(const buffer_reservation&) = delete;
    buffer_reservation& operator=(const buffer_reservation&) = delete;
    ~buffer_reservation()
    {
        resize(0);
        m_budget.m_reservations.erase(m_id);
        m_budget.m_released.Notify();
    }

    /// @brief sets the number of bytes held
    void resize(std::uint64_t bytes)
    {
        m_budget.m_used += bytes - m_bytes;
        m_bytes = bytes;
    }

    /// @return whether more may be read into this response now
    bool may_grow() const
    {
        return m_budget.m_used < m_budget.m_limit || *m_budget.m_reservations.begin() == m_id;
    }

    /// @brief waits until another response is released, for at most `timeout`
    async_http::Task<void> wait(absl::Duration timeout)
    {
        co_await m_budget.m_released.Wait(timeout);
    }

  private:
    buffer_budget& m_budget;
    std::uint64_t m_id;
    std::uint64_t m_bytes = 0;
};

}  // namespace martenyard::forwarding
