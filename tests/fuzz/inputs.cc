#include "fuzz/inputs.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

namespace martenyard::fuzz {
namespace {

constexpr std::size_t kMostChanges = 4;
constexpr std::size_t kMostGarbled = 8;
constexpr std::size_t kMostNoise = 200;
constexpr std::size_t kMostRepeats = 2000;
/// Of so many inputs one is left as it is.
constexpr std::size_t kUnchangedShare = 50;

/// Lengths that matter to readers which trust them.
constexpr std::array<std::uint64_t, 8> kLengths = {0x7F,
                                                   0xFFFF,
                                                   0x7FFFFFFF,
                                                   0xFFFFFFFF,
                                                   std::uint64_t{3} << 30U,
                                                   std::uint64_t{1} << 47U,
                                                   ~std::uint64_t{0},
                                                   ~std::uint64_t{7}};

}  // namespace

InputSource::InputSource(std::vector<std::string> seeds, std::vector<std::string> words,
                         std::uint64_t seed)
    : seeds_(std::move(seeds)), words_(std::move(words)), random_(seed) {}

std::size_t InputSource::Below(std::size_t limit) {
  return limit == 0 ? 0 : static_cast<std::size_t>(random_() % limit);
}

const std::string& InputSource::OneOf(const std::vector<std::string>& texts) {
  return texts[Below(texts.size())];
}

std::string InputSource::Next() {
  std::string input = OneOf(seeds_);
  if (Below(kUnchangedShare) == 0) {
    return input;
  }
  for (std::size_t left = 1 + Below(kMostChanges); left > 0; --left) {
    Change(input);
  }
  input.resize(std::min(input.size(), kMostInputBytes));
  return input;
}

void InputSource::Change(std::string& input) {
  using Kind = void (InputSource::*)(std::string&);
  constexpr std::array<Kind, 10> kKinds = {
      &InputSource::Truncate,       &InputSource::Garble,
      &InputSource::ForeignVersion, &InputSource::LengthBeyondEnd,
      &InputSource::RepeatPart,     &InputSource::RepeatWhole,
      &InputSource::Join,           &InputSource::CutOut,
      &InputSource::PutWord,        &InputSource::Noise};
  (this->*kKinds[Below(kKinds.size())])(input);
}

void InputSource::Truncate(std::string& input) { input.resize(Below(input.size() + 1)); }

void InputSource::Garble(std::string& input) {
  for (std::size_t left = 1 + Below(kMostGarbled); left > 0 && !input.empty(); --left) {
    input[Below(input.size())] = static_cast<char>(random_());
  }
}

void InputSource::ForeignVersion(std::string& input) {
  if (!input.empty()) {
    input[0] = static_cast<char>(random_());
  }
}

void InputSource::LengthBeyondEnd(std::string& input) {
  std::uint64_t length = kLengths[Below(kLengths.size())];
  std::size_t bytes = Below(2) == 0 ? sizeof(std::uint64_t) : sizeof(std::uint32_t);
  std::size_t at = Below(input.size() + 1);
  input.resize(std::max(input.size(), at + bytes));
  std::memcpy(input.data() + at, &length, bytes);
}

void InputSource::RepeatPart(std::string& input) {
  std::size_t from = Below(input.size() + 1);
  std::string part = input.substr(from, 1 + Below(input.size() - from + 1));
  std::size_t most = kMostInputBytes / std::max<std::size_t>(1, part.size());
  std::string repeated;
  for (std::size_t left = Below(std::min(most, kMostRepeats) + 1); left > 0; --left) {
    repeated += part;
  }
  input.insert(from, repeated);
  input.resize(std::min(input.size(), kMostInputBytes));
}

void InputSource::RepeatWhole(std::string& input) {
  std::string whole = input;
  for (std::size_t left = 1 + Below(3); left > 0; --left) {
    input += whole;
  }
  input.resize(std::min(input.size(), kMostInputBytes));
}

void InputSource::Join(std::string& input) {
  const std::string& other = OneOf(seeds_);
  input = input.substr(0, Below(input.size() + 1)) + other.substr(Below(other.size() + 1));
}

void InputSource::CutOut(std::string& input) {
  std::size_t from = Below(input.size() + 1);
  input.erase(from, Below(input.size() - from + 1));
}

void InputSource::PutWord(std::string& input) {
  if (!words_.empty()) {
    input.insert(Below(input.size() + 1), OneOf(words_));
  }
}

void InputSource::Noise(std::string& input) {
  std::string noise(Below(kMostNoise), '\0');
  std::generate(noise.begin(), noise.end(), [this] { return static_cast<char>(random_()); });
  input.insert(Below(input.size() + 1), noise);
}

}  // namespace martenyard::fuzz
