// A single replica: snapshots taken in steps, admission of requests, and knowledge of machines.
#include "turn_ledger/turn_replica.h"

#include <gtest/gtest.h>

#include "storage/log_store.h"
#include "turn_ledger/crashes/crash_record.h"

namespace martenyard::turn_ledger {
namespace {

const wire::Endpoint kGateway{"10.0.0.99", 1};
const NodeId kSelf{7};
constexpr std::size_t kStepBytes = 1000;  // Images contain no texts.
constexpr std::size_t kTurnBytes = 1000;

Operation MakeSettlement(int number) {
  SettleTurn settle;
  settle.program = ProgramId("p" + std::to_string(number));
  settle.turn = TurnId("t" + std::to_string(number));
  settle.completed = CompletedTurn{std::nullopt, std::string(kTurnBytes, 'x'), ""};
  return settle;
}

/// A group of one replica, which leads at once.
class TurnReplicaTest : public ::testing::Test {
 protected:
  TurnReplicaTest() {
    Machine self{"m", kSelf, {"10.0.0.1", 1}, ZoneName("z")};
    consensus::RestoredState restored;
    restored.snapshot.configuration.voters = {kSelf};
    ReplicaOptions options;
    options.planner.replicas = 1;
    options.snapshot_log_bytes = 200 * kTurnBytes;
    replica_ = std::make_unique<TurnReplica>(
        self, options, restored,
        [this](consensus::EntryId entry) { return *disk_->ReadEntry(GroupId(1), entry); }, 1, now_);
    for (int step = 0; step < 200 && !replica_->IsCurrentLeader(); ++step) {
      now_ += absl::Milliseconds(20);
      replica_->Tick(now_);
      ProcessReady();
    }
  }

  void ProcessReady() {
    while (replica_->HasWork()) {
      consensus::Ready ready = replica_->TakeReady();
      storage::GroupWrite write;
      write.group = GroupId(1);
      write.entries = ready.entries_to_store;
      disk_->Write({write});
      replica_->Apply(ready);
      for (const OutgoingLedgerReply& reply : replica_->TakeReplies()) {
        answered_ += reply.reply.status == ReplyStatus::kDone ? 1 : 0;
        last_result_ = reply.reply.result;
      }
    }
  }

  void Submit(int number) {
    replica_->OnRequest(now_, kGateway,
                        {static_cast<std::uint64_t>(number), MakeSettlement(number)});
    ProcessReady();
  }

