#include "consensus/raft.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <utility>

#include "storage/log_store.h"

namespace martenyard::consensus {
namespace {

/// A group of replicas on a simulated network that the test controls.
class Cluster {
 public:
  explicit Cluster(std::size_t voters, std::size_t extra = 0) {
    Configuration configuration;
    for (std::size_t number = 1; number <= voters; ++number) {
      configuration.voters.push_back(NodeId(number));
    }
    for (std::size_t number = 1; number <= voters + extra; ++number) {
      NodeId id(number);
      disks_[id].snapshot.configuration = number <= voters ? configuration : Configuration{};
      Boot(id);
    }
  }

  void Boot(NodeId id) {
    const storage::StoredGroup& disk = disks_[id];
    RestoredState restored{disk.hard_state, disk.snapshot, disk.entries};
    replicas_[id] = std::make_unique<Raft>(id, RaftOptions{}, restored,
                                           id.value * 7919 + 104729 * boots_++, now_);
    applied_[id].resize(disk.snapshot.index);
  }

  void Kill(NodeId id) { replicas_[id] = nullptr; }

  /// Boots a replica without a configuration, like one contacted by the leader before its
  /// bootstrap.
  void BootWithoutConfiguration(NodeId id) {
    disks_[id] = storage::StoredGroup{};
    Boot(id);
  }

  /// Advances time in ticks of 10 ms and delivers messages between connected replicas.
  void Run(absl::Duration time) {
    for (absl::Time end = now_ + time; now_ < end; now_ += absl::Milliseconds(10)) {
      for (auto& [id, replica] : replicas_) {
        if (replica != nullptr) {
          replica->Tick(now_);
          ProcessReady(id);
        }
      }
      DeliverAll();
    }
  }

  void DeliverAll() {
    while (!wire_.empty()) {
      auto [from, outbound] = std::move(wire_.front());
      wire_.pop_front();
      bool open = !disconnected_.contains(from) && !disconnected_.contains(outbound.to);
      auto receiver = replicas_.find(outbound.to);
      if (open && receiver != replicas_.end() && receiver->second != nullptr) {
        receiver->second->Step(now_, from, outbound.message);
        ProcessReady(outbound.to);
      }
    }
  }

  /// Delivers the messages in flight; replies to them arrive in the next round, 2 ms later.
  void DeliverRound() {
    now_ += absl::Milliseconds(2);
    for (auto& [id, replica] : replicas_) {
      replica->Tick(now_);
      ProcessReady(id);
    }
    auto arriving = std::exchange(wire_, {});
    for (auto& [from, outbound] : arriving) {
      bool open = !disconnected_.contains(from) && !disconnected_.contains(outbound.to);
      if (open && replicas_[outbound.to] != nullptr) {
        replicas_[outbound.to]->Step(now_, from, outbound.message);
        ProcessReady(outbound.to);
      }
    }
  }

  void ProcessReady(NodeId id) {
    Raft& raft = *replicas_[id];
    while (raft.HasReady()) {
      Ready ready = raft.TakeReady();
      storage::GroupWrite write;
      write.hard_state = ready.hard_state;
      write.snapshot = ready.snapshot_to_install;
      write.snapshot_replaces_log = ready.snapshot_to_install.has_value();
      write.entries = ready.entries_to_store;
      storage::ApplyWrite(write, disks_[id]);
      if (ready.snapshot_to_install) {
        applied_[id].resize(ready.snapshot_to_install->index);
      }
      for (const Entry& entry : ready.committed) {
        ASSERT_EQ(entry.index, applied_[id].size() + 1) << "entries are applied without gaps";
        applied_[id].push_back(entry);
        CheckCommitted(entry);
      }
      for (auto* list : {&ready.messages_before_store, &ready.messages_after_store}) {
        for (Outbound& outbound : *list) {
          wire_.emplace_back(id, std::move(outbound));
        }
      }
      reads_.insert(reads_.end(), ready.reads.begin(), ready.reads.end());
      failed_reads_ += ready.failed_reads.size();
      if (raft.IsLeader()) {
        auto [recorded, added] = leaders_.emplace(raft.term(), id);
        ASSERT_EQ(recorded->second, id) << "two leaders in term " << raft.term();
      }
    }
  }

