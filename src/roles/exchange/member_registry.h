// Registry of a zone's gateways in the store. Aggregators use it to send digests to gateways that restart
// without access to the store.
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

/// @brief tuning parameters
struct registry_options
{
    /// minimum time between two writes
    std::chrono::milliseconds m_write_interval{1000};
    /// registrations per write; the store accepts 32 entries per transaction
    std::size_t m_max_batch_size = 32;
};

/// @brief not thread-safe: for the event loop's thread only
class member_registry
{
  public:
    using instant = aggregation::instant;

    /// All references must outlive the object.
    member_registry(async_http::asio::io_context& context, store::MetadataStore& store,
                    const RoleSettings& settings, event_log::EventLog& log,
                    const registry_options& options = {});

    /// @brief starts to mirror the records; paused until @ref set_paused allows it
    void start();

    /// @brief sets the cell of the zone that this gateway belongs to
    void set_cell(const std::string& cell)
    {
        m_cell = cell;
    }

    /// @brief pauses the mirror on gateways that are no aggregators and while the store is unreachable
    void set_paused(bool paused);

    /// @brief writes records of the cell's live gateways whose record is missing or outdated
    void register_missing(instant now, const aggregation::aggregator& own_aggregator);

    /// @return the other registered gateways of the cell that do not report
    std::vector<wire::Endpoint> unreporting(const aggregation::aggregator& own_aggregator) const;

  private:
    bool is_registered(const aggregation::contact& gateway) const;
    async_http::Task<void> write_records(std::vector<aggregation::contact> gateways);

    async_http::asio::io_context& m_context;
    store::MetadataStore& m_store;
    event_log::EventLog& m_log;
    registry_options m_options;
    std::string m_node;
    std::string m_cell;
    store::PrefixMirror m_records;
    bool m_writing = false;
    instant m_written_at;
};

}  // namespace martenyard::roles
