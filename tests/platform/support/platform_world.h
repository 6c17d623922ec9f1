// The platform's roles in one process against the platform's stand-ins, for contract tests.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "emulator/platform/runner_stand_in.h"
#include "emulator/platform/store_stand_in.h"
#include "event_log/event_log.h"
#include "platform/formats.h"
#include "platform/store_client.h"
#include "platform/support/platform_client.h"
#include "roles/gateway_role.h"
#include "roles/ledger_role.h"
#include "wire/event_loop.h"

namespace martenyard::testing {

/// A disk that can refuse writes. What was written before stays.
struct FaultyDisk {
  bool fails = false;
  std::shared_ptr<storage::LogStore> store =
      storage::CreateMemoryLogStore(/*durable_for_tests=*/true);
};

/// What a world has from one before it, whose processes have all ended.
struct WorldRemains {
  std::shared_ptr<FaultyDisk> disk = std::make_shared<FaultyDisk>();
  std::string data_folder = "/nonexistent";  ///< The ledger machine's other files.
  bool first_start = true;
  std::uint16_t ledger_port = 0;  ///< 0: the system chooses, as for the others.
  std::uint16_t gateway_port = 0;
  std::uint16_t near_port = 0;
  std::uint16_t far_port = 0;
};

/// One gateway, one ledger replica, a store, and runners `a` (near) and `b` (far).
class PlatformWorld {
 public:
  /// @param revocation how soon keys that are taken away must open nothing; see RoleSettings.
  explicit PlatformWorld(const tenancy::revocation_bound& revocation = {},
                         const WorldRemains& remains = {});
  ~PlatformWorld();

  /// Starts both roles and waits for nothing.
  void StartRoles();
  /// Puts the standard configuration in force and waits until the gateway serves.
  /// @param configured false: all but the configuration is there.
  void Start(bool configured = true);
  /// Puts the standard configuration in force.
  void Configure();
  bool RunUntil(const std::function<bool()>& condition);
  ClientAnswer Ask(const ClientRequest& request);
  /// Starts a second gateway, on a machine of the same zone, and waits until it serves.
  void StartOtherGateway() { StartOtherGateway(/*first_start=*/true, /*runners=*/2); }
  /// @param first_start false: the deployment has run for a while.
  /// @param runners that it finds.
  void StartOtherGateway(bool first_start, std::size_t runners);
  /// Sends a request to the second gateway.
  ClientAnswer AskOther(const ClientRequest& request);
  /// Sends a request and leaves as soon as `condition` holds.
  void AskAndLeave(const ClientRequest& request, const std::function<bool()>& condition);
  bool Ready();
  /// Lets the ledger hear from a peer as if it had sent a frame.
  void HearAsLedger(const turn_ledger::Machine& peer);
  /// What the processes have logged so far.
  std::string Log();
  /// Lists a runner with its version.
  /// @param born the Unix millisecond of its start; 0: it doesn't tell.
  void ListRunner(const emulator::RunnerStandIn& runner, const std::string& zone,
                  const std::string& state = "ready", std::int64_t born = 0);
  /// Lists a ready runner that is cold for this long.
  void ListColdRunner(const emulator::RunnerStandIn& runner, const std::string& zone, int cold_ms);
  /// Puts a configuration in force and waits until the gateway applies it.
  void PutConfiguration(int version, const std::string& document);
  /// Orders the evacuation of a zone, or ends it, and waits until the gateway knows.
  void Evacuate(const std::string& zone, bool evacuated = true);

  FaultyDisk& disk() { return *disk_; }
  emulator::StoreStandIn& store() { return store_; }
  emulator::RunnerStandIn& a() { return near_; }
  emulator::RunnerStandIn& b() { return far_; }
  roles::GatewayRole& gateway() { return *gateway_; }
  roles::GatewayRole& other_gateway() { return *other_gateway_; }
  roles::LedgerRole& ledger() { return *ledger_; }
  wire::EventLoop& loop() { return loop_; }

 private:
  ClientAnswer AskGateway(const roles::GatewayRole& gateway, const ClientRequest& request);

  wire::EventLoop loop_;
  emulator::StoreStandIn store_;
  emulator::RunnerStandIn near_;
  emulator::RunnerStandIn far_;
  platform::Formats formats_;
  std::shared_ptr<FaultyDisk> disk_;
  int log_file_ = -1;
  std::unique_ptr<event_log::EventLog> log_;
  std::unique_ptr<platform::StoreClient> client_;
  std::unique_ptr<roles::LedgerRole> ledger_;
  roles::RoleSettings gateway_settings_;
  std::unique_ptr<roles::GatewayRole> gateway_;
  std::unique_ptr<roles::GatewayRole> other_gateway_;
};

}  // namespace martenyard::testing
