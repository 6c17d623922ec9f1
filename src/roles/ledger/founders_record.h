// The ledger's groups as they were founded, read from their record in the store.
#pragma once

#include <optional>

#include "event_log/event_log.h"
#include "store/prefix_mirror.h"
#include "turn_ledger/groups/group_layout.h"

namespace martenyard::roles
{

/// @brief the record, decoded once for each of its revisions
class founders_record
{
  public:
    /// @param[in] directory  a copy of the ledger's directory; both must outlive this
    founders_record(const store::PrefixMirror& directory, event_log::EventLog& log);

    /// @return the groups, or null while they aren't known; an unreadable record is logged once
    const turn_ledger::group_layout* layout();

  private:
    const store::PrefixMirror& m_directory;
    event_log::EventLog& m_log;
    std::optional<store::Revision> m_revision;
    std::optional<turn_ledger::group_layout> m_layout;
};

}  // namespace martenyard::roles
