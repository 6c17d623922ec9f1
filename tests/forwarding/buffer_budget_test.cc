// Large responses at once must neither exceed the memory for them nor wait for one another forever.
#include "forwarding/streams/buffer_budget.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <vector>

namespace martenyard::forwarding {
namespace {

TEST(BufferBudgetTest, ResponsesThatGrowTogetherAllFinishWithinTwiceTheLimit) {
  constexpr std::uint64_t kLimit = 100;
  constexpr std::uint64_t kResponse = 80;
  constexpr std::uint64_t kStep = 10;
  async_http::asio::io_context context;
  buffer_budget budget(context);
  budget.set_limit(kLimit);
  struct Response {
    std::unique_ptr<buffer_reservation> reservation;
    std::uint64_t bytes = 0;
  };
  std::vector<Response> responses(20);
  for (Response& response : responses) {
    response.reservation = std::make_unique<buffer_reservation>(budget);
  }
  std::uint64_t most = 0;
  std::size_t finished = 0;
  for (int round = 0; round < 1000 && finished < responses.size(); ++round) {
    for (Response& response : responses) {
      if (!response.reservation || !response.reservation->may_grow()) {
        continue;
      }
      response.bytes += kStep;
      response.reservation->resize(response.bytes);
      most = std::max(most, budget.used());
      if (response.bytes == kResponse) {
        response.reservation.reset();
        ++finished;
      }
    }
  }
  EXPECT_EQ(finished, responses.size());
  EXPECT_LE(most, 2 * kLimit);
  EXPECT_EQ(budget.used(), 0U);
}

}  // namespace
}  // namespace martenyard::forwarding
