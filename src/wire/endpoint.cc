#include "wire/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace martenyard::wire {

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  Endpoint endpoint;
  endpoint.address = std::string(text.substr(0, colon));
  in_addr parsed{};
  if (inet_pton(AF_INET, endpoint.address.c_str(), &parsed) != 1) {
    return std::nullopt;
  }
  std::string_view digits = text.substr(colon + 1);
  auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), endpoint.port);
  if (error != std::errc() || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return endpoint;
}

}  // namespace martenyard::wire
