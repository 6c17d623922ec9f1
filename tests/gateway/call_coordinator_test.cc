// What one dispatch of a call leaves behind must not be told of another one, nor of the whole call.
//
// Symptoms: an answer that two engines made was charged the last one's tokens only; a call that ran
// out of time was told the failure of an engine that it had left long before.
// Sequences and causes: the usage of the engine that finished was taken for the whole text's. The
// reason of one dispatch's failure stayed for the next one's end.
// What settled it: the `FinishCall` that the ledger was asked to store, 11 tokens for a turn of 10
// and a text of 5, and the title told.
#include "gateway/call_coordinator.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace martenyard::gateway {
namespace {

using clients::ModelOutcome;
using ledger::CallState;
using ledger::Tokens;
using nlohmann::json;

/// One run that an engine was asked for.
struct Run {
  clients::ModelRequest request;
  std::function<void(std::string)> on_text;
  std::function<void(ModelOutcome)> on_done;
  bool cancelled = false;
};

class FakeBackends : public clients::BackendClient {
 public:
  void FetchMachines(clients::MachineListCallback) override {}
  Handle StartModel(const clients::ModelRequest& request, std::function<void(std::string)> on_text,
                    std::function<void(ModelOutcome)> on_done) override {
    runs.push_back({request, std::move(on_text), std::move(on_done)});
    return runs.size();
  }
  Handle StartService(const clients::ServiceRequest&,
                      std::function<void(clients::ServiceOutcome)>) override {
    return 0;
  }
  void Cancel(Handle handle) override { runs.at(handle - 1).cancelled = true; }
  void ReleaseContext(const std::string&, const std::string&, std::function<void(bool)>) override {}
  void ListContexts(
      const std::string&,
      std::function<void(std::optional<std::vector<clients::HeldContext>>)>) override {}

  std::vector<Run> runs;
};

class FakeHost : public CallHost {
 public:
  FakeHost() {
    for (const char* name : {"a", "b", "c"}) {
      EngineCandidate candidate;
      candidate.backend.name = BackendName(name);
      candidate.view.name = candidate.backend.name;
      engines.push_back(std::move(candidate));
    }
  }

  NodeId Self() const override { return NodeId(1); }
  absl::Time Now() const override { return now; }
  GroupId GroupOf(const ProgramId&) const override { return GroupId(0); }
  void AskLedger(GroupId, ledger::RequestBody body, absl::Time, LedgerCallback callback) override {
    if (auto* operation = std::get_if<ledger::Operation>(&body)) {
      if (auto* finish = std::get_if<ledger::FinishCall>(operation)) {
        finished = *finish;
      }
      on_answer = std::move(callback);
    }
  }
  void SendPermitRequests(const std::vector<dispatch::PermitAsk>& wishes) override {
    asks = wishes;
  }
  void SendPermitRelease(const dispatch::PermitRelease&) override {}
  std::vector<EngineCandidate> EnginesFor(const PartnerName&, const std::string&) override {
    return engines;
  }
  std::vector<clients::Backend> ServicesFor(const PartnerName&, clients::BackendKind,
                                            const std::string&) override {
    return {};
  }
  int PriorityOf(const PartnerName&, const std::string&) override { return 5; }
  clients::BackendClient& Backends() override { return backends; }

  absl::Time now = absl::UnixEpoch();
  std::vector<EngineCandidate> engines;
  FakeBackends backends;
  std::vector<dispatch::PermitAsk> asks;
  LedgerCallback on_answer;  // Of the newest operation.
  std::optional<ledger::FinishCall> finished;
};

struct Told : public CallSink {
  void OnText(const std::string& piece) override { text += piece; }
  void OnEnd(const CallEnd& told) override { end = told; }
  std::string text;
  std::optional<CallEnd> end;
};

constexpr Tokens kTurnTokens = 10;

/// One model call whose ledger, dispatcher and engines the test plays.
class CallCoordinatorTest : public ::testing::Test {
 protected:
  void Start() {
    CallSpec spec;
    spec.program = ProgramId("p");
    spec.key = CallKey("k");
    spec.repeatable = true;
    spec.turn = R"([{"role":"user","content":"hello"}])";
    spec.turn_tokens = kTurnTokens;
    spec.max_tokens = 1000;
    spec.deadline = host_.now + absl::Seconds(2);
    coordinator_->Start(spec, told_);
  }

  /// Another world for the next row of a table.
  void Reset() {
    coordinator_.reset();
    host_ = FakeHost();
    coordinator_ = std::make_unique<CallCoordinator>(host_, CoordinatorOptions{}, 1);
    told_ = std::make_shared<Told>();
  }

