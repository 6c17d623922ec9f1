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

quota_request Request(double rate, double burst, std::vector<std::uint64_t> programs,
                      std::uint64_t version = 1) {
  quota_request request;
  request.m_tenant = "t";
  request.m_limit = {rate, burst};
  request.m_version = version;
  request.m_programs = std::move(programs);
  return request;
}

int Granted(const quota_reply& reply) {
  return static_cast<int>(std::count_if(reply.m_waits_ms.begin(), reply.m_waits_ms.end(),
                                        [](std::int32_t wait) { return wait >= 0; }));
}

/// @return the largest number of events in any window of this length.
int MaxInWindow(const std::vector<int>& times, int window) {
  int largest = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= window) {
      ++first;
    }
    largest = std::max(largest, static_cast<int>(last - first + 1));
  }
  return largest;
}

TEST(RateLimiterTest, WithoutALimitAllRequestsAreAdmitted) {
  rate_limiter limiter({});
  limiter.reset(At(0));
  EXPECT_EQ(Granted(limiter.take(At(0), Request(0, 0, std::vector<std::uint64_t>(500, 0)))), 500);
}

TEST(RateLimiterTest, SteadyRequestsBelowTheRateAreNeverRefused) {
  rate_limiter limiter({});
  limiter.reset(At(0));
  for (int now = 0; now < 60000; now += 100) {
    EXPECT_EQ(Granted(limiter.take(At(now), Request(10, 10, {0}))), 1) << now;
  }
}

TEST(RateLimiterTest, BurstOnTopOfTheRateIsAdmitted) {
  rate_limiter limiter({});
  limiter.reset(At(0));
  limiter.take(At(0), Request(20, 50, {0}));
  EXPECT_GE(Granted(limiter.take(At(10000), Request(20, 50, std::vector<std::uint64_t>(50, 0)))),
            50);
}

TEST(RateLimiterTest, RefusalHasARetryDelay) {
  rate_limiter limiter({});
  limiter.reset(At(0));
  quota_reply reply = limiter.take(At(0), Request(2, 0, std::vector<std::uint64_t>(100, 0)));
  EXPECT_LT(Granted(reply), 100);
  EXPECT_GE(reply.m_retry_after_ms, 100U);
  EXPECT_LE(reply.m_retry_after_ms, 1000U);
}

TEST(RateLimiterTest, LimitOfTheNewestVersionApplies) {
  rate_limiter limiter({});
  limiter.reset(At(0));
  limiter.take(At(0), Request(100, 100, {0}, 1));
  limiter.take(At(5000), Request(1, 0, {0}, 2));
  EXPECT_LE(
      Granted(limiter.take(At(5000), Request(100, 100, std::vector<std::uint64_t>(200, 0), 1))), 20)
      << "request of a gateway with the older, higher limit";
}

TEST(RateLimiterTest, RunningProgramsContinueWhileNewOnesAreRefused) {
  rate_limiter limiter({});
  limiter.reset(At(0));
  // Ten new programs per second with 20 requests each need twice the limit.
  std::map<std::uint64_t, int> left;
  std::uint64_t next = 1;
  int new_refused = 0;
  int continuing = 0;
  int continuing_refused = 0;
  for (int now = 0; now < 60000; now += 100) {
    left[next++] = 20;
    std::vector<std::uint64_t> asked;
    for (const auto& [program, requests] : left) {
      asked.push_back(program);
    }
    quota_reply reply = limiter.take(At(now), Request(100, 100, asked));
    for (std::size_t index = 0; index < asked.size(); ++index) {
      bool refused = reply.m_waits_ms[index] < 0;
      int& requests = left[asked[index]];
      bool is_new = requests == 20;
      if (now > 20000) {
        new_refused += is_new && refused ? 1 : 0;
        continuing += is_new ? 0 : 1;
        continuing_refused += !is_new && refused ? 1 : 0;
      }
      requests = is_new && refused ? 0 : requests - (refused ? 0 : 1);
      if (requests == 0) {
        left.erase(asked[index]);
      }
    }
  }
  EXPECT_GT(new_refused, 100);
  EXPECT_LT(continuing_refused, continuing / 20);
}

struct Demand {
  double rate;
  double burst;
  int requests_per_second;
};

