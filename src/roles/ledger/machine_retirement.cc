#include "roles/ledger/machine_retirement.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "roles/directory_keys.h"
#include "roles/store_reachability_line.h"
#include "roles/store_watch_options.h"

namespace martenyard::roles
{

using async_http::Task;
using event_log::Line;

namespace
{

/// time between two checks of the retiring machines
constexpr std::chrono::milliseconds check_interval{250};

std::string record_key(const std::string& machine, GroupId group)
{
    return absl::StrCat(kRetiredMachinesPrefix, machine, "/", group.value);
}

}  // namespace

machine_retirement::machine_retirement(async_http::asio::io_context& context, const RoleSettings& settings,
                                       const PlatformFormats& formats, store::MetadataStore& store,
                                       const store::PrefixMirror& directory,
                                       group_layout_record& layout_record, event_log::EventLog& log,
                                       find_replica find, retiring_handler on_retiring)
    : m_context(context),
      m_formats(formats),
      m_store(store),
      m_directory(directory),
      m_layout_record(layout_record),
      m_log(log),
      m_find_replica(std::move(find)),
      m_on_retiring(std::move(on_retiring)),
      m_requests(
          context, store, formats.RetirePrefix(),
          [this](const store::StoreChange&)
          {
              on_requests_change();
          },
          [this](bool reachable, store::StoreStatus status)
          {
              m_log.Write(DescribeStoreReachability("retirements", m_requests, reachable, status));
          },
          RetirementWatchOptions(settings))
{
}

void machine_retirement::start()
{
    m_requests.Start();
    async_http::asio::co_spawn(m_context, run(), async_http::kRethrow);
}

std::vector<std::string> machine_retirement::retiring_machines() const
{
    std::vector<std::string> names;
    for (const auto& [key, item] : m_requests.items())
    {
        absl::string_view name = key;
        absl::ConsumePrefix(&name, m_formats.RetirePrefix());
        names.emplace_back(name);
    }
    return names;
}

void machine_retirement::on_requests_change()
{
    std::vector<std::string> names = retiring_machines();
    m_log.Write(Line("retire_asked").Number("machines", static_cast<std::int64_t>(names.size())));
    m_on_retiring(names);
}

Task<void> machine_retirement::set_record(GroupId group, const std::string& machine, bool released)
{
    std::string key = record_key(machine, group);
    auto record = m_directory.items().find(key);
    bool is_recorded = record != m_directory.items().end();
    if (is_recorded == released)
    {
        co_return;
    }
    store::Transaction transaction;
    transaction.conditions.push_back({key, is_recorded ? record->second.revision : 0});
    if (released)
    {
        transaction.puts.push_back({key, "", 0});
    }
    else
    {
        transaction.removals.push_back(key);
    }
    // After a conflict or a lost reply, the next check retries from the directory's mirror.
    co_await m_store.Commit(std::move(transaction));
}

bool machine_retirement::released_by_all_groups(const std::string& machine)
{
    const turn_ledger::group_layout* layout = m_layout_record.layout();
    for (std::size_t index = 0; layout != nullptr && index < layout->size(); ++index)
    {
        GroupId group = turn_ledger::group_at(index);
        const turn_ledger::TurnReplica* replica = m_find_replica(group);
        bool leads = replica != nullptr && replica->IsCurrentLeader();
        bool released = leads ? replica->CanRemoveMachine(machine)
                              : m_directory.items().contains(record_key(machine, group));
        if (!released)
        {
            return false;
        }
    }
    return layout != nullptr;
}

std::vector<std::string> machine_retirement::recorded_machines(GroupId group) const
{
    std::vector<std::string> names;
    for (const auto& [key, item] : m_directory.items())
    {
        absl::string_view name = key;
        bool of_group = absl::ConsumePrefix(&name, kRetiredMachinesPrefix) &&
                        absl::ConsumeSuffix(&name, absl::StrCat("/", group.value));
        if (of_group)
        {
            names.emplace_back(name);
        }
    }
    return names;
}

Task<void> machine_retirement::update_group_records(GroupId group, std::vector<std::string> machines)
{
    // Records of machines that are no longer retiring are removed: their names may be reused.
    std::vector<std::string> recorded = recorded_machines(group);
    machines.insert(machines.end(), recorded.begin(), recorded.end());
    for (const std::string& name : machines)
    {
        std::vector<std::string> requested = retiring_machines();
        bool is_requested = std::find(requested.begin(), requested.end(), name) != requested.end();
        const turn_ledger::TurnReplica* replica = m_find_replica(group);
        if (replica != nullptr && replica->IsCurrentLeader())
        {
            bool released = is_requested && replica->CanRemoveMachine(name);
            co_await set_record(group, name, released);
        }
    }
}

Task<void> machine_retirement::run()
{
    std::map<std::string, std::string> reported;
    const GroupId first_group = turn_ledger::group_at(0);
    while (true)
    {
        co_await async_http::Sleep(m_context, absl::FromChrono(check_interval));
        std::vector<std::string> names = retiring_machines();
        const turn_ledger::group_layout* layout = m_layout_record.layout();
        std::size_t groups = layout == nullptr ? 0 : layout->size();
        for (std::size_t index = 1; index < groups; ++index)
        {
            co_await update_group_records(turn_ledger::group_at(index), names);
        }
        const turn_ledger::TurnReplica* first = m_find_replica(first_group);
        if (first != nullptr && first->IsCurrentLeader())
        {
            co_await report_statuses(reported);
        }
        else
        {
            reported.clear();
        }
    }
}

Task<void> machine_retirement::report_statuses(std::map<std::string, std::string>& reported)
{
    for (const std::string& name : retiring_machines())
    {
        std::string status = m_formats.WriteRetireStatus(released_by_all_groups(name));
        if (reported[name] == status)
        {
            continue;
        }
        store::Transaction transaction;
        transaction.puts.push_back({m_formats.RetireStatusKey(name), status, 0});
        store::StoreStatus written = co_await m_store.Commit(std::move(transaction));
        if (written == store::StoreStatus::kDone)
        {
            reported[name] = status;
            m_log.Write(Line("retire_status").Text("machine", name).Text("status", status));
        }
    }
}

}  // namespace martenyard::roles
