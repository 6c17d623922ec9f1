// Guards against real processes that don't start or end by themselves: each start must serve or
// name in the log why it can't, and each end must have been asked for.
#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/match.h"
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
constexpr int kSignalled = 128;  ///< Exit codes of signals begin here.
/// Long beside the tick of a role, so that a process that ends has ended.
constexpr absl::Duration kSettleTime = absl::Seconds(1);

/// A socket that listens on an address.
class HeldPort {
 public:
  explicit HeldPort(const wire::Endpoint& endpoint)
      : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    address.sin_addr.s_addr = inet_addr(endpoint.address.c_str());
    EXPECT_EQ(bind(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    listen(socket_, 1);
  }
  ~HeldPort() { close(socket_); }
  HeldPort(const HeldPort&) = delete;
  HeldPort& operator=(const HeldPort&) = delete;

 private:
  int socket_;
};

class ProcessEndTest : public ::testing::Test {
 protected:
  ProcessEndTest() : store_(loop_.context()), runner_(loop_.context(), "i-1") {
    store_.Listen(0);
    store_.Put("servers/i-1", emulator::RunnerEntry({.port = runner_.port(), .zone = "z0"}));
    store_.Put("op/config", StandardConfiguration(1));
  }

  std::unique_ptr<Machine> MakeMachine(bool storage, const bench::ProcessLimits& limits = {}) {
    MachineOptions options;
    options.folder = folder_.path();
    options.storage = storage;
    options.address = absl::StrCat("127.", storage ? 81 : 82, ".", range_.number(), ".1");
    options.store_port = store_.port();
    options.limits = limits;
    return std::make_unique<Machine>(std::move(options));
  }

  unsigned Ask(const Machine& gateway) {
    ClientRequest request;
    request.id = absl::StrCat("attempt-", ++asked_);
    auto dialogue = StartDialogue(loop_, gateway.frontend(), RequestText(request));
    RunLoopUntil(loop_, [&] { return dialogue->done; });
    return dialogue->answer.whole ? dialogue->answer.status : 0;
  }

  /// @return whether the gateway serves a request before its process ends.
  bool Serves(Machine& gateway) {
    bool served = false;
    RunLoopUntil(loop_, [&] {
      served = gateway.Poll() && Ask(gateway) == 200;
      return served || !gateway.Poll();
    });
    return served;
  }

  /// @return whether the line is in the process's log before the process ends.
  bool Logs(Machine& machine, const std::string& text) {
    bool logged = false;
    RunLoopUntil(loop_, [&] {
      bool runs = machine.Poll();
      logged = absl::StrContains(machine.LatestLog(), text);
      return logged || !runs;
    });
    return logged;
  }

  void RunFor(absl::Duration time) {
    for (absl::Time end = SteadyNow() + time; SteadyNow() < end;) {
      loop_.RunRound(absl::Milliseconds(5));
    }
  }

