#include "async_http/tcp_state.h"

#include <linux/tcp.h>  // Has more of tcp_info than <netinet/tcp.h>, and can't be used beside it.
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstddef>

namespace martenyard::async_http {

bool HasReceivedFin(int socket, std::uint64_t bytes_read) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  constexpr std::size_t kNeeded =
      offsetof(tcp_info, tcpi_bytes_received) + sizeof(info.tcpi_bytes_received);
  if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || size < kNeeded) {
    return false;
  }
  // A FIN takes up one sequence number, which the system counts as a byte.
  return info.tcpi_bytes_received > bytes_read;
}

}  // namespace martenyard::async_http