  /// The ledger's answer to the newest operation.
  void Answer(CallState state, std::uint32_t attempt) {
    LedgerAnswer answer;
    answer.status = LedgerAnswer::Status::kAnswered;
    ledger::CallRecord record;
    record.key = CallKey("k");
    record.state = state;
    record.attempt = attempt;
    if (host_.finished) {
      record.result = host_.finished->result;
    }
    answer.reply.result.call = record;
    LedgerCallback callback = std::move(host_.on_answer);
    callback(answer);
  }

  void Permit(dispatch::PermitVerdict verdict) {
    ASSERT_EQ(host_.asks.size(), 1U);
    dispatch::PermitAsk ask = host_.asks[0];
    coordinator_->OnPermitUpdate({{{ask.grant, ask.engine, verdict}}, {}});
  }

  /// Begins an attempt that is placed at an engine.
  void Begin(std::uint32_t attempt) {
    Start();
    Answer(CallState::kRunning, attempt);
    Permit(dispatch::PermitVerdict::kGranted);
  }

  void EndRun(ModelOutcome::Status status, Tokens completion_tokens = 0) {
    ModelOutcome outcome;
    outcome.status = status;
    outcome.usage.completion_tokens = completion_tokens;
    outcome.detail = "no memory";
    host_.backends.runs.back().on_done(outcome);
  }

  void Pass(absl::Duration time) {
    host_.now += time;
    coordinator_->Tick();
  }

  FakeHost host_;
  std::unique_ptr<CallCoordinator> coordinator_ =
      std::make_unique<CallCoordinator>(host_, CoordinatorOptions{}, 1);
  std::shared_ptr<Told> told_ = std::make_shared<Told>();
};

TEST_F(CallCoordinatorTest, AnswerIsChargedForAllTheRunsThatMadeIt) {
  struct Case {
    const char* name;
    std::string first_text;  // Of a run that breaks; empty: there is none.
    std::string last_text;
    Tokens reported;  // By the run that finishes.
    Tokens charged;   // For the generated text.
  };
  for (const Case& test : {
           Case{"OneRun", "", "abcdefgh", 7, 7},
           Case{"OneRunReportsNothing", "", "abcdefgh", 0, 2},
           Case{"LastReportsItsPart", "abcdefghabcdefgh", "abcd", 1, 5},
           Case{"LastReportsTheWhole", "abcdefghabcdefgh", "abcd", 9, 9},
           Case{"LastReportsNothing", "abcdefghabcdefgh", "abcd", 0, 5},
           Case{"NothingWasGenerated", "", "", 0, 0},
       }) {
    SCOPED_TRACE(test.name);
    Reset();
    Begin(1);
    if (!test.first_text.empty()) {
      host_.backends.runs.back().on_text(test.first_text);
      EndRun(ModelOutcome::Status::kBroken);
      Permit(dispatch::PermitVerdict::kGranted);
      EXPECT_EQ(host_.backends.runs.back().request.resume_text, test.first_text);
    }
    host_.backends.runs.back().on_text(test.last_text);
    EndRun(ModelOutcome::Status::kFinished, test.reported);
    ASSERT_TRUE(host_.finished);
    EXPECT_EQ(host_.finished->used, kTurnTokens + test.charged);
    json result = json::parse(host_.finished->result);
    EXPECT_EQ(result["message"]["content"], test.first_text + test.last_text);
    EXPECT_EQ(result["usage"]["completion_tokens"], test.charged);
    EXPECT_EQ(told_->text, test.first_text + test.last_text);
  }
}

TEST_F(CallCoordinatorTest, FailureOfAnEarlierDispatchIsNotToldOfALaterOne) {
  Begin(1);
  EndRun(ModelOutcome::Status::kRefused);
  Permit(dispatch::PermitVerdict::kGranted);
  Pass(absl::Seconds(2));  // While the second engine works.
  EXPECT_TRUE(host_.backends.runs.back().cancelled);
  ASSERT_TRUE(host_.finished);
  Answer(CallState::kUnknown, 1);
  ASSERT_TRUE(told_->end);
  EXPECT_EQ(told_->end->title, "the deadline passed");
}

TEST_F(CallCoordinatorTest, CallerThatJoinsLateGetsTheTextOfAllRunsOnce) {
  Begin(1);
  host_.backends.runs.back().on_text("one ");
  EndRun(ModelOutcome::Status::kBroken);
  Permit(dispatch::PermitVerdict::kGranted);
  host_.backends.runs.back().on_text("two ");
  std::shared_ptr<Told> first = std::exchange(told_, std::make_shared<Told>());
  Start();
  host_.backends.runs.back().on_text("three");
  EndRun(ModelOutcome::Status::kFinished, 3);
  Answer(CallState::kRan, 1);
  EXPECT_EQ(first->text, "one two three");
  EXPECT_EQ(told_->text, "one two three");
  ASSERT_TRUE(first->end && told_->end);
  EXPECT_EQ(told_->end->outcome, CallState::kRan);
}

}  // namespace
}  // namespace martenyard::gateway
