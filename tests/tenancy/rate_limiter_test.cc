#include "tenancy/rate_limiter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <vector>

namespace martenyard::tenancy {
namespace {

using std::chrono::milliseconds;

instant At(int milliseconds_since_start) {
  return instant(std::chrono::hours(1)) + milliseconds(milliseconds_since_start);
}

quota_request Ask(double rate, double burst, std::vector<std::uint64_t> programs,
                  std::uint64_t version = 1) {
  quota_request request;
  request.m_tenant = "t";
  request.m_limit = {rate, burst};
  request.m_version = version;
  request.m_programs = std::move(programs);
  return request;
}

int Granted(const quota_answer& answer) {
  return static_cast<int>(std::count_if(answer.m_waits_ms.begin(), answer.m_waits_ms.end(),
                                        [](std::int32_t wait) { return wait >= 0; }));
}

/// @return the most events in any span of this length.
int MostInWindow(const std::vector<int>& times, int window) {
  int most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= window) {
      ++first;
    }
    most = std::max(most, static_cast<int>(last - first + 1));
  }
  return most;
}

TEST(RateLimiterTest, NoLimitLetsAllIn) {
  rate_limiter limiter({});
  limiter.reset(At(0));
  EXPECT_EQ(Granted(limiter.take(At(0), Ask(0, 0, std::vector<std::uint64_t>(500, 0)))), 500);
}

TEST(RateLimiterTest, SteadyRequestsBelowTheRateAreNeverRefused) {
  rate_limiter limiter({});
  limiter.reset(At(0));
  for (int now = 0; now < 60000; now += 100) {
    EXPECT_EQ(Granted(limiter.take(At(now), Ask(10, 10, {0}))), 1) << now;
  }
}

TEST(RateLimiterTest, BurstOnTopOfTheRateIsLetIn) {
  rate_limiter limiter({});
  limiter.reset(At(0));
  limiter.take(At(0), Ask(20, 50, {0}));
  EXPECT_GE(Granted(limiter.take(At(10000), Ask(20, 50, std::vector<std::uint64_t>(50, 0)))), 50);
}

TEST(RateLimiterTest, RefusalTellsWhenToComeBack) {
  rate_limiter limiter({});
  limiter.reset(At(0));
  quota_answer answer = limiter.take(At(0), Ask(2, 0, std::vector<std::uint64_t>(100, 0)));
  EXPECT_LT(Granted(answer), 100);
  EXPECT_GE(answer.m_retry_after_ms, 100U);
  EXPECT_LE(answer.m_retry_after_ms, 1000U);
}

TEST(RateLimiterTest, NewestLimitCounts) {
  rate_limiter limiter({});
  limiter.reset(At(0));
  limiter.take(At(0), Ask(100, 100, {0}, 1));
  limiter.take(At(5000), Ask(1, 0, {0}, 2));
  EXPECT_LE(Granted(limiter.take(At(5000), Ask(100, 100, std::vector<std::uint64_t>(200, 0), 1))),
            20)
      << "a gateway that has not heard of the lower limit";
}

TEST(RateLimiterTest, ProgramsUnderWayGoOnWhileNewOnesWait) {
  rate_limiter limiter({});
  limiter.reset(At(0));
  // Ten programs of 20 requests each second need twice the limit.
  std::map<std::uint64_t, int> left;
  std::uint64_t next = 1;
  int begun_refused = 0;
  int going_on = 0;
  int going_on_refused = 0;
  for (int now = 0; now < 60000; now += 100) {
    left[next++] = 20;
    std::vector<std::uint64_t> asked;
    for (const auto& [program, requests] : left) {
      asked.push_back(program);
    }
    quota_answer answer = limiter.take(At(now), Ask(100, 100, asked));
    for (std::size_t index = 0; index < asked.size(); ++index) {
      bool refused = answer.m_waits_ms[index] < 0;
      int& requests = left[asked[index]];
      bool begins = requests == 20;
      if (now > 20000) {
        begun_refused += begins && refused ? 1 : 0;
        going_on += begins ? 0 : 1;
        going_on_refused += !begins && refused ? 1 : 0;
      }
      requests = begins && refused ? 0 : requests - (refused ? 0 : 1);
      if (requests == 0) {
        left.erase(asked[index]);
      }
    }
  }
  EXPECT_GT(begun_refused, 100);
  EXPECT_LT(going_on_refused, going_on / 20);
}

struct Demand {
  double rate;
  double burst;
  int requests_per_second;
};

// Whatever the limit, the demand and how often the count moves to another process: what is let in
// stays within the bound in every window, and nearly all of the limit is used.
RC_GTEST_PROP(RateLimiterProperty, StaysWithinTheBoundOverChangesOfLeaders, ()) {
  quota_bounds bounds;
  double rate = *rc::gen::inRange(1, 400);
  double burst = *rc::gen::inRange(0, 400);
  int per_step = *rc::gen::inRange(1, 200);
  int change_every = *rc::gen::inRange(5000, 30000);
  rate_limiter_options options;
  options.m_guards_programs = false;
  rate_limiter limiter(bounds, options);
  limiter.reset(At(0));
  std::vector<int> let_in;
  const int end = 60000;
  for (int now = 0; now < end; now += 100) {
    if (now % change_every < 100) {
      limiter.reset(At(now));
    }
    quota_answer answer =
        limiter.take(At(now), Ask(rate, burst, std::vector<std::uint64_t>(per_step, 0)));
    for (std::int32_t wait : answer.m_waits_ms) {
      if (wait >= 0) {
        let_in.push_back(now + wait);
      }
    }
  }
  std::sort(let_in.begin(), let_in.end());
  double window = rate * 5 + burst;
  int most = MostInWindow(let_in, 5000);
  RC_ASSERT(most <= window * (1 + bounds.m_overage) + bounds.m_slack);
  double wanted = std::min(rate, per_step * 10.0) * end / 1000;
  RC_ASSERT(static_cast<double>(let_in.size()) >= wanted * 0.97 - 2);
}

}  // namespace
}  // namespace martenyard::tenancy