  absl::Time now_ = absl::FromUnixSeconds(1000);
  std::unique_ptr<storage::LogStore> disk_ = storage::CreateMemoryLogStore(true);
  std::unique_ptr<TurnReplica> replica_;
  int answered_ = 0;
  OperationResult last_result_;
};

TEST_F(TurnReplicaTest, LargeSnapshotIsTakenInStepsAndRequestsAreServedBetweenThem) {
  // Guards against stalling all replicas at the same log entry to encode a snapshot.
  ASSERT_TRUE(replica_->IsCurrentLeader());
  int number = 0;
  std::optional<SnapshotStep> step;
  while (!step && number < 1000) {
    Submit(++number);
    step = replica_->NextSnapshotStep(kStepBytes);
  }
  ASSERT_TRUE(step.has_value());
  EXPECT_TRUE(step->first);
  consensus::LogIndex begun_at = replica_->raft().commit_index();
  std::string data;
  int steps = 0;
  while (step) {
    ++steps;
    EXPECT_LE(step->part.size(), 2 * kStepBytes);
    data += step->part;
    int before = answered_;
    Submit(++number);
    EXPECT_EQ(answered_, before + 1) << "a request between two steps";
    if (step->finished) {
      EXPECT_EQ(step->finished->index, begun_at);
      break;
    }
    step = replica_->NextSnapshotStep(kStepBytes);
  }
  EXPECT_GT(steps, 5);
  replica_->FinishSnapshot();
  EXPECT_EQ(replica_->raft().snapshot_index(), begun_at);
  EXPECT_EQ(replica_->raft().log_size(), static_cast<std::size_t>(steps))
      << "entries since the snapshot";

  TurnState restored([](consensus::EntryId) { return std::optional<consensus::Entry>(); });
  ASSERT_TRUE(restored.Restore(data));
  EXPECT_EQ(restored.turns(), static_cast<std::size_t>(number - steps))
      << "the state when it was captured";
}

TEST_F(TurnReplicaTest, UnfinishedSnapshotTruncatesNothing) {
  int number = 0;
  while (number < 1000 && !replica_->NextSnapshotStep(kStepBytes)) {
    Submit(++number);
  }
  replica_->FinishSnapshot();  // Not the last step: must be ignored.
  EXPECT_EQ(replica_->raft().snapshot_index(), 0U);
  EXPECT_GE(replica_->raft().log_size(), static_cast<std::size_t>(number));
}

TEST_F(TurnReplicaTest, SnapshotWithAMissingEntryIsIgnoredUntilTheEntryArrives) {
  // Entries sent ahead of a snapshot can be lost. Installing it without them would leave turns
  // without texts on a replica that counts as complete.
  for (int number = 1; number <= 5; ++number) {
    Submit(number);
  }
  consensus::SnapshotRequest request;
  request.term = replica_->raft().term() + 1;
  state_image_encoder image(replica_->state().Capture());
  request.snapshot = {500, request.term, replica_->raft().configuration(), image.next(100000)};
  std::vector<consensus::EntryId> referenced = entries_of(request.snapshot);
  ASSERT_EQ(referenced.size(), 5U);

  Machine self{"learner", NodeId(8), {"10.0.0.2", 1}, ZoneName("z")};
  auto disk = storage::CreateMemoryLogStore(true);
  TurnReplica learner(
      self, ReplicaOptions{}, {},
      [&](consensus::EntryId entry) { return *disk->ReadEntry(GroupId(1), entry); }, 1, now_);
  auto stage = [&](std::size_t from, std::size_t to) {
    for (std::size_t at = from; at < to; ++at) {
      disk->StageEntry(GroupId(1), **disk_->ReadEntry(GroupId(1), referenced[at]));
    }
  };
  stage(0, 4);
  learner.OnLogMessage(now_, kSelf, request);
  EXPECT_EQ(learner.incomplete_snapshots(), 1U);
  EXPECT_EQ(learner.raft().snapshot_index(), 0U);
  stage(4, 5);
  learner.OnLogMessage(now_, kSelf, request);
  EXPECT_EQ(learner.raft().snapshot_index(), 500U);
  learner.Apply(learner.TakeReady());
  chain_reply reply = learner.state().ReadChain({1, GroupId(1), TurnId("t5"), std::nullopt});
  EXPECT_TRUE(reply.m_found);
  EXPECT_EQ(reply.m_text, std::string(kTurnBytes, 'x'));
}

TEST_F(TurnReplicaTest, FullMemoryRefusesReservationsAndAcceptsSettlements) {
  replica_->SetMemoryFull(true);
  replica_->OnRequest(now_, kGateway, {1, ReserveTurn{}});
  std::vector<OutgoingLedgerReply> replies = replica_->TakeReplies();
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].reply.status, ReplyStatus::kOverloaded);
  Submit(2);
  EXPECT_EQ(answered_, 1) << "a settlement";
  replica_->SetMemoryFull(false);
  replica_->OnRequest(now_, kGateway, {3, ReserveTurn{}});
  ProcessReady();
  EXPECT_EQ(answered_, 2);
}

TEST_F(TurnReplicaTest, ReservationIsToldTheUnsettledTriesOfItsRequest) {
  ProgramId account("crashes-of-request");
  std::uint64_t number = 0;
  auto submit = [&](const Operation& operation) {
    LedgerRequest request{++number, operation};
    request.crash_account = account;
    replica_->OnRequest(now_, kGateway, request);
    ProcessReady();
    return last_result_.unsettled_tries;
  };
  auto reserve = [&](const ProgramId& program, const std::string& turn) {
    ReserveTurn operation;
    operation.program = program;
    operation.turn = TurnId(turn);
    operation.tokens = 1;
    return submit(operation);
  };
  ProgramId program("p");
  EXPECT_EQ(reserve(program, "try-1"), 0U);
  EXPECT_EQ(reserve(program, "try-1"), 0U) << "a repeated message";
  EXPECT_EQ(reserve(program, "try-2"), 1U);
  reserve(account, crash_record("runner", "try-1").value);
  EXPECT_EQ(last_result_.unsettled_tries, 0U) << "a record is no try";
  EXPECT_EQ(reserve(program, "try-3"), 1U) << "the record stands for the first try";
  SettleTurn settle;
  settle.program = program;
  settle.turn = TurnId("try-2");
  submit(settle);
  EXPECT_EQ(reserve(program, "try-4"), 1U) << "the third try is left";
}

