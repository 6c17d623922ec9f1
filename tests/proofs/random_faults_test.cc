// Random histories of faults against the promises, by RapidCheck: callers run programs while
// daemons are killed, frozen and cut off, messages are lost, doubled and crossed, and the platform
// fails; then all heals and the records are judged. RC_PARAMS="seed=…" replays, max_success=… runs
// more.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "support/proof_world.h"

namespace martenyard::testing {
namespace {

using ledger::CallKind;
using ledger::CallState;

enum class FaultKind {
  kKill,
  kRestart,
  kFreeze,
  kThaw,
  kCutZone,
  kHealZone,
  kBadNetwork,
  kGoodNetwork,
  kKeyValueDown,
  kKeyValueUp,
  kLoseServiceAnswers,
  kBreakStreams,
  kBackendsDown,
  kBackendsGood,
  kRoll,
  kCount,
};

struct Fault {
  FaultKind kind = FaultKind::kKill;
  std::size_t target = 0;
  int pause_ms = 0;  ///< Virtual time before the next fault.
};

void showValue(const Fault& fault, std::ostream& out) {  // NOLINT: RapidCheck's name.
  out << "{kind " << static_cast<int>(fault.kind) << ", target " << fault.target << ", pause "
      << fault.pause_ms << " ms}";
}

rc::Gen<Fault> AnyFault() {
  return rc::gen::build<Fault>(
      rc::gen::set(&Fault::kind,
                   rc::gen::map(rc::gen::inRange(0, static_cast<int>(FaultKind::kCount)),
                                [](int kind) { return static_cast<FaultKind>(kind); })),
      rc::gen::set(&Fault::target, rc::gen::inRange<std::size_t>(0, 6)),
      rc::gen::set(&Fault::pause_ms, rc::gen::inRange(0, 3000)));
}

/// Linearizability of one program's record, which is an append-only list: with unique keys it holds
/// if every read shows all calls answered before it began, none begun after it ended, and no read
/// shows less than one that ended before it began.
class ReadWatcher {
 public:
  ReadWatcher(ProofWorld& proof, ProgramId program) : proof_(proof), program_(std::move(program)) {}

  /// A call was answered as run.
  void NoteRan(const std::string& key) { ran_[key] = Now(); }
  void NoteAsked(const std::string& key) { asked_.try_emplace(key, Now()); }

  /// Starts a read through some daemon; its answer is judged when it comes.
  void StartRead(std::size_t gateway) {
    daemon::Node* node = proof_.world().node(gateway);
    absl::Time began = Now();
    node->SendLedgerRequest(node->GroupOf(program_), ledger::ReadProgram{program_},
                            began + absl::Seconds(5),
                            [this, began](const gateway::LedgerResult& answer) {
                              if (answer.reply.program) {
                                JudgeRead(began, *answer.reply.program);
                              }
                            });
    proof_.world().Settle(gateway);
  }

  int judged() const { return judged_; }

 private:
  absl::Time Now() const { return proof_.world().queue().now(); }

  void JudgeRead(absl::Time began, const ledger::ProgramRecord& record) {
    ++judged_;
    for (const auto& [key, when] : ran_) {
      if (when < began) {
        const ledger::CallRecord* call = record.Find(CallKey(key));
        RC_ASSERT(call != nullptr);
        RC_ASSERT(call->state == CallState::kRan);
      }
    }
    for (const ledger::CallRecord& call : record.calls) {
      auto asked = asked_.find(call.key.value);
      RC_ASSERT(asked != asked_.end());
      RC_ASSERT(asked->second <= Now());
    }
    for (const auto& [ended, length] : reads_) {
      if (ended < began) {
        RC_ASSERT(record.calls.size() >= length);
      }
    }
    reads_.emplace_back(Now(), record.calls.size());
  }

  ProofWorld& proof_;
  ProgramId program_;
  std::map<std::string, absl::Time> asked_;
  std::map<std::string, absl::Time> ran_;
  std::vector<std::pair<absl::Time, std::size_t>> reads_;
  int judged_ = 0;
};

/// One caller that makes its program's calls one after the other and believes what it is told.
class Caller {
 public:
  Caller(ProofWorld& proof, ProgramId program)
      : proof_(proof),
        program_(program),
        reads_(std::make_unique<ReadWatcher>(proof, std::move(program))) {}

  /// Looks at the call under way and makes the next one when it is over or was given up.
  void Step() {
    if (call_ != nullptr && call_->ended) {
      Note(*call_);
      call_ = nullptr;
    }
    absl::Time now = proof_.world().queue().now();
    std::optional<std::size_t> reader = PickGateway();
    if (reader && proof_.world().random().Below(4) == 0) {
      reads_->StartRead(*reader);
    }
    if (call_ != nullptr && now < give_up_at_) {
      return;
    }
    // No answer at all: the daemon died. The same key is asked of another one.
    std::optional<std::size_t> gateway = PickGateway();
    if (!gateway) {
      return;
    }
    reads_->NoteAsked(Key());
    call_ = proof_.Call(*gateway, program_, Key(), Kind(), Repeatable(), absl::Seconds(8), 20);
    give_up_at_ = now + absl::Seconds(12);
  }

