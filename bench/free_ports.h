// Ports for processes that must know their addresses before they start.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace martenyard::bench {

/// @return ports of the loopback address that are free for TCP and UDP, and that no other process
/// which asks here is given while this one lives. They lie below the system's ephemeral ports, so
/// that no outgoing connection takes one before its server has started.
std::vector<std::uint16_t> FreePorts(std::size_t count);

}  // namespace martenyard::bench
