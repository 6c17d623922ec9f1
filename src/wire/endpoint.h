// An IPv4 address and port of a daemon.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace martenyard::wire {

/// Address that a daemon listens on, for peers or callers.
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

/// Parses "a.b.c.d:port". @return nullopt if `text` is malformed.
std::optional<Endpoint> ParseEndpoint(std::string_view text);

}  // namespace martenyard::wire
