// The registry of peers: persistence, lookup by identity, and logging of disk errors.
#include "roles/peer_registry.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

namespace martenyard::roles {
namespace {

using turn_ledger::Machine;

class PeerRegistryTest : public ::testing::Test {
 protected:
  PeerRegistryTest()
      : log_file_(open("/tmp", O_TMPFILE | O_RDWR | O_CLOEXEC, 0600)), log_(log_file_, "store-1") {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "peer-registry-XXXXXX").string();
    folder_ = mkdtemp(pattern.data());
  }
  ~PeerRegistryTest() override {
    std::filesystem::remove_all(folder_);
    close(log_file_);
  }
  Machine MakePeer(const std::string& name, std::uint64_t identity) {
    Machine machine;
    machine.name = name;
    machine.identity = NodeId(identity);
    machine.endpoint = {"10.0.0.1", 7};
    return machine;
  }
  std::string Log() {
    log_.Flush();
    std::string text(static_cast<std::size_t>(lseek(log_file_, 0, SEEK_END)), ' ');
    EXPECT_EQ(pread(log_file_, text.data(), text.size(), 0), static_cast<ssize_t>(text.size()));
    return text;
  }
  std::string Path() const { return folder_ + "/peers"; }

  int log_file_;
  event_log::EventLog log_;
  std::string folder_;
};

TEST_F(PeerRegistryTest, PersistsMachinesAndFindsThemByIdentity) {
  {
    PeerRegistry registry(Path(), log_);
    EXPECT_TRUE(registry.Update(MakePeer("a", 1)));
    EXPECT_TRUE(registry.Update(MakePeer("b", 2)));
    EXPECT_FALSE(registry.Update(MakePeer("b", 2)));
    EXPECT_TRUE(registry.Update(MakePeer("a", 3))) << "new identity after a disk loss";
  }
  PeerRegistry registry(Path(), log_);
  EXPECT_EQ(registry.machines().size(), 2U);
  ASSERT_NE(registry.Find(NodeId(3)), nullptr);
  EXPECT_EQ(registry.Find(NodeId(3))->name, "a");
  EXPECT_EQ(registry.Find(NodeId(1)), nullptr) << "replaced identity";
  EXPECT_NE(Log().find("\"event\":\"peer_book_read\",\"machines\":2"), std::string::npos);
  EXPECT_EQ(Log().find("peer_book_un"), std::string::npos);
}

TEST_F(PeerRegistryTest, TruncatedFileYieldsEmptyRegistryAndIsLogged) {
  {
    PeerRegistry registry(Path(), log_);
    registry.Update(MakePeer("a", 1));
  }
  std::filesystem::resize_file(Path(), std::filesystem::file_size(Path()) / 2);
  PeerRegistry registry(Path(), log_);
  EXPECT_TRUE(registry.machines().empty());
  EXPECT_NE(Log().find("peer_book_unreadable"), std::string::npos);
}

TEST_F(PeerRegistryTest, FailedWriteIsLoggedAndMachineStaysKnown) {
  PeerRegistry registry(folder_ + "/missing/peers", log_);
  EXPECT_TRUE(registry.Update(MakePeer("a", 1)));
  EXPECT_NE(registry.Find(NodeId(1)), nullptr);
  EXPECT_NE(Log().find("peer_book_unsaved"), std::string::npos);
}

}  // namespace
}  // namespace martenyard::roles
