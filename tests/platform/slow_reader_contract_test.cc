// Large responses and clients that read slowly: memory stays bounded, and a runner that cuts a
// response that nobody read is not taken for a failing one.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "platform/support/platform_world.h"

namespace martenyard::testing {
namespace {

using emulator::RunnerBehavior;

constexpr std::size_t kBodyBytes = std::size_t{256} << 10;
constexpr std::size_t kLimit = std::size_t{300} << 10;

std::string LargeResponse(std::size_t bytes) {
  return absl::StrCat("HTTP/1.1 200 OK\r\nAttempt-Id: @\r\nContent-Length: ", bytes, "\r\n\r\n",
                      std::string(bytes, 'b'));
}

TEST(SlowReaderContractTest, LargeResponsesShareTheMemoryAndAllArrive) {
  PlatformWorld world;
  world.Start();
  world.gateway().state().response_buffers.set_limit(kLimit);
  for (auto* runner : {&world.a(), &world.b()}) {
    runner->raw = LargeResponse(kBodyBytes);
    runner->Script({RunnerBehavior::kRaw});
  }
  std::vector<std::shared_ptr<Dialogue>> dialogues;
  for (int number = 0; number < 16; ++number) {
    ClientRequest request;
    request.id = "attempt-" + std::to_string(number);
    dialogues.push_back(StartDialogue(world.loop(), {"127.0.0.1", world.gateway().frontend_port()},
                                      RequestText(request)));
  }
  std::uint64_t most = 0;
  for (const auto& dialogue : dialogues) {
    world.RunUntil([&] {
      most = std::max(most, world.gateway().state().response_buffers.used());
      return dialogue->done;
    });
    EXPECT_EQ(dialogue->answer.status, 200U);
    EXPECT_EQ(dialogue->answer.body.size(), kBodyBytes);
  }
  EXPECT_LE(most, 2 * kLimit);
  EXPECT_EQ(world.gateway().state().response_buffers.used(), 0U);
}

TEST(SlowReaderContractTest, ResponseBeyondTheMemoryIsRefusedWithoutEndingTheProcess) {
  PlatformWorld world;
  world.Start();
  world.gateway().state().response_buffers.set_limit(kLimit);
  world.a().raw = LargeResponse(4 * kLimit);
  world.a().Script({RunnerBehavior::kRaw});
  ClientRequest request;
  request.target = "/unsafe/1";
  EXPECT_EQ(world.Ask(request).status, 502U) << "it may have run";
  EXPECT_TRUE(absl::StrContains(world.Log(), "response too large to be buffered"));
}

}  // namespace
}  // namespace martenyard::testing
