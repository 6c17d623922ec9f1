// A snapshot on its way to a replica that the log can't serve any more.
//
// A snapshot only names the entries that its turns have their texts in. Those go ahead of it, in small
// parts that are sent one after the other: a machine whose disk is empty gets all of them, one that was
// away for a moment those that it missed. The snapshot itself goes last, and is taken only by a replica
// that has every entry it names, so a transfer that broke off at either end has done no harm.
#pragma once

#include <cstddef>
#include <vector>

#include "consensus/types.h"
#include "turn_ledger/turn_state.h"

namespace martenyard::turn_ledger
{

/// @brief the parts of one snapshot for one replica
class snapshot_transfer
{
  public:
    /// @param[in] to       the replica
    /// @param[in] request  the snapshot as the replicated log wants it sent
    /// @param[in] match    entries up to here are known to be on the replica's disk
    snapshot_transfer(NodeId to, consensus::SnapshotRequest request, consensus::LogIndex match);

    /// @param[in] max_bytes  about how many bytes of entries the part may have
    /// @param[in] read_entry  an entry that expired since the snapshot was taken is sent empty
    /// @return the next part; the last one is the snapshot itself
    consensus::Outbound next(std::size_t max_bytes, const EntryReader& read_entry);

    /// @return whether the snapshot itself was sent
    bool done() const;

    /// @return entries that are still to be sent
    std::size_t remaining_entries() const;

  private:
    NodeId m_to;
    consensus::SnapshotRequest m_request;
    std::vector<consensus::EntryId> m_entries;
    std::size_t m_sent = 0;
    bool m_done = false;
};

/// @return the entries that a snapshot's state refers to, in rising order; none when it is no state
std::vector<consensus::EntryId> entries_of(const consensus::Snapshot& snapshot);

}  // namespace martenyard::turn_ledger
