#include "platform/support/platform_world.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include "absl/strings/str_cat.h"
#include "wire/codec.h"

namespace martenyard::testing {

namespace {

leaf::error_id DiskRefuses() {
  return leaf::new_error(
      storage::StorageError{storage::StorageError::Code::kWriteFailed, "the disk refuses"});
}

/// One opening of a faulty disk.
class FaultyLogStore : public storage::LogStore {
 public:
  explicit FaultyLogStore(std::shared_ptr<FaultyDisk> disk) : disk_(std::move(disk)) {}
  Result<storage::StoredNode> Load() override { return disk_->store->Load(); }
  Result<void> SetIdentity(NodeId identity) override { return disk_->store->SetIdentity(identity); }
  Result<void> Write(const std::vector<storage::GroupWrite>& writes) override {
    if (disk_->fails) {
      return DiskRefuses();
    }
    return disk_->store->Write(writes);
  }
  Result<void> WriteSnapshotPart(GroupId group, bool first, const std::string& part) override {
    if (disk_->fails) {
      return DiskRefuses();
    }
    return disk_->store->WriteSnapshotPart(group, first, part);
  }
  Result<void> StageEntry(GroupId group, const consensus::Entry& entry) override {
    if (disk_->fails) {
      return DiskRefuses();
    }
    return disk_->store->StageEntry(group, entry);
  }
  Result<std::optional<consensus::Entry>> ReadEntry(GroupId group,
                                                    consensus::EntryId entry) override {
    return disk_->store->ReadEntry(group, entry);
  }
  bool IsDurable() const override { return true; }

 private:
  std::shared_ptr<FaultyDisk> disk_;
};

}  // namespace

PlatformWorld::PlatformWorld(const tenancy::revocation_bound& revocation,
                             const WorldRemains& remains)
    : store_(loop_.context()),
      near_(loop_.context(), "i-near", remains.near_port),
      far_(loop_.context(), "i-far", remains.far_port),
      disk_(remains.disk) {
  store_.Listen(0);
  log_file_ = open("/tmp", O_TMPFILE | O_RDWR | O_CLOEXEC, 0600);
  log_ = std::make_unique<event_log::EventLog>(log_file_, "test");
  client_ = std::make_unique<platform::StoreClient>(loop_.context(),
                                                    wire::Endpoint{"127.0.0.1", store_.port()});
  roles::RoleSettings settings;
  settings.zone = "near";
  settings.regions = {{ZoneName("near"), "here"}, {ZoneName("far"), "abroad"}};
  settings.address = "127.0.0.1";
  settings.tolerated_failures = 0;
  settings.first_start = remains.first_start;
  settings.data_folder = remains.data_folder;
  settings.node = "storage-1";
  settings.internal_port = remains.ledger_port;
  ledger_ = std::make_unique<roles::LedgerRole>(
      loop_, settings, formats_, *client_, *log_,
      [disk = disk_]() -> Result<std::unique_ptr<storage::LogStore>> {
        if (disk->fails) {
          return DiskRefuses();
        }
        return std::unique_ptr<storage::LogStore>(std::make_unique<FaultyLogStore>(disk));
      });
  settings.node = "edge-1";
  settings.internal_port = remains.gateway_port;
  settings.data_folder = "";
  settings.seeds = {{"127.0.0.1", remains.ledger_port}};
  settings.revocation = revocation;
  settings.readiness = {"127.0.0.1", 0};
  settings.frontend = {"127.0.0.1", 0};
  gateway_settings_ = settings;
  gateway_ = std::make_unique<roles::GatewayRole>(loop_, settings, formats_, *client_, *log_);
}

PlatformWorld::~PlatformWorld() { close(log_file_); }

void PlatformWorld::ListRunner(const emulator::RunnerStandIn& runner, const std::string& zone,
                               const std::string& state, std::int64_t born) {
  store_.Put("servers/" + runner.id(), emulator::RunnerEntry({.port = runner.port(),
                                                              .zone = zone,
                                                              .state = state,
                                                              .born = born,
                                                              .version = runner.version}));
}

void PlatformWorld::ListColdRunner(const emulator::RunnerStandIn& runner, const std::string& zone,
                                   int cold_ms) {
  store_.Put("servers/" + runner.id(),
             emulator::RunnerEntry({.port = runner.port(), .zone = zone, .cold_ms = cold_ms}));
}

void PlatformWorld::PutConfiguration(int version, const std::string& document) {
  store_.Put("op/config", document);
  RunUntil([&] {
    const auto& routes = gateway_->state().routes;
    return routes != nullptr &&
           routes->configuration().version == static_cast<std::uint64_t>(version);
  });
}

void PlatformWorld::Evacuate(const std::string& zone, bool evacuated) {
  if (evacuated) {
    store_.Put("op/evacuate/" + zone, "{}");
  } else {
    store_.Remove("op/evacuate/" + zone);
  }
  RunUntil([&] { return gateway_->state().evacuated_zones.Contains(ZoneName(zone)) == evacuated; });
}

void PlatformWorld::Configure() { store_.Put("op/config", StandardConfiguration(1)); }

void PlatformWorld::StartRoles() {
  bool started = leaf::try_handle_all(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(ledger_->Start());
        BOOST_LEAF_CHECK(gateway_->Start());
        return true;
      },
      [] { return false; });
  ASSERT_TRUE(started) << "a role could not listen";
}