  bench::TemporaryFolder folder_;
  AddressRange range_;
  wire::EventLoop loop_;
  emulator::StoreStandIn store_;
  emulator::RunnerStandIn runner_;
  int asked_ = 0;
};

// The ledger's memory limit of dosan-cardyard, as a limit of address space.
TEST_F(ProcessEndTest, LedgerOpensItsDiskWithinItsMemoryLimitAsAddressSpace) {
  auto ledger = MakeMachine(true, {{RLIMIT_AS, {220 * kMegabyte, RLIM_INFINITY}}});
  constexpr int kStarts = 12;
  for (int start = 0; start < kStarts; ++start) {
    ledger->Start();
    EXPECT_TRUE(Logs(*ledger, "\"disk_opened\""))
        << "start " << start << ": " << ledger->LatestLog();
    EXPECT_TRUE(ledger->Poll()) << "start " << start << ": " << ledger->LatestLog();
    ledger->Kill();
  }
}

// Threads that can't be started are reported; the disk is opened once they can.
TEST_F(ProcessEndTest, LedgerThatCannotStartThreadsNamesTheReasonAndRunsOn) {
  auto ledger = MakeMachine(true, {{RLIMIT_AS, {44 * kMegabyte, RLIM_INFINITY}}});
  ledger->Start();
  EXPECT_TRUE(Logs(*ledger, "\"disk_failed\"")) << ledger->LatestLog();
  EXPECT_TRUE(ledger->Poll()) << ledger->LatestLog();
  rlimit wide{RLIM_INFINITY, RLIM_INFINITY};
  ASSERT_EQ(prlimit(ledger->pid(), RLIMIT_AS, &wide, nullptr), 0);
  EXPECT_TRUE(Logs(*ledger, "\"disk_opened\"")) << ledger->LatestLog();
}

// The process before may still be ending, or an outgoing connection have the port.
TEST_F(ProcessEndTest, GatewayStartsAlthoughAPortIsHeldForAMoment) {
  auto gateway = MakeMachine(false);
  wire::Endpoint internal{gateway->frontend().address, kInternalPort};
  for (const wire::Endpoint& endpoint : {gateway->frontend(), gateway->readiness(), internal}) {
    auto held = std::make_unique<HeldPort>(endpoint);
    gateway->Start();
    RunFor(kSettleTime);
    EXPECT_TRUE(gateway->Poll()) << endpoint.ToString() << ": " << gateway->LatestLog();
    held.reset();
    EXPECT_TRUE(Serves(*gateway)) << endpoint.ToString() << ": " << gateway->LatestLog();
    gateway->Kill();
  }
}

TEST_F(ProcessEndTest, LedgerStartsAlthoughItsPortIsHeldForAMoment) {
  auto ledger = MakeMachine(true);
  auto held = std::make_unique<HeldPort>(wire::Endpoint{ledger->frontend().address, kInternalPort});
  ledger->Start();
  RunFor(kSettleTime);
  EXPECT_TRUE(ledger->Poll()) << ledger->LatestLog();
  held.reset();
  EXPECT_TRUE(Logs(*ledger, "\"disk_opened\"")) << ledger->LatestLog();
}

TEST_F(ProcessEndTest, GatewayWhosePortStaysHeldNamesIt) {
  auto gateway = MakeMachine(false);
  HeldPort held(gateway->readiness());
  gateway->Start();
  EXPECT_TRUE(RunLoopUntil(loop_, [&] { return !gateway->Poll(); }));
  EXPECT_EQ(gateway->lives().back().exit_code, 1);
  EXPECT_TRUE(absl::StrContains(gateway->LatestLog(), "\"event\":\"start_failed\""))
      << gateway->LatestLog();
  EXPECT_TRUE(absl::StrContains(gateway->LatestLog(), gateway->readiness().ToString()))
      << gateway->LatestLog();
}

TEST_F(ProcessEndTest, StopDuringAHeldPortEndsInOrder) {
  auto gateway = MakeMachine(false);
  HeldPort held(gateway->readiness());
  gateway->Start();
  EXPECT_TRUE(Logs(*gateway, "\"listen_delayed\"")) << gateway->LatestLog();
  gateway->Stop();
  EXPECT_TRUE(RunLoopUntil(loop_, [&] { return !gateway->Poll(); }));
  EXPECT_EQ(gateway->lives().back().exit_code, 0) << gateway->LatestLog();
}

// A changed settings file is announced by SIGHUP at any moment. The settings are read from a pipe,
// so that the signal arrives while the process waits for them.
TEST_F(ProcessEndTest, SignalForNewSettingsDuringTheStartDoesNotEndTheProcess) {
  auto gateway = MakeMachine(false);
  std::string path = absl::StrCat(folder_.path(), "/settings-pipe");
  ASSERT_EQ(mkfifo(path.c_str(), 0600), 0);
  std::string folder = absl::StrCat(folder_.path(), "/", gateway->name());
  std::ifstream file(folder + "/node.conf");
  std::string settings((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  setenv("MARTENYARD_BOOT", path.c_str(), 1);
  bench::Process process({bench::ProgramPath("martenyard-node"), "gateway"}, folder + "/log");
  int pipe = open(path.c_str(), O_WRONLY | O_CLOEXEC);  // Waits for the reader.
  process.Signal(SIGHUP);
  ASSERT_EQ(write(pipe, settings.data(), settings.size()), static_cast<ssize_t>(settings.size()));
  close(pipe);
  std::optional<int> code;
  unsigned status = 0;
  RunLoopUntil(loop_, [&] {
    code = process.Poll();
    status = code ? 0 : Ask(*gateway);
    return code || status == 200;
  });
  EXPECT_EQ(status, 200U);
  EXPECT_EQ(code.value_or(0), 0) << "signal " << code.value_or(0) - kSignalled;
}

TEST_F(ProcessEndTest, FaultySettingsAreNamedInTheLog) {
  auto gateway = MakeMachine(false);
  gateway->ChangeSettings("limits.memoryMb=much\n");
  gateway->Start();
  EXPECT_TRUE(RunLoopUntil(loop_, [&] { return !gateway->Poll(); }));
  EXPECT_EQ(gateway->lives().back().exit_code, 2);
  EXPECT_TRUE(absl::StrContains(gateway->LatestLog(), "\"event\":\"start_failed\""))
      << gateway->LatestLog();
  EXPECT_TRUE(absl::StrContains(gateway->LatestLog(), "limits.memoryMb must be"))
      << gateway->LatestLog();
}

TEST_F(ProcessEndTest, CrashLeavesItsReasonAndTheBufferedLines) {
  auto gateway = MakeMachine(false);
  gateway->Start();
  ASSERT_TRUE(Serves(*gateway)) << gateway->LatestLog();
  gateway->Signal(SIGSEGV);
  EXPECT_TRUE(RunLoopUntil(loop_, [&] { return !gateway->Poll(); }));
  EXPECT_EQ(gateway->lives().back().exit_code, kSignalled + SIGSEGV);
  EXPECT_TRUE(absl::StrContains(gateway->LatestLog(), "\"event\":\"request_ended\""))
      << gateway->LatestLog();
  EXPECT_TRUE(absl::StrContains(gateway->LatestLog(),
                                "\"event\":\"process_crashed\",\"reason\":\"signal\",\"detail\":"
                                "\"signal 11"))
      << gateway->LatestLog();
}

// More clients than the process has descriptors.
TEST_F(ProcessEndTest, GatewayServesOnAfterItsDescriptorsWereExhausted) {
  auto gateway = MakeMachine(false, {{RLIMIT_NOFILE, {96, 96}}});
  gateway->Start();
  ASSERT_TRUE(Serves(*gateway)) << gateway->LatestLog();
  constexpr int kClients = 200;
  std::vector<int> clients;
  for (const wire::Endpoint& endpoint :
       {gateway->frontend(), gateway->readiness(),
        wire::Endpoint{gateway->frontend().address, kInternalPort}}) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    address.sin_addr.s_addr = inet_addr(endpoint.address.c_str());
    for (int number = 0; number < kClients; ++number) {
      int client = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      connect(client, reinterpret_cast<sockaddr*>(&address), sizeof(address));
      clients.push_back(client);
    }
    RunFor(kSettleTime);
    EXPECT_TRUE(gateway->Poll()) << gateway->LatestLog();
  }
  for (int client : clients) {
    close(client);
  }
  EXPECT_TRUE(Serves(*gateway)) << gateway->LatestLog();
}

}  // namespace
}  // namespace martenyard::testing
