// The gateway's ledger client and chain reader against simulated replicas: limits while a group is
// unresponsive, relaying, choice of targets, and late replies.
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

/// Keeps the loop running between calls, as a process's listeners do.
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

  /// Starts a call, whose status is stored in the returned object.
  std::shared_ptr<std::optional<CallStatus>> Start(Operation operation, absl::Duration timeout) {
    auto end = std::make_shared<std::optional<CallStatus>>();
    async_http::asio::co_spawn(
        loop_.context(),
        [this, end, operation = std::move(operation), timeout]() -> async_http::Task<void> {
          CallResult result = co_await client_.Call(kGroup, operation, SteadyNow() + timeout);
          *end = result.status;
        },
        async_http::asio::detached);
    return end;
  }

  /// Starts a reservation and finishes it with an answer.
  /// @return the request that was sent.
  LedgerRequest SendReservation(Programs programs, Relaying relaying = Relaying::kAllowed) {
    std::size_t before = sent_.size();
    async_http::asio::co_spawn(
        loop_.context(),
        [this, programs, relaying]() -> async_http::Task<void> {
          Operation operation = ReserveTurn{};
          co_await client_.Call(kGroup, std::move(operation), SteadyNow() + absl::Seconds(10),
                                relaying, programs);
        },
        async_http::asio::detached);
    EXPECT_TRUE(RunUntil(loop_, [&] { return sent_.size() > before; }));
    LedgerRequest request = sent_.back().second;
    SendReply(request, ReplyStatus::kDone);
    RunUntil(loop_, [&] { return client_.pending() == 0; });
    return request;
  }

  /// Replies from the last target of the request.
  void SendReply(const LedgerRequest& request, ReplyStatus status) {
    auto asked = std::find_if(sent_.rbegin(), sent_.rend(), [&](const auto& sent) {
      return sent.second.request == request.request;
    });
    SendReplyFrom(asked->first, request, status);
  }
  void SendReplyFrom(const wire::Endpoint& from, const LedgerRequest& request, ReplyStatus status) {
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

TEST_F(LedgerClientTest, NumberOfProbedGroupsIsLimitedAndTheyAreSpacedApart) {
  constexpr std::size_t kGroups = 36;
  client_.SetGroups(std::vector<std::vector<wire::Endpoint>>(kGroups, {kFirst}));
  std::size_t max_count = LedgerClientOptions{}.max_probed_groups;
  EXPECT_EQ(client_.probed_groups(), max_count);
  absl::SleepFor(absl::Milliseconds(5));
  client_.ProbeIdleGroups(absl::Milliseconds(1));
  loop_.RunRound(absl::Milliseconds(1));
  std::set<std::uint32_t> probed;
  for (const auto& [to, request] : sent_) {
    probed.insert(request.group.value);
  }
  EXPECT_EQ(probed.size(), max_count);
  EXPECT_EQ(client_.UnresponsiveGroups(absl::Milliseconds(1)), max_count);
  std::uint32_t before = 0;
  for (std::uint32_t group : probed) {
    EXPECT_TRUE(before == 0 || group - before >= kGroups / max_count)
        << "neighboring groups share machines";
    before = group;
  }
}

TEST_F(LedgerClientTest, UnresponsiveGroupGetsLimitedReservationsAndRefusesTheRestAtOnce) {
  std::size_t max_count = LedgerClientOptions{}.max_waiting;
  std::vector<std::shared_ptr<std::optional<CallStatus>>> waiting;
  for (std::size_t call = 0; call < max_count; ++call) {
    waiting.push_back(Start(ReserveTurn{}, absl::Seconds(10)));
  }
  ASSERT_TRUE(RunUntil(loop_, [&] { return sent_.size() == max_count; }));
  auto burst = Start(ReserveTurn{}, absl::Seconds(10));
  ASSERT_TRUE(RunUntil(loop_, [&] { return sent_.size() == max_count + 1; }))
      << "a burst after an idle time does not count as unresponsive";
  absl::Time unresponsive_at = SteadyNow() + LedgerClientOptions{}.unresponsive_after;
  RunUntil(loop_, [&] { return SteadyNow() > unresponsive_at; });
  auto refused = Start(ReserveTurn{}, absl::Seconds(10));
  ASSERT_TRUE(RunUntil(loop_, [&] { return refused->has_value(); }));
  EXPECT_EQ(**refused, CallStatus::kOverloaded);
  std::size_t before = sent_.size();
  auto settlement = Start(SettleTurn{}, absl::Seconds(10));
  EXPECT_TRUE(RunUntil(loop_, [&] { return sent_.size() > before; }))
      << "used tokens must be charged";

  SendReply(sent_.front().second, ReplyStatus::kDone);
  ASSERT_TRUE(RunUntil(loop_, [&] { return waiting.front()->has_value(); }));
  EXPECT_EQ(**waiting.front(), CallStatus::kDone);
  before = sent_.size();
  auto accepted = Start(ReserveTurn{}, absl::Seconds(10));
  EXPECT_TRUE(RunUntil(loop_, [&] { return sent_.size() > before; })) << "the group replies again";
}

TEST_F(LedgerClientTest, IdleGroupIsProbedAndIsUnresponsiveOnlyWhileItDoesNotReply) {
  EXPECT_EQ(client_.UnresponsiveGroups(absl::Milliseconds(450)), 0U)
      << "the group became known just now";
  auto unresponsive = [&] { return client_.UnresponsiveGroups(absl::Milliseconds(450)) == 1; };
  ASSERT_TRUE(RunUntil(loop_, [&] {
    client_.ProbeIdleGroups(absl::Milliseconds(250));
    return unresponsive();
  }));
  ASSERT_FALSE(sent_.empty());
  EXPECT_TRUE(std::holds_alternative<Probe>(sent_.back().second.operation));
  std::size_t probes = sent_.size();
  client_.ProbeIdleGroups(absl::Milliseconds(250));
  loop_.RunRound(absl::Milliseconds(1));
  EXPECT_LE(sent_.size(), probes + 1) << "one probe at a time";
  ASSERT_TRUE(RunUntil(loop_, [&] {
    client_.ProbeIdleGroups(absl::Milliseconds(250));
    SendReply(sent_.back().second, ReplyStatus::kDone);
    return !unresponsive();
  }));
  auto end = Start(ReserveTurn{}, absl::Seconds(5));
  ASSERT_TRUE(RunUntil(loop_, [&] { return sent_.size() > probes + 1; }));
  SendReply(sent_.back().second, ReplyStatus::kDone);
  EXPECT_TRUE(RunUntil(loop_, [&] { return end->has_value(); }));
}

TEST_F(LedgerClientTest, UnresponsiveGroupIsCalledThroughARelayUntilItReplies) {
  const wire::Endpoint peer{"10.0.0.77", 1};
  auto end = Start(ReserveTurn{}, absl::Seconds(10));
  ASSERT_TRUE(
      RunUntil(loop_, [&] { return client_.UnresponsiveGroups(absl::Milliseconds(300)) == 1; }));
  client_.SetRelays({peer}, /*ledger_unreachable=*/true);
  ASSERT_TRUE(RunUntil(loop_, [&] { return sent_.back().first == peer; }));
  SendReply(sent_.back().second, ReplyStatus::kDone);
  ASSERT_TRUE(RunUntil(loop_, [&] { return end->has_value(); }));
  EXPECT_EQ(**end, CallStatus::kDone);
  EXPECT_EQ(client_.UnresponsiveGroups(absl::Milliseconds(300)), 1U)
      << "a relayed reply is no contact with the group";
  EXPECT_GT(client_.relayed(), 0U);

  client_.ProbeIdleGroups(absl::Milliseconds(250));
  ASSERT_TRUE(RunUntil(loop_, [&] { return sent_.back().first != peer; })) << "probes are direct";
  SendReply(sent_.back().second, ReplyStatus::kDone);
  ASSERT_TRUE(
      RunUntil(loop_, [&] { return client_.UnresponsiveGroups(absl::Milliseconds(300)) == 0; }));
  std::size_t before = sent_.size();
  auto next = Start(ReserveTurn{}, absl::Seconds(10));
  ASSERT_TRUE(RunUntil(loop_, [&] { return sent_.size() > before; }));
  EXPECT_NE(sent_.back().first, peer);
  SendReply(sent_.back().second, ReplyStatus::kDone);
  ASSERT_TRUE(RunUntil(loop_, [&] { return next->has_value(); }));
  EXPECT_EQ(**next, CallStatus::kDone);
}

TEST_F(LedgerClientTest, ReservationNamesTheProgramsThatMayBegin) {
  LedgerRequest all = SendReservation(Programs::kAll);
  EXPECT_FALSE(all.known_programs_only);
  EXPECT_FALSE(all.admit_waiting);
  LedgerRequest waiting = SendReservation(Programs::kKnownOrWaiting);
  EXPECT_TRUE(waiting.known_programs_only) << "all that an earlier leader reads";
  EXPECT_TRUE(waiting.admit_waiting);
  LedgerRequest known = SendReservation(Programs::kKnownOnly);
  EXPECT_TRUE(known.known_programs_only);
  EXPECT_FALSE(known.admit_waiting);
}

// Guards against a peer gateway that relays a reservation for waiting programs as one for known
// programs only, or for all.
TEST_F(LedgerClientTest, RelayedReservationKeepsTheProgramsThatMayBegin) {
  for (Programs programs : {Programs::kAll, Programs::kKnownOrWaiting, Programs::kKnownOnly}) {
    LedgerRequest at_relay = SendReservation(programs);
    EXPECT_EQ(ProgramsOf(at_relay), programs);
    LedgerRequest at_leader = SendReservation(ProgramsOf(at_relay), Relaying::kDirectOnly);
    EXPECT_EQ(at_leader.known_programs_only, at_relay.known_programs_only);
    EXPECT_EQ(at_leader.admit_waiting, at_relay.admit_waiting);
  }
}

// Guards against a resumed stream whose origin is never asked for.
TEST_F(LedgerClientTest, EachTryAsksForTheOriginOfTheStream) {
  std::optional<origin_query> query = origin_query{ProgramId("p"), TurnId("stream")};
  async_http::asio::co_spawn(
      loop_.context(),
      [this, query]() -> async_http::Task<void> {
        Operation operation = ReserveTurn{};
        LedgerQueries queries{query, ProgramId("crashes")};
        co_await client_.Call(kGroup, std::move(operation), SteadyNow() + absl::Seconds(10),
                              Relaying::kAllowed, Programs::kAll, queries);
      },
      async_http::asio::detached);
  ASSERT_TRUE(RunUntil(loop_, [&] { return sent_.size() >= 2; }));
  for (const auto& [target, request] : sent_) {
    ASSERT_TRUE(request.origin.has_value());
    EXPECT_EQ(request.origin->m_stream, query->m_stream);
    EXPECT_EQ(request.origin->m_account, query->m_account);
    EXPECT_EQ(request.crash_account, ProgramId("crashes"));
  }
  SendReply(sent_.back().second, ReplyStatus::kDone);
  EXPECT_TRUE(RunUntil(loop_, [&] { return client_.pending() == 0; }));
}

// Guards against losing a whole try timeout to a machine that has just refused a connection.
TEST_F(LedgerClientTest, MachineThatRefusedAConnectionIsSkippedForAWhile) {
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
    client_.OnReplicaDown(kSecond);  // No leader is known for the next call.
    client_.OnReplicaDown(kFirst);
    client_.OnReply(kSecond, reply);  // A late reply shows that it is up again.
    ASSERT_TRUE(RunUntil(loop_, [&] { return end->has_value(); }));
  }
}

