// A gateway's side of the ledger, over replicas that a test plays: limits while a group is silent,
// and chains read from the replicas at hand.
#include "turn_ledger/ledger_client.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <set>
#include <vector>

#include "absl/time/clock.h"
#include "base/clock.h"
#include "turn_ledger/chain/chain_reader.h"
#include "turn_ledger/groups/group_layout.h"
#include "wire/event_loop.h"

namespace martenyard::turn_ledger {
namespace {

const wire::Endpoint kFirst{"10.0.0.1", 1};
const wire::Endpoint kSecond{"10.0.0.2", 1};
const GroupId kGroup = group_at(0);

/// Keeps the loop going between two calls, as a process's listeners do.
using WorkGuard =
    async_http::asio::executor_work_guard<async_http::asio::io_context::executor_type>;

bool RunUntil(wire::EventLoop& loop, const std::function<bool()>& condition) {
  for (absl::Time end = SteadyNow() + absl::Seconds(20); SteadyNow() < end;) {
    if (condition()) {
      return true;
    }
    loop.RunRound(absl::Milliseconds(5));
  }
  return condition();
}

class LedgerClientTest : public ::testing::Test {
 protected:
  explicit LedgerClientTest(const LedgerClientOptions& options = {})
      : client_(
            loop_.context(),
            [this](const wire::Endpoint& to, const LedgerRequest& request) {
              sent_.emplace_back(to, request);
            },
            options, 1) {
    client_.SetGroups({{kFirst, kSecond}});
  }

  /// Starts a call; its end arrives in the returned slot.
  std::shared_ptr<std::optional<CallStatus>> Start(Operation operation, absl::Duration patience) {
    auto end = std::make_shared<std::optional<CallStatus>>();
    async_http::asio::co_spawn(
        loop_.context(),
        [this, end, operation = std::move(operation), patience]() -> async_http::Task<void> {
          CallResult result = co_await client_.Call(kGroup, operation, SteadyNow() + patience);
          *end = result.status;
        },
        async_http::asio::detached);
    return end;
  }

  /// Answers as the one that was asked last.
  void Answer(const LedgerRequest& request, ReplyStatus status) {
    auto asked = std::find_if(sent_.rbegin(), sent_.rend(), [&](const auto& sent) {
      return sent.second.request == request.request;
    });
    AnswerFrom(asked->first, request, status);
  }
  void AnswerFrom(const wire::Endpoint& from, const LedgerRequest& request, ReplyStatus status) {
    LedgerReply reply;
    reply.request = request.request;
    reply.status = status;
    client_.OnReply(from, reply);
  }

