// Turns typed messages into bytes and back, with cereal's portable binary archive.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <exception>
#include <optional>
#include <sstream>
#include <string>

namespace martenyard::wire {

/// @return `message` as bytes that `Decode` understands on any machine.
template <typename Message>
std::string Encode(const Message& message) {
  std::ostringstream stream(std::ios::binary);
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(message);
  }
  return std::move(stream).str();
}

/// @return the message, or nothing when `bytes` are not exactly one message of this type.
template <typename Message>
std::optional<Message> Decode(const std::string& bytes) {
  try {
    std::istringstream stream(bytes, std::ios::binary);
    cereal::PortableBinaryInputArchive archive(stream);
    Message message;
    archive(message);
    if (stream.peek() != std::char_traits<char>::eof()) {
      return std::nullopt;
    }
    return message;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace martenyard::wire
