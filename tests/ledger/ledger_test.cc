#include "ledger/ledger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace martenyard::ledger {
namespace {

const ProgramId kProgram{"p"};
const PartnerName kPartner{"tournament"};

Command At(UnixMillis when, Operation operation) { return {when, std::move(operation)}; }

CreateProgram Creation() {
  CreateProgram create;
  create.program = kProgram;
  create.partner = kPartner;
  create.program_kind = "ruling";
  create.limits = {1000, 10, 60000, 5000, 10000};
  create.epoch = 1;
  return create;
}

BeginCall Beginning(const std::string& key, Tokens reserve = 100) {
  BeginCall begin;
  begin.program = kProgram;
  begin.partner = kPartner;
  begin.permitted_kinds = {"ruling"};
  begin.key = CallKey(key);
  begin.request_hash = 1;
  begin.admission = AdmissionId(7);
  begin.reserve = reserve;
  begin.epoch = 1;
  begin.turn = "[]";
  return begin;
}

FinishCall Finishing(const std::string& key, CallState outcome, Tokens used) {
  FinishCall finish;
  finish.grant = {kProgram, CallKey(key), 1};
  finish.outcome = outcome;
  finish.used = used;
  finish.engine = BackendName("e");
  finish.result = outcome == CallState::kRan ? "{}" : "";
  return finish;
}

class LedgerTest : public ::testing::Test {
 protected:
  void SetUp() override { ASSERT_EQ(Apply(Creation()), Verdict::kDone); }
  Verdict Apply(Operation operation, UnixMillis when = 1000) {
    return ledger_.Apply(At(when, std::move(operation))).verdict;
  }
  const ProgramRecord& program() { return *ledger_.Find(kProgram); }
  Ledger ledger_;
};

TEST_F(LedgerTest, RepeatedCreationChangesNothingAndDifferentProgramConflicts) {
  EXPECT_EQ(Apply(Creation()), Verdict::kAlready);
  CreateProgram other = Creation();
  other.program_kind = "review";
  EXPECT_EQ(Apply(other), Verdict::kProgramConflict);
}

struct RejectionCase {
  const char* name;
  void (*change)(BeginCall&);
  UnixMillis when;
  Verdict expected;
};

class LedgerRejectionTest : public LedgerTest,
                            public ::testing::WithParamInterface<RejectionCase> {};

TEST_P(LedgerRejectionTest, RejectsWithoutReserving) {
  BeginCall begin = Beginning("k");
  GetParam().change(begin);
  EXPECT_EQ(Apply(begin, GetParam().when), GetParam().expected);
  EXPECT_EQ(program().reserved, 0);
  EXPECT_EQ(program().Running(), nullptr);
}

INSTANTIATE_TEST_SUITE_P(
    Faults, LedgerRejectionTest,
    ::testing::Values(RejectionCase{"OverBudget", [](BeginCall& begin) { begin.reserve = 1001; },
                                    1000, Verdict::kBudgetExhausted},
                      RejectionCase{"OtherPartner",
                                    [](BeginCall& begin) { begin.partner = PartnerName("trust"); },
                                    1000, Verdict::kUnknownProgram},
                      RejectionCase{"NotAllowed",
                                    [](BeginCall& begin) { begin.permitted_kinds = {}; }, 1000,
                                    Verdict::kNotAllowed},
                      RejectionCase{"OldEpoch", [](BeginCall& begin) { begin.epoch = 0; }, 1000,
                                    Verdict::kStaleEpoch},
                      RejectionCase{"TooLong", [](BeginCall&) {}, 70000, Verdict::kTooLong},
                      RejectionCase{"HistoryFull",
                                    [](BeginCall& begin) { begin.turn = std::string(10001, 'x'); },
                                    1000, Verdict::kHistoryFull}),
    [](const auto& info) { return info.param.name; });

TEST_F(LedgerTest, SecondCallIsBusyUntilTheFirstIsSettled) {
  ASSERT_EQ(Apply(Beginning("a")), Verdict::kDone);
  EXPECT_EQ(Apply(Beginning("b")), Verdict::kBusy);
  ASSERT_EQ(Apply(Finishing("a", CallState::kRan, 40)), Verdict::kDone);
  EXPECT_EQ(program().spent, 40);
  EXPECT_EQ(program().reserved, 0);
  EXPECT_EQ(Apply(Beginning("b")), Verdict::kDone);
}

TEST_F(LedgerTest, UnknownOutcomeIsChargedInFull) {
  Apply(Beginning("a", 300));
  Apply(Finishing("a", CallState::kUnknown, 1));
  EXPECT_EQ(program().spent, 300);
}

TEST_F(LedgerTest, ChargeIsCappedAtTheReservation) {
  Apply(Beginning("a", 50));
  Apply(Finishing("a", CallState::kRan, 5000));
  EXPECT_EQ(program().spent, 50);
}

TEST_F(LedgerTest, LapsedAttemptCommitsNothing) {
  Apply(Beginning("a"));
  ASSERT_EQ(Apply(LapseCall{{kProgram, CallKey("a"), 1}}), Verdict::kDone);
  EXPECT_EQ(Apply(Finishing("a", CallState::kRan, 1)), Verdict::kStaleGrant);
  EXPECT_EQ(program().Find(CallKey("a"))->state, CallState::kUnknown);
}

TEST_F(LedgerTest, OnlyARepeatableCallRunsAgainAfterAnUnknownOutcome) {
  BeginCall begin = Beginning("a");
  begin.repeatable = true;
  Apply(begin);
  Apply(LapseCall{{kProgram, CallKey("a"), 1}});
  begin.admission = AdmissionId(8);
  ApplyResult again = ledger_.Apply(At(1000, begin));
  EXPECT_EQ(again.verdict, Verdict::kDone);
  EXPECT_EQ(again.call->attempt, 2U);
  FinishCall finish = Finishing("a", CallState::kRan, 1);
  EXPECT_EQ(Apply(finish), Verdict::kStaleGrant) << "the first attempt is fenced off";
  finish.grant.attempt = 2;
  EXPECT_EQ(Apply(finish), Verdict::kDone);
}

TEST_F(LedgerTest, RepeatableCallDoesNotRunAgainAfterALaterTurn) {
  BeginCall first = Beginning("a");
  first.repeatable = true;
  Apply(first);
  Apply(LapseCall{{kProgram, CallKey("a"), 1}});
  Apply(Beginning("b"));
  Apply(Finishing("b", CallState::kRan, 1));
  first.admission = AdmissionId(8);
  EXPECT_EQ(Apply(first), Verdict::kAlready);
}

TEST_F(LedgerTest, RepeatedFinishIsIdempotent) {
  Apply(Beginning("a"));
  Apply(Finishing("a", CallState::kRan, 10));
  EXPECT_EQ(Apply(Finishing("a", CallState::kRan, 10)), Verdict::kAlready);
  EXPECT_EQ(program().spent, 10);
}

/// Guards against reporting `not_run` for a key whose first attempt lapsed and may have run,
/// because its second attempt did not run.
TEST_F(LedgerTest, LaterAttemptThatDidNotRunLeavesTheKeyUnknown) {
  BeginCall begin = Beginning("k");
  begin.repeatable = true;
  Apply(begin);
  Apply(LapseCall{{kProgram, CallKey("k"), 1}});
  begin.admission = AdmissionId(8);
  ASSERT_EQ(Apply(begin), Verdict::kDone);
  FinishCall finish = Finishing("k", CallState::kNotRun, 0);
  finish.grant.attempt = 2;
  ApplyResult result = ledger_.Apply(At(1000, finish));
  EXPECT_EQ(result.verdict, Verdict::kDone);
  EXPECT_EQ(result.call->state, CallState::kUnknown);
  EXPECT_EQ(program().spent, 100) << "only the attempt that may have run is charged in full";
  EXPECT_EQ(program().reserved, 0);
  ApplyResult again = ledger_.Apply(At(1000, finish));
  EXPECT_EQ(again.verdict, Verdict::kAlready);
  EXPECT_EQ(again.call->state, CallState::kUnknown);
  begin.admission = AdmissionId(9);
  ASSERT_EQ(Apply(begin), Verdict::kDone) << "the same key may still run";
  finish = Finishing("k", CallState::kRan, 0);
  finish.grant.attempt = 3;
  EXPECT_EQ(ledger_.Apply(At(1000, finish)).call->state, CallState::kRan);
}

TEST_F(LedgerTest, FirstAttemptThatDidNotRunVoidsTheKey) {
  BeginCall begin = Beginning("k");
  begin.repeatable = true;
  Apply(begin);
  EXPECT_EQ(ledger_.Apply(At(1000, Finishing("k", CallState::kNotRun, 0))).call->state,
            CallState::kNotRun);
  begin.admission = AdmissionId(8);
  EXPECT_EQ(Apply(begin), Verdict::kAlready);
}

TEST_F(LedgerTest, VoidKeyNeverBegins) {
  ASSERT_EQ(Apply(VoidCall{kProgram, CallKey("a"), 1}), Verdict::kDone);
  ApplyResult begun = ledger_.Apply(At(1000, Beginning("a")));
  EXPECT_EQ(begun.verdict, Verdict::kAlready);
  EXPECT_EQ(begun.call->state, CallState::kNotRun);
}

TEST_F(LedgerTest, RejectionForBudgetVoidsTheKey) {
  Apply(Beginning("a", 1000));
  Apply(Finishing("a", CallState::kRan, 900));
  ASSERT_EQ(Apply(Beginning("b", 200)), Verdict::kBudgetExhausted);
  ApplyResult late = ledger_.Apply(At(1000, Beginning("b", 1)));
  EXPECT_EQ(late.verdict, Verdict::kAlready);
  EXPECT_EQ(late.call->state, CallState::kNotRun);
}

TEST_F(LedgerTest, EndChargesTheRunningCallAndOrdersReleases) {
  Apply(Beginning("a"));
  Apply(Finishing("a", CallState::kRan, 1));
  Apply(Beginning("b", 70));
  ASSERT_EQ(Apply(EndProgram{kProgram, "test"}), Verdict::kDone);
  EXPECT_EQ(program().spent, 71);
  ASSERT_EQ(ledger_.outbox().size(), 1U);
  EXPECT_EQ(ledger_.outbox().begin()->second.engine, BackendName("e"));
  EXPECT_EQ(Apply(Beginning("c")), Verdict::kProgramEnded);
  Apply(AcknowledgeRelease{{ledger_.outbox().begin()->first}});
  EXPECT_TRUE(ledger_.outbox().empty());
}

TEST_F(LedgerTest, IdleProgramExpiresButNotWhileACallRuns) {
  EXPECT_TRUE(ledger_.Expired(5000, 10).empty());
  EXPECT_EQ(ledger_.Expired(6001, 10).size(), 1U);
  Apply(Beginning("a"));
  EXPECT_TRUE(ledger_.Expired(20000, 10).empty());
}

TEST_F(LedgerTest, DamagedSnapshotIsRejectedWithoutChangingTheState) {
  Apply(Beginning("a"));
  std::string data = ledger_.Serialize();
  EXPECT_FALSE(ledger_.Restore(data.substr(0, data.size() / 2)));
  EXPECT_NE(program().Running(), nullptr);
}

// Checks budget and ordering invariants under random commands.
RC_GTEST_PROP(LedgerPropertyTest, BudgetAndOrderHoldAndReplicasAgree, ()) {
  Ledger ledger;
  ledger.Apply(At(1000, Creation()));
  std::map<std::string, int> ran;
  auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
      rc::gen::tuple(rc::gen::inRange(0, 6), rc::gen::inRange(0, 6), rc::gen::inRange(0, 400)));
  for (const auto& [action, number, tokens] : steps) {
    std::string key = "k" + std::to_string(number);
    const CallRecord* known = ledger.Find(kProgram)->Find(CallKey(key));
    std::uint32_t attempt = known == nullptr ? 1 : known->attempt;
    Grant grant{kProgram, CallKey(key), attempt};
    switch (action) {
      case 0:
      case 1: {
        BeginCall begin = Beginning(key, tokens);
        begin.repeatable = number % 2 == 0;
        begin.admission = AdmissionId(static_cast<std::uint64_t>(tokens) + 1);
        ledger.Apply(At(1000, begin));
        break;
      }
      case 2: {
        FinishCall finish = Finishing(key, CallState::kRan, tokens);
        finish.grant = grant;
        ran[key] += ledger.Apply(At(1000, finish)).verdict == Verdict::kDone ? 1 : 0;
        break;
      }
      case 3:
        ledger.Apply(At(1000, LapseCall{grant}));
        break;
      case 4:
        ledger.Apply(At(1000, VoidCall{kProgram, CallKey(key), 1}));
        break;
      default: {
        // A replica restored from a snapshot must be equal.
        Ledger copy;
        RC_ASSERT(copy.Restore(ledger.Serialize()));
        RC_ASSERT(*copy.Find(kProgram) == *ledger.Find(kProgram));
        break;
      }
    }
    const ProgramRecord& program = *ledger.Find(kProgram);
    RC_ASSERT(program.spent + program.reserved <= program.limits.budget_tokens);
    RC_ASSERT(program.reserved >= 0);
    int running = 0;
    Tokens charged = 0;
    for (const CallRecord& call : program.calls) {
      running += call.state == CallState::kRunning ? 1 : 0;
      charged += call.charged;
    }
    RC_ASSERT(running <= 1);
    RC_ASSERT(charged == program.spent);
    RC_ASSERT(ledger.running().size() == static_cast<std::size_t>(running));
  }
  for (const auto& [key, times] : ran) {
    RC_ASSERT(times <= 1);
  }
}

}  // namespace
}  // namespace martenyard::ledger
