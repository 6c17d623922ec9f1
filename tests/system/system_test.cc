// Real processes on loopback: the caller API's statuses, and failures by signals.
#include <gtest/gtest.h>
#include <signal.h>

#include <atomic>
#include <filesystem>
#include <fstream>

#include "bench/local_system.h"
#include "emulator/engine.h"

namespace martenyard::testing {
namespace {

using bench::LocalSystem;
using bench::LocalSystemOptions;
using bench::RunCommand;
using bench::TemporaryFolder;
using bench::WaitUntil;

using nlohmann::json;

json Parse(const http::ClientResult& result) { return json::parse(result.body, nullptr, false); }

class SystemTest : public ::testing::Test {
 protected:
  void SetUp() override { Open(LocalSystemOptions{}); }
  void Open(const LocalSystemOptions& options) {
    system_ = std::make_unique<LocalSystem>(options);
    ASSERT_TRUE(system_->Start()) << system_->LogOf(0);
    ASSERT_EQ(system_->CreateProgram(0, "p").status, 201);
  }
  void TearDown() override {
    if (HasFailure()) {
      for (std::size_t index = 0; index < system_->size(); ++index) {
        std::cerr << "daemon " << index << ":\n" << system_->LogOf(index);
      }
    }
  }
  std::unique_ptr<LocalSystem> system_;
};

TEST_F(SystemTest, CallerApiAnswersFaultsWithTheRightStatus) {
  struct Case {
    const char* name;
    const char* method;
    std::string path;
    std::string body;
    std::vector<std::string> headers;
    int status;
  };
  std::string good = system_->Authorization();
  std::string key = "Idempotency-Key: k";
  std::string calls = "/v1/programs/p/calls";
  std::string call = LocalSystem::ToolCall().dump();
  const Case cases[] = {
      {"no token", "POST", "/v1/programs", "{}", {}, 401},
      {"wrong token", "POST", "/v1/programs", "{}", {"Authorization: Bearer x"}, 401},
      {"other partner",
       "POST",
       "/v1/programs",
       R"({"partner":"trust","program":"ruling"})",
       {good},
       403},
      {"unknown program kind",
       "POST",
       "/v1/programs",
       R"({"partner":"tournament","program":"x"})",
       {good},
       404},
      {"unknown field",
       "POST",
       "/v1/programs",
       R"({"partner":"tournament","color":"x"})",
       {good},
       400},
      {"bad JSON", "POST", calls, "{", {good, key}, 400},
      {"no key", "POST", calls, call, {good}, 400},
      {"bad key", "POST", calls, call, {good, "Idempotency-Key: a/b"}, 400},
      {"unknown call field",
       "POST",
       calls,
       R"({"kind":"tool","service":"rules-lookup","x":1})",
       {good, key},
       400},
      {"unknown kind", "POST", calls, R"({"kind":"x","service":"rules-lookup"})", {good, key}, 400},
      {"messages missing",
       "POST",
       calls,
       R"({"kind":"model","service":"judge-models"})",
       {good, key},
       400},
      {"negative tokens",
       "POST",
       calls,
       R"({"kind":"tool","service":"s","max_tokens":-1})",
       {good, key},
       400},
      {"service not allowed", "POST", calls, R"({"kind":"tool","service":"s"})", {good, key}, 403},
      {"unknown program", "POST", "/v1/programs/none/calls", call, {good, key}, 404},
      {"body too large", "POST", calls, std::string(5 << 20, ' '), {good, key}, 413},
      {"unknown call", "GET", calls + "/none", "", {good}, 404},
      {"wrong method", "DELETE", calls, "", {good}, 405},
      {"unknown path", "GET", "/v2/programs", "", {good}, 404},
      {"program taken",
       "POST",
       "/v1/programs",
       R"({"partner":"tournament","program":"ruling","program_id":"p","parent_id":"p"})",
       {good},
       409},
  };
  for (const Case& one : cases) {
    auto result = system_->Send(0, one.method, one.path, one.body, one.headers);
    EXPECT_EQ(result.status, one.status) << one.name << ": " << result.body;
    json problem = Parse(result);
    EXPECT_TRUE(problem.is_object() && problem.contains("title")) << one.name;
  }
  EXPECT_EQ(system_->CreateProgram(1, "p").status, 200) << "the same id again changes nothing";
}

TEST_F(SystemTest, SameKeyGivesTheSameAnswerAndOtherBodyIsRefused) {
  auto first = system_->Call(0, "p", "k", LocalSystem::ToolCall());
  ASSERT_EQ(first.status, 200) << first.body;
  for (std::size_t index = 0; index < system_->size(); ++index) {
    EXPECT_EQ(system_->Call(index, "p", "k", LocalSystem::ToolCall()).body, first.body);
  }
  EXPECT_EQ(system_->Call(1, "p", "k", LocalSystem::NoticeCall()).status, 422);
}

TEST_F(SystemTest, StreamIsWholeAndEndsAfterTheCommit) {
  json body = LocalSystem::ModelCall("stream this #tokens=30");
  body["stream"] = true;
  auto result = system_->Call(1, "p", "k", body);
  ASSERT_EQ(result.status, 200);
  std::string text;
  for (std::size_t at = 0; (at = result.body.find("{\"text\":\"", at)) != std::string::npos; ++at) {
    std::size_t from = at + 9;
    text += result.body.substr(from, result.body.find('"', from) - from);
  }
  std::string expected = emulator::AnswerText(body["messages"].dump(), 512);
  EXPECT_EQ(text, expected);
  std::size_t done = result.body.find("event: done");
  ASSERT_NE(done, std::string::npos);
  EXPECT_NE(result.body.find(expected, done), std::string::npos);
}

TEST_F(SystemTest, StreamGoesOnThoughTheEngineBreaksOff) {
  for (int engine = 0; engine < 3; ++engine) {
    system_->SetFault({{"target", "engine-" + std::to_string(engine)}, {"cut_after_tokens", 10}});
  }
  json body = LocalSystem::ModelCall("long answer #tokens=25");
  auto result = system_->CallUntilAnswered("p", "k", body);
  ASSERT_EQ(result.status, 200) << result.body;
  EXPECT_EQ(Parse(result)["message"]["content"],
            emulator::AnswerText(body["messages"].dump(), 512));
}

TEST_F(SystemTest, HistorySurvivesKillingTheLeader) {
  std::vector<std::string> answers;
  for (int turn = 0; turn < 3; ++turn) {
    std::string key = "turn-" + std::to_string(turn);
    auto result = system_->CallUntilAnswered("p", key, LocalSystem::ModelCall(key));
    ASSERT_EQ(result.status, 200) << result.body;
    answers.push_back(Parse(result)["message"]["content"]);
    int leader = system_->Leader();
    ASSERT_GE(leader, 0);
    auto killed = static_cast<std::size_t>(leader);
    system_->daemon(killed).Signal(SIGKILL);
    system_->daemon(killed).Wait();
    auto after = system_->CallUntilAnswered("p", "after-" + key, LocalSystem::ToolCall());
    ASSERT_EQ(after.status, 200) << after.body;
    system_->StartDaemon(killed);
    ASSERT_TRUE(WaitUntil([&] { return system_->IsReady(killed); }));
  }
  json history =
      Parse(system_->Send(0, "GET", "/v1/programs/p/history", "", {system_->Authorization()}));
  ASSERT_EQ(history["turns"].size(), 6U);
  for (std::size_t turn = 0; turn < 3; ++turn) {
    EXPECT_EQ(history["turns"][turn * 2]["message"]["content"], answers[turn]);
  }
}

TEST_F(SystemTest, EverythingIsThereAfterAllProcessesWereKilled) {
  ASSERT_EQ(system_->Call(0, "p", "k", LocalSystem::ModelCall("m")).status, 200);
  std::string before =
      system_->Send(1, "GET", "/v1/programs/p/history", "", {system_->Authorization()}).body;
  for (std::size_t index = 0; index < system_->size(); ++index) {
    system_->daemon(index).Signal(SIGKILL);
    system_->daemon(index).Wait();
  }
  for (std::size_t index = 0; index < system_->size(); ++index) {
    system_->StartDaemon(index);
  }
  std::string after;
  EXPECT_TRUE(WaitUntil([&] {
    after = system_->Send(2, "GET", "/v1/programs/p/history", "", {system_->Authorization()}).body;
    return after == before;
  })) << after;
}

TEST_F(SystemTest, FrozenLeaderIsReplacedAndRunsNothingTwiceWhenItWakes) {
  ASSERT_EQ(system_->Call(0, "p", "first", LocalSystem::NoticeCall()).status, 200);
  int leader = system_->Leader();
  ASSERT_GE(leader, 0);
  auto frozen = static_cast<std::size_t>(leader);
  system_->daemon(frozen).Signal(SIGSTOP);
  std::size_t other = (frozen + 1) % 3;
  http::ClientResult second;
  ASSERT_TRUE(WaitUntil([&] {
    second = system_->Call(other, "p", "second", LocalSystem::NoticeCall());
    return second.ok();
  })) << second.body;
  system_->daemon(frozen).Signal(SIGCONT);
  ASSERT_TRUE(WaitUntil([&] { return system_->IsReady(frozen); }));
  EXPECT_EQ(system_->Call(frozen, "p", "second", LocalSystem::NoticeCall()).body, second.body);
  json records = system_->Records();
  for (const auto& [name, service] : records["services"].items()) {
    for (const auto& [key, runs] : service["ran"].items()) {
      EXPECT_EQ(runs, 1) << name << " ran " << key;
    }
  }
}

TEST_F(SystemTest, NoticeWhoseAnswerIsLostIsNotSentAgain) {
  for (int hall = 0; hall < 3; ++hall) {
    system_->SetFault({{"target", "hall-" + std::to_string(hall)}, {"lose_answers", 1}});
  }
  auto first = system_->Call(0, "p", "notice", LocalSystem::NoticeCall());
  EXPECT_EQ(Parse(first)["outcome"], "unknown") << first.body;
  auto again = system_->Call(1, "p", "notice", LocalSystem::NoticeCall());
  EXPECT_EQ(Parse(again)["outcome"], "unknown") << again.body;
  int runs = 0;
  json records = system_->Records();
  for (const auto& [name, service] : records["services"].items()) {
    runs += service["ran"].value("p/notice", 0);
  }
  EXPECT_EQ(runs, 1);
}

/// On a busy machine some calls did not end with 200, for two causes. Answers that the server had
/// not written yet were lost at its stop (MicrohttpdServerTest): one to three calls a run, whose
/// connections closed, and no log line. And a leader that handed over to a replica which knew no
/// voters, and so never stood for election, stored nothing meanwhile (PlannedStopTest): all five
/// calls ended with 503 after 20 s, and the daemon stayed for the whole stop limit.
TEST_F(SystemTest, PlannedStopFinishesTheCallsUnderWayAndExitsWithZero) {
  std::atomic<int> ended{0};
  std::atomic<int> whole{0};
  for (int number = 0; number < 5; ++number) {
    std::string program = "stop-" + std::to_string(number);
    ASSERT_EQ(system_->CreateProgram(0, program).status, 201);
  }
  for (int number = 0; number < 5; ++number) {
    std::string program = "stop-" + std::to_string(number);
    json body = LocalSystem::ModelCall("a slow one #tokens=150");
    system_->SendLater(0, "POST", "/v1/programs/" + program + "/calls", body.dump(),
                       {system_->Authorization(), "Idempotency-Key: k"},
                       [&](http::ClientResult result) {
                         whole += result.status == 200 ? 1 : 0;
                         ++ended;
                       });
  }
  ASSERT_TRUE(WaitUntil([&] {
    auto metrics = system_->Send(0, "GET", "/metrics").body;
    return metrics.find("martenyard_calls_active 5") != std::string::npos;
  }));
  system_->daemon(0).Signal(SIGTERM);
  EXPECT_EQ(system_->daemon(0).Wait(), 0);
  EXPECT_TRUE(WaitUntil([&] { return ended == 5; }));
  EXPECT_EQ(whole, 5);
}

TEST_F(SystemTest, RollWorksThroughAnOutageOfTheKeyValueServiceOnceItIsOver) {
  system_->SetFault({{"target", "key_value"}, {"refuse", true}});
  auto call = system_->Call(1, "p", "during", LocalSystem::ToolCall());
  EXPECT_EQ(call.status, 200) << "calls do not need the key-value service: " << call.body;
  std::string text = system_->BundleText("second");
  json submission = {{"bundle", text},
                     {"signature", *bundle::Sign(text, system_->keys().private_key)}};
  auto refused = system_->Send(0, "POST", "/v1/operator/bundles", submission.dump());
  EXPECT_GE(refused.status, 500) << refused.body;
  system_->SetFault({{"target", "key_value"}, {"refuse", false}});
  EXPECT_TRUE(system_->Roll(0, 2, "second"));
  for (std::size_t index = 0; index < system_->size(); ++index) {
    EXPECT_TRUE(WaitUntil([&] {
      return Parse(system_->Send(index, "GET", "/v1/operator/status"))["bundles"][0]["epoch"] == 2;
    }));
  }
}

TEST_F(SystemTest, EndedProgramLeavesNoContextAtAnyEngine) {
  ASSERT_EQ(system_->Call(0, "p", "k", LocalSystem::ModelCall("m")).status, 200);
  auto held = [&] { return system_->Records().dump().find("\"id\":\"p\"") != std::string::npos; };
  EXPECT_TRUE(held());
  ASSERT_EQ(system_->Send(1, "DELETE", "/v1/programs/p", "", {system_->Authorization()}).status,
            200);
  EXPECT_TRUE(WaitUntil([&] { return !held(); }));
}

// ---- Starting wrongly ----

class StartTest : public ::testing::Test {
 protected:
  int StartWith(const std::string& change_from, const std::string& change_to, std::string* output) {
    LocalSystemOptions options;
    options.daemons = 3;
    LocalSystem system(options);
    system.StartDaemon(0);
    EXPECT_TRUE(WaitUntil([&] { return system.Send(0, "GET", "/healthz").ok(); }));
    std::ifstream file(system.SettingsFile(0));
    std::string text((std::istreambuf_iterator<char>(file)), {});
    std::size_t at = text.find(change_from);
    text.replace(at, change_from.size(), change_to);
    std::string path = system.folder() + "/changed.toml";
    std::ofstream(path) << text;
    return RunCommand({bench::ProgramPath("martenyardd"), "--settings=" + path}, output);
  }
};

TEST_F(StartTest, MissingFolderIsNamedAndTheExitCodeIsTwo) {
  std::string output;
  EXPECT_EQ(StartWith("data_dir = \"", "data_dir = \"/nonexistent", &output), 2);
  EXPECT_NE(output.find("'daemon.data_dir'"), std::string::npos) << output;
  EXPECT_EQ(std::count(output.begin(), output.end(), '\n'), 1) << output;
}

TEST_F(StartTest, FolderOrPortInUseIsNamedAndTheExitCodeIsTwo) {
  std::string output;
  EXPECT_EQ(StartWith("zone =", "zone =", &output), 2);
  EXPECT_NE(output.find("'daemon.data_dir'"), std::string::npos) << output;
  EXPECT_EQ(StartWith("data_dir =", "# data_dir =", &output), 2);
  EXPECT_NE(output.find("'daemon.peer_address'"), std::string::npos) << output;
}

TEST_F(StartTest, UnknownKeyIsNamedAndTheExitCodeIsTwo) {
  std::string output;
  EXPECT_EQ(StartWith("zone =", "zoen =", &output), 2);
  EXPECT_NE(output.find("daemon."), std::string::npos) << output;
}

}  // namespace
}  // namespace martenyard::testing
