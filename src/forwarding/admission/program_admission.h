// Whether a new program may begin now. Decision code: no I/O, no clock.
//
// A program that has begun brings more turns for seconds. When more programs are under way than the engines
// can carry, all of them get slower: turns wait, memory of lines is given up before their next turn and has
// to be read again, programs end late and are under way for longer. That state keeps itself up after the
// burst that began it. So new programs are told to come back while the engines are nearly full, and turns
// of programs under way always go on.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

namespace martenyard::forwarding
{

/// @brief requests at the engines of a service, of all gateways as far as known
struct engine_load
{
    std::uint32_t m_active = 0;
    /// requests that the engines run at once; runners that leave don't count
    std::uint32_t m_slots = 0;
};

/// @brief named knobs
struct admission_options
{
    /// active requests for each slot from which on no new program begins. About a third of the programs
    /// under way pause or call tools at any moment; measured in docs/design/0008
    double m_most_load = 0.7;
    /// of the time that a program has left, until a refused one may come back. Its objective is a multiple
    /// of what it takes on idle engines, so a short program can't wait long and still end in time
    double m_pause_share = 0.05;
    /// a client attempt takes a pause of a third of its time at most
    std::chrono::milliseconds m_longest_pause{1000};
    std::chrono::milliseconds m_least_pause{100};
};

/// @param[in] left    until the program should be over; nothing: it doesn't say
/// @param[in] spread  0 to 1: those refused together come back apart
/// @return when a refused new program may come back
inline std::chrono::milliseconds program_pause(std::optional<std::chrono::milliseconds> left, double spread,
                                               const admission_options& options)
{
    using std::chrono::milliseconds;
    std::chrono::duration<double, std::milli> mean =
        left ? *left * options.m_pause_share : options.m_longest_pause / 2.0;
    auto wanted = std::chrono::duration_cast<milliseconds>(mean * (1 + spread));
    return std::clamp(wanted, options.m_least_pause, options.m_longest_pause);
}

/// @return whether a new program may begin
inline bool admits_program(const engine_load& load, const admission_options& options)
{
    return load.m_slots == 0 || load.m_active < options.m_most_load * load.m_slots;
}

}  // namespace martenyard::forwarding
