// Simulated clusters of ledger replicas with network and disk faults: acknowledged turns are never
// lost, and budgets are never exceeded.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "base/random.h"
#include "storage/log_store.h"
#include "turn_ledger/streams/origin_record.h"
#include "turn_ledger/turn_replica.h"

namespace martenyard::turn_ledger {
namespace {

const wire::Endpoint kGateway{"10.0.0.99", 1};
constexpr std::uint32_t kRetention = 600000;
const GroupId kGroup{1};

ReplicaOptions Options() {
  ReplicaOptions options;
  options.raft.heartbeat_interval = absl::Milliseconds(60);
  options.raft.election_timeout = absl::Milliseconds(220);
  options.snapshot_log_bytes = 4000;  // Small, so that every run takes snapshots.
  return options;
}

/// Storage machines by index; each has one disk at a time.
class LedgerCluster {
 public:
  LedgerCluster(std::size_t machines, std::uint64_t seed) : random_(seed) {
    consensus::Configuration initial_members;
    for (std::size_t number = 0; number < machines; ++number) {
      disks_.push_back(NewDisk());
      if (number < 3) {
        initial_members.voters.push_back(disks_[number].identity);
      }
    }
    replicas_.resize(machines);
    for (std::size_t number = 0; number < machines; ++number) {
      if (number < 3) {
        storage::GroupWrite write;
        write.snapshot.emplace().configuration = initial_members;
        Store(number, write);
      }
      Start(number);
    }
  }

  void Start(std::size_t number) {
    Disk& disk = disks_[number];
    up_.insert(number);
    replicas_[number].reset();
    storage::StoredNode stored = *disk.store->Load();
    auto group = stored.groups.find(kGroup);
    if (group != stored.groups.end()) {
      const storage::StoredGroup& found = group->second;
      Open(number, {found.hard_state, found.snapshot, found.entries});
      replicas_[number]->OnStoredEntries(found.retained);
    }
  }
  void Kill(std::size_t number) {
    replicas_[number].reset();
    up_.erase(number);
  }
  /// Replaces the disk by an empty one: the machine restarts with a new identity.
  void Wipe(std::size_t number) {
    Kill(number);
    disks_[number] = NewDisk();
    Start(number);
  }
  /// The process stops, as LedgerRole does it, but does not exit.
  void BeginStop(std::size_t number) {
    replicas_[number]->DeclineLeadership();
    stopping_.insert(number);
  }
  std::optional<std::size_t> LeaderNumber() {
    for (std::size_t number = 0; number < size(); ++number) {
      if (replicas_[number] && replicas_[number]->IsCurrentLeader()) {
        return number;
      }
    }
    return std::nullopt;
  }
  void Isolate(std::size_t number) { isolated_.insert(number); }
  void Heal() { isolated_.clear(); }
  bool IsUp(std::size_t number) const { return up_.contains(number); }
  std::size_t size() const { return disks_.size(); }
  void SetRetiring(const std::vector<std::string>& names) { retiring_ = names; }
  double drop_probability = 0.0;

  void Run(absl::Duration time) {
    for (absl::Time end = now_ + time; now_ < end; now_ += absl::Milliseconds(5)) {
      for (std::size_t number = 0; number < size(); ++number) {
        if (replicas_[number]) {
          replicas_[number]->SetRetiring(retiring_);
          replicas_[number]->Tick(now_);
          if (stopping_.contains(number)) {
            replicas_[number]->TransferLeadership();
          }
          StoreSnapshotStep(number);
          SendTransfers(number);
          ProcessReady(number);
        }
      }
      SendHellos();
      Deliver();
    }
  }

  /// Sends `operation` to all replicas until it is acknowledged.
  /// @return nothing if `timeout` passes first.
  std::optional<OperationResult> Submit(const Operation& operation, absl::Duration timeout,
                                        const std::optional<origin_query>& origin = std::nullopt) {
    LedgerRequest message{++last_request_, operation};
    message.origin = origin;
    std::uint64_t request = message.request;
    absl::Time end = now_ + timeout;
    while (now_ < end) {
      for (std::size_t number = 0; number < size(); ++number) {
        if (replicas_[number] && !isolated_.contains(number)) {
          replicas_[number]->OnRequest(now_, kGateway, message);
          ProcessReady(number);
        }
      }
      Run(absl::Milliseconds(30));
      auto found = replies_.find(request);
      if (found != replies_.end()) {
        return found->second;
      }
    }
    return std::nullopt;
  }

