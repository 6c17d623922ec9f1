// Turns typed messages into bytes and back, with cereal.
#pragma once

#include <cereal/types/array.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <exception>
#include <optional>
#include <string>

#include "wire/archive.h"

namespace martenyard::wire {

/// @return `message` as bytes that `Decode` understands on any machine.
template <typename Message>
std::string Encode(const Message& message, Layout layout = kUnmarkedLayout) {
  std::string bytes;
  StringOutputArchive archive(bytes, layout);
  archive(message);
  return bytes;
}

/// @return the message, or nothing when `bytes` are not exactly one message of this type and
/// layout. Allocates no more than in proportion to the bytes, whatever they hold.
template <typename Message>
std::optional<Message> Decode(const std::string& bytes, Layout layout = kUnmarkedLayout) {
  try {
    BytesInputArchive archive(bytes, layout);
    Message message;
    archive(message);
    if (!archive.AtEnd()) {
      return std::nullopt;
    }
    return message;
  } catch (const std::exception&) {
    return std::nullopt;  // The caller says which message was unreadable.
  }
}

/// @return the message that the bytes begin with, whatever follows it, or nothing.
template <typename Message>
std::optional<Message> DecodeBeginning(absl::string_view bytes) {
  try {
    BytesInputArchive archive(bytes);
    Message message;
    archive(message);
    return message;
  } catch (const std::exception&) {
    return std::nullopt;  // The caller says which message was unreadable.
  }
}

}  // namespace martenyard::wire
