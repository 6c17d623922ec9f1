#include "turn_ledger/turn_state.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <set>

#include "wire/codec.h"

namespace martenyard::turn_ledger {
namespace {

constexpr std::uint32_t kRetention = 60000;

Command Reserve(const std::string& turn, std::uint64_t tokens, std::uint64_t budget,
                LedgerMillis at = 1000) {
  ReserveTurn reserve;
  reserve.program = ProgramId("p");
  reserve.turn = TurnId(turn);
  reserve.tokens = tokens;
  reserve.budget = budget;
  reserve.retention_ms = kRetention;
  return {at, reserve};
}

Command Settle(const std::string& turn, std::uint64_t tokens, LedgerMillis at = 1000) {
  SettleTurn settle;
  settle.program = ProgramId("p");
  settle.turn = TurnId(turn);
  settle.tokens = tokens;
  settle.retention_ms = kRetention;
  return {at, settle};
}

Command Complete(const std::string& turn, const std::string& input, const std::string& output,
                 const std::string& previous = "", LedgerMillis at = 1000) {
  Command command = Settle(turn, 1, at);
  CompletedTurn completed{std::nullopt, input, output};
  if (!previous.empty()) {
    completed.previous = TurnId(previous);
  }
  std::get<SettleTurn>(command.operation).completed = completed;
  return command;
}

Command ContinueFrom(const std::string& turn, const std::string& previous, LedgerMillis at = 1000) {
  Command command = Reserve(turn, 1, 1000000, at);
  std::get<ReserveTurn>(command.operation).previous = TurnId(previous);
  return command;
}

/// A state and the log that contains its texts. Restored states share the log.
class LoggedState {
 public:
  LoggedState() : LoggedState(std::make_shared<Log>()) {}
  explicit LoggedState(const LoggedState& other, const std::string& image)
      : LoggedState(other.log_) {
    RC_ASSERT(state_.Restore(image));
  }

  OperationResult Apply(const Command& command) {
    log_->push_back({1, log_->size() + 1, consensus::EntryKind::kCommand, wire::Encode(command)});
    return state_.Apply(command, {log_->back().index, 1}, /*with_history=*/true);
  }
  /// Applies a command that is already in the log.
  OperationResult ApplyLast(const Command& command) {
    return state_.Apply(command, {log_->back().index, 1}, /*with_history=*/true);
  }
  chain_reply ReadChain(const chain_request& request) const { return state_.ReadChain(request); }
  /// Makes a log entry unreadable.
  void Lose(consensus::LogIndex index) { (*log_)[index - 1].payload.clear(); }
  const TurnState& state() const { return state_; }
  TurnState& state() { return state_; }

 private:
  using Log = std::vector<consensus::Entry>;

  explicit LoggedState(std::shared_ptr<Log> log)
      : log_(std::move(log)), state_([entries = log_](consensus::EntryId entry) {
          return std::make_optional((*entries)[entry.index - 1]);
        }) {}