  TurnReplica* Leader() {
    for (auto& replica : replicas_) {
      if (replica && replica->IsCurrentLeader()) {
        return replica.get();
      }
    }
    return nullptr;
  }
  /// Whether there is a leader with a committed configuration of three reachable, caught-up voters.
  bool IsHealthy() {
    TurnReplica* leader = Leader();
    if (leader == nullptr || !leader->raft().ConfigurationIsCommitted() ||
        leader->raft().configuration().voters.size() != 3) {
      return false;
    }
    for (NodeId voter : leader->raft().configuration().voters) {
      std::optional<std::size_t> holder = Find(voter);
      bool caught_up = leader->raft().MatchIndex(voter) + 5 >= leader->raft().commit_index();
      if (!holder || !IsUp(*holder) || isolated_.contains(*holder) || !caught_up) {
        return false;
      }
    }
    return true;
  }
  /// State of all replicas, for failure messages.
  std::string Describe() {
    std::string text;
    for (std::size_t number = 0; number < size(); ++number) {
      text += "\n" + NameOf(number) + (IsUp(number) ? " up" : " down");
      if (!replicas_[number]) {
        text += ", no replica";
        continue;
      }
      const consensus::Raft& raft = replicas_[number]->raft();
      text += ", identity " + std::to_string(disks_[number].identity.value) + ", role " +
              std::to_string(static_cast<int>(raft.role())) + ", term " +
              std::to_string(raft.term()) + ", last " + std::to_string(raft.last_index()) +
              ", commit " + std::to_string(raft.commit_index()) + ", voters";
      for (NodeId voter : raft.configuration().voters) {
        text += " " + std::to_string(voter.value) + ":" + std::to_string(raft.MatchIndex(voter));
      }
      text += ", learners";
      for (NodeId learner : raft.configuration().learners) {
        text += " " + std::to_string(learner.value);
      }
    }
    return text;
  }
  std::string NameOf(std::size_t number) const { return "m" + std::to_string(number); }
  absl::Time now() const { return now_; }

 private:
  struct Disk {
    NodeId identity;
    std::unique_ptr<storage::LogStore> store;
  };
  Disk NewDisk() {
    return {NodeId(random_.NextId()), storage::CreateMemoryLogStore(/*durable_for_tests=*/true)};
  }
  struct InFlight {
    std::size_t from;
    NodeId to;
    consensus::RaftMessage message;
  };

  Machine MachineOf(std::size_t number) const {
    Machine machine;
    machine.name = NameOf(number);
    machine.identity = disks_[number].identity;
    machine.endpoint = {"10.0.0." + std::to_string(number), 1};
    machine.zone = ZoneName("z" + std::to_string(number % 3));
    return machine;
  }

  void Open(std::size_t number, consensus::RestoredState restored) {
    storage::LogStore* store = disks_[number].store.get();
    replicas_[number] = std::make_unique<TurnReplica>(
        MachineOf(number), Options(), std::move(restored),
        [store](consensus::EntryId entry) { return *store->ReadEntry(kGroup, entry); },
        random_.NextId(), now_);
  }

  std::optional<std::size_t> Find(NodeId identity) const {
    for (std::size_t number = 0; number < disks_.size(); ++number) {
      if (disks_[number].identity == identity) {
        return number;
      }
    }
    return std::nullopt;
  }

  void ProcessReady(std::size_t number) {
    TurnReplica& replica = *replicas_[number];
    while (replica.HasWork()) {
      consensus::Ready ready = replica.TakeReady();
      storage::GroupWrite write;
      write.hard_state = ready.hard_state;
      write.snapshot = ready.snapshot_to_install;
      write.snapshot_replaces_log = ready.snapshot_to_install.has_value();
      if (write.snapshot) {
        write.retained = TurnReplica::EntriesReferencedBy(*write.snapshot);
      }
      write.entries = ready.entries_to_store;
      write.unreferenced = replica.TakeUnreferencedEntries();
      Store(number, write);
      for (auto* list : {&ready.messages_before_store, &ready.messages_after_store}) {
        for (consensus::Outbound& outbound : *list) {
          messages_in_flight_.push_back({number, outbound.to, std::move(outbound.message)});
        }
      }
      replica.Apply(ready);
      for (OutgoingLedgerReply& reply : replica.TakeReplies()) {
        if (reply.reply.status == ReplyStatus::kDone && !isolated_.contains(number)) {
          replies_[reply.reply.request] = reply.reply.result;
        }
      }
    }
  }

