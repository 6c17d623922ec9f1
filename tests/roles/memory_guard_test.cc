// memory_guard: hysteresis near the memory limit, and the measurement of allocated memory.
#include "roles/memory/memory_guard.h"

#include <gtest/gtest.h>

#include <vector>

namespace martenyard::roles {
namespace {

TEST(MemoryGuardTest, HasHysteresisNearTheLimit) {
  memory_guard guard(1000);
  EXPECT_FALSE(guard.update(790));
  EXPECT_TRUE(guard.update(800));
  EXPECT_TRUE(guard.update(730)) << "not yet below the lower threshold";
  EXPECT_FALSE(guard.update(710));
  EXPECT_FALSE(guard.update(790));
}

TEST(MemoryGuardTest, AllocatedBytesIncludeLargeBlocks) {
  constexpr std::size_t kBytes = std::size_t{32} << 20;
  std::uint64_t before = allocated_bytes();
  std::vector<char> block(kBytes, 'x');
  EXPECT_GE(allocated_bytes(), before + kBytes);
  EXPECT_EQ(block.back(), 'x');
}

}  // namespace
}  // namespace martenyard::roles