  wire::EventLoop loop_;
  WorkGuard guard_{loop_.context().get_executor()};
  std::vector<std::pair<wire::Endpoint, LedgerRequest>> sent_;
  LedgerClient client_;
};

TEST_F(LedgerClientTest, FewGroupsAreProbedHoweverManyThereAreAndTheyLieApart) {
  constexpr std::size_t kGroups = 36;
  client_.SetGroups(std::vector<std::vector<wire::Endpoint>>(kGroups, {kFirst}));
  std::size_t most = LedgerClientOptions{}.max_probed_groups;
  EXPECT_EQ(client_.probed_groups(), most);
  absl::SleepFor(absl::Milliseconds(5));
  client_.ProbeIdleGroups(absl::Milliseconds(1));
  loop_.RunRound(absl::Milliseconds(1));
  std::set<std::uint32_t> probed;
  for (const auto& [to, request] : sent_) {
    probed.insert(request.group.value);
  }
  EXPECT_EQ(probed.size(), most);
  EXPECT_EQ(client_.UnresponsiveGroups(absl::Milliseconds(1)), most);
  std::uint32_t before = 0;
  for (std::uint32_t group : probed) {
    EXPECT_TRUE(before == 0 || group - before >= kGroups / most) << "neighbours share machines";
    before = group;
  }
}

TEST_F(LedgerClientTest, SilentGroupGetsAFewReservationsAndTheRestAreRefusedAtOnce) {
  std::size_t most = LedgerClientOptions{}.max_waiting;
  std::vector<std::shared_ptr<std::optional<CallStatus>>> waiting;
  for (std::size_t call = 0; call < most; ++call) {
    waiting.push_back(Start(ReserveTurn{}, absl::Seconds(10)));
  }
  ASSERT_TRUE(RunUntil(loop_, [&] { return sent_.size() == most; }));
  auto burst = Start(ReserveTurn{}, absl::Seconds(10));
  ASSERT_TRUE(RunUntil(loop_, [&] { return sent_.size() == most + 1; }))
      << "many at once after a quiet time are no silence";
  absl::Time silent = SteadyNow() + LedgerClientOptions{}.unresponsive_after;
  RunUntil(loop_, [&] { return SteadyNow() > silent; });
  auto refused = Start(ReserveTurn{}, absl::Seconds(10));
  ASSERT_TRUE(RunUntil(loop_, [&] { return refused->has_value(); }));
  EXPECT_EQ(**refused, CallStatus::kOverloaded);
  std::size_t before = sent_.size();
  auto settlement = Start(SettleTurn{}, absl::Seconds(10));
  EXPECT_TRUE(RunUntil(loop_, [&] { return sent_.size() > before; })) << "what ran must be charged";

  Answer(sent_.front().second, ReplyStatus::kDone);
  ASSERT_TRUE(RunUntil(loop_, [&] { return waiting.front()->has_value(); }));
  EXPECT_EQ(**waiting.front(), CallStatus::kDone);
  before = sent_.size();
  auto welcome = Start(ReserveTurn{}, absl::Seconds(10));
  EXPECT_TRUE(RunUntil(loop_, [&] { return sent_.size() > before; })) << "the group speaks again";
}

TEST_F(LedgerClientTest, QuietGroupIsProbedAndCountsAsSilentOnlyWhileItDoesNotAnswer) {
  EXPECT_EQ(client_.UnresponsiveGroups(absl::Milliseconds(450)), 0U) << "it was only just heard of";
  auto silent = [&] { return client_.UnresponsiveGroups(absl::Milliseconds(450)) == 1; };
  ASSERT_TRUE(RunUntil(loop_, [&] {
    client_.ProbeIdleGroups(absl::Milliseconds(250));
    return silent();
  }));
  ASSERT_FALSE(sent_.empty());
  EXPECT_TRUE(std::holds_alternative<Probe>(sent_.back().second.operation));
  std::size_t probes = sent_.size();
  client_.ProbeIdleGroups(absl::Milliseconds(250));
  loop_.RunRound(absl::Milliseconds(1));
  EXPECT_LE(sent_.size(), probes + 1) << "one probe at a time";
  ASSERT_TRUE(RunUntil(loop_, [&] {
    client_.ProbeIdleGroups(absl::Milliseconds(250));
    Answer(sent_.back().second, ReplyStatus::kDone);
    return !silent();
  }));
  auto end = Start(ReserveTurn{}, absl::Seconds(5));
  ASSERT_TRUE(RunUntil(loop_, [&] { return sent_.size() > probes + 1; }));
  Answer(sent_.back().second, ReplyStatus::kDone);
  EXPECT_TRUE(RunUntil(loop_, [&] { return end->has_value(); }));
}

TEST_F(LedgerClientTest, SilentGroupIsAskedThroughAPeerAndDirectlyAgainOnceItAnswers) {
  const wire::Endpoint peer{"10.0.0.77", 1};
  auto end = Start(ReserveTurn{}, absl::Seconds(10));
  ASSERT_TRUE(
      RunUntil(loop_, [&] { return client_.UnresponsiveGroups(absl::Milliseconds(300)) == 1; }));
  client_.SetRelays({peer}, /*ledger_unreachable=*/true);
  ASSERT_TRUE(RunUntil(loop_, [&] { return sent_.back().first == peer; }));
  Answer(sent_.back().second, ReplyStatus::kDone);
  ASSERT_TRUE(RunUntil(loop_, [&] { return end->has_value(); }));
  EXPECT_EQ(**end, CallStatus::kDone);
  EXPECT_EQ(client_.UnresponsiveGroups(absl::Milliseconds(300)), 1U)
      << "a peer's word is no contact";
  EXPECT_GT(client_.relayed(), 0U);

  client_.ProbeIdleGroups(absl::Milliseconds(250));
  ASSERT_TRUE(RunUntil(loop_, [&] { return sent_.back().first != peer; })) << "probes go straight";
  Answer(sent_.back().second, ReplyStatus::kDone);
  ASSERT_TRUE(
      RunUntil(loop_, [&] { return client_.UnresponsiveGroups(absl::Milliseconds(300)) == 0; }));
  std::size_t before = sent_.size();
  auto next = Start(ReserveTurn{}, absl::Seconds(10));
  ASSERT_TRUE(RunUntil(loop_, [&] { return sent_.size() > before; }));
  EXPECT_NE(sent_.back().first, peer);
  Answer(sent_.back().second, ReplyStatus::kDone);
  ASSERT_TRUE(RunUntil(loop_, [&] { return next->has_value(); }));
  EXPECT_EQ(**next, CallStatus::kDone);
}

// When a leader had stopped and handed over within 6 ms, calls took 200.6 to 201.6 ms all the same:
// the next machine in turn was the one that had just refused a connection, and that try was lost.
TEST_F(LedgerClientTest, MachineThatRefusesConnectionsIsPassedOverForAWhile) {
  client_.OnReplicaDown(kFirst);
  for (int call = 0; call < 4; ++call) {
    auto end = Start(Probe{}, absl::Seconds(2));
    ASSERT_TRUE(
        RunUntil(loop_, [&] { return sent_.size() == static_cast<std::size_t>(call) + 1; }));
    EXPECT_EQ(sent_.back().first, kSecond);
    LedgerReply reply;
    reply.request = sent_.back().second.request;
    reply.status = ReplyStatus::kDone;
    client_.OnReply(kSecond, reply);
    client_.OnReplicaDown(kSecond);  // So that no leader is known for the next call.
    client_.OnReplicaDown(kFirst);
    client_.OnReply(kSecond, reply);  // A late one, which shows that it is there again.
    ASSERT_TRUE(RunUntil(loop_, [&] { return end->has_value(); }));
  }
}

TEST_F(LedgerClientTest, MachinesThatAllRefuseAreAskedAllTheSame) {
  client_.OnReplicaDown(kFirst);
  client_.OnReplicaDown(kSecond);
  auto end = Start(Probe{}, absl::Milliseconds(300));
  ASSERT_TRUE(RunUntil(loop_, [&] { return end->has_value(); }));
  EXPECT_FALSE(sent_.empty());
  EXPECT_LE(sent_.size(), 4U) << "and not without a pause";
}

TEST_F(LedgerClientTest, HintThatNamesAMachineThatRefusesIsNotFollowed) {
  client_.OnReplicaDown(kFirst);
  auto end = Start(Probe{}, absl::Milliseconds(150));
  ASSERT_TRUE(RunUntil(loop_, [&] { return sent_.size() == 1; }));
  LedgerReply reply;
  reply.request = sent_.back().second.request;
  reply.status = ReplyStatus::kNotLeader;
  reply.leader = kFirst;
  client_.OnReply(kSecond, reply);
  ASSERT_TRUE(RunUntil(loop_, [&] { return end->has_value(); }));
  for (const auto& [to, request] : sent_) {
    EXPECT_EQ(to, kSecond) << "the other one still names its former leader";
  }
  EXPECT_GE(sent_.size(), 2U);
}

TEST_F(LedgerClientTest, LostLedgerWithoutAPeerRefusesAtOnce) {
  ASSERT_TRUE(
      RunUntil(loop_, [&] { return client_.UnresponsiveGroups(absl::Milliseconds(450)) == 1; }));
  client_.SetRelays({}, /*ledger_unreachable=*/true);
  auto end = Start(ReserveTurn{}, absl::Seconds(10));
  std::size_t sent = sent_.size();
  ASSERT_TRUE(RunUntil(loop_, [&] { return end->has_value(); }));
  EXPECT_EQ(**end, CallStatus::kOverloaded);
  EXPECT_EQ(sent_.size(), sent) << "nothing was sent: it never will be taken up";
}

TEST_F(LedgerClientTest, OverloadedLeaderEndsAReservationAtOnceButNotASettlement) {
  auto reservation = Start(ReserveTurn{}, absl::Seconds(10));
  ASSERT_TRUE(RunUntil(loop_, [&] { return !sent_.empty(); }));
  Answer(sent_.front().second, ReplyStatus::kOverloaded);
  ASSERT_TRUE(RunUntil(loop_, [&] { return reservation->has_value(); }));
  EXPECT_EQ(**reservation, CallStatus::kOverloaded);

  sent_.clear();
  auto settlement = Start(SettleTurn{}, absl::Seconds(10));
  ASSERT_TRUE(RunUntil(loop_, [&] { return !sent_.empty(); }));
  Answer(sent_.front().second, ReplyStatus::kOverloaded);
  ASSERT_TRUE(RunUntil(loop_, [&] { return sent_.size() > 1; })) << "asked again";
  Answer(sent_.back().second, ReplyStatus::kDone);
  EXPECT_TRUE(RunUntil(loop_, [&] { return *settlement == CallStatus::kDone; }));
}

TEST_F(LedgerClientTest, ReplicasThatPointAtEachOtherAreNotAskedWithoutEnd) {
  auto call = Start(ReserveTurn{}, absl::Milliseconds(300));
  std::size_t answered = 0;
  RunUntil(loop_, [&] {
    for (; answered < sent_.size(); ++answered) {
      auto [to, request] = sent_[answered];
      LedgerReply reply;
      reply.request = request.request;
      reply.status = ReplyStatus::kNotLeader;
      reply.leader = to == kFirst ? kSecond : kFirst;
      client_.OnReply(to, reply);
    }
    return call->has_value();
  });
  EXPECT_EQ(**call, CallStatus::kDeadlineExceeded);
  EXPECT_LT(sent_.size(), 100U) << "a pause after a few hints";
}

/// Tries that end only when the test says that nothing listens at their target.
class LateReplyTest : public LedgerClientTest {
 protected:
  LateReplyTest() : LedgerClientTest(PatientOptions()) {}