  /// Stores one step at a time, so that a kill can leave an unfinished snapshot.
  void StoreSnapshotStep(std::size_t number) {
    constexpr std::size_t kStepBytes = 700;
    auto step = replicas_[number]->NextSnapshotStep(kStepBytes);
    if (!step) {
      return;
    }
    disks_[number].store->WriteSnapshotPart(kGroup, step->first, step->part);
    if (step->finished) {
      storage::GroupWrite write;
      write.snapshot = std::move(*step->finished);
      write.snapshot_in_parts = true;
      write.retained = std::move(step->kept);
      Store(number, write);
      replicas_[number]->FinishSnapshot();
    }
  }

  /// Sends snapshots in small parts, so that most have several.
  void SendTransfers(std::size_t number) {
    constexpr std::size_t kPartBytes = 300;
    auto parts = replicas_[number]->NextTransferParts(kPartBytes, [](NodeId) { return true; });
    for (consensus::Outbound& part : parts) {
      messages_in_flight_.push_back({number, part.to, std::move(part.message)});
    }
  }

  void Store(std::size_t number, storage::GroupWrite write) {
    write.group = kGroup;
    disks_[number].store->Write({std::move(write)});
  }

  void SendHellos() {
    for (std::size_t from = 0; from < size(); ++from) {
      for (std::size_t to = 0; to < size(); ++to) {
        bool reachable = from != to && IsUp(from) && replicas_[to] && !isolated_.contains(from) &&
                         !isolated_.contains(to);
        if (reachable) {
          replicas_[to]->UpdateMachine(now_, MachineOf(from));
        }
      }
    }
  }

  void Deliver() {
    auto arriving = std::exchange(messages_in_flight_, {});
    for (InFlight& sent : arriving) {
      std::optional<std::size_t> to = Find(sent.to);
      bool lost = !to || !IsUp(*to) || isolated_.contains(*to) || isolated_.contains(sent.from) ||
                  random_.Uniform() < drop_probability;
      if (lost) {
        continue;
      }
      if (!replicas_[*to]) {
        Open(*to, {});
      }
      if (const auto* staged = std::get_if<consensus::StagedEntries>(&sent.message)) {
        for (const consensus::Entry& entry : staged->entries) {
          disks_[*to].store->StageEntry(kGroup, entry);
        }
        continue;
      }
      replicas_[*to]->OnLogMessage(now_, disks_[sent.from].identity, sent.message);
      ProcessReady(*to);
    }
  }

