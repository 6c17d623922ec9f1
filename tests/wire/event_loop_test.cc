// Tests that no source of events keeps the loop from its other work.
#include "wire/event_loop.h"

#include <gtest/gtest.h>

#include <functional>

namespace martenyard::wire {
namespace {

// Guards against replicas that are not processed while handlers keep becoming ready.
TEST(EventLoopTest, RoundEndsAlthoughHandlersKeepBecomingReady) {
  constexpr int kMostHandlers = 100000;
  EventLoop loop;
  bool round_ended = false;
  int handlers = 0;
  loop.SetRoundHook([&] { round_ended = true; });
  std::function<void()> again = [&] {
    ++handlers;
    if (!round_ended && handlers < kMostHandlers) {
      loop.Post(again);
    }
  };
  loop.Post(again);
  loop.RunRound(absl::Milliseconds(1));
  EXPECT_TRUE(round_ended);
  EXPECT_LT(handlers, kMostHandlers);
}

}  // namespace
}  // namespace martenyard::wire