  void Judge() {
    auto record = proof_.Read(program_);
    RC_ASSERT(record.has_value());
    RC_ASSERT(record->spent + record->reserved <= record->limits.budget_tokens);
    JudgeHistory(*record);
    for (const std::string& key : told_not_run_) {
      RC_ASSERT(proof_.RunsOf(program_, key) == 0);
    }
    for (const ledger::CallRecord& call : record->calls) {
      bool once = call.kind != CallKind::kModel && !call.repeatable;
      if (once) {
        RC_ASSERT(proof_.RunsOf(program_, call.key.value) <= 1);
      }
    }
    JudgeOrder(*record);
  }

  const ProgramId& program() const { return program_; }
  int ran() const { return static_cast<int>(told_ran_.size()); }
  int reads_judged() const { return reads_->judged(); }

 private:
  std::string Key() const { return "k" + std::to_string(number_); }
  CallKind Kind() const {
    return number_ % 3 == 0 ? CallKind::kModel
                            : (number_ % 3 == 1 ? CallKind::kTool : CallKind::kApplication);
  }
  bool Repeatable() const { return number_ % 3 == 0; }

  std::optional<std::size_t> PickGateway() {
    sim::World& world = proof_.world();
    for (std::size_t tries = 0; tries < world.size(); ++tries) {
      std::size_t index = world.random().Below(world.size());
      if (world.node(index) != nullptr) {
        return index;
      }
    }
    return std::nullopt;
  }

  void Note(const Told& told) {
    if (told.end.outcome == CallState::kRan) {
      told_ran_[Key()] = told.end.record->result;
      reads_->NoteRan(Key());
      ++number_;
    } else if (told.end.outcome == CallState::kNotRun) {
      told_not_run_.insert(Key());
      ++number_;
    } else if (++unknowns_ % 3 == 0) {
      ++number_;
    }
  }

  void JudgeHistory(const ledger::ProgramRecord& record) {
    for (const auto& [key, result] : told_ran_) {
      const ledger::CallRecord* call = record.Find(CallKey(key));
      RC_ASSERT(call != nullptr);
      RC_ASSERT(call->state == CallState::kRan);
      RC_ASSERT(call->result == result);
    }
    std::uint32_t expected = 0;
    for (const ledger::CallRecord& call : record.calls) {
      RC_ASSERT(call.sequence == ++expected);
      bool service_ran = call.state == CallState::kRan && call.kind != CallKind::kModel;
      if (service_ran) {
        RC_ASSERT(call.result == "{\"served\":\"" + program_.value + "/" + call.key.value + "\"}");
      }
    }
  }

  /// Services saw the program's calls in the order of the ledger.
  void JudgeOrder(const ledger::ProgramRecord& record) {
    std::uint32_t last = 0;
    for (const auto& run : proof_.world().platform().service_runs) {
      std::size_t slash = run.key.find('/');
      if (run.key.substr(0, slash) != program_.value) {
        continue;
      }
      const ledger::CallRecord* call = record.Find(CallKey(run.key.substr(slash + 1)));
      RC_ASSERT(call != nullptr);
      RC_ASSERT(call->sequence >= last);
      last = call->sequence;
    }
  }

  ProofWorld& proof_;
  ProgramId program_;
  std::unique_ptr<ReadWatcher> reads_;  // Stays where answers under way find it.
  int number_ = 0;
  int unknowns_ = 0;
  std::shared_ptr<Told> call_;
  absl::Time give_up_at_;
  std::map<std::string, std::string> told_ran_;
  std::set<std::string> told_not_run_;
};

class FaultPlayer {
 public:
  explicit FaultPlayer(ProofWorld& proof) : proof_(proof), world_(proof.world()) {}

  void Play(const Fault& fault) {
    std::size_t target = fault.target % world_.size();
    ZoneName zone("zone-" + std::to_string(fault.target % 3));
    sim::PlatformFaults& backends = world_.platform().backend_faults;
    switch (fault.kind) {
      case FaultKind::kKill:
        if (world_.node(target) != nullptr) {
          world_.Kill(target);
        }
        break;
      case FaultKind::kRestart:
        world_.Restart(target);
        break;
      case FaultKind::kFreeze:
        if (world_.node(target) != nullptr) {
          world_.Freeze(target);
        }
        break;
      case FaultKind::kThaw:
        world_.Thaw(target);
        break;
      case FaultKind::kCutZone:
        world_.CutZone(zone);
        break;
      case FaultKind::kHealZone:
        world_.HealZone(zone);
        break;
      case FaultKind::kBadNetwork:
        world_.network() = {0.05, 0.1, absl::Milliseconds(30)};
        break;
      case FaultKind::kGoodNetwork:
        world_.network() = {};
        break;
      case FaultKind::kKeyValueDown:
        world_.platform().key_value_faults.down = true;
        break;
      case FaultKind::kKeyValueUp:
        world_.platform().key_value_faults = {};
        break;
      case FaultKind::kLoseServiceAnswers:
        backends.lost_reply = 0.4;
        break;
      case FaultKind::kBreakStreams:
        backends.broken_stream = 0.4;
        break;
      case FaultKind::kBackendsDown:
        backends.down = true;
        break;
      case FaultKind::kBackendsGood:
        backends = {};
        break;
      case FaultKind::kRoll:
        RollNext(target);
        break;
      case FaultKind::kCount:
        break;
    }
  }

