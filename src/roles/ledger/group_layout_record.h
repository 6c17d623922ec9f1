// The initial layout of the ledger's groups, read from its record in the store.
#pragma once

#include <optional>

#include "event_log/event_log.h"
#include "store/prefix_mirror.h"
#include "turn_ledger/groups/group_layout.h"

namespace martenyard::roles
{

/// @brief the group layout, decoded once per revision of its record
class group_layout_record
{
  public:
    /// All references must outlive this object.
    /// @param[in] directory  a mirror of the ledger's directory
    group_layout_record(const store::PrefixMirror& directory, event_log::EventLog& log);

    /// @return the layout, or null while it isn't known; an unreadable record is logged once
    const turn_ledger::group_layout* layout();

  private:
    const store::PrefixMirror& m_directory;
    event_log::EventLog& m_log;
    std::optional<store::Revision> m_revision;
    std::optional<turn_ledger::group_layout> m_layout;
};

}  // namespace martenyard::roles
