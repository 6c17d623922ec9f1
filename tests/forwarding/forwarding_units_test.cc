// Routes, request headers, prefix index, runner choice, attempt outcomes and turn cache.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "forwarding/attempt_outcome.h"
#include "forwarding/prefix_index.h"
#include "forwarding/request_info.h"
#include "forwarding/route_table.h"
#include "forwarding/runner_choice.h"
#include "forwarding/turn_cache.h"

namespace martenyard::forwarding {
namespace {

Route MakeRoute(const std::string& host, const std::string& prefix, const std::string& service) {
  Route route;
  route.name = prefix;
  route.host = host;
  route.path_prefix = prefix;
  route.services.push_back({ServiceName(service), 1});
  return route;
}

TEST(RouteTableTest, LongestPrefixOfTheHostWins) {
  ServiceConfiguration configuration;
  configuration.routes = {MakeRoute("a.example", "/x/", "short"),
                          MakeRoute("a.example", "/x/y/", "long"),
                          MakeRoute("b.example", "/x/y/z/", "other")};
  RouteTable table(configuration);
  EXPECT_EQ(table.Match("a.example", "/x/y/z/1")->name, "/x/y/");
  EXPECT_EQ(table.Match("A.Example:80", "/x/q?path=/x/y/")->name, "/x/");
  EXPECT_EQ(table.Match("a.example", "/x"), nullptr) << "the prefix ends with a slash";
  EXPECT_EQ(table.Match("c.example", "/x/y/"), nullptr);
  EXPECT_EQ(table.Match("", "/x/y/"), nullptr);
}

RC_GTEST_PROP(RouteSplitTest, SharesFollowTheWeights, ()) {
  auto first = *rc::gen::inRange<std::uint32_t>(1, 100);
  auto second = *rc::gen::inRange<std::uint32_t>(1, 100);
  Route route = MakeRoute("h", "/", "one");
  route.services = {{ServiceName("one"), first}, {ServiceName("two"), second}};
  constexpr int kPoints = 2000;
  int ones = 0;
  for (int point = 0; point < kPoints; ++point) {
    ones += ChooseService(route, (point + 0.5) / kPoints).value == "one" ? 1 : 0;
  }
  double share = static_cast<double>(ones) / kPoints;
  RC_ASSERT(std::abs(share - static_cast<double>(first) / (first + second)) < 0.01);
}

TEST(RequestInfoTest, ReadsAllHeadersAndIgnoresMalformedOnes) {
  HeaderNames names;
  boost::beast::http::fields fields;
  fields.set(names.request_id, "abc");
  fields.set(names.deadline_ms, "1500");
  fields.set("Cookie", "a=b; " + names.affinity_cookie + "=17; c=d");
  fields.set(names.prompt_parts, "5c1e:800, 91bd:410");
  fields.set(names.token_usage, "1460,80");
  fields.set(names.token_budget, "4600");
  fields.set(names.previous_turn, "earlier");
  RequestInfo info = ReadRequestInfo(fields, names);
  EXPECT_EQ(info.id.value, "abc");
  EXPECT_EQ(info.deadline, absl::Milliseconds(1500));
  EXPECT_EQ(info.affinity, "17");
  ASSERT_EQ(info.prompt.size(), 2U);
  EXPECT_EQ(info.prompt[1].tokens, 410U);
  EXPECT_NE(info.prompt[0].id, info.prompt[1].id);
  EXPECT_EQ(info.prompt_tokens, 1460U);
  EXPECT_EQ(info.max_output_tokens, 80U);
  EXPECT_EQ(info.token_budget, 4600U);
  EXPECT_EQ(info.previous_turn->value, "earlier");

  fields.set(names.deadline_ms, "soon");
  fields.set(names.token_budget, "-3");
  info = ReadRequestInfo(fields, names);
  EXPECT_FALSE(info.deadline.has_value());
  EXPECT_FALSE(info.token_budget.has_value());
}

TEST(PrefixIndexTest, CountsOnlyLeadingPartsAndExpires) {
  PrefixIndex index(absl::Seconds(10), 100);
  absl::Time now = absl::FromUnixSeconds(100);
  std::vector<PromptPart> prompt = {{1, 100}, {2, 50}, {3, 7}};
  index.Record(now, {1, 100}, 5);
  index.Record(now, {3, 100}, 5);
  EXPECT_EQ(index.CachedTokens(now, prompt, 5), 100U)
      << "part 2 is missing, so part 3 is not counted";
  index.Record(now, {2, 100}, 5);
  EXPECT_EQ(index.CachedTokens(now, prompt, 5), 157U);
  EXPECT_EQ(index.CachedTokens(now, prompt, 6), 0U);
  EXPECT_EQ(index.CachedTokens(now + absl::Seconds(11), prompt, 5), 0U);
}

TEST(PrefixIndexTest, GrownPartIsCachedUpToTheTokensRead) {
  PrefixIndex index(absl::Seconds(10), 100);
  absl::Time now = absl::FromUnixSeconds(1000);
  index.RecordAll(now, {{1, 2000}, {2, 700}}, 5);
  EXPECT_EQ(index.CachedTokens(now, {{1, 2000}, {2, 1300}}, 5), 2700U);
  EXPECT_EQ(index.CachedTokens(now, {{1, 2000}, {2, 500}}, 5), 2500U)
      << "limited to the length of the prompt";
  EXPECT_EQ(index.CachedTokens(now, {{1, 2000}, {2, 900}, {3, 100}}, 5), 2700U);
}

TEST(PrefixIndexTest, RecordPrefixDistributesTokensOverTheParts) {
  PrefixIndex index(absl::Seconds(10), 100);
  absl::Time now = absl::FromUnixSeconds(1000);
  std::vector<PromptPart> prompt = {{1, 2000}, {2, 450}, {3, 350}};
  index.RecordPrefix(now, prompt, 2400, 5);
  EXPECT_EQ(index.CachedTokens(now, prompt, 5), 2400U);
  EXPECT_EQ(index.CachedTokens(now, prompt, 6), 0U);
  index.RecordPrefix(now, prompt, 100, 5);
  EXPECT_EQ(index.CachedTokens(now, prompt, 5), 2400U)
      << "an older turn doesn't shrink the entries";
}

TEST(PrefixIndexTest, StaysWithinItsCapacity) {
  PrefixIndex index(absl::Seconds(10), 64);
  absl::Time now = absl::FromUnixSeconds(100);
  for (std::uint64_t part = 0; part < 1000; ++part) {
    index.Record(now, {part, 10}, 1);
    ASSERT_LE(index.size(), 64U);
  }
}

Candidate MakeCandidate(const std::string& id) {
  Candidate candidate;
  candidate.id = id;
  candidate.slots = 4;
  candidate.same_zone = true;
  return candidate;
}

TEST(RunnerChoiceTest, CachedPromptIsPreferredUntilTheRunnerIsFull) {
  std::vector<Candidate> candidates = {MakeCandidate("a"), MakeCandidate("b")};
  candidates[0].cached_tokens = 10000;
  candidates[0].active = 3;
  ChoiceRequest request;
  request.prompt_tokens = 12000;
  EXPECT_EQ(ChooseRunner(candidates, request, {})->index, 0U);
  candidates[0].active = 9;
  EXPECT_EQ(ChooseRunner(candidates, request, {})->index, 1U);
}

TEST(RunnerChoiceTest, DrainingAndAvoidedRunnersAreUsedLast) {
  std::vector<Candidate> candidates = {MakeCandidate("a"), MakeCandidate("b"), MakeCandidate("c")};
  candidates[0].draining = true;
  candidates[1].avoided = true;
  candidates[1].active = 100;
  candidates[2].tried = true;
  EXPECT_EQ(ChooseRunner(candidates, {}, {})->index, 1U);
  candidates[1].at_connection_limit = true;
  EXPECT_EQ(ChooseRunner(candidates, {}, {})->index, 0U);
  candidates[0].tried = true;
  EXPECT_FALSE(ChooseRunner(candidates, {}, {}).has_value());
}

TEST(RunnerChoiceTest, UncachedPromptPrefersTheSameRunnerOnAllGateways) {
  std::vector<Candidate> candidates;
  for (int number = 0; number < 6; ++number) {
    candidates.push_back(MakeCandidate("runner-" + std::to_string(number)));
  }
  ChoiceRequest request;
  request.prompt_tokens = 100;
  request.rendezvous_key = 77;
  std::string home = candidates[ChooseRunner(candidates, request, {})->index].id;
  std::reverse(candidates.begin(), candidates.end());
  EXPECT_EQ(candidates[ChooseRunner(candidates, request, {})->index].id, home);
}

struct OutcomeCase {
  const char* name;
  AttemptOutcome end;
  bool repeatable;
  bool can_resume;
  bool response_started;
  bool may_have_run;
  int attempts_left;
  int time_left_ms;
  NextStep expected;
};

class AttemptOutcomeTest : public ::testing::TestWithParam<OutcomeCase> {};

TEST_P(AttemptOutcomeTest, DecidesTheNextStep) {
  const OutcomeCase& test = GetParam();
  RetryState retry_state{test.repeatable,       test.can_resume,
                         test.response_started, test.may_have_run,
                         test.attempts_left,    absl::Milliseconds(test.time_left_ms)};
  EXPECT_EQ(DecideNextStep(test.end, retry_state), test.expected);
}

constexpr OutcomeCase kOutcomes[] = {
    // clang-format off
    // name                       end                       rep.   resume started ran   left ms   then
    {"NotSentIsRetried",      AttemptOutcome::kNotSent,     false, false, false, false, 1, 900, NextStep::kRetry},
    {"NotSentWithoutAttemptsIsRefused",      AttemptOutcome::kNotSent,     false, false, false, false, 0, 900, NextStep::kRefuse},
    {"NotRunIsRetried",       AttemptOutcome::kNotRun,      false, false, false, false, 1, 900, NextStep::kRetry},
    {"NotRunTooLateIsRefused",    AttemptOutcome::kNotRun,      true,  false, false, false, 1, 5,   NextStep::kRefuse},
    {"NotRunAfterEarlierRunFails",AttemptOutcome::kNotRun,      true,  false, false, true,  0, 900, NextStep::kFail},
    {"WithdrawnIsRetried",    AttemptOutcome::kWithdrawn,   false, false, false, false, 1, 900, NextStep::kRetry},
    {"WithdrawnWithoutAttemptsIsRefused", AttemptOutcome::kWithdrawn, false, false, false, false, 0, 900, NextStep::kRefuse},
    {"NotSentAfterEarlierRunFails",AttemptOutcome::kNotSent,    true,  false, false, true,  0, 900, NextStep::kFail},
    {"LostNonRepeatableFails",    AttemptOutcome::kNoResponse,    false, false, false, true,  3, 900, NextStep::kFail},
    {"LostRepeatableIsRetried",           AttemptOutcome::kNoResponse,    true,  false, false, true,  1, 900, NextStep::kRetry},
    {"LostRepeatableWithoutAttemptsFails",   AttemptOutcome::kNoResponse,    true,  false, false, true,  0, 900, NextStep::kFail},
    {"LostRepeatableTooLateFails",           AttemptOutcome::kNoResponse,    true,  false, false, true,  1, 5,   NextStep::kFail},
    {"TruncatedStreamIsAborted",        AttemptOutcome::kTruncated,    false, false, true,  true,  1, 900, NextStep::kAbort},
    {"TruncatedStreamIsResumed",       AttemptOutcome::kTruncated,    true,  true,  true,  true,  1, 900, NextStep::kResume},
    {"TruncatedStreamWithoutAttemptsIsAborted",    AttemptOutcome::kTruncated,    true,  true,  true,  true,  0, 900, NextStep::kAbort},
    {"TruncatedBeforeFirstEventIsRetried",    AttemptOutcome::kTruncated,    true,  false, false, true,  1, 900, NextStep::kRetry},
    {"TruncatedNonRepeatableFails",   AttemptOutcome::kTruncated,    false, false, false, true,  1, 900, NextStep::kFail},
    {"RejectedResumptionIsResumedElsewhere",   AttemptOutcome::kNotRun,      true,  true,  true,  true,  1, 900, NextStep::kResume},
    {"RejectedResumptionWithoutAttemptsIsAborted",    AttemptOutcome::kNotRun,      true,  true,  true,  true,  0, 900, NextStep::kAbort},
    {"DeadlinePassedTimesOut",             AttemptOutcome::kTimedOut,    true,  false, false, true,  1, 0,   NextStep::kTimeOut},
    {"DeadlinePassedMidStreamIsAborted",   AttemptOutcome::kTimedOut,    true,  true,  true,  true,  1, 0,   NextStep::kAbort},
    {"CompletedIsForwarded",         AttemptOutcome::kCompleted,    false, false, false, true,  0, 0,   NextStep::kForward},
    {"ClientGoneDoesNothing",            AttemptOutcome::kClientGone,  true,  true,  true,  true,  1, 900, NextStep::kNone},
    // clang-format on
};

INSTANTIATE_TEST_SUITE_P(Table, AttemptOutcomeTest, ::testing::ValuesIn(kOutcomes),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(AttemptOutcomeOfStreamsTest, BufferedResponseAfterStreamStartIsNotForwarded) {
  RetryState retry_state;
  retry_state.response_started = true;
  retry_state.may_have_run = true;
  retry_state.time_left = absl::Milliseconds(900);
  EXPECT_EQ(DecideNextStep(AttemptOutcome::kCompleted, retry_state), NextStep::kAbort);
  retry_state.attempts_left = 1;
  EXPECT_EQ(DecideNextStep(AttemptOutcome::kCompleted, retry_state), NextStep::kAbort);
  retry_state.can_resume = true;
  EXPECT_EQ(DecideNextStep(AttemptOutcome::kCompleted, retry_state), NextStep::kResume);
  retry_state.streamed = true;
  EXPECT_EQ(DecideNextStep(AttemptOutcome::kCompleted, retry_state), NextStep::kForward);
}

TEST(TurnCacheTest, EvictsLeastRecentlyUsedBeyondCapacity) {
  TurnCache cache(100);
  auto chain = std::make_shared<std::string>(std::string(40, 'x'));
  const ProgramId program("p");
  cache.Put(program, RequestId("a"), chain);
  cache.Put(program, RequestId("b"), chain);
  EXPECT_EQ(cache.LatestOf(program), RequestId("b"));
  ASSERT_NE(cache.Find(RequestId("a")), nullptr);
  cache.Put(ProgramId("q"), RequestId("c"), chain);
  EXPECT_EQ(cache.LatestOf(program), std::nullopt) << "its chain was evicted";
  EXPECT_EQ(cache.Find(RequestId("b")), nullptr)
      << "the least recently used entry is evicted first";
  EXPECT_NE(cache.Find(RequestId("a")), nullptr);
  EXPECT_LE(cache.bytes(), 100U);
}

}  // namespace
}  // namespace martenyard::forwarding
