// Guards against clients that make a process hold more than its machine has, or that keep ordinary
// callers from being served: a crowd that does not behave, and beside it one ordinary client.
//
// Real processes on loopback. What is checked does not depend on the machine's speed: the process
// lives, its memory and descriptors stay below its limits, and ordinary requests are answered.
#include "platform/support/client_crowd.h"

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
#include "platform/support/machine.h"
#include "platform/support/platform_client.h"
#include "platform/support/soak_setup.h"

namespace martenyard::testing {
namespace {

constexpr std::uint64_t kMegabyte = std::uint64_t{1} << 20;
constexpr std::uint64_t kMemoryMb = 64;
constexpr std::uint64_t kDescriptors = 400;
constexpr std::size_t kLargeBytes = 1000000;
constexpr absl::Duration kCrowdTime = absl::Seconds(4);
/// Of an ordinary client, each on a new connection, until one is answered.
constexpr int kTries = 20;

struct CrowdCase {
  const char* name;
  CrowdOptions crowd;
};

std::string Head(const std::string& target, const std::string& fields) {
  return absl::StrCat("POST ", target, " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: crowd\r\n",
                      fields, "\r\n");
}

std::string ManyFields(int count) {
  std::string fields;
  for (int number = 0; number < count; ++number) {
    absl::StrAppend(&fields, "a:\r\n");
  }
  return fields;
}

const std::string kChunked = "Transfer-Encoding: chunked\r\n";

std::vector<CrowdCase> Cases() {
  return {
      {"TrailersWithoutEnd",
       {.clients = 8, .beginning = Head("/safe/1", kChunked) + "0\r\n", .endless = "T: x\r\n"}},
      {"OneTrailerWithoutEnd",
       {.clients = 8, .beginning = Head("/safe/1", kChunked) + "0\r\nT: ", .endless = "x"}},
      {"ChunkExtensionWithoutEnd",
       {.clients = 8, .beginning = Head("/safe/1", kChunked) + "1;e=", .endless = "x"}},
      {"ChunkExtensionsWithoutEnd",
       {.clients = 8,
        .beginning = Head("/safe/1", kChunked),
        .endless = absl::StrCat("1;e=", std::string(15000, 'x'), "\r\nb\r\n")}},
      {"HeaderWithoutEnd",
       {.clients = 8, .beginning = "POST /safe/1 HTTP/1.1\r\nA: ", .endless = "x"}},
      {"FieldsWithoutEnd",
       {.clients = 8, .beginning = "POST /safe/1 HTTP/1.1\r\n", .endless = "a:\r\n"}},
      {"TargetWithoutEnd", {.clients = 8, .beginning = "GET /", .endless = "x"}},
      {"EmptyLinesWithoutEnd", {.clients = 8, .beginning = "\r\n", .endless = "\r\n"}},
      {"ManyFieldsThenSilence",
       {.clients = 250,
        .beginning = Head("/safe/1", absl::StrCat(ManyFields(3900), "Content-Length: 100\r\n"))}},
      {"BodiesThatNeverEnd",
       {.clients = 60,
        .beginning = Head("/safe/1", "Content-Length: 4000000\r\n"),
        .endless = "x",
        .silent_after = 3900000}},
      {"ChunkedBodiesThatNeverEnd",
       {.clients = 60,
        .beginning = Head("/safe/1", kChunked),
        .endless = absl::StrCat("fa0\r\n", std::string(4000, 'x'), "\r\n"),
        .silent_after = 3900000}},
      {"LengthsWithoutBodies",
       {.clients = 250, .beginning = Head("/safe/1", "Content-Length: 4000000\r\n")}},
      {"ConnectionsThatSayNothing", {.clients = 600}},
      {"ConnectionsThatBeginARequest", {.clients = 600, .beginning = "P"}},
      {"AnswersThatAreNotRead",
       {.clients = 250,
        .beginning = Head("/large/1", "Content-Length: 0\r\nDeadline-Ms: 3000\r\n"),
        .reads = false}},
      {"PipelinedRequestsWithoutEnd",
       {.clients = 8,
        .beginning = "",
        .endless = Head("/unknown/1", "Content-Length: 0\r\n"),
        .reads = false}},
  };
}

/// The standard one, and a route to a service whose answers are large.
std::string ConfigurationWithLargeAnswers() {
  nlohmann::json document = nlohmann::json::parse(StandardConfiguration(1));
  nlohmann::json route = document["routes"][0];
  route["name"] = "large";
  route["pathPrefix"] = "/large/";
  route["service"] = "l";
  document["routes"].push_back(route);
  nlohmann::json service = document["services"][0];
  service["name"] = "l";
  service["maxConnections"] = 1000;
  document["services"].push_back(service);
  return document.dump();
}

class ClientCrowdTest : public ::testing::TestWithParam<CrowdCase> {
 protected:
  ClientCrowdTest()
      : store_(loop_.context()), runner_(loop_.context(), "i-1"), large_(loop_.context(), "i-2") {
    store_.Listen(0);
    store_.Put("servers/i-1", emulator::RunnerEntry({.port = runner_.port(), .zone = "z0"}));
    store_.Put("servers/i-2",
               emulator::RunnerEntry(
                   {.port = large_.port(), .zone = "z0", .slots = 1000, .service = "l"}));
    store_.Put("op/config", ConfigurationWithLargeAnswers());
    large_.Script({emulator::RunnerBehavior::kRaw});
    large_.raw = absl::StrCat("HTTP/1.1 200 OK\r\nAttempt-Id: @\r\nContent-Length: ", kLargeBytes,
                              "\r\n\r\n", std::string(kLargeBytes, 'x'));
    MachineOptions options;
    options.folder = folder_.path();
    options.address = absl::StrCat("127.83.", range_.number(), ".1");
    options.store_port = store_.port();
    gateway_ = std::make_unique<Machine>(std::move(options));
    gateway_->ChangeSettings(
        absl::StrCat("limits.memoryMb=", kMemoryMb, "\nlimits.maxFds=", kDescriptors, "\n"));
  }