TEST_F(LedgerClientTest, MachinesAreTriedIfAllRefuseConnections) {
  client_.OnReplicaDown(kFirst);
  client_.OnReplicaDown(kSecond);
  auto end = Start(Probe{}, absl::Milliseconds(300));
  ASSERT_TRUE(RunUntil(loop_, [&] { return end->has_value(); }));
  EXPECT_FALSE(sent_.empty());
  EXPECT_LE(sent_.size(), 4U) << "with a delay between tries";
}

TEST_F(LedgerClientTest, HintToAMachineThatRefusesConnectionsIsNotFollowed) {
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
    EXPECT_EQ(to, kSecond) << "the hint names a machine that refuses";
  }
  EXPECT_GE(sent_.size(), 2U);
}

TEST_F(LedgerClientTest, UnreachableLedgerWithoutRelaysRefusesAtOnce) {
  ASSERT_TRUE(
      RunUntil(loop_, [&] { return client_.UnresponsiveGroups(absl::Milliseconds(450)) == 1; }));
  client_.SetRelays({}, /*ledger_unreachable=*/true);
  auto end = Start(ReserveTurn{}, absl::Seconds(10));
  std::size_t sent = sent_.size();
  ASSERT_TRUE(RunUntil(loop_, [&] { return end->has_value(); }));
  EXPECT_EQ(**end, CallStatus::kOverloaded);
  EXPECT_EQ(sent_.size(), sent) << "nothing was sent, so it can never be committed";
}

