#include "roles/ledger/group_layout_record.h"

#include "roles/directory_keys.h"
#include "wire/codec.h"

namespace martenyard::roles
{

group_layout_record::group_layout_record(const store::PrefixMirror& directory, event_log::EventLog& log)
    : m_directory(directory), m_log(log)
{
}

const turn_ledger::group_layout* group_layout_record::layout()
{
    auto record = m_directory.items().find(kLedgerGroupsKey);
    if (record == m_directory.items().end())
    {
        return nullptr;
    }
    if (m_revision != record->second.revision)
    {
        m_revision = record->second.revision;
        m_layout = wire::Decode<turn_ledger::group_layout>(record->second.value);
        if (!m_layout)
        {
            m_log.Write(event_log::Line("directory_record_unreadable").Text("key", kLedgerGroupsKey));
        }
    }
    return m_layout ? &*m_layout : nullptr;
}

}  // namespace martenyard::roles
