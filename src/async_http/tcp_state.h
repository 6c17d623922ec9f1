// What the system knows of a TCP connection beyond the results of reads and writes.
#pragma once

#include <cstdint>

namespace martenyard::async_http {

/// Tells an end of the peer's data from a failed connection, also after the connection has failed.
/// @param socket a TCP socket whose received bytes have all been read.
/// @param bytes_read the number of bytes read from it since it was connected.
/// @return whether the peer has ended its data in order (FIN); false if the system can't tell.
bool HasReceivedFin(int socket, std::uint64_t bytes_read);

}  // namespace martenyard::async_http