TEST_F(LedgerClientTest, OverloadEndsAReservationAtOnceButNotASettlement) {
  auto reservation = Start(ReserveTurn{}, absl::Seconds(10));
  ASSERT_TRUE(RunUntil(loop_, [&] { return !sent_.empty(); }));
  SendReply(sent_.front().second, ReplyStatus::kOverloaded);
  ASSERT_TRUE(RunUntil(loop_, [&] { return reservation->has_value(); }));
  EXPECT_EQ(**reservation, CallStatus::kOverloaded);

  sent_.clear();
  auto settlement = Start(SettleTurn{}, absl::Seconds(10));
  ASSERT_TRUE(RunUntil(loop_, [&] { return !sent_.empty(); }));
  SendReply(sent_.front().second, ReplyStatus::kOverloaded);
  ASSERT_TRUE(RunUntil(loop_, [&] { return sent_.size() > 1; })) << "retried";
  SendReply(sent_.back().second, ReplyStatus::kDone);
  EXPECT_TRUE(RunUntil(loop_, [&] { return *settlement == CallStatus::kDone; }));
}

TEST_F(LedgerClientTest, ReplicasThatPointAtEachOtherAreTriedWithDelays) {
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
  EXPECT_LT(sent_.size(), 100U) << "a delay after a few hints";
}

