// What a fuzzed decoder is: its good inputs, how it is called, and what it may allocate.
#pragma once

#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace martenyard::fuzz {

struct Target {
  /// Also the first part of its files' names in the corpus.
  std::string name;
  /// Each must be taken.
  std::vector<std::string> seeds;
  std::vector<std::string> words;
  /// @return whether the input was taken; a refusal is typed, or counted, as the decoder promises.
  /// Throws nothing. Fails the present test when a promise is broken.
  std::function<bool(const std::string& input)> decode;
  /// Bytes allocated at once for each byte of an input, beyond `kFloorBytes`.
  std::size_t bytes_for_each = 0;
};

/// For the names of test cases.
inline void PrintTo(const Target& target, std::ostream* out) { *out << target.name; }

/// What decoders allocate whatever the input: streams, tables of keys, messages of refusal.
inline constexpr std::size_t kFloorBytes = std::size_t{64} << 10U;

std::vector<Target> WireTargets();
std::vector<Target> TextTargets();
std::vector<Target> PlatformTargets();

}  // namespace martenyard::fuzz