  static LedgerClientOptions PatientOptions() {
    LedgerClientOptions options;
    options.try_timeout = options.max_try_timeout = absl::Seconds(60);
    return options;
  }
  /// @return the target of a further call, which is answered there.
  wire::Endpoint TargetOfNextCall() {
    std::size_t before = sent_.size();
    auto end = Start(ReserveTurn{}, absl::Seconds(60));
    EXPECT_TRUE(RunUntil(loop_, [&] { return sent_.size() > before; }));
    wire::Endpoint target = sent_.back().first;
    Answer(sent_.back().second, ReplyStatus::kDone);
    EXPECT_TRUE(RunUntil(loop_, [&] { return end->has_value(); }));
    return target;
  }
};

// Symptom: calls went to a replica that is no leader, or to a peer gateway as if it led the group,
// and the group counted as reached while only a peer reached it.
// Sequence: a try is given up and the next replica asked, or peers are no longer wanted; then the
// answer of the one asked before arrives.
// Cause: whatever answered a call was taken for the target of its present try.
// What settled it: the answers of the same calls, with and without a try in between.
TEST_F(LateReplyTest, AnswerIsCreditedToTheOneThatGaveIt) {
  const wire::Endpoint peer{"10.0.0.77", 1};
  struct LateCase {
    const char* name;
    bool through_peer;  ///< The first try goes through a peer, which then is no longer wanted.
    bool tried_again;   ///< The first try is given up before its answer arrives.
    wire::Endpoint next_target;
    std::size_t silent_groups;
  };
  const LateCase cases[] = {
      {"the replica asked first, in time", false, false, kFirst, 0},
      {"the replica asked first, after another was asked", false, true, kFirst, 0},
      {"a peer that is no longer wanted", true, false, kFirst, 1},
      {"a peer, after a replica was asked", true, true, kSecond, 1},
  };
  const absl::Duration limit = LedgerClientOptions{}.relay_after;
  for (const LateCase& test : cases) {
    SCOPED_TRACE(test.name);
    client_.SetGroups({});
    client_.SetGroups({{kFirst, kSecond}});
    sent_.clear();
    ASSERT_TRUE(RunUntil(loop_, [&] { return client_.UnresponsiveGroups(limit) == 1; }));
    if (test.through_peer) {
      client_.SetRelays({peer}, /*ledger_unreachable=*/false);
    }
    auto end = Start(ReserveTurn{}, absl::Seconds(60));
    ASSERT_TRUE(RunUntil(loop_, [&] { return sent_.size() == 1; }));
    auto [first, request] = sent_.front();
    EXPECT_EQ(first == peer, test.through_peer);
    client_.SetRelays({}, /*ledger_unreachable=*/false);
    if (test.tried_again) {
      client_.OnReplicaDown(first);
      ASSERT_TRUE(RunUntil(loop_, [&] { return sent_.size() == 2; }));
      EXPECT_NE(sent_.back().first, first);
    }
    AnswerFrom(first, request, ReplyStatus::kDone);
    ASSERT_TRUE(RunUntil(loop_, [&] { return end->has_value(); }));
    EXPECT_EQ(**end, CallStatus::kDone);
    EXPECT_EQ(client_.UnresponsiveGroups(limit), test.silent_groups)
        << "a peer's word is no contact";
    EXPECT_EQ(TargetOfNextCall(), test.next_target);
  }
}

// Symptom: a replica that was working on a call was given up for another, once for each late
// refusal. Sequence: a try is given up and the next replica asked; then the first one says that it
// does not lead. Cause: the refusal was taken for the answer of the replica that is asked now. What
// settled it: the present replica's answer, which came and was no longer waited for.
TEST_F(LateReplyTest, LateRefusalDoesNotEndThePresentTry) {
  for (ReplyStatus refusal :
       {ReplyStatus::kNotLeader, ReplyStatus::kUncertain, ReplyStatus::kOverloaded}) {
    SCOPED_TRACE(static_cast<int>(refusal));
    sent_.clear();
    auto end = Start(SettleTurn{}, absl::Seconds(60));
    ASSERT_TRUE(RunUntil(loop_, [&] { return sent_.size() == 1; }));
    auto [first, request] = sent_.front();
    client_.OnReplicaDown(first);
    ASSERT_TRUE(RunUntil(loop_, [&] { return sent_.size() == 2; }));
    wire::Endpoint second = sent_.back().first;
    std::uint64_t retries = client_.retries();
    AnswerFrom(first, request, refusal);
    // Whatever the refusal sets off is done once all that is ready has run.
    loop_.context().poll();
    EXPECT_EQ(client_.retries(), retries);
    AnswerFrom(second, request, ReplyStatus::kDone);
    ASSERT_TRUE(RunUntil(loop_, [&] { return end->has_value(); }));
    EXPECT_EQ(**end, CallStatus::kDone);
    EXPECT_EQ(TargetOfNextCall(), second);
  }
}

class ChainReaderTest : public ::testing::Test {
 protected:
  ChainReaderTest()
      : reader_(
            loop_.context(),
            [this](const wire::Endpoint& to, const chain_request& request) {
              asked_.push_back(to);
              Reply(to, request);
            },
            ZoneName("near"), 1) {
    Machine far{"far", NodeId(1), kFirst, ZoneName("far")};
    Machine near{"near", NodeId(2), kSecond, ZoneName("near")};
    reader_.set_machines(kGroup, {far, near}, 2);
  }