// For any limit, demand and frequency of leader changes, the admitted requests stay within the
// bound in every window, and nearly all of the limit is used.
RC_GTEST_PROP(RateLimiterProperty, StaysWithinTheBoundOverLeaderChanges, ()) {
  quota_bounds bounds;
  double rate = *rc::gen::inRange(1, 400);
  double burst = *rc::gen::inRange(0, 400);
  int per_step = *rc::gen::inRange(1, 200);
  int change_every = *rc::gen::inRange(5000, 30000);
  rate_limiter_options options;
  options.m_protect_programs = false;
  rate_limiter limiter(bounds, options);
  limiter.reset(At(0));
  std::vector<int> admitted;
  const int end = 60000;
  for (int now = 0; now < end; now += 100) {
    if (now % change_every < 100) {
      limiter.reset(At(now));
    }
    quota_reply reply =
        limiter.take(At(now), Request(rate, burst, std::vector<std::uint64_t>(per_step, 0)));
    for (std::int32_t wait : reply.m_waits_ms) {
      if (wait >= 0) {
        admitted.push_back(now + wait);
      }
    }
  }
  std::sort(admitted.begin(), admitted.end());
  double window = rate * 5 + burst;
  int largest = MaxInWindow(admitted, 5000);
  RC_ASSERT(largest <= window * (1 + bounds.m_overage) + bounds.m_slack);
  double wanted = std::min(rate, per_step * 10.0) * end / 1000;
  RC_ASSERT(static_cast<double>(admitted.size()) >= wanted * 0.97 - 2);
}

/// The limits of a cold runner, as configured for slow starts.
constexpr double kColdRate = 24;
constexpr double kColdOverage = 0.5;
constexpr double kColdSlack = 5;
constexpr int kMostPerSecond = 41;  // 24 * 1.5 + 5
/// As in slow_start_options: a permit is used within this time.
constexpr int kPermitValidity = 400;
constexpr double kGrantedShare = 0.9;

/// All gateways ask for permits of one cold runner; the leader changes, and gateways are suspended
/// between the permit and the request. Guards the bound on the requests that reach the runner.
void CheckColdRunner(int gateways, int spacing_ms) {
  rate_limiter_options options;
  options.m_max_wait = milliseconds::zero();
  options.m_protect_programs = false;
  rate_limiter limiter({milliseconds(1000), kColdOverage, kColdSlack}, options);
  limiter.reset(At(0));
  quota_request request = Request(kColdRate * kGrantedShare, 0, {0});
  request.m_tenant = runner_limit_key("i-1");
  const int leader_change = *rc::gen::inRange(0, 3000);
  // A leader's lease ends before another one can be elected.
  const int election = *rc::gen::inRange(220, 800);
  std::vector<int> arrivals;
  bool changed = false;
  for (int now = 0; now < 3000; now += spacing_ms) {
    bool no_leader = now >= leader_change && now < leader_change + election;
    if (no_leader) {
      continue;
    }
    if (now >= leader_change && !changed) {
      changed = true;
      limiter.reset(At(now));
    }
    for (int gateway = 0; gateway < gateways; ++gateway) {
      if (Granted(limiter.take(At(now), request)) == 1) {
        int delay = *rc::gen::weightedOneOf<int>({{20, rc::gen::inRange(1, 5)},
                                                  {1, rc::gen::inRange(0, kPermitValidity)},
                                                  {1, rc::gen::inRange(0, 3000)}});
        if (delay <= kPermitValidity) {
          arrivals.push_back(now + delay);
        }
      }
    }
  }
  std::sort(arrivals.begin(), arrivals.end());
  RC_ASSERT(MaxInWindow(arrivals, 1000) <= kMostPerSecond);
  RC_ASSERT(arrivals.size() >= kColdRate);  // It still gets requests.
}

RC_GTEST_PROP(ColdRunnerLimit, HoldsOver62Gateways, ()) { CheckColdRunner(62, 50); }
RC_GTEST_PROP(ColdRunnerLimit, HoldsOver300Gateways, ()) { CheckColdRunner(300, 100); }
RC_GTEST_PROP(ColdRunnerLimit, HoldsOver1000Gateways, ()) { CheckColdRunner(1000, 250); }

TEST(RateLimiterTest, IdleBucketsAreRemovedAndStartFull) {
  rate_limiter_options options;
  options.m_idle_timeout = milliseconds(1000);
  options.m_max_wait = milliseconds::zero();
  rate_limiter limiter({milliseconds(1000), 0.5, 5}, options);
  limiter.reset(At(0));
  for (int runner = 0; runner < 100; ++runner) {
    quota_request request = Request(10, 0, {0});
    request.m_tenant = runner_limit_key(std::to_string(runner));
    limiter.take(At(2000), request);
  }
  EXPECT_EQ(limiter.tenants(), 100U);
  quota_request late = Request(10, 0, std::vector<std::uint64_t>(50, 0));
  late.m_tenant = runner_limit_key("0");
  int at_once = Granted(limiter.take(At(9000), late));
  EXPECT_EQ(limiter.tenants(), 1U);
  EXPECT_EQ(at_once, 7) << "0.7 of the headroom of 10";
}

}  // namespace
}  // namespace martenyard::tenancy