void PlatformWorld::Start(bool configured) {
  ListRunner(near_, "near");
  ListRunner(far_, "far");
  if (configured) {
    Configure();
  }
  StartRoles();
  bool serves = RunUntil([&] {
    bool leads = ledger_->replica() != nullptr && ledger_->replica()->IsCurrentLeader();
    return leads && gateway_->ready() == configured && gateway_->state().ledger->has_replicas() &&
           gateway_->state().runners.all().size() == 2;
  });
  ASSERT_TRUE(serves) << Log();
}

bool PlatformWorld::RunUntil(const std::function<bool()>& condition) {
  return RunLoopUntil(loop_, condition);
}

ClientAnswer PlatformWorld::AskGateway(const roles::GatewayRole& gateway,
                                       const ClientRequest& request) {
  auto dialogue =
      StartDialogue(loop_, {"127.0.0.1", gateway.frontend_port()}, RequestText(request));
  RunUntil([&] { return dialogue->done; });
  return dialogue->answer;
}

ClientAnswer PlatformWorld::Ask(const ClientRequest& request) {
  return AskGateway(*gateway_, request);
}

ClientAnswer PlatformWorld::AskOther(const ClientRequest& request) {
  return AskGateway(*other_gateway_, request);
}

void PlatformWorld::StartOtherGateway(bool first_start, std::size_t runners) {
  roles::RoleSettings settings = gateway_settings_;
  settings.first_start = first_start;
  settings.node = "edge-2";
  settings.internal_port = 0;
  other_gateway_ = std::make_unique<roles::GatewayRole>(loop_, settings, formats_, *client_, *log_);
  bool started = leaf::try_handle_all(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(other_gateway_->Start());
        return true;
      },
      [] { return false; });
  ASSERT_TRUE(started) << "the second gateway could not listen";
  bool serves = RunUntil([&] {
    return other_gateway_->ready() && other_gateway_->state().ledger->has_replicas() &&
           other_gateway_->state().runners.all().size() == runners;
  });
  ASSERT_TRUE(serves) << Log();
}

void PlatformWorld::AskAndLeave(const ClientRequest& request,
                                const std::function<bool()>& condition) {
  auto dialogue =
      StartDialogue(loop_, {"127.0.0.1", gateway_->frontend_port()}, RequestText(request));
  RunUntil(condition);
  dialogue->connection->Close();
  RunUntil([&] { return dialogue->done; });
}

std::string PlatformWorld::Log() {
  log_->Flush();
  std::string text(static_cast<std::size_t>(lseek(log_file_, 0, SEEK_END)), '\0');
  ssize_t count = pread(log_file_, text.data(), text.size(), 0);
  text.resize(count < 0 ? 0 : static_cast<std::size_t>(count));
  return text;
}

void PlatformWorld::HearAsLedger(const turn_ledger::Machine& peer) {
  ledger_->OnFrame(wire::Encode(turn_ledger::Envelope{peer, turn_ledger::Hello{}}));
}

bool PlatformWorld::Ready() {
  auto dialogue = StartDialogue(loop_, {"127.0.0.1", gateway_->readiness_port()},
                                "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
  RunUntil([&] { return dialogue->done; });
  return dialogue->answer.status == 200;
}

}  // namespace martenyard::testing