/// With timeouts so long that a try ends only when its target refuses connections.
class LateReplyTest : public LedgerClientTest {
 protected:
  LateReplyTest() : LedgerClientTest(LongTimeoutOptions()) {}

  static LedgerClientOptions LongTimeoutOptions() {
    LedgerClientOptions options;
    options.try_timeout = options.max_try_timeout = absl::Seconds(60);
    return options;
  }
  /// Makes a further call and replies to it.
  /// @return the target of the call.
  wire::Endpoint TargetOfNextCall() {
    std::size_t before = sent_.size();
    auto end = Start(ReserveTurn{}, absl::Seconds(60));
    EXPECT_TRUE(RunUntil(loop_, [&] { return sent_.size() > before; }));
    wire::Endpoint target = sent_.back().first;
    SendReply(sent_.back().second, ReplyStatus::kDone);
    EXPECT_TRUE(RunUntil(loop_, [&] { return end->has_value(); }));
    return target;
  }
};

// Guards against attributing a late reply to the target of the current try: a follower or a relay
// would then be taken for the leader, and a relayed reply for contact with the group.
TEST_F(LateReplyTest, ReplyIsAttributedToItsSender) {
  const wire::Endpoint peer{"10.0.0.77", 1};
  struct LateCase {
    const char* name;
    bool through_peer;  ///< The first try goes through a relay that is then removed.
    bool retried;       ///< The first try is abandoned before its reply arrives.
    wire::Endpoint next_target;
    std::size_t unresponsive_groups;
  };
  const LateCase cases[] = {
      {"first replica, in time", false, false, kFirst, 0},
      {"first replica, after another was tried", false, true, kFirst, 0},
      {"relay that was removed", true, false, kFirst, 1},
      {"relay, after a replica was tried", true, true, kSecond, 1},
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
    if (test.retried) {
      client_.OnReplicaDown(first);
      ASSERT_TRUE(RunUntil(loop_, [&] { return sent_.size() == 2; }));
      EXPECT_NE(sent_.back().first, first);
    }
    SendReplyFrom(first, request, ReplyStatus::kDone);
    ASSERT_TRUE(RunUntil(loop_, [&] { return end->has_value(); }));
    EXPECT_EQ(**end, CallStatus::kDone);
    EXPECT_EQ(client_.UnresponsiveGroups(limit), test.unresponsive_groups)
        << "a relayed reply is no contact with the group";
    EXPECT_EQ(TargetOfNextCall(), test.next_target);
  }
}

