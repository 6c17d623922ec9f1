// Transfer of a snapshot to a replica that lost its disk or is far behind: entries first, then the
// snapshot.
#include "turn_ledger/transfer/snapshot_transfer.h"

#include <gtest/gtest.h>

#include <set>

#include "turn_ledger/image/state_image.h"

namespace martenyard::turn_ledger {
namespace {

const NodeId kMember{3};

consensus::SnapshotRequest RequestReferencing(const std::vector<consensus::LogIndex>& indexes) {
  state_image image;
  for (consensus::LogIndex index : indexes) {
    kept_turn turn;
    turn.m_entry = {index, 1};
    image.m_turns.emplace_back(TurnId("t" + std::to_string(index)), turn);
  }
  state_image_encoder encoder(std::move(image));
  consensus::SnapshotRequest request;
  request.snapshot.index = 100;
  while (!encoder.done()) {
    request.snapshot.data += encoder.next(1000);
  }
  return request;
}

std::optional<consensus::Entry> Read(consensus::EntryId entry) {
  return consensus::Entry{entry.term, entry.index, consensus::EntryKind::kCommand, "0123456789"};
}

/// @return all parts but the last one, which must be the only one with the snapshot.
std::vector<consensus::StagedEntries> PartsOf(snapshot_transfer& transfer, std::size_t max_bytes,
                                              const EntryReader& read) {
  std::vector<consensus::StagedEntries> parts;
  while (!transfer.done()) {
    consensus::Outbound part = transfer.next(max_bytes, read);
    EXPECT_EQ(part.to, kMember);
    auto* staged = std::get_if<consensus::StagedEntries>(&part.message);
    EXPECT_EQ(staged == nullptr, transfer.done());
    if (staged != nullptr) {
      parts.push_back(std::move(*staged));
    }
  }
  return parts;
}

TEST(SnapshotTransferTest, EntriesAreSentFirstInSmallParts) {
  snapshot_transfer transfer(kMember, RequestReferencing({7, 5, 9, 30, 11}), 0);
  auto parts = PartsOf(transfer, 20, Read);
  ASSERT_EQ(parts.size(), 3U);
  EXPECT_EQ(parts[0].entries.size(), 2U);
  EXPECT_EQ(parts[0].entries[0].index, 5U);
  EXPECT_EQ(parts[2].entries[0].index, 30U);
}

TEST(SnapshotTransferTest, EntriesThatTheMemberHasAreNotSent) {
  snapshot_transfer transfer(kMember, RequestReferencing({5, 7, 9, 30}), 9);
  auto parts = PartsOf(transfer, 1000, Read);
  ASSERT_EQ(parts.size(), 1U);
  ASSERT_EQ(parts[0].entries.size(), 1U);
  EXPECT_EQ(parts[0].entries[0].index, 30U);
}

TEST(SnapshotTransferTest, ExpiredEntryIsSentEmpty) {
  snapshot_transfer transfer(kMember, RequestReferencing({5, 7}), 0);
  auto parts = PartsOf(transfer, 1000, [](consensus::EntryId entry) {
    return entry.index == 5 ? std::nullopt : Read(entry);
  });
  ASSERT_EQ(parts.size(), 1U);
  ASSERT_EQ(parts[0].entries.size(), 2U);
  EXPECT_EQ(parts[0].entries[0].payload, "");
  EXPECT_EQ(parts[0].entries[0].term, 1U);
  EXPECT_EQ(parts[0].entries[1].payload, "0123456789");
}

}  // namespace
}  // namespace martenyard::turn_ledger
