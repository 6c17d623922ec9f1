// Whether a new program may begin now. Decision code: no I/O, no clock.
//
// A program that has begun brings more turns for seconds. When more programs are under way than the engines
// can carry, all of them get slower: turns wait, memory of lines is given up before their next turn and has
// to be read again, programs end late and are under way for longer. That state keeps itself up after the
// burst that began it. So new programs are told to come back while the engines are nearly full, and turns
// of programs under way always go on.
#pragma once

#include <cstdint>

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
    double m_most_load = 0.85;
};

/// @return whether a new program may begin
inline bool admits_program(const engine_load& load, const admission_options& options)
{
    return load.m_slots == 0 || load.m_active < options.m_most_load * load.m_slots;
}

}  // namespace martenyard::forwarding
