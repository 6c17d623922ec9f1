// Encoded values prefixed with a checksum, to detect corruption.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/big_endian.h"
#include "base/hash.h"
#include "wire/codec.h"

namespace martenyard::wire {

inline constexpr std::size_t kSealBytes = 8;

template <typename Value>
std::string Seal(const Value& value) {
  std::string bytes = Encode(value);
  return BigEndian(StableHash(bytes), kSealBytes) + bytes;
}

/// @return the value, or nullopt if the checksum does not match or decoding fails.
template <typename Value>
std::optional<Value> Unseal(std::string_view sealed) {
  if (sealed.size() < kSealBytes) {
    return std::nullopt;
  }
  std::string bytes(sealed.substr(kSealBytes));
  if (FromBigEndian(sealed.substr(0, kSealBytes)) != StableHash(bytes)) {
    return std::nullopt;
  }
  return Decode<Value>(bytes);
}

}  // namespace martenyard::wire