  void CheckCommitted(const Entry& entry) {
    auto [recorded, added] = committed_.emplace(entry.index, entry);
    ASSERT_EQ(recorded->second, entry) << "two entries committed at index " << entry.index;
  }

  Raft* Leader() {
    Raft* leader = nullptr;
    for (auto& [id, replica] : replicas_) {
      bool newer = replica != nullptr && replica->LeaderIsCurrent() &&
                   !disconnected_.contains(id) &&
                   (leader == nullptr || replica->term() > leader->term());
      leader = newer ? replica.get() : leader;
    }
    return leader;
  }

  NodeId LeaderId() {
    for (auto& [id, replica] : replicas_) {
      if (replica != nullptr && replica.get() == Leader()) {
        return id;
      }
    }
    return kNoNode;
  }

  /// Compacts the leader's log up to its commit index.
  void CompactLeader() {
    Snapshot snapshot;
    snapshot.index = Leader()->commit_index();
    snapshot.term = Leader()->term();
    snapshot.configuration = Leader()->configuration();
    Leader()->Compact(std::move(snapshot));
  }

  Raft& replica(std::uint64_t id) { return *replicas_[NodeId(id)]; }
  bool IsUp(NodeId id) { return replicas_[id] != nullptr; }
  void Disconnect(NodeId id) { disconnected_.insert(id); }
  void ReconnectAll() { disconnected_.clear(); }
  std::set<NodeId>& disconnected() { return disconnected_; }
  std::deque<std::pair<NodeId, Outbound>>& wire() { return wire_; }
  const std::map<LogIndex, Entry>& committed() const { return committed_; }
  std::size_t AppliedAt(std::uint64_t id) { return applied_[NodeId(id)].size(); }
  std::vector<ReadyRead>& reads() { return reads_; }
  std::size_t failed_reads() const { return failed_reads_; }
  absl::Time now() const { return now_; }
  std::size_t size() const { return replicas_.size(); }

