#include "base/hash.h"

#include <xxhash.h>

namespace martenyard {

std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

double StableUnitPoint(std::string_view bytes, std::uint64_t seed) {
  // Keep the 53 bits a double represents exactly, so that rounding cannot yield 1.
  constexpr int kDroppedBits = 11;
  constexpr double kRange = 9007199254740992.0;  // 2^53.
  return static_cast<double>(StableHash(bytes, seed) >> kDroppedBits) / kRange;
}

}  // namespace martenyard
