// Where a zone's gateways are, as written down in the store: an aggregator introduces itself to those that
// the store turns away when they restart.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "aggregation/aggregator.h"
#include "aggregation/messages.h"
#include "async_http/task.h"
#include "event_log/event_log.h"
#include "roles/role_settings.h"
#include "store/metadata_store.h"
#include "store/prefix_mirror.h"
#include "wire/endpoint.h"

namespace martenyard::roles
{

/// @brief named knobs
struct registry_options
{
    /// between two writes of registrations
    std::chrono::milliseconds m_write_interval{1000};
    /// registrations in one write: the store takes 32 entries
    std::size_t m_max_batch_size = 32;
};

/// @brief on the loop's thread only
class member_registry
{
  public:
    using instant = aggregation::instant;

    /// All references must outlive the registry.
    member_registry(async_http::asio::io_context& context, store::MetadataStore& store,
                    const RoleSettings& settings, event_log::EventLog& log,
                    const registry_options& options = {});

    /// @brief begins to follow the records, as soon as it may ask
    void start();

    /// @brief only aggregators need the records, and ask nothing while the store is away
    void set_paused(bool paused);

    /// @brief writes down the zone's gateways that report and have no record, or another one
    void register_missing(instant now, const aggregation::aggregator& own_aggregator);

    /// @return the zone's other gateways on record that don't report
    std::vector<wire::Endpoint> unreporting(const aggregation::aggregator& own_aggregator) const;

  private:
    bool is_registered(const aggregation::contact& gateway) const;
    async_http::Task<void> write_records(std::vector<aggregation::contact> gateways);

    async_http::asio::io_context& m_context;
    store::MetadataStore& m_store;
    event_log::EventLog& m_log;
    registry_options m_options;
    std::string m_node;
    std::string m_zone;
    store::PrefixMirror m_records;
    bool m_writing = false;
    instant m_written_at;
};

}  // namespace martenyard::roles
