// Guards against servers whose bytes come without end, in a head or a body, until the caller
// closes: runners and the store must not make a process hold more than its machine has.
//
// Real processes on loopback. What is checked does not depend on the machine's speed.
#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "bench/local_system.h"
#include "emulator/platform/runner_stand_in.h"
#include "emulator/platform/store_stand_in.h"
#include "platform/support/client_crowd.h"
#include "platform/support/endless_server.h"
#include "platform/support/machine.h"
#include "platform/support/platform_client.h"
#include "platform/support/soak_setup.h"

namespace martenyard::testing {
namespace {

constexpr std::uint64_t kMegabyte = std::uint64_t{1} << 20;
constexpr std::uint64_t kMemoryMb = 64;
constexpr int kRequests = 8;
/// An ordinary client's tries, each on a new connection, until one is answered.
constexpr int kTries = 20;
constexpr absl::Duration kStoreTime = absl::Seconds(4);

const std::string kHead = "HTTP/1.1 200 OK\r\nAttempt-Id: @\r\nServer-Signature: s\r\n";
const std::string kEvents = "Content-Type: text/event-stream\r\n";

struct EndlessCase {
  const char* name;
  const char* route;  ///< Of the service in trouble.
  EndlessResponse response;
};

std::vector<EndlessCase> RunnerCases() {
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::string foreign = "HTTP/1.1 200 OK\r\nAttempt-Id: another\r\n";
  return {
      {"StatusLine", "/call/1", {"HTTP/1.1 200 ", "x"}},
      {"HeadFields", "/call/1", {kHead, "a: b\r\n"}},
      {"OneHeadField", "/call/1", {kHead + "a: ", "x"}},
      {"InterimResponses", "/call/1", {"", "HTTP/1.1 102 Processing\r\n\r\n"}},
      {"NoResponse", "/call/1", {"", "garbage\n"}},
      {"BodyWithoutLength", "/call/1", {kHead + "\r\n", "x"}},
      {"BodyWithALargeLength", "/call/1", {kHead + "Content-Length: 60000000\r\n\r\n", "x"}},
      {"ChunkedBody", "/call/1", {kHead + chunked, "8\r\nxxxxxxxx\r\n"}},
      {"ChunkExtension", "/call/1", {kHead + chunked + "1;e=", "x"}},
      {"Trailer", "/call/1", {kHead + chunked + "0\r\n", "T: x\r\n"}},
      {"OneTrailer", "/call/1", {kHead + chunked + "0\r\nT: ", "x"}},
      {"BodyOfAnotherRequest", "/call/1", {foreign + "\r\n", "x"}},
      {"ChunkedBodyOfAnotherRequest", "/call/1", {foreign + chunked, "8\r\nxxxxxxxx\r\n"}},
      {"ResponsesToOtherRequests", "/call/1", {"", foreign + "Content-Length: 1\r\n\r\nx"}},
      {"Event", "/stream/1", {kHead + kEvents + "\r\nid: 1\ndata: ", "x"}},
      {"EventOfManyLines", "/stream/1", {kHead + kEvents + "\r\nid: 1\n", "data: x\n"}},
      {"Comments", "/stream/1", {kHead + kEvents + "\r\n", ": x\n\n"}},
      {"BodyThatIsNoEventStream", "/stream/1", {kHead + "Content-Type: text/plain\r\n\r\n", "x"}},
      {"StreamTrailer",
       "/stream/1",
       {kHead + kEvents + chunked + "12\r\nid: 1\ndata: eve-1\n\n\r\n0\r\n", "T: x\r\n"}},
      {"EventOfAKeptTurn", "/kept/1", {kHead + kEvents + "\r\nid: 1\ndata: ", "x"}},
      {"EventsOfAKeptTurn",
       "/kept/1",
       {kHead + kEvents + "\r\n", absl::StrCat("data: ", std::string(1000, 'x'), "\n\n")}},
  };
}

/// The standard one, and routes to a service in trouble.
std::string ConfigurationWithTrouble() {
  nlohmann::json document = nlohmann::json::parse(StandardConfiguration(1));
  constexpr struct {
    std::size_t standard;
    const char* path;
  } kRoutes[] = {{1, "/call/"}, {2, "/stream/"}, {3, "/kept/"}};
  nlohmann::json routes = nlohmann::json::array({document["routes"][0]});
  for (const auto& [standard, path] : kRoutes) {
    nlohmann::json route = document["routes"][standard];
    route["pathPrefix"] = path;
    route["service"] = "trouble";
    routes.push_back(route);
  }
  document["routes"] = routes;
  nlohmann::json service = document["services"][0];
  service["name"] = "trouble";
  document["services"].push_back(service);
  return document.dump();
}

class EndlessResponseTest : public ::testing::TestWithParam<EndlessCase> {
 protected:
  EndlessResponseTest() : store_(loop_.context()), runner_(loop_.context(), "i-1") {
    store_.Listen(0);
    store_.Put("servers/i-1", emulator::RunnerEntry({.port = runner_.port(), .zone = "z0"}));
    store_.Put("op/config", ConfigurationWithTrouble());
    ledger_ = MakeMachine(true, store_.port());
    gateway_ = MakeMachine(false, store_.port());
  }

  std::unique_ptr<Machine> MakeMachine(bool storage, std::uint16_t store_port) {
    MachineOptions options;
    options.folder = folder_.path();
    options.storage = storage;
    options.address = absl::StrCat("127.", storage ? 84 : 85, ".", range_.number(), ".1");
    options.store_port = store_port;
    auto machine = std::make_unique<Machine>(std::move(options));
    machine->ChangeSettings(
        absl::StrCat("limits.memoryMb=", kMemoryMb, "\nfaultTolerance.machines=0\n"));
    return machine;
  }