// Guards against attributing a late refusal to the target of the current try, which would abandon a
// replica that is still processing the call.
TEST_F(LateReplyTest, LateRefusalDoesNotEndTheCurrentTry) {
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
    SendReplyFrom(first, request, refusal);
    // All effects of the refusal are complete once the ready handlers have run.
    loop_.context().poll();
    EXPECT_EQ(client_.retries(), retries);
    SendReplyFrom(second, request, ReplyStatus::kDone);
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
              targets_.push_back(to);
              Reply(to, request);
            },
            ZoneName("near"), 1) {
    Machine far{"far", NodeId(1), kFirst, ZoneName("far")};
    Machine near{"near", NodeId(2), kSecond, ZoneName("near")};
    reader_.set_machines(kGroup, {far, near}, 2);
  }

  void Reply(const wire::Endpoint& to, const chain_request& request) {
    if (to == unresponsive_) {
      return;
    }
    chain_reply reply;
    reply.m_request = request.m_request;
    reply.m_is_replica = true;
    reply.m_found = to != stale_;
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
  std::vector<wire::Endpoint> targets_;
  wire::Endpoint unresponsive_;
  wire::Endpoint stale_;
  chain_reader reader_;
};

TEST_F(ChainReaderTest, ReplicaInTheZoneIsTriedFirstAndAnotherIfItIsBehind) {
  ASSERT_TRUE(Read().has_value());
  EXPECT_EQ(targets_, std::vector<wire::Endpoint>{kSecond});
  targets_.clear();
  stale_ = kSecond;
  ASSERT_TRUE(Read().has_value());
  EXPECT_EQ(targets_, (std::vector<wire::Endpoint>{kSecond, kFirst}));
}

TEST_F(ChainReaderTest, UnresponsiveReplicaIsTriedLastForAWhile) {
  unresponsive_ = kSecond;
  ASSERT_TRUE(Read().has_value());
  targets_.clear();
  ASSERT_TRUE(Read().has_value());
  EXPECT_EQ(targets_, std::vector<wire::Endpoint>{kFirst});
}

TEST_F(ChainReaderTest, NothingIsReturnedIfNoReplicaHasTheTurn) {
  reader_.set_machines(kGroup, {}, 0);
  EXPECT_FALSE(Read().has_value());
}

}  // namespace
}  // namespace martenyard::turn_ledger
