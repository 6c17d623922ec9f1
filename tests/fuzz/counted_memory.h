// Counts what this program allocates, so that a test can tell what one call took at most.
#pragma once

#include <cstddef>

namespace martenyard::fuzz {

/// Measures from its construction on. One at a time, on one thread.
class PeakMemory {
 public:
  PeakMemory();
  /// @return the most bytes that were allocated at once beyond those at the construction.
  std::size_t bytes() const;

 private:
  std::size_t before_;
};

}  // namespace martenyard::fuzz
