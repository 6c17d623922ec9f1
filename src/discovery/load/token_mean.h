// The mean tokens of recent requests. Decision logic: no I/O, no clock.
#pragma once

#include <algorithm>
#include <cstdint>

namespace martenyard::discovery
{

/// @brief mean of recent values; each new value replaces a 32nd of it, and the first ones equal shares
class token_mean
{
  public:
    void add(std::uint32_t tokens)
    {
        m_count = std::min(m_count + 1, window);
        m_value += (tokens - m_value) / m_count;
    }

    /// @return the mean; 0 without any value
    double value() const
    {
        return m_value;
    }

  private:
    static constexpr int window = 32;

    int m_count = 0;
    double m_value = 0;
};

}  // namespace martenyard::discovery