  unsigned Ask() {
    ClientRequest request;
    request.id = absl::StrCat("attempt-", ++asked_);
    request.body = std::string(20000, 'b');
    auto dialogue = StartDialogue(loop_, gateway_->frontend(), RequestText(request));
    RunLoopUntil(loop_, [&] {
      Pump();
      return dialogue->done;
    });
    return dialogue->answer.whole ? dialogue->answer.status : 0;
  }

  /// @return whether one of an ordinary client's tries is answered.
  bool Serves() {
    for (int attempt = 0; attempt < kTries && gateway_->Poll(); ++attempt) {
      if (Ask() == 200) {
        return true;
      }
      loop_.RunRound(absl::Milliseconds(5));
    }
    return false;
  }

  void Pump() {
    if (crowd_ != nullptr) {
      crowd_->Pump();
    }
    if (gateway_->Poll()) {
      ProcessUsage usage = UsageOf(gateway_->pid());
      most_.resident_bytes = std::max(most_.resident_bytes, usage.resident_bytes);
      most_.descriptors = std::max(most_.descriptors, usage.descriptors);
    }
  }

  void RunCrowd(absl::Duration time) {
    for (absl::Time end = SteadyNow() + time; SteadyNow() < end && gateway_->Poll();) {
      Pump();
      loop_.RunRound(absl::Milliseconds(1));
    }
  }

  bench::TemporaryFolder folder_;
  AddressRange range_;
  wire::EventLoop loop_;
  emulator::StoreStandIn store_;
  emulator::RunnerStandIn runner_;
  emulator::RunnerStandIn large_;  ///< Of the service with large answers.
  std::unique_ptr<Machine> gateway_;
  std::unique_ptr<ClientCrowd> crowd_;
  ProcessUsage most_;
  int asked_ = 0;
};

TEST_P(ClientCrowdTest, LeavesTheGatewayWithinItsLimitsAndServing) {
  gateway_->Start();
  ASSERT_TRUE(RunLoopUntil(loop_, [&] { return Ask() == 200; })) << gateway_->Log();
  ProcessUsage calm = UsageOf(gateway_->pid());
  crowd_ = std::make_unique<ClientCrowd>(gateway_->frontend(), GetParam().crowd);
  RunCrowd(kCrowdTime);
  EXPECT_TRUE(Serves()) << "beside the crowd";
  EXPECT_TRUE(gateway_->Poll()) << gateway_->LatestLog();
  std::cout << GetParam().name << ": calm " << calm.resident_bytes / kMegabyte << " MB, most "
            << most_.resident_bytes / kMegabyte << " MB, " << most_.descriptors
            << " descriptors, crowd sent " << crowd_->sent() / kMegabyte << " MB on "
            << crowd_->connections() << " connections\n";
  EXPECT_LE(most_.resident_bytes, kMemoryMb * kMegabyte);
  EXPECT_LE(most_.descriptors, kDescriptors);
  crowd_.reset();
  EXPECT_TRUE(Serves()) << "after the crowd";
  EXPECT_TRUE(RunLoopUntil(
      loop_, [&] { return UsageOf(gateway_->pid()).descriptors <= calm.descriptors + 8; }))
      << UsageOf(gateway_->pid()).descriptors << " descriptors, " << calm.descriptors << " before";
}

INSTANTIATE_TEST_SUITE_P(Crowds, ClientCrowdTest, ::testing::ValuesIn(Cases()),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace martenyard::testing
