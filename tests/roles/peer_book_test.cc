// The registry of peers: persistence, lookup by identity, and logging of disk errors.
#include "roles/peer_book.h"

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

class PeerBookTest : public ::testing::Test {
 protected:
  PeerBookTest()
      : log_file_(open("/tmp", O_TMPFILE | O_RDWR | O_CLOEXEC, 0600)), log_(log_file_, "store-1") {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "peer-registry-XXXXXX").string();
    folder_ = mkdtemp(pattern.data());
  }
  ~PeerBookTest() override {
    std::filesystem::remove_all(folder_);
    close(log_file_);
  }
  Machine Peer(const std::string& name, std::uint64_t identity) {
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

TEST_F(PeerBookTest, MachinesOutliveTheProcessAndAreFoundByIdentity) {
  {
    PeerBook book(Path(), log_);
    EXPECT_TRUE(book.Note(Peer("a", 1)));
    EXPECT_TRUE(book.Note(Peer("b", 2)));
    EXPECT_FALSE(book.Note(Peer("b", 2)));
    EXPECT_TRUE(book.Note(Peer("a", 3))) << "new identity after a disk loss";
  }
  PeerBook book(Path(), log_);
  EXPECT_EQ(book.machines().size(), 2U);
  ASSERT_NE(book.Find(NodeId(3)), nullptr);
  EXPECT_EQ(book.Find(NodeId(3))->name, "a");
  EXPECT_EQ(book.Find(NodeId(1)), nullptr) << "replaced identity";
  EXPECT_NE(Log().find("\"event\":\"peer_book_read\",\"machines\":2"), std::string::npos);
  EXPECT_EQ(Log().find("peer_book_un"), std::string::npos);
}

TEST_F(PeerBookTest, TornFileIsAnEmptyBookAndIsTold) {
  {
    PeerBook book(Path(), log_);
    book.Note(Peer("a", 1));
  }
  std::filesystem::resize_file(Path(), std::filesystem::file_size(Path()) / 2);
  PeerBook book(Path(), log_);
  EXPECT_TRUE(book.machines().empty());
  EXPECT_NE(Log().find("peer_book_unreadable"), std::string::npos);
}

TEST_F(PeerBookTest, BookThatCanNotBeWrittenIsToldAndStillKnown) {
  PeerBook book(folder_ + "/missing/peers", log_);
  EXPECT_TRUE(book.Note(Peer("a", 1)));
  EXPECT_NE(book.Find(NodeId(1)), nullptr);
  EXPECT_NE(Log().find("peer_book_unsaved"), std::string::npos);
}

}  // namespace
}  // namespace martenyard::roles
