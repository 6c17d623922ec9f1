#include "roles/exchange/member_registry.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "roles/directory_keys.h"
#include "roles/store_watch_options.h"
#include "wire/codec.h"

namespace martenyard::roles
{

using aggregation::contact;
using event_log::Line;

member_registry::member_registry(async_http::asio::io_context& context, store::MetadataStore& store,
                                 const RoleSettings& settings, event_log::EventLog& log,
                                 const registry_options& options)
    : m_context(context),
      m_store(store),
      m_log(log),
      m_options(options),
      m_node(settings.node),
      m_cell(settings.zone),
      m_records(
          context, store, absl::StrCat(kGatewaysPrefix, settings.zone, "/"), [](const store::StoreChange&) {},
          [](bool, store::StoreStatus) {}, LongWatchOptions(settings))
{
}

void member_registry::start()
{
    m_records.SetPaused(true);
    m_records.Start();
}

void member_registry::set_paused(bool paused)
{
    m_records.SetPaused(paused);
}

bool member_registry::is_registered(const contact& gateway) const
{
    auto record = m_records.items().find(absl::StrCat(m_records.prefix(), gateway.m_name));
    return record != m_records.items().end() && record->second.value == wire::Encode(gateway);
}

void member_registry::register_missing(instant now, const aggregation::aggregator& own_aggregator)
{
    bool recently_written = now - m_written_at < m_options.m_write_interval;
    if (m_writing || recently_written || !m_records.complete())
    {
        return;
    }
    std::vector<contact> missing;
    for (const auto& [name, gateway] : own_aggregator.members())
    {
        bool in_cell = gateway.m_contact.m_zone == m_cell;
        bool due = in_cell && own_aggregator.is_live(now, gateway) && !is_registered(gateway.m_contact);
        if (due && missing.size() < m_options.m_max_batch_size)
        {
            missing.push_back(gateway.m_contact);
        }
    }
    if (!missing.empty())
    {
        m_writing = true;
        m_written_at = now;
        async_http::asio::co_spawn(m_context, write_records(std::move(missing)), async_http::asio::detached);
    }
}

async_http::Task<void> member_registry::write_records(std::vector<contact> gateways)
{
    // All writers write what the gateway itself reported, so no condition is needed.
    store::Transaction transaction;
    for (const contact& gateway : gateways)
    {
        transaction.puts.push_back(
            {absl::StrCat(m_records.prefix(), gateway.m_name), wire::Encode(gateway), 0});
    }
    store::StoreStatus status = co_await m_store.Commit(std::move(transaction));
    m_log.Write(Line("gateways_registered")
                    .Number("gateways", static_cast<std::int64_t>(gateways.size()))
                    .Number("status", static_cast<std::int64_t>(status)));
    m_writing = false;
}

std::vector<wire::Endpoint> member_registry::unreporting(const aggregation::aggregator& own_aggregator) const
{
    std::vector<wire::Endpoint> endpoints;
    for (const auto& [key, item] : m_records.items())
    {
        auto gateway = wire::Decode<contact>(item.value);
        if (!gateway)
        {
            m_log.Write(Line("directory_record_unreadable").Text("key", key));
            continue;
        }
        bool in_cell = gateway->m_zone == m_cell && gateway->m_name != m_node;
        if (in_cell && !own_aggregator.members().contains(gateway->m_name))
        {
            endpoints.push_back(gateway->m_endpoint);
        }
    }
    return endpoints;
}

}  // namespace martenyard::roles
