#include "bench/free_ports.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cstddef>
#include <cstdlib>
#include <string>

namespace martenyard::bench {
namespace {

constexpr std::uint16_t kFirstPort = 10000;
constexpr std::uint16_t kLastPort = 32767;  // The ephemeral ports begin behind it.
constexpr std::uint16_t kPorts = kLastPort - kFirstPort + 1;
/// Processes begin their search this far apart, by their ids.
constexpr std::uint16_t kSearchStep = 61;

bool CanBind(int type, std::uint16_t port) {
  int probe = socket(AF_INET, type, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  bool bound = bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(probe);
  return bound;
}

/// Takes the port's name in the abstract socket namespace, which the system gives back when this
/// process ends. @return false when another process, or an earlier call, has it.
bool Claim(std::uint16_t port) {
  int guard = socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  sockaddr_un name{};
  name.sun_family = AF_UNIX;
  std::string text = "martenyard-port-" + std::to_string(port);
  text.copy(name.sun_path + 1, sizeof(name.sun_path) - 1);  // A leading zero: abstract.
  auto size = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + text.size());
  if (bind(guard, reinterpret_cast<sockaddr*>(&name), size) != 0) {
    close(guard);
    return false;
  }
  return true;  // The guard stays open for as long as the process lives.
}

}  // namespace

std::vector<std::uint16_t> FreePorts(std::size_t count) {
  std::vector<std::uint16_t> ports;
  auto start = static_cast<std::uint32_t>(getpid()) * kSearchStep;
  for (std::uint32_t tried = 0; ports.size() < count; ++tried) {
    if (tried == kPorts) {
      std::abort();  // A test machine has thousands of free ports.
    }
    auto port = static_cast<std::uint16_t>(kFirstPort + (start + tried) % kPorts);
    if (Claim(port) && CanBind(SOCK_STREAM, port) && CanBind(SOCK_DGRAM, port)) {
      ports.push_back(port);
    }
  }
  return ports;
}

}  // namespace martenyard::bench
