// Big-endian encoding of integers, whose byte order preserves numeric order.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace martenyard {

/// @return the lowest `bytes` bytes of `value`, most significant first.
inline std::string BigEndian(std::uint64_t value, std::size_t bytes) {
  std::string text;
  for (std::size_t left = bytes; left > 0; --left) {
    text.push_back(static_cast<char>((value >> ((left - 1) * 8U)) & 0xFFU));
  }
  return text;
}

/// @return the number encoded by `text`, which has at most 8 bytes.
inline std::uint64_t FromBigEndian(std::string_view text) {
  std::uint64_t value = 0;
  for (char byte : text) {
    value = (value << 8U) | static_cast<unsigned char>(byte);
  }
  return value;
}

}  // namespace martenyard