TEST_F(TurnReplicaTest, ProbeIsAnsweredWithoutALogEntry) {
  consensus::LogIndex before = replica_->raft().last_index();
  replica_->OnRequest(now_, kGateway, {1, Probe{}});
  std::vector<OutgoingLedgerReply> replies = replica_->TakeReplies();
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].reply.status, ReplyStatus::kDone);
  EXPECT_EQ(replica_->raft().last_index(), before);
}

TEST_F(TurnReplicaTest, ReservationsAreRefusedWhileCommitsLagAndSettlementsAreNot) {
  // Simulates a stalled disk: proposals are not stored.
  auto ask = [&](std::uint64_t request, const Operation& operation) {
    replica_->OnRequest(now_, kGateway, {request, operation});
    std::vector<OutgoingLedgerReply> replies = replica_->TakeReplies();
    return replies.empty() ? std::nullopt : std::make_optional(replies.front().reply.status);
  };
  ReserveTurn reserve;
  reserve.program = ProgramId("p");
  reserve.turn = TurnId("t");
  EXPECT_EQ(ask(1, reserve), std::nullopt) << "accepted";
  now_ += absl::Seconds(1);
  EXPECT_EQ(ask(2, reserve), ReplyStatus::kOverloaded);
  EXPECT_EQ(ask(3, MakeSettlement(3)), std::nullopt) << "used tokens must be charged";
  ProcessReady();
  EXPECT_EQ(ask(4, reserve), std::nullopt) << "commits proceed again";
}

TEST_F(TurnReplicaTest, OutdatedReportNeverReplacesASelfReportedIdentity) {
  // Guards against an outdated directory record superseding a machine's current identity, after
  // which the machine would never be made a replica again.
  const NodeId current{20};
  const NodeId lost{10};
  replica_->UpdateMachine(now_, {"other", current, {"10.0.0.2", 1}, ZoneName("y")},
                          /*self_reported=*/false);
  replica_->UpdateMachine(now_, {"other", lost, {"10.0.0.2", 1}, ZoneName("y")},
                          /*self_reported=*/false);
  EXPECT_TRUE(replica_->machines().contains(current));
  replica_->UpdateMachine(now_, {"third", lost, {"10.0.0.3", 1}, ZoneName("x")},
                          /*self_reported=*/false);
  replica_->UpdateMachine(now_, {"third", NodeId(30), {"10.0.0.3", 1}, ZoneName("x")});
  EXPECT_FALSE(replica_->machines().contains(lost));
  replica_->UpdateMachine(now_, {"third", lost, {"10.0.0.3", 1}, ZoneName("x")},
                          /*self_reported=*/false);
  EXPECT_TRUE(replica_->machines().contains(NodeId(30))) << "outdated report";
  replica_->UpdateMachine(now_, {"third", lost, {"10.0.0.3", 1}, ZoneName("x")});
  EXPECT_TRUE(replica_->machines().contains(lost)) << "self-reported";
}

TEST_F(TurnReplicaTest, RetryOfAPendingRequestIsProposedOnce) {
  // Guards against retries adding log entries, which slow down a group that is already slow.
  consensus::LogIndex before = replica_->raft().last_index();
  for (int repetition = 0; repetition < 5; ++repetition) {
    replica_->OnRequest(now_, kGateway, {1, MakeSettlement(1)});
  }
  EXPECT_EQ(replica_->raft().last_index(), before + 1);
  ProcessReady();
  EXPECT_EQ(answered_, 1);
  Submit(1);  // A retry after the reply, which may have been lost.
  EXPECT_EQ(answered_, 2);
}

}  // namespace
}  // namespace martenyard::turn_ledger
