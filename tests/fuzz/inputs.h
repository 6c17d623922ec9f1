// Inputs for decoders: good ones, cut, garbled, repeated, joined and given lengths that they don't
// hold. The same seed gives the same inputs.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace martenyard::fuzz {

/// No input is longer: a decoder's work on one is then over in milliseconds.
inline constexpr std::size_t kMostInputBytes = std::size_t{64} << 10U;

class InputSource {
 public:
  /// @param seeds what a decoder takes.
  /// @param words what is likely to matter to it, put in anywhere.
  InputSource(std::vector<std::string> seeds, std::vector<std::string> words, std::uint64_t seed);

  std::string Next();

 private:
  std::size_t Below(std::size_t limit);
  const std::string& OneOf(const std::vector<std::string>& texts);
  void Change(std::string& input);
  void Truncate(std::string& input);
  void Garble(std::string& input);
  void ForeignVersion(std::string& input);
  void LengthBeyondEnd(std::string& input);
  void RepeatPart(std::string& input);
  void RepeatWhole(std::string& input);
  void Join(std::string& input);
  void CutOut(std::string& input);
  void PutWord(std::string& input);
  void Noise(std::string& input);

  std::vector<std::string> seeds_;
  std::vector<std::string> words_;
  std::mt19937_64 random_;
};

}  // namespace martenyard::fuzz
