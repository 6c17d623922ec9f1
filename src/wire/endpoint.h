// An IPv4 address and port of a daemon.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace martenyard::wire {

/// Where a daemon listens, for peers or for callers.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  std::string ToString() const { return address + ":" + std::to_string(port); }
  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(address, port);
  }
};

/// @return the endpoint written as "a.b.c.d:port", or nothing if `text` is not one.
std::optional<Endpoint> ParseEndpoint(std::string_view text);

}  // namespace martenyard::wire