  std::shared_ptr<Dialogue> Begin(const std::string& target,
                                  std::vector<std::string> headers = {}) {
    ClientRequest request;
    request.id = absl::StrCat("attempt-", ++asked_);
    request.target = target;
    request.headers = std::move(headers);
    return StartDialogue(loop_, gateway_->frontend(), RequestText(request));
  }

  unsigned Ask() {
    auto dialogue = Begin("/safe/1");
    RunUntil([&] { return dialogue->done; });
    return dialogue->answer.whole ? dialogue->answer.status : 0;
  }

  bool Serves() {
    for (int attempt = 0; attempt < kTries && gateway_->Poll(); ++attempt) {
      if (Ask() == 200) {
        return true;
      }
      loop_.RunRound(absl::Milliseconds(5));
    }
    return false;
  }

  bool RunUntil(const std::function<bool()>& condition) {
    return RunLoopUntil(loop_, [&] {
      NoteUsage(*gateway_);
      return condition();
    });
  }

  void NoteUsage(Machine& machine) {
    if (machine.Poll()) {
      most_ = std::max(most_, UsageOf(machine.pid()).resident_bytes);
    }
  }

  bench::TemporaryFolder folder_;
  AddressRange range_;
  wire::EventLoop loop_;
  emulator::StoreStandIn store_;
  emulator::RunnerStandIn runner_;
  std::unique_ptr<Machine> ledger_;
  std::unique_ptr<Machine> gateway_;
  std::uint64_t most_ = 0;  ///< Of the memory of a process.
  int asked_ = 0;
};

TEST_P(EndlessResponseTest, LeavesTheGatewayWithinItsMemoryAndServing) {
  EndlessServer trouble(loop_.context(), GetParam().response);
  store_.Put("servers/i-2",
             emulator::RunnerEntry({.port = trouble.port(), .zone = "z0", .service = "trouble"}));
  ledger_->Start();
  gateway_->Start();
  ASSERT_TRUE(RunUntil([&] { return Ask() == 200; })) << gateway_->Log();
  std::vector<std::string> headers;
  if (std::string(GetParam().route) == "/kept/1") {
    headers = {"Program-Id: p", "Token-Usage: 10,100", "Token-Budget: 100000"};
  }
  std::vector<std::shared_ptr<Dialogue>> requests;
  for (int number = 0; number < kRequests; ++number) {
    requests.push_back(Begin(GetParam().route, headers));
  }
  EXPECT_TRUE(Serves()) << "beside the endless responses";
  EXPECT_TRUE(RunUntil([&] {
    return std::all_of(requests.begin(), requests.end(),
                       [](const auto& request) { return request->done; });
  })) << "requests have no end";
  EXPECT_TRUE(gateway_->Poll()) << gateway_->LatestLog();
  EXPECT_GT(trouble.begun(), 0);
  std::cout << GetParam().name << ": most " << most_ / kMegabyte << " MB, " << trouble.begun()
            << " responses, " << trouble.sent() / kMegabyte << " MB sent\n";
  EXPECT_LE(most_, kMemoryMb * kMegabyte);
  for (const auto& request : requests) {
    EXPECT_FALSE(request->answer.whole && request->answer.status == 200)
        << "an endless response looks complete";
  }
  EXPECT_TRUE(Serves()) << "after the endless responses";
}

INSTANTIATE_TEST_SUITE_P(Runners, EndlessResponseTest, ::testing::ValuesIn(RunnerCases()),
                         [](const auto& info) { return info.param.name; });

class EndlessStoreTest : public EndlessResponseTest {};

// Both roles ask the store at their start, again and again.
TEST_P(EndlessStoreTest, LeavesTheProcessesWithinTheirMemory) {
  EndlessServer store(loop_.context(), GetParam().response);
  ledger_ = MakeMachine(true, store.port());
  gateway_ = MakeMachine(false, store.port());
  ledger_->Start();
  gateway_->Start();
  for (absl::Time end = SteadyNow() + kStoreTime; SteadyNow() < end;) {
    loop_.RunRound(absl::Milliseconds(5));
    NoteUsage(*gateway_);
    NoteUsage(*ledger_);
  }
  EXPECT_TRUE(gateway_->Poll()) << gateway_->LatestLog();
  EXPECT_TRUE(ledger_->Poll()) << ledger_->LatestLog();
  EXPECT_GT(store.begun(), 0);
  std::cout << GetParam().name << ": most " << most_ / kMegabyte << " MB, " << store.begun()
            << " responses, " << store.sent() / kMegabyte << " MB sent\n";
  EXPECT_LE(most_, kMemoryMb * kMegabyte);
}

std::vector<EndlessCase> StoreCases() {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"Head", "", {head, "a: b\r\n"}},
      {"Body", "", {head + "\r\n", "x"}},
      {"ListOfNumbers", "", {head + "\r\n[", "1,"}},
      {"NestedLists", "", {head + "\r\n", "["}},
      {"Items",
       "",
       {head + "\r\n{\"timestamp\":1,\"items\":[",
        R"({"privateKey":"a","value":"YQ==","revision":1},)"}},
      {"ChunkExtension", "", {head + chunked + "1;e=", "x"}},
      {"Trailer", "", {head + chunked + "0\r\n", "T: x\r\n"}},
  };
}

INSTANTIATE_TEST_SUITE_P(Stores, EndlessStoreTest, ::testing::ValuesIn(StoreCases()),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace martenyard::testing
