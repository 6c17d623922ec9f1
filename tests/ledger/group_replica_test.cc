// The leader must log only commands that replicas of every version apply alike; a draining one
// finishes admitted calls and rejects new work.
#include "ledger/group_replica.h"

#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "wire/codec.h"

namespace martenyard::ledger {
namespace {

const NodeId kSelf{7};

class LeaderTest : public ::testing::Test {
 protected:
  LeaderTest() {
    now_ += absl::Seconds(10);
    replica_.Tick(now_);
    Settle();
  }

  static consensus::RestoredState OneVoter() {
    consensus::RestoredState restored;
    restored.snapshot.configuration.voters = {kSelf};
    return restored;
  }

  /// Applies all work without storing it and records the commands.
  void Settle() {
    while (replica_.HasWork()) {
      consensus::Ready ready = replica_.TakeReady();
      for (const consensus::Entry& entry : ready.entries_to_store) {
        if (entry.kind == consensus::EntryKind::kCommand) {
          commands_.push_back(*wire::Decode<Command>(entry.payload));
        }
      }
      replica_.Apply(ready);
      for (OutgoingLedgerReply& reply : replica_.TakeReplies()) {
        replies_[reply.reply.request_id] = std::move(reply.reply);
      }
    }
  }

  /// @return the reply, or null while there is none.
  const LedgerReply* Request(std::uint64_t id, Operation operation) {
    replica_.OnRequest(now_, kSelf, {id, GroupId(1), std::move(operation)});
    Settle();
    return ReplyTo(id);
  }

  const LedgerReply* ReplyTo(std::uint64_t id) const {
    auto found = replies_.find(id);
    return found == replies_.end() ? nullptr : &found->second;
  }

  absl::Time now_ = absl::FromUnixSeconds(1000);
  GroupReplica replica_{GroupId(1), kSelf, GroupOptions{}, OneVoter(), 1, now_};
  std::vector<Command> commands_;
  std::map<std::uint64_t, LedgerReply> replies_;
};

/// Guards against different outcomes on replicas of two builds: an earlier build applies
/// `kNotRun` of a later attempt as it is, this one as `kUnknown`.
TEST_F(LeaderTest, LaterAttemptThatDidNotRunIsLoggedAsUnknown) {
  for (std::uint32_t attempt : {1U, 2U}) {
    FinishCall finish;
    finish.grant = {ProgramId("p"), CallKey("k"), attempt};
    finish.outcome = CallState::kNotRun;
    replica_.OnRequest(now_, kSelf, {attempt, GroupId(1), Operation(finish)});
    Settle();
  }
  ASSERT_EQ(commands_.size(), 2U);
  EXPECT_EQ(std::get<FinishCall>(commands_[0].operation).outcome, CallState::kNotRun);
  EXPECT_EQ(std::get<FinishCall>(commands_[1].operation).outcome, CallState::kUnknown);
}

CreateProgram Creation(const std::string& program) {
  CreateProgram create;
  create.program = ProgramId(program);
  create.partner = PartnerName("tournament");
  create.program_kind = "ruling";
  create.limits = {1000, 10, 60000, 5000, 10000};
  return create;
}

BeginCall Beginning(const std::string& program, const std::string& key, std::uint64_t admission) {
  BeginCall begin;
  begin.program = ProgramId(program);
  begin.partner = PartnerName("tournament");
  begin.permitted_kinds = {"ruling"};
  begin.key = CallKey(key);
  begin.admission = AdmissionId(admission);
  begin.gateway = kSelf;
  begin.reserve = 10;
  begin.turn = "[]";
  return begin;
}

/// Guards against voters that exit while an admitted call still has its result to store, and
/// against new calls whose results could not be stored any more.
TEST_F(LeaderTest, DrainingGroupFinishesAdmittedCallsAndRejectsNewWork) {
  ASSERT_EQ(Request(1, Creation("p"))->result.verdict, Verdict::kDone);
  ASSERT_EQ(Request(2, Beginning("p", "k", 1))->result.verdict, Verdict::kDone);
  ASSERT_EQ(Request(3, Beginning("p", "waits", 2)), nullptr);

  replica_.SetDraining(true);
  Settle();
  EXPECT_FALSE(replica_.IsDrained());
  ASSERT_NE(ReplyTo(3), nullptr);
  EXPECT_EQ(ReplyTo(3)->status, ReplyStatus::kDraining);
  EXPECT_EQ(Request(4, Beginning("p", "new", 3))->status, ReplyStatus::kDraining);
  EXPECT_EQ(Request(5, Creation("q"))->status, ReplyStatus::kDraining);
  EXPECT_EQ(Request(6, EndProgram{ProgramId("p"), "caller"})->status, ReplyStatus::kDraining);
  EXPECT_EQ(Request(7, Beginning("p", "k", 1))->result.verdict, Verdict::kDone)
      << "the admission of a running call is repeated";

  FinishCall finish;
  finish.grant = {ProgramId("p"), CallKey("k"), ReplyTo(7)->result.call->attempt};
  finish.outcome = CallState::kRan;
  EXPECT_EQ(Request(8, finish)->result.verdict, Verdict::kDone);
  EXPECT_TRUE(replica_.IsDrained());

  replica_.SetDraining(false);
  EXPECT_EQ(Request(9, Beginning("p", "new", 4))->result.verdict, Verdict::kDone);
}

}  // namespace
}  // namespace martenyard::ledger
