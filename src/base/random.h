// Seeded random numbers for decision logic: the same seed reproduces a run.
#pragma once

#include <cstdint>
#include <random>

namespace martenyard {

/// A seeded generator. Not thread-safe.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  /// @return a nonzero 64-bit value, for use as an id.
  std::uint64_t NextId() {
    std::uint64_t id = engine_();
    return id == 0 ? 1 : id;
  }

  /// @return a uniform value in [0, bound). `bound` must be positive.
  std::uint64_t Below(std::uint64_t bound) {
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine_);
  }

  /// @return a uniform value in [0, 1).
  double Uniform() { return std::uniform_real_distribution<double>(0.0, 1.0)(engine_); }

  std::mt19937_64& engine() { return engine_; }

 private:
  std::mt19937_64 engine_;
};

/// @return a seed from the operating system, for daemons; tests pass their own.
inline std::uint64_t SystemSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) ^ device();
}

}  // namespace martenyard
