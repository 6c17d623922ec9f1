#include "roles/ledger/machine_emptying.h"

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
constexpr std::chrono::milliseconds report_interval{250};

std::string note_key(const std::string& machine, GroupId group)
{
    return absl::StrCat(kRetiredMachinesPrefix, machine, "/", group.value);
}

}  // namespace

machine_emptying::machine_emptying(async_http::asio::io_context& context, const RoleSettings& settings,
                                   const PlatformFormats& formats, store::MetadataStore& store,
                                   const store::PrefixMirror& directory, group_layout_record& layout_record,
                                   event_log::EventLog& log, find_replica find, on_retiring told)
    : m_context(context),
      m_formats(formats),
      m_store(store),
      m_directory(directory),
      m_layout_record(layout_record),
      m_log(log),
      m_find(std::move(find)),
      m_told(std::move(told)),
      m_requests(
          context, store, formats.RetirePrefix(),
          [this](const store::StoreChange&)
          {
              on_change();
          },
          [this](bool reachable, store::StoreStatus status)
          {
              m_log.Write(DescribeStoreReachability("retirements", m_requests, reachable, status));
          },
          RetirementWatchOptions(settings))
{
}

void machine_emptying::start()
{
    m_requests.Start();
    async_http::asio::co_spawn(m_context, report(), async_http::asio::detached);
}

std::vector<std::string> machine_emptying::retiring() const
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

void machine_emptying::on_change()
{
    std::vector<std::string> names = retiring();
    m_log.Write(Line("retire_asked").Number("machines", static_cast<std::int64_t>(names.size())));
    m_told(names);
}

Task<void> machine_emptying::note(GroupId group, const std::string& machine, bool emptied)
{
    std::string key = note_key(machine, group);
    auto present = m_directory.items().find(key);
    bool is_noted = present != m_directory.items().end();
    if (is_noted == emptied)
    {
        co_return;
    }
    store::Transaction transaction;
    transaction.conditions.push_back({key, is_noted ? present->second.revision : 0});
    if (emptied)
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

bool machine_emptying::all_groups_emptied(const std::string& machine)
{
    const turn_ledger::group_layout* layout = m_layout_record.layout();
    for (std::size_t index = 0; layout != nullptr && index < layout->size(); ++index)
    {
        GroupId group = turn_ledger::group_at(index);
        const turn_ledger::TurnReplica* replica = m_find(group);
        bool own = replica != nullptr && replica->LeadsCurrent();
        bool emptied =
            own ? replica->MayTakeAway(machine) : m_directory.items().contains(note_key(machine, group));
        if (!emptied)
        {
            return false;
        }
    }
    return layout != nullptr;
}

std::vector<std::string> machine_emptying::noted(GroupId group) const
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

Task<void> machine_emptying::note_group(GroupId group, std::vector<std::string> machines)
{
    // Records of machines that are no longer retiring are removed: their names may be reused.
    std::vector<std::string> before = noted(group);
    machines.insert(machines.end(), before.begin(), before.end());
    for (const std::string& name : machines)
    {
        std::vector<std::string> asked_for = retiring();
        bool asked = std::find(asked_for.begin(), asked_for.end(), name) != asked_for.end();
        const turn_ledger::TurnReplica* replica = m_find(group);
        if (replica != nullptr && replica->LeadsCurrent())
        {
            bool emptied = asked && replica->MayTakeAway(name);
            co_await note(group, name, emptied);
        }
    }
}

Task<void> machine_emptying::report()
{
    std::map<std::string, std::string> reported;
    const GroupId reporter = turn_ledger::group_at(0);
    while (true)
    {
        co_await async_http::Sleep(m_context, absl::FromChrono(report_interval));
        std::vector<std::string> names = retiring();
        const turn_ledger::group_layout* layout = m_layout_record.layout();
        std::size_t groups = layout == nullptr ? 0 : layout->size();
        for (std::size_t index = 1; index < groups; ++index)
        {
            co_await note_group(turn_ledger::group_at(index), names);
        }
        const turn_ledger::TurnReplica* first = m_find(reporter);
        if (first != nullptr && first->LeadsCurrent())
        {
            co_await report_statuses(reported);
        }
        else
        {
            reported.clear();
        }
    }
}

Task<void> machine_emptying::report_statuses(std::map<std::string, std::string>& reported)
{
    for (const std::string& name : retiring())
    {
        std::string status = m_formats.WriteRetireStatus(all_groups_emptied(name));
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
