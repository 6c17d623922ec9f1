// Stable (cross-process, cross-version) hashing, used for placement and digests. Not cryptographic.
#pragma once

#include <cstdint>
#include <string_view>

namespace martenyard {

/// @return the 64-bit XXH3 hash of `bytes` with `seed`; equal on every machine.
std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed = 0);

/// @return the same hash mapped uniformly to [0, 1), for weighted choices that must agree on all
/// machines.
double StableUnitPoint(std::string_view bytes, std::uint64_t seed = 0);

}  // namespace martenyard