  Random random_;
  absl::Time now_ = absl::FromUnixSeconds(1000);
  std::vector<Disk> disks_;
  std::vector<std::unique_ptr<TurnReplica>> replicas_;
  std::set<std::size_t> up_;
  std::set<std::size_t> isolated_;
  std::set<std::size_t> stopping_;
  std::vector<std::string> retiring_;
  std::deque<InFlight> messages_in_flight_;
  std::map<std::uint64_t, OperationResult> replies_;
  std::uint64_t last_request_ = 0;
};

Operation MakeSettlement(const std::string& turn, const std::string& text) {
  SettleTurn settle;
  settle.program = ProgramId("p");
  settle.turn = TurnId(turn);
  settle.retention_ms = kRetention;
  settle.completed = CompletedTurn{std::nullopt, text, ""};
  return settle;
}

Operation MakeContinuation(const std::string& turn, const std::string& previous) {
  ReserveTurn reserve;
  reserve.program = ProgramId("q");
  reserve.turn = TurnId(turn);
  reserve.tokens = 1;
  reserve.previous = TurnId(previous);
  reserve.retention_ms = kRetention;
  return reserve;
}

bool WaitUntilHealthy(LedgerCluster& cluster, absl::Duration timeout) {
  for (absl::Time end = cluster.now() + timeout; cluster.now() < end;) {
    if (cluster.IsHealthy()) {
      return true;
    }
    cluster.Run(absl::Milliseconds(50));
  }
  return cluster.IsHealthy();
}

TEST(LedgerClusterTest, StoredTurnsSurviveTheLossOfEachDiskInTurn) {
  LedgerCluster cluster(3, 1);
  ASSERT_TRUE(WaitUntilHealthy(cluster, absl::Seconds(5)));
  for (int round = 0; round < 9; ++round) {
    std::string turn = "t" + std::to_string(round);
    ASSERT_TRUE(cluster.Submit(MakeSettlement(turn, "said " + turn), absl::Seconds(5)).has_value());
    cluster.Wipe(static_cast<std::size_t>(round % 3));
    ASSERT_TRUE(WaitUntilHealthy(cluster, absl::Seconds(4))) << "round " << round;
  }
  for (int round = 0; round < 9; ++round) {
    std::string turn = "t" + std::to_string(round);
    auto result = cluster.Submit(MakeContinuation("after " + turn, turn), absl::Seconds(5));
    ASSERT_TRUE(result.has_value());
    EXPECT_EQ(result->history, "said " + turn);
  }
}

TEST(LedgerClusterTest, StaleReplicaAndEmptyDiskDoNotFormAQuorum) {
  LedgerCluster cluster(3, 2);
  ASSERT_TRUE(WaitUntilHealthy(cluster, absl::Seconds(5)));
  cluster.Isolate(0);
  cluster.Run(absl::Seconds(1));
  ASSERT_TRUE(cluster.Submit(MakeSettlement("late", "x"), absl::Seconds(5)).has_value());
  cluster.Kill(1);  // Down, with its disk.
  cluster.Wipe(2);
  cluster.Heal();
  cluster.Run(absl::Seconds(5));
  EXPECT_EQ(cluster.Leader(), nullptr)
      << "machine 0 is behind and 2 is empty, so they must wait for 1";
  cluster.Start(1);
  ASSERT_TRUE(WaitUntilHealthy(cluster, absl::Seconds(6)));
  auto result = cluster.Submit(MakeContinuation("next", "late"), absl::Seconds(5));
  ASSERT_TRUE(result.has_value());
  EXPECT_EQ(result->history, "x");
}

TEST(LedgerClusterTest, GroupRecoversSoonAfterAllProcessesAreKilled) {
  LedgerCluster cluster(3, 3);
  ASSERT_TRUE(WaitUntilHealthy(cluster, absl::Seconds(5)));
  ASSERT_TRUE(cluster.Submit(MakeSettlement("t", "x"), absl::Seconds(5)).has_value());
  for (std::size_t number = 0; number < 3; ++number) {
    cluster.Kill(number);
  }
  for (std::size_t number = 0; number < 3; ++number) {
    cluster.Start(number);
  }
  EXPECT_TRUE(cluster.Submit(MakeContinuation("next", "t"), absl::Seconds(1)).has_value());
}

/// Guards against leadership that goes from one stopping machine to another and ends with it.
TEST(LedgerClusterTest, LeadershipGoesToTheMachineThatStaysWhenTwoStopAtOnce) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    LedgerCluster cluster(3, seed);
    ASSERT_TRUE(WaitUntilHealthy(cluster, absl::Seconds(5)));
    std::size_t leader = cluster.LeaderNumber().value();
    std::size_t stays = (leader + 1 + seed % 2) % 3;
    cluster.BeginStop(leader);
    cluster.BeginStop(3 - leader - stays);
    cluster.Run(absl::Milliseconds(100));
    EXPECT_EQ(cluster.LeaderNumber(), stays);
  }
}

/// Guards against a resumed stream whose origin only a former leader knew.
TEST(LedgerClusterTest, EachLeaderKnowsTheOriginsOfStreams) {
  LedgerCluster cluster(3, 5);
  ASSERT_TRUE(WaitUntilHealthy(cluster, absl::Seconds(5)));
  const ProgramId program("streams");
  const TurnId stream("stream");
  const stream_origin origin{ServiceName("s"), "v1"};
  ReserveTurn reserve;
  reserve.program = program;
  reserve.turn = recording_id(stream, {1, origin});
  reserve.retention_ms = kRetention;
  ASSERT_TRUE(cluster.Submit(reserve, absl::Seconds(5)).has_value());
  for (int round = 0; round < 6; ++round) {
    std::size_t leader = cluster.LeaderNumber().value();
    round % 2 == 0 ? cluster.Wipe(leader) : cluster.Kill(leader);
    FindTurn find{stream, kRetention};
    auto result = cluster.Submit(find, absl::Seconds(5), origin_query{program, stream});
    ASSERT_TRUE(result.has_value());
    EXPECT_EQ(result->origin, origin) << "round " << round;
    if (round % 2 != 0) {
      cluster.Start(leader);
    }
    ASSERT_TRUE(WaitUntilHealthy(cluster, absl::Seconds(5))) << "round " << round;
  }
}