  /// Epochs that some daemon had in force never go back.
  void WatchEpochs() {
    for (std::size_t index = 0; index < world_.size(); ++index) {
      if (world_.node(index) == nullptr) {
        continue;
      }
      NodeId node = world_.node(index)->Self();
      std::uint64_t life_key = node.value ^ lives_[index];
      std::uint64_t epoch = proof_.EpochAt(index, kTournament);
      RC_ASSERT(epoch >= epochs_[life_key]);
      epochs_[life_key] = epoch;
    }
  }

  void NoteRestart(std::size_t index) { ++lives_[index]; }
  std::uint64_t accepted() const { return *accepted_; }

 private:
  void RollNext(std::size_t daemon) {
    if (world_.node(daemon) == nullptr) {
      return;
    }
    std::uint64_t epoch = *accepted_ + 1;
    auto answer = proof_.Roll(daemon, kTournament, epoch, "v" + std::to_string(epoch));
    using Code = bundle::OperatorAnswer::Code;
    if (answer && (answer->code == Code::kAccepted || answer->code == Code::kUnchanged)) {
      *accepted_ = std::max(*accepted_, epoch);
    }
  }

  ProofWorld& proof_;
  sim::World& world_;
  std::shared_ptr<std::uint64_t> accepted_ = std::make_shared<std::uint64_t>(1);
  std::map<std::uint64_t, std::uint64_t> epochs_;
  std::map<std::size_t, std::uint64_t> lives_;
};

void Play(std::uint64_t seed, const std::vector<Fault>& faults) {
  ProofOptions options;
  options.budget = 400;
  ProofWorld proof(options, seed);
  RC_ASSERT(proof.Start());
  std::vector<Caller> callers;
  for (int number = 0; number < 4; ++number) {
    ProgramId program("program-" + std::to_string(number));
    RC_ASSERT(proof.Create(0, program) == ledger::Verdict::kDone);
    callers.emplace_back(proof, program);
  }
  FaultPlayer player(proof);
  for (const Fault& fault : faults) {
    if (fault.kind == FaultKind::kRestart) {
      player.NoteRestart(fault.target % proof.world().size());
    }
    player.Play(fault);
    absl::Time next = proof.world().queue().now() + absl::Milliseconds(fault.pause_ms);
    while (proof.world().queue().now() < next) {
      for (Caller& caller : callers) {
        caller.Step();
      }
      proof.world().Run(absl::Milliseconds(100));
      player.WatchEpochs();
    }
  }
  proof.world().HealAll();
  // Grants and replies of the past settle; nothing new is asked.
  RC_ASSERT(
      proof.world().RunUntil([&] { return proof.world().AllGroupsLed(); }, absl::Seconds(60)));
  proof.world().Run(absl::Seconds(40));
  for (Caller& caller : callers) {
    caller.Judge();
    RC_ASSERT(proof.End(*proof.AnyUp(), caller.program()).has_value());
  }
  for (std::size_t index = 0; index < proof.world().size(); ++index) {
    RC_ASSERT(proof.EpochAt(index, kTournament) >= player.accepted());
  }
  auto released = [&] {
    return std::none_of(callers.begin(), callers.end(), [&](const Caller& caller) {
      return proof.AnyContextHeld(caller.program());
    });
  };
  RC_ASSERT(proof.world().RunUntil(released, absl::Seconds(60)));
}

RC_GTEST_PROP(RandomFaultsTest, PromisesHoldUnderAnyHistoryOfFaults, ()) {
  auto seed = *rc::gen::arbitrary<std::uint64_t>();
  auto faults = *rc::gen::resize(60, rc::gen::container<std::vector<Fault>>(AnyFault()));
  Play(seed, faults);
}

TEST(RandomFaultsTest, QuietHistoryLetsEveryCallRun) {
  ProofWorld proof(ProofOptions{}, 7);
  ASSERT_TRUE(proof.Start());
  ProgramId program("program");
  ASSERT_EQ(proof.Create(0, program), ledger::Verdict::kDone);
  Caller caller(proof, program);
  for (int step = 0; step < 200; ++step) {
    caller.Step();
    proof.world().Run(absl::Milliseconds(100));
  }
  EXPECT_GT(caller.ran(), 40);
  EXPECT_GT(caller.reads_judged(), 20);
}

}  // namespace
}  // namespace martenyard::testing