 private:
  absl::Time now_ = absl::FromUnixSeconds(1000);
  std::uint64_t boots_ = 0;
  std::map<NodeId, storage::StoredGroup> disks_;
  std::map<NodeId, std::unique_ptr<Raft>> replicas_;
  std::map<NodeId, std::vector<Entry>> applied_;
  std::deque<std::pair<NodeId, Outbound>> wire_;
  std::set<NodeId> disconnected_;
  std::map<LogIndex, Entry> committed_;
  std::map<Term, NodeId> leaders_;
  std::vector<ReadyRead> reads_;
  std::size_t failed_reads_ = 0;
};

std::size_t CommandsIn(const std::map<LogIndex, Entry>& committed) {
  std::size_t count = 0;
  for (const auto& [index, entry] : committed) {
    count += entry.kind == EntryKind::kCommand ? 1 : 0;
  }
  return count;
}

TEST(RaftTest, OneVoterElectsItselfAndCommits) {
  Cluster cluster(1);
  cluster.Run(absl::Seconds(2));
  ASSERT_NE(cluster.Leader(), nullptr);
  cluster.Leader()->Propose(EntryKind::kCommand, "a");
  cluster.Run(absl::Milliseconds(20));
  EXPECT_EQ(CommandsIn(cluster.committed()), 1U);
}

TEST(RaftTest, ThreeVotersElectOneLeaderAndCommitOnAll) {
  Cluster cluster(3);
  cluster.Run(absl::Seconds(2));
  ASSERT_NE(cluster.Leader(), nullptr);
  for (int number = 0; number < 20; ++number) {
    cluster.Leader()->Propose(EntryKind::kCommand, "c" + std::to_string(number));
  }
  cluster.Run(absl::Milliseconds(200));
  EXPECT_EQ(CommandsIn(cluster.committed()), 20U);
  EXPECT_EQ(cluster.AppliedAt(1), cluster.AppliedAt(2));
  EXPECT_EQ(cluster.AppliedAt(2), cluster.AppliedAt(3));
}

/// Guards against heartbeats that multiply with every round trip while a snapshot is in flight,
/// because each heartbeat reply triggers another heartbeat.
TEST(RaftTest, HeartbeatsAreSentOnlyByTimerWhileSnapshotIsInFlight) {
  constexpr int kRounds = 24;  // 48 ms, less than one heartbeat interval.
  Cluster cluster(3);
  cluster.Run(absl::Seconds(2));
  NodeId leader = cluster.LeaderId();
  NodeId lagging(leader == NodeId(1) ? 2 : 1);
  cluster.Disconnect(lagging);
  cluster.Leader()->Propose(EntryKind::kCommand, "c");
  cluster.Run(absl::Milliseconds(200));
  cluster.CompactLeader();
  cluster.ReconnectAll();
  std::size_t heartbeats = 0;
  for (int round = 0; round < kRounds; ++round) {
    cluster.DeliverRound();
    std::erase_if(cluster.wire(), [&](const auto& sent) {
      const RaftMessage& message = sent.second.message;
      bool to_lagging = sent.second.to == lagging;
      heartbeats += to_lagging && std::holds_alternative<AppendRequest>(message) ? 1 : 0;
      return to_lagging &&
             std::holds_alternative<SnapshotRequest>(message);  // Keeps the snapshot in flight.
    });
  }
  EXPECT_LE(heartbeats, 2U);
}

TEST(RaftTest, LeaderWithoutQuorumStepsDownAndAnotherIsElected) {
  Cluster cluster(3);
  cluster.Run(absl::Seconds(2));
  NodeId old = cluster.LeaderId();
  cluster.Disconnect(old);
  cluster.Run(absl::Seconds(2));
  EXPECT_FALSE(cluster.replica(old.value).IsLeader());
  ASSERT_NE(cluster.Leader(), nullptr);
  EXPECT_NE(cluster.LeaderId(), old);
}

TEST(RaftTest, ReconnectedReplicaDoesNotDisruptTheLeader) {
  Cluster cluster(3);
  cluster.Run(absl::Seconds(2));
  NodeId leader = cluster.LeaderId();
  Term term = cluster.Leader()->term();
  NodeId follower(leader == NodeId(1) ? 2 : 1);
  cluster.Disconnect(follower);
  cluster.Run(absl::Seconds(5));
  cluster.ReconnectAll();
  cluster.Run(absl::Seconds(2));
  EXPECT_EQ(cluster.LeaderId(), leader);
  EXPECT_EQ(cluster.Leader()->term(), term) << "pre-vote keeps the term";
}

TEST(RaftTest, UncommittedEntriesOfADeposedLeaderAreReplaced) {
  Cluster cluster(3);
  cluster.Run(absl::Seconds(2));
  NodeId old = cluster.LeaderId();
  cluster.Disconnect(old);
  cluster.replica(old.value).Propose(EntryKind::kCommand, "lost");
  cluster.Run(absl::Seconds(2));
  cluster.Leader()->Propose(EntryKind::kCommand, "kept");
  cluster.Run(absl::Milliseconds(200));
  cluster.ReconnectAll();
  cluster.Run(absl::Seconds(2));
  ASSERT_EQ(CommandsIn(cluster.committed()), 1U);
  EXPECT_EQ(cluster.AppliedAt(old.value), cluster.committed().size());
}

TEST(RaftTest, DeposedLeaderWithALongTailCatchesUpWhileNewEntriesKeepComing) {
  Cluster cluster(3);
  cluster.Run(absl::Seconds(2));
  NodeId old = cluster.LeaderId();
  cluster.Disconnect(old);
  for (int number = 0; number < 400; ++number) {
    cluster.replica(old.value).Propose(EntryKind::kCommand, "lost" + std::to_string(number));
  }
  cluster.ProcessReady(old);
  cluster.Run(absl::Seconds(2));
  ASSERT_NE(cluster.Leader(), nullptr);
  for (int number = 0; number < 1500; ++number) {
    cluster.Leader()->Propose(EntryKind::kCommand, "kept" + std::to_string(number));
  }
  cluster.Run(absl::Milliseconds(200));
  cluster.ReconnectAll();
  // More entries are proposed while messages are in flight, so that appends and rejections cross.
  NodeId leader = cluster.LeaderId();
  constexpr int kRounds = 150;
  for (int round = 0; round < kRounds; ++round) {
    cluster.replica(leader.value).Propose(EntryKind::kCommand, "more" + std::to_string(round));
    cluster.ProcessReady(leader);
    cluster.DeliverRound();
  }
  EXPECT_GE(cluster.replica(leader.value).MatchIndex(old),
            cluster.replica(leader.value).last_index() - 10);
}

TEST(RaftTest, LeadershipTransferDoesNotWaitForAnElectionTimeout) {
  Cluster cluster(3);
  cluster.Run(absl::Seconds(2));
  NodeId old = cluster.LeaderId();
  NodeId next(old == NodeId(1) ? 2 : 1);
  cluster.Leader()->TransferLeadership(next);
  EXPECT_FALSE(cluster.replica(old.value).Propose(EntryKind::kCommand, "x").has_value());
  cluster.Run(absl::Milliseconds(50));
  EXPECT_EQ(cluster.LeaderId(), next);
}

/// Guards against stopping leaders that transfer leadership back and forth: a stopping replica
/// declines, and the leader accepts proposals again at once.
TEST(RaftTest, StoppingReplicaDeclinesLeadershipTransfer) {
  Cluster cluster(3);
  cluster.Run(absl::Seconds(2));
  NodeId leader = cluster.LeaderId();
  NodeId stopping(leader == NodeId(1) ? 2 : 1);
  cluster.replica(stopping.value).DeclineLeadership();
  cluster.Leader()->TransferLeadership(stopping);
  cluster.Run(absl::Milliseconds(20));
  EXPECT_EQ(cluster.LeaderId(), leader);
  EXPECT_TRUE(cluster.replica(leader.value).DeclinedLeadership(stopping));
  EXPECT_TRUE(cluster.replica(leader.value).Propose(EntryKind::kCommand, "x").has_value());
}

/// Guards against a group without a leader: a stopping replica is elected if no other one can be.
TEST(RaftTest, StoppingReplicaIsElectedWhenTheLeaderFails) {
  Cluster cluster(3);
  cluster.Run(absl::Seconds(2));
  NodeId leader = cluster.LeaderId();
  for (std::uint64_t id = 1; id <= 3; ++id) {
    cluster.replica(id).DeclineLeadership();
  }
  cluster.Kill(leader);
  cluster.Run(absl::Seconds(2));
  ASSERT_NE(cluster.Leader(), nullptr);
  EXPECT_NE(cluster.LeaderId(), leader);
}

/// Guards against a leader that repeatedly transfers leadership to a replica without a
/// configuration and rejects all proposals meanwhile.
TEST(RaftTest, InitialMemberContactedBeforeItsBootstrapCanBecomeLeader) {
  Cluster cluster(3);
  cluster.BootWithoutConfiguration(NodeId(3));
  cluster.Run(absl::Seconds(2));
  ASSERT_NE(cluster.Leader(), nullptr);
  EXPECT_EQ(cluster.replica(3).configuration(), cluster.Leader()->configuration());
  cluster.Leader()->TransferLeadership(NodeId(3));
  cluster.Run(absl::Milliseconds(50));
  EXPECT_EQ(cluster.LeaderId(), NodeId(3));
}

/// Guards against repeated transfer requests that extend the transfer's deadline, so that proposals
/// are rejected for as long as the target does not take over.
TEST(RaftTest, RepeatedLeadershipTransferDoesNotExtendItsDeadline) {
  constexpr int kRequests = 10;
  Cluster cluster(3);
  cluster.Run(absl::Seconds(2));
  NodeId leader = cluster.LeaderId();
  NodeId unreachable(leader == NodeId(1) ? 2 : 1);
  cluster.Disconnect(unreachable);
  bool accepted = false;
  for (int request = 0; request < kRequests && !accepted; ++request) {
    cluster.replica(leader.value).TransferLeadership(unreachable);
    cluster.Run(absl::Milliseconds(200));
    accepted = cluster.replica(leader.value).Propose(EntryKind::kCommand, "x").has_value();
  }
  EXPECT_TRUE(accepted);
}

TEST(RaftTest, LaggingReplicaReceivesSnapshotThenLog) {
  Cluster cluster(3);
  cluster.Run(absl::Seconds(2));
  NodeId leader = cluster.LeaderId();
  NodeId lagging(leader == NodeId(1) ? 2 : 1);
  cluster.Disconnect(lagging);
  for (int number = 0; number < 10; ++number) {
    cluster.Leader()->Propose(EntryKind::kCommand, "c");
  }
  cluster.Run(absl::Milliseconds(200));
  cluster.CompactLeader();
  EXPECT_EQ(cluster.Leader()->log_size(), 0U);
  cluster.Leader()->Propose(EntryKind::kCommand, "after");
  cluster.ReconnectAll();
  cluster.Run(absl::Seconds(2));
  EXPECT_EQ(cluster.AppliedAt(lagging.value), cluster.committed().size());
}

TEST(RaftTest, LearnerIsPromotedAndOldVoterIsRemoved) {
  Cluster cluster(3, /*extra=*/1);
  cluster.Run(absl::Seconds(2));
  Configuration learning = cluster.Leader()->configuration();
  learning.learners.push_back(NodeId(4));
  ASSERT_TRUE(cluster.Leader()->ProposeConfiguration(learning));
  cluster.Run(absl::Milliseconds(500));
  EXPECT_EQ(cluster.Leader()->MatchIndex(NodeId(4)), cluster.Leader()->last_index());
  Configuration voting = learning;
  voting.learners.clear();
  voting.voters.push_back(NodeId(4));
  ASSERT_TRUE(cluster.Leader()->ProposeConfiguration(voting));
  cluster.Run(absl::Milliseconds(500));
  NodeId leader = cluster.LeaderId();
  Configuration smaller = voting;
  std::erase(smaller.voters, leader);
  ASSERT_TRUE(cluster.Leader()->ProposeConfiguration(smaller));
  cluster.Run(absl::Seconds(2));
  EXPECT_NE(cluster.LeaderId(), leader) << "a leader that is removed steps down";
  EXPECT_NE(cluster.Leader(), nullptr);
}

TEST(RaftTest, ConfigurationChangeOfMoreThanOneVoterIsRejected) {
  Cluster cluster(3, /*extra=*/2);
  cluster.Run(absl::Seconds(2));
  Configuration next = cluster.Leader()->configuration();
  next.voters.push_back(NodeId(4));
  next.voters.push_back(NodeId(5));
  EXPECT_FALSE(cluster.Leader()->ProposeConfiguration(next));
  next.voters = {};
  EXPECT_FALSE(cluster.Leader()->ProposeConfiguration(next));
}

TEST(RaftTest, LearnerDoesNotBecomeCandidate) {
  Cluster cluster(1, /*extra=*/1);
  cluster.Run(absl::Seconds(2));
  Configuration learning = cluster.Leader()->configuration();
  learning.learners.push_back(NodeId(2));
  ASSERT_TRUE(cluster.Leader()->ProposeConfiguration(learning));
  cluster.Run(absl::Milliseconds(500));
  cluster.Kill(NodeId(1));
  cluster.Run(absl::Seconds(5));
  EXPECT_EQ(cluster.Leader(), nullptr);
}

TEST(RaftTest, ReadIsServedOnlyAfterAQuorumConfirmedLeadership) {
  Cluster cluster(3);
  cluster.Run(absl::Seconds(2));
  ASSERT_TRUE(cluster.Leader()->RequestRead(1));
  cluster.Run(absl::Milliseconds(50));
  ASSERT_EQ(cluster.reads().size(), 1U);
  NodeId old = cluster.LeaderId();
  cluster.Disconnect(old);
  ASSERT_TRUE(cluster.replica(old.value).RequestRead(2));
  cluster.Run(absl::Seconds(2));
  EXPECT_EQ(cluster.reads().size(), 1U) << "a disconnected leader must not serve reads";
  EXPECT_EQ(cluster.failed_reads(), 1U);
}

/// @return how many replicas currently hold the leader lease.
int LeaseHolders(Cluster& cluster) {
  int holders = 0;
  for (std::uint64_t id = 1; id <= cluster.size(); ++id) {
    bool up = cluster.IsUp(NodeId(id));
    holders += up && cluster.replica(id).HoldsLease(cluster.now()) ? 1 : 0;
  }
  return holders;
}

TEST(RaftTest, LeaderHoldsItsLeaseWhileAQuorumReplies) {
  Cluster cluster(5);
  cluster.Run(absl::Seconds(2));
  for (int round = 0; round < 100; ++round) {
    cluster.Run(absl::Milliseconds(10));
    EXPECT_EQ(LeaseHolders(cluster), 1);
  }
}

TEST(RaftTest, DisconnectedLeaderLosesItsLeaseBeforeAnotherIsElected) {
  for (int try_number = 0; try_number < 20; ++try_number) {
    Cluster cluster(5);
    cluster.Run(absl::Seconds(2) + absl::Milliseconds(7 * try_number));
    cluster.Disconnect(cluster.LeaderId());
    for (int round = 0; round < 200; ++round) {
      cluster.Run(absl::Milliseconds(10));
      EXPECT_LE(LeaseHolders(cluster), 1);
    }
    EXPECT_EQ(LeaseHolders(cluster), 1) << "the new leader's";
  }
}

TEST(RaftTest, PausedLeaderHoldsNoLeaseAfterStaleAcknowledgements) {
  Cluster cluster(3);
  cluster.Run(absl::Seconds(2));
  Raft* paused = cluster.Leader();
  cluster.DeliverRound();
  EXPECT_TRUE(paused->HoldsLease(cluster.now()));
  // Acknowledgements received during the pause are processed when it resumes.
  absl::Time resumed = cluster.now() + absl::Seconds(3);
  AppendReply late;
  late.term = paused->term();
  late.success = true;
  late.match = 1;
  late.round = 1;
  paused->Step(resumed, NodeId(paused->leader().value % 3 + 1), late);
  EXPECT_FALSE(paused->HoldsLease(resumed));
}

TEST(RaftTest, LeaderThatTransfersLeadershipHoldsNoLease) {
  Cluster cluster(3);
  cluster.Run(absl::Seconds(2));
  NodeId old = cluster.LeaderId();
  NodeId next(old.value % 3 + 1);
  cluster.replica(old.value).TransferLeadership(next);
  EXPECT_FALSE(cluster.replica(old.value).HoldsLease(cluster.now()));
}

TEST(RaftTest, RestartedReplicaReappliesItsLogAfterTheSnapshot) {
  Cluster cluster(3);
  cluster.Kill(NodeId(2));
  cluster.Boot(NodeId(2));
  cluster.Kill(NodeId(1));
  cluster.Run(absl::Seconds(5));
  cluster.Boot(NodeId(1));
  cluster.Run(absl::Seconds(5));
  ASSERT_NE(cluster.Leader(), nullptr);
  cluster.Leader()->Propose(EntryKind::kCommand, "c");
  cluster.Run(absl::Seconds(1));
  EXPECT_EQ(CommandsIn(cluster.committed()), 1U);
}

// Random histories: the cluster checks election safety and state machine safety at every step; at
// the end the reconnected group must agree and make progress.
RC_GTEST_PROP(RaftPropertyTest, AgreementHoldsForRandomHistories, ()) {
  Cluster cluster(3);
  auto steps = *rc::gen::resize(
      80, rc::gen::container<std::vector<std::pair<int, std::uint64_t>>>(
              rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange<std::uint64_t>(1, 4))));
  std::size_t proposed = 0;
  for (const auto& [action, target] : steps) {
    NodeId node(target);
    switch (action) {
      case 0:
        cluster.Disconnect(node);
        break;
      case 1:
        cluster.ReconnectAll();
        break;
      case 2:
        cluster.Kill(node);
        break;
      case 3:
        if (!cluster.IsUp(node)) {
          cluster.Boot(node);
        }
        break;
      case 4:
      case 5:
        if (cluster.IsUp(node) &&
            cluster.replica(target).Propose(EntryKind::kCommand, std::to_string(proposed))) {
          ++proposed;
          cluster.ProcessReady(node);
        }
        break;
      case 6:  // Reorders messages.
        std::reverse(cluster.wire().begin(), cluster.wire().end());
        break;
      case 7:  // Duplicates a message.
        if (!cluster.wire().empty()) {
          cluster.wire().push_back(cluster.wire().front());
        }
        break;
      default:
        cluster.Run(absl::Milliseconds(static_cast<int>(target) * 150));
        break;
    }
  }
  cluster.ReconnectAll();
  for (std::uint64_t id = 1; id <= 3; ++id) {
    if (!cluster.IsUp(NodeId(id))) {
      cluster.Boot(NodeId(id));
    }
  }
  cluster.Run(absl::Seconds(5));
  RC_ASSERT(cluster.LeaderId() != kNoNode);
  RC_ASSERT(cluster.Leader()->Propose(EntryKind::kCommand, "last").has_value());
  cluster.Run(absl::Seconds(1));
  RC_ASSERT(cluster.committed().rbegin()->second.payload == "last");
  RC_ASSERT(!::testing::Test::HasFailure());
}

}  // namespace
}  // namespace martenyard::consensus
