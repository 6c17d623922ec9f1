// Retires storage machines at the operator's request: passes the requests to the replicas, records in the
// store which groups no longer need a machine, and reports when no group does.
//
// Each group's leader writes the record of its group; the first group's leader reports to the operator.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "async_http/task.h"
#include "base/ids.h"
#include "event_log/event_log.h"
#include "roles/ledger/group_layout_record.h"
#include "roles/platform_formats.h"
#include "roles/role_settings.h"
#include "store/metadata_store.h"
#include "store/prefix_mirror.h"
#include "turn_ledger/turn_replica.h"

namespace martenyard::roles
{

/// @brief not thread-safe: for the event loop's thread only
class machine_retirement
{
  public:
    /// @return this machine's replica of a group, or null
    using find_replica = std::function<turn_ledger::TurnReplica*(GroupId group)>;
    /// called with the machines that the operator wants retired
    using retiring_handler = std::function<void(const std::vector<std::string>& machines)>;

    /// All references must outlive this object.
    machine_retirement(async_http::asio::io_context& context, const RoleSettings& settings,
                       const PlatformFormats& formats, store::MetadataStore& store,
                       const store::PrefixMirror& directory, group_layout_record& layout_record,
                       event_log::EventLog& log, find_replica find, retiring_handler on_retiring);

    /// @brief starts to watch the operator's requests
    void start();

    /// @return the machines that the operator wants retired
    std::vector<std::string> retiring_machines() const;

  private:
    void on_requests_change();
    async_http::Task<void> run();
    async_http::Task<void> report_statuses(std::map<std::string, std::string>& reported);
    /// records which of the machines the group no longer needs
    async_http::Task<void> update_group_records(GroupId group, std::vector<std::string> machines);
    async_http::Task<void> set_record(GroupId group, const std::string& machine, bool released);
    /// @return the machines with a record for the group
    std::vector<std::string> recorded_machines(GroupId group) const;
    bool released_by_all_groups(const std::string& machine);

    async_http::asio::io_context& m_context;
    const PlatformFormats& m_formats;
    store::MetadataStore& m_store;
    const store::PrefixMirror& m_directory;
    group_layout_record& m_layout_record;
    event_log::EventLog& m_log;
    find_replica m_find_replica;
    retiring_handler m_on_retiring;
    store::PrefixMirror m_requests;
};

}  // namespace martenyard::roles