  void Reply(const wire::Endpoint& to, const chain_request& request) {
    if (to == silent_) {
      return;
    }
    chain_reply reply;
    reply.m_request = request.m_request;
    reply.m_is_replica = true;
    reply.m_found = to != behind_;
    reply.m_text = "chain";
    async_http::asio::post(loop_.context(), [this, reply] { reader_.on_reply(reply); });
  }

  std::optional<chain_reply> Read() {
    bool done = false;
    std::optional<chain_reply> result;
    async_http::asio::co_spawn(
        loop_.context(),
        [&]() -> async_http::Task<void> {
          result = co_await reader_.read(kGroup, TurnId("t"), std::nullopt);
          done = true;
        },
        async_http::asio::detached);
    RunUntil(loop_, [&] { return done; });
    return result;
  }

  wire::EventLoop loop_;
  WorkGuard guard_{loop_.context().get_executor()};
  std::vector<wire::Endpoint> asked_;
  wire::Endpoint silent_;
  wire::Endpoint behind_;
  chain_reader reader_;
};

TEST_F(ChainReaderTest, NearReplicaIsAskedAndOneThatIsBehindIsFollowedByAnother) {
  ASSERT_TRUE(Read().has_value());
  EXPECT_EQ(asked_, std::vector<wire::Endpoint>{kSecond});
  asked_.clear();
  behind_ = kSecond;
  ASSERT_TRUE(Read().has_value());
  EXPECT_EQ(asked_, (std::vector<wire::Endpoint>{kSecond, kFirst}));
}

TEST_F(ChainReaderTest, SilentReplicaIsAskedLastForAWhile) {
  silent_ = kSecond;
  ASSERT_TRUE(Read().has_value());
  asked_.clear();
  ASSERT_TRUE(Read().has_value());
  EXPECT_EQ(asked_, std::vector<wire::Endpoint>{kFirst});
}

TEST_F(ChainReaderTest, TurnThatNoReplicaHasIsLeftToTheLeader) {
  reader_.set_machines(kGroup, {}, 0);
  EXPECT_FALSE(Read().has_value());
}

}  // namespace
}  // namespace martenyard::turn_ledger
