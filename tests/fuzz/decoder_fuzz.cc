// Every decoder under generated inputs: none may crash, throw, or allocate more than in proportion
// to its input, and each refusal is typed or counted.
//
// MARTENYARD_FUZZ_INPUTS sets how many inputs each decoder gets, MARTENYARD_FUZZ_SEED which. Inputs
// that found something are kept in corpus/, named TARGET.WHAT, and are tried first.
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "fuzz/counted_memory.h"
#include "fuzz/inputs.h"
#include "fuzz/target.h"

namespace martenyard::fuzz {
namespace {

/// A few seconds for all decoders together.
constexpr std::uint64_t kShortRun = 3000;
constexpr std::uint64_t kSeed = 20261202;
/// Of an input, in a message.
constexpr std::size_t kShownBytes = 400;
constexpr int kMostFailures = 5;
constexpr std::size_t kSignalStackBytes = std::size_t{64} << 10U;

std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  std::uint64_t value = 0;
  return text != nullptr && absl::SimpleAtoi(text, &value) ? value : fallback;
}

/// What runs now, for the message of a crash.
std::array<char, 160> present{};

void TellCrash(int signal) {
  ssize_t ignored = write(STDERR_FILENO, present.data(), std::strlen(present.data()));
  static_cast<void>(ignored);
  std::signal(signal, SIG_DFL);
  std::raise(signal);
}

/// On a stack of its own: a decoder may have used up the thread's.
void TellCrashes() {
  static std::array<char, kSignalStackBytes> memory;
  stack_t stack{};
  stack.ss_sp = memory.data();
  stack.ss_size = memory.size();
  sigaltstack(&stack, nullptr);
  struct sigaction action {};
  action.sa_handler = TellCrash;
  action.sa_flags = SA_ONSTACK;
  for (int signal : {SIGSEGV, SIGABRT, SIGFPE, SIGBUS, SIGILL}) {
    sigaction(signal, &action, nullptr);
  }
}

std::vector<Target> AllTargets() {
  std::vector<Target> all = WireTargets();
  for (std::vector<Target> more : {TextTargets(), PlatformTargets()}) {
    std::move(more.begin(), more.end(), std::back_inserter(all));
  }
  return all;
}

std::vector<std::pair<std::string, std::string>> Corpus(const std::string& target) {
  std::vector<std::pair<std::string, std::string>> kept;
  std::filesystem::path folder = std::filesystem::path(MARTENYARD_SOURCES) / "tests/fuzz/corpus";
  for (const auto& file : std::filesystem::directory_iterator(folder)) {
    std::string name = file.path().filename().string();
    if (name.substr(0, name.find('.')) == target) {
      std::ostringstream bytes;
      bytes << std::ifstream(file.path(), std::ios::binary).rdbuf();
      kept.emplace_back(name, bytes.str());
    }
  }
  return kept;
}

class DecoderFuzzTest : public ::testing::TestWithParam<Target> {
 protected:
  /// @return whether the input was taken.
  bool Try(const std::string& name, const std::string& input) {
    const Target& target = GetParam();
    std::snprintf(present.data(), present.size(), "\ncrashed: decoder %s, input %s\n",
                  target.name.c_str(), name.c_str());
    bool taken = false;
    std::string thrown;
    PeakMemory memory;
    try {
      taken = target.decode(input);
    } catch (const std::exception& error) {
      thrown = error.what();
    }
    std::size_t bytes = memory.bytes();
    std::size_t allowed = kFloorBytes + target.bytes_for_each * input.size();
    std::size_t beyond = bytes - std::min(bytes, kFloorBytes);
    most_for_each_ = std::max(most_for_each_, beyond / std::max<std::size_t>(1, input.size()));
    bool was_good = failures_ == 0 && !HasFailure();
    EXPECT_EQ(thrown, "") << "an exception left the decoder";
    EXPECT_LE(bytes, allowed) << "allocated for " << input.size() << " bytes";
    if (was_good && HasFailure()) {
      ++failures_;
      ADD_FAILURE() << "input " << name << ", " << input.size()
                    << " bytes: " << absl::CHexEscape(input.substr(0, kShownBytes));
    }
    return taken;
  }

  std::size_t most_for_each_ = 0;
  int failures_ = 0;
};

TEST_P(DecoderFuzzTest, NoInputCrashesThrowsOrCostsMoreThanItsLength) {
  TellCrashes();
  const Target& target = GetParam();
  for (std::size_t seed = 0; seed < target.seeds.size(); ++seed) {
    EXPECT_TRUE(Try(absl::StrCat("seed ", seed), target.seeds[seed])) << "seed " << seed;
  }
  for (const auto& [name, input] : Corpus(target.name)) {
    Try(name, input);
  }
  std::uint64_t count = FromEnvironment("MARTENYARD_FUZZ_INPUTS", kShortRun);
  std::uint64_t seed = FromEnvironment("MARTENYARD_FUZZ_SEED", kSeed);
  InputSource inputs(target.seeds, target.words, seed);
  std::uint64_t taken = 0;
  for (std::uint64_t number = 0; number < count && failures_ < kMostFailures; ++number) {
    taken += Try(absl::StrCat(number, " of seed ", seed), inputs.Next()) ? 1 : 0;
  }
  std::printf(
      "%s: %llu inputs, %llu taken, %zu bytes allocated for each beyond the floor at most\n",
      target.name.c_str(), static_cast<unsigned long long>(count),
      static_cast<unsigned long long>(taken), most_for_each_);
  EXPECT_GT(taken, 0U) << "the generator makes nothing that is close to good";
  EXPECT_LT(taken, count) << "the generator makes nothing that is bad";
}

INSTANTIATE_TEST_SUITE_P(Decoders, DecoderFuzzTest, ::testing::ValuesIn(AllTargets()),
                         [](const auto& test) { return test.param.name; });

}  // namespace
}  // namespace martenyard::fuzz
