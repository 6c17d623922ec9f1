// Downgrades: a replica that can't decode an entry or a snapshot written by a later build must
// neither lead nor serve requests. Skipping it would let the replica deny the existence of stored
// turns.
#include <gtest/gtest.h>

#include "turn_ledger/turn_replica.h"
#include "wire/codec.h"

namespace martenyard::turn_ledger {
namespace {

const wire::Endpoint kGateway{"10.0.0.99", 1};
const NodeId kSelf{7};

/// A command that only a later build can decode.
std::string LaterCommand() { return wire::Encode(Command{1, Probe{}}) + "more"; }

class LaterBuildTest : public ::testing::Test {
 protected:
  /// Starts the only voter of a group from the state restored from its disk.
  void Start(consensus::RestoredState restored) {
    restored.snapshot.configuration.voters = {kSelf};
    Machine self{"m", kSelf, {"10.0.0.1", 1}, ZoneName("z")};
    ReplicaOptions options;
    options.planner.replicas = 1;
    replica_ = std::make_unique<TurnReplica>(
        self, options, std::move(restored),
        [](consensus::EntryId) { return std::optional<consensus::Entry>(); }, 1, now_);
    for (int step = 0; step < 100; ++step) {
      now_ += absl::Milliseconds(20);
      replica_->Tick(now_);
      ProcessReady();
    }
  }

  void ProcessReady() {
    while (replica_->HasWork()) {
      replica_->Apply(replica_->TakeReady());
      for (const OutgoingLedgerReply& reply : replica_->TakeReplies()) {
        last_status_ = reply.reply.status;
      }
    }
  }

  ReplyStatus Submit(Operation operation) {
    last_status_ = ReplyStatus::kOverloaded;
    replica_->OnRequest(now_, kGateway, {1, std::move(operation)});
    ProcessReady();
    return last_status_;
  }

  absl::Time now_ = absl::FromUnixSeconds(1000);
  std::unique_ptr<TurnReplica> replica_;
  ReplyStatus last_status_ = ReplyStatus::kOverloaded;
};

TEST_F(LaterBuildTest, ReplicaWithAnUnreadableEntryNeitherLeadsNorServesRequests) {
  consensus::RestoredState restored;
  restored.entries = {{1, 1, consensus::EntryKind::kCommand, LaterCommand()}};
  restored.hard_state = {1, kNoNode};
  Start(restored);
  EXPECT_FALSE(replica_->IsCurrentLeader());
  EXPECT_EQ(Submit(FindTurn{TurnId("t"), 1000}), ReplyStatus::kNotLeader);
  EXPECT_EQ(Submit(Probe{}), ReplyStatus::kNotLeader);
}

TEST_F(LaterBuildTest, ReplicaWithAnUnreadableSnapshotNeitherLeadsNorServesRequests) {
  consensus::RestoredState restored;
  restored.snapshot.index = 5;
  restored.snapshot.term = 1;
  restored.snapshot.data = "of a later build";
  restored.hard_state = {1, kNoNode};
  Start(restored);
  EXPECT_FALSE(replica_->IsCurrentLeader());
  EXPECT_EQ(Submit(FindTurn{TurnId("t"), 1000}), ReplyStatus::kNotLeader);
}

TEST_F(LaterBuildTest, ReplicaWithReadableStateLeads) {
  consensus::RestoredState restored;
  restored.entries = {{1, 1, consensus::EntryKind::kCommand,
                       wire::Encode(Command{1, FindTurn{TurnId("t"), 1000}})}};
  restored.hard_state = {1, kNoNode};
  Start(restored);
  EXPECT_TRUE(replica_->IsCurrentLeader());
  EXPECT_EQ(Submit(Probe{}), ReplyStatus::kDone);
}

}  // namespace
}  // namespace martenyard::turn_ledger
