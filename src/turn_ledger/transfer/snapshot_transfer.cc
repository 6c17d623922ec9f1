#include "turn_ledger/transfer/snapshot_transfer.h"

#include <algorithm>
#include <utility>

#include "turn_ledger/image/state_image.h"

namespace martenyard::turn_ledger
{

std::vector<consensus::EntryId> entries_of(const consensus::Snapshot& snapshot)
{
    std::optional<state_image> image = decode_state_image(snapshot.data);
    return image ? entries_of(*image) : std::vector<consensus::EntryId>();
}

snapshot_transfer::snapshot_transfer(NodeId to, consensus::SnapshotRequest request, consensus::LogIndex match)
    : m_to(to), m_request(std::move(request)), m_entries(entries_of(m_request.snapshot))
{
    auto known = std::find_if(m_entries.begin(), m_entries.end(),
                              [match](const consensus::EntryId& entry)
                              {
                                  return entry.index > match;
                              });
    m_entries.erase(m_entries.begin(), known);
}

consensus::Outbound snapshot_transfer::next(std::size_t max_bytes, const EntryReader& read_entry)
{
    if (m_sent == m_entries.size())
    {
        m_done = true;
        return {m_to, std::move(m_request)};
    }
    consensus::StagedEntries part;
    std::size_t bytes = 0;
    while (m_sent < m_entries.size() && bytes < max_bytes)
    {
        const consensus::EntryId& wanted = m_entries[m_sent];
        consensus::Entry stub{wanted.term, wanted.index, consensus::EntryKind::kNoOp, ""};
        part.entries.push_back(read_entry(wanted).value_or(std::move(stub)));
        bytes += part.entries.back().payload.size();
        ++m_sent;
    }
    return {m_to, std::move(part)};
}

bool snapshot_transfer::done() const
{
    return m_done;
}

std::size_t snapshot_transfer::remaining_entries() const
{
    return m_entries.size() - m_sent;
}

}  // namespace martenyard::turn_ledger
