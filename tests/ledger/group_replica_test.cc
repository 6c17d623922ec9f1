// The leader must log only commands that replicas of every version apply alike.
#include "ledger/group_replica.h"

#include <gtest/gtest.h>

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
      replica_.TakeReplies();
    }
  }

  absl::Time now_ = absl::FromUnixSeconds(1000);
  GroupReplica replica_{GroupId(1), kSelf, GroupOptions{}, OneVoter(), 1, now_};
  std::vector<Command> commands_;
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

}  // namespace
}  // namespace martenyard::ledger
