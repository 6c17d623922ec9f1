#include "platform/support/crash_world.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace martenyard::testing {

using async_http::Task;

CrashWorld::CrashWorld(int runners, absl::Duration downtime) : downtime_(downtime) {
  book_.trouble = 0;
  book_.fatal.mark = kFatalMark;
  book_.fatal.on_end = [this](RecordingRunner& runner) { RestartLater(runner); };
  for (int number = 0; number < runners; ++number) {
    runners_.push_back(std::make_unique<RecordingRunner>(
        loop().context(), absl::StrCat("r", number, "-0"), "v1", book_));
    runners_.back()->Listen();
  }
}

void CrashWorld::StartAll() {
  Start();
  StartOtherGateway();
  store().Remove("servers/i-near");
  store().Remove("servers/i-far");
  for (const auto& runner : runners_) {
    List(*runner);
  }
  AwaitRunners();
}

void CrashWorld::AwaitRunners() {
  auto knows_all = [this](roles::GatewayRole& gateway) {
    auto& known = gateway.state().runners;
    return std::all_of(runners_.begin(), runners_.end(), [&](const auto& runner) {
      auto* state = known.Find(discovery::RunnerId(runner->id()));
      return runner->listens() && state != nullptr && !state->IsDraining();
    });
  };
  bool known = RunUntil([&] { return knows_all(gateway()) && knows_all(other_gateway()); });
  ASSERT_TRUE(known) << Log();
}

void CrashWorld::List(const RecordingRunner& runner) {
  store().Put(
      "servers/" + runner.id(),
      emulator::RunnerEntry({.port = runner.port(), .zone = "near", .version = runner.version()}));
}

void CrashWorld::RestartLater(RecordingRunner& runner) {
  async_http::asio::co_spawn(
      loop().context(),
      [](CrashWorld& world, RecordingRunner& runner) -> Task<void> {
        co_await async_http::Sleep(world.loop().context(), world.downtime_);
        world.store().Remove("servers/" + runner.id());
        std::string name = runner.id().substr(0, runner.id().find('-'));
        runner.ReturnAs(absl::StrCat(name, "-", ++world.restarts_), runner.version());
        world.List(runner);
      }(*this, runner),
      async_http::asio::detached);
}

int CrashWorld::EndsUnder(const std::string& body) const {
  return static_cast<int>(std::count_if(book_.fatal.ends.begin(), book_.fatal.ends.end(),
                                        [&](const auto& end) { return end.first == body; }));
}

int CrashWorld::RunsOf(const std::string& body) const {
  return static_cast<int>(std::count_if(book_.runs.begin(), book_.runs.end(), [&](const auto& run) {
    return run.ran && run.request_body == body;
  }));
}

std::shared_ptr<Dialogue> CrashWorld::Begin(int gateway_number, const ClientRequest& request) {
  roles::GatewayRole& chosen = gateway_number == 0 ? gateway() : other_gateway();
  return StartDialogue(loop(), {"127.0.0.1", chosen.frontend_port()}, RequestText(request));
}

ClientAnswer CrashWorld::AskAt(int gateway_number, const ClientRequest& request) {
  auto dialogue = Begin(gateway_number, request);
  RunUntil([&] { return dialogue->done; });
  return dialogue->answer;
}

}  // namespace martenyard::testing