  std::shared_ptr<Log> log_;
  TurnState state_;
};

/// The state's image, encoded in small parts so that most states have several.
std::string Encoded(const TurnState& state) {
  constexpr std::size_t kPartBytes = 200;
  state_image_encoder encoder(state.Capture());
  std::string parts;
  while (!encoder.done()) {
    parts += encoder.next(kPartBytes);
  }
  return parts;
}

TEST(TurnStateTest, ChainIsReadFromAfterTheTurnThatTheRequesterHas) {
  LoggedState state;
  state.Apply(Complete("one", "a", "b"));
  state.Apply(Complete("two", "c", "d", "one"));
  state.Apply(Complete("three", "e", "f", "two"));
  auto read = [&](const std::string& turn, const std::optional<TurnId>& known) {
    return state.ReadChain({1, GroupId(1), TurnId(turn), known});
  };
  EXPECT_EQ(read("three", std::nullopt).m_text, "abcdef");
  chain_reply after = read("three", TurnId("one"));
  EXPECT_TRUE(after.m_after_known);
  EXPECT_EQ(after.m_text, "cdef");
  chain_reply unrelated = read("three", TurnId("not an ancestor"));
  EXPECT_FALSE(unrelated.m_after_known);
  EXPECT_EQ(unrelated.m_text, "abcdef");
  EXPECT_FALSE(read("four", std::nullopt).m_found);
}

TEST(TurnStateTest, BudgetHoldsReservedAndSpentTokensTogether) {
  LoggedState state;
  EXPECT_EQ(state.Apply(Reserve("a", 60, 100)).verdict, Verdict::kDone);
  EXPECT_EQ(state.Apply(Reserve("b", 60, 100)).verdict, Verdict::kBudgetSpent);
  state.Apply(Settle("a", 20));
  EXPECT_EQ(state.Apply(Reserve("b", 60, 100)).verdict, Verdict::kDone);
  EXPECT_EQ(state.Apply(Reserve("c", 21, 100)).verdict, Verdict::kBudgetSpent);
}

TEST(TurnStateTest, RepeatedReservationIsOneReservation) {
  LoggedState state;
  EXPECT_EQ(state.Apply(Reserve("a", 60, 100)).verdict, Verdict::kDone);
  OperationResult again = state.Apply(Reserve("a", 60, 100));
  EXPECT_EQ(again.verdict, Verdict::kDone);
  EXPECT_EQ(state.Apply(Settle("a", 10)).reserved, 0U);
}

TEST(TurnStateTest, ReservationOfASettledTurnIsRefused) {
  LoggedState state;
  state.Apply(Settle("a", 0));
  EXPECT_EQ(state.Apply(Reserve("a", 60, 100)).verdict, Verdict::kAlreadySettled);
}

TEST(TurnStateTest, RepeatedSettlementChargesOnce) {
  LoggedState state;
  state.Apply(Reserve("a", 60, 100));
  state.Apply(Settle("a", 30));
  EXPECT_EQ(state.Apply(Settle("a", 30)).spent, 30U);
}

TEST(TurnStateTest, ChainIsReturnedOldestFirstWithOutputs) {
  LoggedState state;
  state.Apply(Complete("one", "in1|", "out1\n"));
  state.Apply(Complete("two", "in2|", "out2\n", "one"));
  state.Apply(Complete("other", "inX|", "outX\n", "one"));
  EXPECT_EQ(state.Apply(ContinueFrom("three", "two")).history, "in1|out1\nin2|out2\n");
  EXPECT_EQ(state.Apply(ContinueFrom("four", "other")).history, "in1|out1\ninX|outX\n");
  EXPECT_EQ(state.Apply(ContinueFrom("five", "nothing")).verdict, Verdict::kUnknownPrevious);
}

TEST(TurnStateTest, ChainWithAnUnreadableEntryIsNotReturnedInPart) {
  LoggedState state;
  state.Apply(Complete("one", "a", "b"));
  state.Apply(Complete("two", "c", "d", "one"));
  state.Lose(1);
  OperationResult result = state.Apply(ContinueFrom("three", "two"));
  EXPECT_EQ(result.verdict, Verdict::kDone)
      << "the verdict must not depend on which entries a replica can read";
  EXPECT_TRUE(result.history_missing);
  EXPECT_EQ(result.history, "");
  EXPECT_FALSE(state.ReadChain({1, GroupId(1), TurnId("two"), std::nullopt}).m_found);
  EXPECT_EQ(state.ReadChain({1, GroupId(1), TurnId("two"), TurnId("one")}).m_text, "cd")
      << "entries that the requester has are not read";
}

TEST(TurnStateTest, UseOfATurnExtendsTheRetentionOfItsChain) {
  LoggedState state;
  state.Apply(Complete("one", "a", "b", "", 0));
  state.Apply(Complete("two", "c", "d", "one", 50000));
  // "one" would have expired by now if "two" did not continue it.
  EXPECT_EQ(state.Apply(ContinueFrom("three", "two", 105000)).history, "abcd");
  state.Apply(Settle("far", 0, 400000));
  EXPECT_EQ(state.state().turns(), 0U);
  EXPECT_EQ(state.state().turn_bytes(), 0U);
  EXPECT_THAT(state.state().TakeExpiredEntries(), ::testing::UnorderedElementsAre(1U, 2U));
}

RC_GTEST_PROP(TurnStatePropertyTest, NeverExceedsTheBudgetAndRestoresEqualStates, ()) {
  LoggedState state;
  auto copy = std::make_unique<LoggedState>(state, Encoded(state.state()));
  std::map<std::string, std::uint64_t> granted;
  std::set<std::string> settled;
  std::uint64_t delivered = 0;
  constexpr std::uint64_t kBudget = 300;
  auto steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    std::string turn = std::to_string(*rc::gen::inRange(0, 20));
    if (*rc::gen::arbitrary<bool>()) {
      auto tokens = *rc::gen::inRange<std::uint64_t>(1, 120);
      Command command = Reserve(turn, granted.contains(turn) ? granted[turn] : tokens, kBudget);
      OperationResult result = state.Apply(command);
      RC_ASSERT(copy->ApplyLast(command).verdict == result.verdict);
      if (result.verdict == Verdict::kDone) {
        RC_ASSERT(!settled.contains(turn));
        granted.emplace(turn, tokens);
      }
    } else {
      // A turn delivers at most its granted tokens.
      std::uint64_t tokens = granted.contains(turn) ? granted[turn] / 2 : 0;
      delivered += settled.insert(turn).second ? tokens : 0;
      state.Apply(Settle(turn, tokens));
      copy->ApplyLast(Settle(turn, tokens));
    }
    std::uint64_t outstanding = 0;
    for (const auto& [id, tokens] : granted) {
      outstanding += settled.contains(id) ? 0 : tokens;
    }
    RC_ASSERT(delivered + outstanding <= kBudget);
    copy = std::make_unique<LoggedState>(state, Encoded(state.state()));
    RC_ASSERT(Encoded(copy->state()) == Encoded(state.state()));
  }
}

}  // namespace
}  // namespace martenyard::turn_ledger
