// Guards against charging a call that several engines ran for the last one's tokens only, and
// against reporting an earlier dispatch's failure as the reason why a later one ended.
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

/// One model run that was started at an engine.
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
      std::function<void(std::optional<std::vector<clients::CachedContext>>)>) override {}

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
  void SendLedgerRequest(GroupId, ledger::RequestBody body, absl::Time,
                         LedgerCallback callback) override {
    if (auto* operation = std::get_if<ledger::Operation>(&body)) {
      if (auto* finish = std::get_if<ledger::FinishCall>(operation)) {
        finished = *finish;
      }
      on_result = std::move(callback);
    }
  }
  void SendPermitRequests(const std::vector<dispatch::PermitAsk>& requests) override {
    permit_requests = requests;
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
  std::vector<dispatch::PermitAsk> permit_requests;
  LedgerCallback on_result;  // Of the latest operation.
  std::optional<ledger::FinishCall> finished;
};

struct RecordingSink : public CallSink {
  void OnText(const std::string& piece) override { text += piece; }
  void OnEnd(const CallEnd& call_end) override { end = call_end; }
  std::string text;
  std::optional<CallEnd> end;
};

constexpr Tokens kTurnTokens = 10;

/// Runs one model call; the test plays its ledger, dispatcher and engines.
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
    coordinator_->Start(spec, sink_);
  }

  /// Recreates the fixture for the next case.
  void Reset() {
    coordinator_.reset();
    host_ = FakeHost();
    coordinator_ = std::make_unique<CallCoordinator>(host_, CoordinatorOptions{}, 1);
    sink_ = std::make_shared<RecordingSink>();
  }

  /// Replies to the latest ledger operation.
  void ReplyFromLedger(CallState state, std::uint32_t attempt) {
    LedgerResult ledger_result;
    ledger_result.status = LedgerResult::Status::kAnswered;
    ledger::CallRecord record;
    record.key = CallKey("k");
    record.state = state;
    record.attempt = attempt;
    if (host_.finished) {
      record.result = host_.finished->result;
    }
    ledger_result.reply.result.call = record;
    LedgerCallback callback = std::move(host_.on_result);
    callback(ledger_result);
  }

  void ReplyFromDispatcher(dispatch::PermitVerdict verdict) {
    ASSERT_EQ(host_.permit_requests.size(), 1U);
    dispatch::PermitAsk request = host_.permit_requests[0];
    coordinator_->OnPermitUpdate({{{request.grant, request.engine, verdict}}, {}});
  }

  /// Starts an attempt that gets a permit for an engine.
  void Begin(std::uint32_t attempt) {
    Start();
    ReplyFromLedger(CallState::kRunning, attempt);
    ReplyFromDispatcher(dispatch::PermitVerdict::kGranted);
  }

  void EndRun(ModelOutcome::Status status, Tokens completion_tokens = 0) {
    ModelOutcome outcome;
    outcome.status = status;
    outcome.usage.completion_tokens = completion_tokens;
    outcome.detail = "no memory";
    host_.backends.runs.back().on_done(outcome);
  }

  void AdvanceTime(absl::Duration time) {
    host_.now += time;
    coordinator_->Tick();
  }

  FakeHost host_;
  std::unique_ptr<CallCoordinator> coordinator_ =
      std::make_unique<CallCoordinator>(host_, CoordinatorOptions{}, 1);
  std::shared_ptr<RecordingSink> sink_ = std::make_shared<RecordingSink>();
};

TEST_F(CallCoordinatorTest, ResultIsChargedForAllEngineRuns) {
  struct Case {
    const char* name;
    std::string first_text;  // Of a run that breaks off; empty if there is none.
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
      ReplyFromDispatcher(dispatch::PermitVerdict::kGranted);
      EXPECT_EQ(host_.backends.runs.back().request.resume_text, test.first_text);
    }
    host_.backends.runs.back().on_text(test.last_text);
    EndRun(ModelOutcome::Status::kFinished, test.reported);
    ASSERT_TRUE(host_.finished);
    EXPECT_EQ(host_.finished->used, kTurnTokens + test.charged);
    json result = json::parse(host_.finished->result);
    EXPECT_EQ(result["message"]["content"], test.first_text + test.last_text);
    EXPECT_EQ(result["usage"]["completion_tokens"], test.charged);
    EXPECT_EQ(sink_->text, test.first_text + test.last_text);
  }
}

TEST_F(CallCoordinatorTest, FailureOfAnEarlierDispatchIsNotReportedForALaterOne) {
  Begin(1);
  EndRun(ModelOutcome::Status::kRefused);
  ReplyFromDispatcher(dispatch::PermitVerdict::kGranted);
  AdvanceTime(absl::Seconds(2));  // While the second engine runs.
  EXPECT_TRUE(host_.backends.runs.back().cancelled);
  ASSERT_TRUE(host_.finished);
  ReplyFromLedger(CallState::kUnknown, 1);
  ASSERT_TRUE(sink_->end);
  EXPECT_EQ(sink_->end->title, "the deadline passed");
}

TEST_F(CallCoordinatorTest, CallerThatJoinsLateGetsTheTextOfAllRunsOnce) {
  Begin(1);
  host_.backends.runs.back().on_text("one ");
  EndRun(ModelOutcome::Status::kBroken);
  ReplyFromDispatcher(dispatch::PermitVerdict::kGranted);
  host_.backends.runs.back().on_text("two ");
  std::shared_ptr<RecordingSink> first = std::exchange(sink_, std::make_shared<RecordingSink>());
  Start();
  host_.backends.runs.back().on_text("three");
  EndRun(ModelOutcome::Status::kFinished, 3);
  ReplyFromLedger(CallState::kRan, 1);
  EXPECT_EQ(first->text, "one two three");
  EXPECT_EQ(sink_->text, "one two three");
  ASSERT_TRUE(first->end && sink_->end);
  EXPECT_EQ(sink_->end->outcome, CallState::kRan);
}

}  // namespace
}  // namespace martenyard::gateway
