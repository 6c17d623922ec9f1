// Stable (cross-process, cross-version) hashing, used for placement and digests. Not cryptographic.
#pragma once

#include <cstdint>
#include <string_view>

namespace martenyard {

/// @return the 64-bit XXH3 hash of `bytes` with `seed`; equal on every machine.
std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed = 0);

/// @return the same hash as a point in [0, 1), evenly spread: for weighted choices that all
/// machines make alike.
double StableUnitPoint(std::string_view bytes, std::uint64_t seed = 0);

}  // namespace martenyard
