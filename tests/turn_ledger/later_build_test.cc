// A machine went back to an earlier build after a later one had written to its log. An entry that
// the earlier build couldn't read was passed over, and an unreadable snapshot counted as an empty
// state, with no line in the log: the replica could lead then and say "no such turn" of turns that
// were kept. Found by reading, while looking for the class of the answers that were cut during an
// upgrade. A replica that can't read its state must be as good as down: the others go on.
#include <gtest/gtest.h>

#include "turn_ledger/turn_replica.h"
#include "wire/codec.h"

namespace martenyard::turn_ledger {
namespace {

const wire::Endpoint kGateway{"10.0.0.99", 1};
const NodeId kSelf{7};

/// Bytes of a command that a later build might write.
std::string LaterCommand() { return wire::Encode(Command{1, Probe{}}) + "more"; }

class LaterBuildTest : public ::testing::Test {
 protected:
  /// The only voter of a group, which leads by itself, with what is left on its disk.
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
      Pump();
    }
  }

  void Pump() {
    while (replica_->HasWork()) {
      replica_->Apply(replica_->TakeReady());
      for (const OutgoingLedgerReply& reply : replica_->TakeReplies()) {
        last_ = reply.reply.status;
      }
    }
  }

  ReplyStatus Ask(Operation operation) {
    last_ = ReplyStatus::kOverloaded;
    replica_->OnRequest(now_, kGateway, {1, std::move(operation)});
    Pump();
    return last_;
  }

  absl::Time now_ = absl::FromUnixSeconds(1000);
  std::unique_ptr<TurnReplica> replica_;
  ReplyStatus last_ = ReplyStatus::kOverloaded;
};

TEST_F(LaterBuildTest, ReplicaThatCannotReadAnEntryNeitherLeadsNorAnswers) {
  consensus::RestoredState restored;
  restored.entries = {{1, 1, consensus::EntryKind::kCommand, LaterCommand()}};
  restored.hard_state = {1, kNoNode};
  Start(restored);
  EXPECT_FALSE(replica_->IsCurrentLeader());
  EXPECT_EQ(Ask(FindTurn{TurnId("t"), 1000}), ReplyStatus::kNotLeader);
  EXPECT_EQ(Ask(Probe{}), ReplyStatus::kNotLeader);
}

TEST_F(LaterBuildTest, ReplicaThatCannotReadItsSnapshotNeitherLeadsNorAnswers) {
  consensus::RestoredState restored;
  restored.snapshot.index = 5;
  restored.snapshot.term = 1;
  restored.snapshot.data = "of a later build";
  restored.hard_state = {1, kNoNode};
  Start(restored);
  EXPECT_FALSE(replica_->IsCurrentLeader());
  EXPECT_EQ(Ask(FindTurn{TurnId("t"), 1000}), ReplyStatus::kNotLeader);
}

TEST_F(LaterBuildTest, ReplicaThatReadsAllLeads) {
  consensus::RestoredState restored;
  restored.entries = {{1, 1, consensus::EntryKind::kCommand,
                       wire::Encode(Command{1, FindTurn{TurnId("t"), 1000}})}};
  restored.hard_state = {1, kNoNode};
  Start(restored);
  EXPECT_TRUE(replica_->IsCurrentLeader());
  EXPECT_EQ(Ask(Probe{}), ReplyStatus::kDone);
}

}  // namespace
}  // namespace martenyard::turn_ledger
