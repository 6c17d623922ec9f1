// Encodes and decodes typed messages with cereal.
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

/// @return the encoded message, readable by `Decode`.
template <typename Message>
std::string Encode(const Message& message, Layout layout = kUnmarkedLayout) {
  std::string bytes;
  StringOutputArchive archive(bytes, layout);
  archive(message);
  return bytes;
}

/// @return the message, or nullopt if `bytes` are not exactly one message of this type and layout.
/// Memory use is proportional to the size of `bytes`, even for malformed input.
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
    return std::nullopt;  // The caller reports which message was malformed.
  }
}

/// @return the message at the start of `bytes`, ignoring the rest, or nullopt if malformed.
template <typename Message>
std::optional<Message> DecodePrefix(absl::string_view bytes) {
  try {
    BytesInputArchive archive(bytes);
    Message message;
    archive(message);
    return message;
  } catch (const std::exception&) {
    return std::nullopt;  // The caller reports which message was malformed.
  }
}

}  // namespace martenyard::wire