TEST(LedgerClusterTest, RetiringMachineIsReplacedByTheSpareAndCanThenBeRemoved) {
  LedgerCluster cluster(4, 4);
  ASSERT_TRUE(WaitUntilHealthy(cluster, absl::Seconds(5)));
  ASSERT_TRUE(cluster.Submit(MakeSettlement("t", "x"), absl::Seconds(5)).has_value());
  cluster.SetRetiring({cluster.NameOf(1)});
  bool can_be_removed = false;
  for (int step = 0; step < 100 && !can_be_removed; ++step) {
    cluster.Run(absl::Milliseconds(50));
    can_be_removed =
        cluster.Leader() != nullptr && cluster.Leader()->CanRemoveMachine(cluster.NameOf(1));
  }
  ASSERT_TRUE(can_be_removed);
  cluster.Kill(1);
  cluster.Wipe(2);  // The others must hold all data.
  ASSERT_TRUE(WaitUntilHealthy(cluster, absl::Seconds(5)));
  EXPECT_EQ(cluster.Submit(MakeContinuation("next", "t"), absl::Seconds(5))->history, "x");
}

RC_GTEST_PROP(LedgerClusterPropertyTest, AcknowledgedTurnsAndBudgetsSurviveAnySequenceOfFaults,
              ()) {
  constexpr std::uint64_t kBudget = 200;
  auto seed = *rc::gen::arbitrary<std::uint64_t>();
  auto machines = *rc::gen::inRange<std::size_t>(3, 5);
  LedgerCluster cluster(machines, seed);
  cluster.drop_probability = 0.01 * *rc::gen::inRange(0, 4);
  std::set<std::string> kept;
  std::uint64_t granted = 0;
  auto steps = *rc::gen::inRange(4, 14);
  for (int step = 0; step < steps; ++step) {
    auto number = *rc::gen::inRange<std::size_t>(0, machines);
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        // At most one disk is lost at a time, as the deployment requires.
        if (WaitUntilHealthy(cluster, absl::Seconds(8))) {
          cluster.Wipe(number);
        }
        break;
      case 1:
        cluster.Kill(number);
        break;
      case 2:
        cluster.Isolate(number);
        break;
      case 3:
        for (std::size_t each = 0; each < machines; ++each) {
          cluster.Kill(each);
          cluster.Start(each);
        }
        break;
      default:
        break;
    }
    std::string turn = "t" + std::to_string(step);
    if (cluster.Submit(MakeSettlement(turn, turn), absl::Milliseconds(400))) {
      kept.insert(turn);
    }
    ReserveTurn reserve;
    reserve.program = ProgramId("budgeted");
    reserve.turn = TurnId("b" + std::to_string(step));
    reserve.tokens = 60;
    reserve.budget = kBudget;
    reserve.retention_ms = kRetention;
    auto result = cluster.Submit(reserve, absl::Milliseconds(400));
    granted += result && result->verdict == Verdict::kDone ? reserve.tokens : 0;
    RC_ASSERT(granted <= kBudget);
    cluster.Heal();
    for (std::size_t each = 0; each < machines; ++each) {
      if (!cluster.IsUp(each)) {
        cluster.Start(each);
      }
    }
    cluster.Run(absl::Milliseconds(*rc::gen::inRange(0, 600)));
  }
  cluster.drop_probability = 0.0;
  bool healthy = WaitUntilHealthy(cluster, absl::Seconds(10));
  RC_LOG() << cluster.Describe();
  RC_ASSERT(healthy);
  for (const std::string& turn : kept) {
    auto result = cluster.Submit(MakeContinuation("after " + turn, turn), absl::Seconds(5));
    RC_ASSERT(result.has_value());
    RC_ASSERT(result->history == turn);
  }
}

}  // namespace
}  // namespace martenyard::turn_ledger
