#include "turn_ledger/turn_state.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

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

Command GoOnFrom(const std::string& turn, const std::string& previous, LedgerMillis at = 1000) {
  Command command = Reserve(turn, 1, 1000000, at);
  std::get<ReserveTurn>(command.operation).previous = TurnId(previous);
  return command;
}

/// The state's image, in parts so small that most states have several.
std::string Encoded(const TurnState& state) {
  constexpr std::size_t kPartBytes = 200;
  state_image_encoder encoder(state.Capture());
  std::string parts;
  while (!encoder.done()) {
    parts += encoder.next(kPartBytes);
  }
  return parts;
}

TEST(TurnStateTest, ChainIsToldFromTheTurnThatTheRequesterHoldsOn) {
  TurnState state;
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
  chain_reply elsewhere = read("three", TurnId("not an ancestor"));
  EXPECT_FALSE(elsewhere.m_after_known);
  EXPECT_EQ(elsewhere.m_text, "abcdef");
  EXPECT_FALSE(read("four", std::nullopt).m_found);
}

TEST(TurnStateTest, BudgetHoldsReservedAndSpentTokensTogether) {
  TurnState state;
  EXPECT_EQ(state.Apply(Reserve("a", 60, 100)).verdict, Verdict::kDone);
  EXPECT_EQ(state.Apply(Reserve("b", 60, 100)).verdict, Verdict::kBudgetSpent);
  state.Apply(Settle("a", 20));
  EXPECT_EQ(state.Apply(Reserve("b", 60, 100)).verdict, Verdict::kDone);
  EXPECT_EQ(state.Apply(Reserve("c", 21, 100)).verdict, Verdict::kBudgetSpent);
}

TEST(TurnStateTest, RepeatedReservationIsOneReservation) {
  TurnState state;
  EXPECT_EQ(state.Apply(Reserve("a", 60, 100)).verdict, Verdict::kDone);
  OperationResult again = state.Apply(Reserve("a", 60, 100));
  EXPECT_EQ(again.verdict, Verdict::kDone);
  EXPECT_EQ(state.Apply(Settle("a", 10)).reserved, 0U);
}

TEST(TurnStateTest, ReservationThatArrivesAfterItWasGivenUpIsRefused) {
  TurnState state;
  state.Apply(Settle("a", 0));
  EXPECT_EQ(state.Apply(Reserve("a", 60, 100)).verdict, Verdict::kSettledBefore);
}

TEST(TurnStateTest, RepeatedSettlementChargesOnce) {
  TurnState state;
  state.Apply(Reserve("a", 60, 100));
  state.Apply(Settle("a", 30));
  EXPECT_EQ(state.Apply(Settle("a", 30)).spent, 30U);
}

TEST(TurnStateTest, ChainIsGivenOldestFirstWithOutputs) {
  TurnState state;
  state.Apply(Complete("one", "in1|", "out1\n"));
  state.Apply(Complete("two", "in2|", "out2\n", "one"));
  state.Apply(Complete("other", "inX|", "outX\n", "one"));
  EXPECT_EQ(state.Apply(GoOnFrom("three", "two")).history, "in1|out1\nin2|out2\n");
  EXPECT_EQ(state.Apply(GoOnFrom("four", "other")).history, "in1|out1\ninX|outX\n");
  EXPECT_EQ(state.Apply(GoOnFrom("five", "nothing")).verdict, Verdict::kUnknownPrevious);
}

TEST(TurnStateTest, UseOfATurnKeepsItsWholeChain) {
  TurnState state;
  state.Apply(Complete("one", "a", "b", "", 0));
  state.Apply(Complete("two", "c", "d", "one", 50000));
  // "one" alone would be over by now; "two" is not, and needs it.
  EXPECT_EQ(state.Apply(GoOnFrom("three", "two", 105000)).history, "abcd");
  state.Apply(Settle("far", 0, 400000));
  EXPECT_EQ(state.turns(), 0U);
  EXPECT_EQ(state.turn_bytes(), 0U);
}

RC_GTEST_PROP(TurnStatePropertyTest, NeverOverGrantsAndSnapshotsAreEqual, ()) {
  TurnState state;
  TurnState copy;
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
      RC_ASSERT(copy.Apply(command).verdict == result.verdict);
      if (result.verdict == Verdict::kDone) {
        RC_ASSERT(!settled.contains(turn));
        granted.emplace(turn, tokens);
      }
    } else {
      // A turn delivers at most what it was granted.
      std::uint64_t tokens = granted.contains(turn) ? granted[turn] / 2 : 0;
      delivered += settled.insert(turn).second ? tokens : 0;
      state.Apply(Settle(turn, tokens));
      copy.Apply(Settle(turn, tokens));
    }
    std::uint64_t open = 0;
    for (const auto& [id, tokens] : granted) {
      open += settled.contains(id) ? 0 : tokens;
    }
    RC_ASSERT(delivered + open <= kBudget);
    TurnState restored;
    RC_ASSERT(restored.Restore(Encoded(state)));
    RC_ASSERT(Encoded(restored) == Encoded(state));
    copy = restored;
  }
}

}  // namespace
}  // namespace martenyard::turn_ledger
