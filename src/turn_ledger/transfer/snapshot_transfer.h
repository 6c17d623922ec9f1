// Transfer of a snapshot to a replica that is too far behind to be caught up from the log.
//
// A snapshot only references the log entries that contain the texts of its turns. The entries that the
// replica lacks are sent first, in small parts. The snapshot itself is sent last and is accepted only by a
// replica that has every referenced entry, so an interrupted transfer is harmless.
#pragma once

#include <cstddef>
#include <vector>

#include "consensus/types.h"
#include "turn_ledger/turn_state.h"

namespace martenyard::turn_ledger
{

/// @brief the transfer of one snapshot to one replica
class snapshot_transfer
{
  public:
    /// @param[in] to       the receiving replica
    /// @param[in] request  the message of the replicated log that contains the snapshot
    /// @param[in] match    index up to which entries are known to be on the replica's disk
    snapshot_transfer(NodeId to, consensus::SnapshotRequest request, consensus::LogIndex match);

    /// @param[in] max_bytes  approximate size of the part's entries
    /// @param[in] read_entry  reads an entry; one that expired since the snapshot was taken is sent empty
    /// @return the next part; the last one is the snapshot itself
    consensus::Outbound next(std::size_t max_bytes, const EntryReader& read_entry);

    /// @return whether the snapshot itself was sent
    bool done() const;

    /// @return the number of entries still to be sent
    std::size_t remaining_entries() const;

  private:
    NodeId m_to;
    consensus::SnapshotRequest m_request;
    std::vector<consensus::EntryId> m_entries;
    std::size_t m_sent = 0;
    bool m_done = false;
};

/// @return the entries that the snapshot references, in ascending order; empty if its data can't be decoded
std::vector<consensus::EntryId> entries_of(const consensus::Snapshot& snapshot);

}  // namespace martenyard::turn_ledger
