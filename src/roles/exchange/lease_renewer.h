// Renews a gateway's lease of its configuration: asks the store or the aggregators whether the current
// configuration is still the newest, and replies to such requests of peers. Connects the decision logic of
// tenancy/ to the store, datagrams and the log.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "aggregation/messages.h"
#include "async_http/task.h"
#include "base/random.h"
#include "event_log/event_log.h"
#include "store/metadata_store.h"
#include "store/prefix_mirror.h"
#include "tenancy/configuration_lease.h"
#include "tenancy/confirmation_schedule.h"
#include "wire/endpoint.h"

namespace martenyard::roles
{

/// @brief role of the gateway in its zone, and the peers that it may send confirmation requests to
struct lease_peers
{
    tenancy::zone_role m_role = tenancy::zone_role::member;
    /// the other aggregators of the own zone, the primary first
    std::vector<wire::Endpoint> m_own_zone;
    std::vector<wire::Endpoint> m_other_zones;
};

/// @brief counters since the process start, exported as metrics
struct lease_stats
{
    std::uint64_t m_store_requests = 0;
    std::uint64_t m_peer_requests = 0;
    std::uint64_t m_peer_replies = 0;
};

/// @brief not thread-safe: for the event loop's thread only
class lease_renewer
{
  public:
    using send_datagram = std::function<void(const wire::Endpoint&, const aggregation::datagram&)>;

    /// All references must outlive the object.
    /// @param[in] configuration_key  the configuration's key in the mirror `configuration`
    /// @param[in] on_valid  called when the lease becomes valid; requests may be waiting for it
    lease_renewer(async_http::asio::io_context& context, store::MetadataStore& store,
                  store::PrefixMirror& configuration, std::string configuration_key,
                  tenancy::configuration_lease& lease, event_log::EventLog& log, send_datagram send,
                  std::function<void()> on_valid, std::uint64_t seed);

    /// @param[in] length  duration of the lease; if empty, the lease never expires and nothing is requested
    /// @param[in] self    address for replies
    void start(std::optional<std::chrono::milliseconds> length, const wire::Endpoint& self);

    /// @brief sends the requests that are due; called every 100 ms
    void tick(const lease_peers& peers);

    /// @brief the store is reachable again: ends the backoff of store requests
    void on_store_recovered();

    void on_request(const aggregation::confirmation_question& request);
    void on_reply(const aggregation::confirmation_answer& reply);

    const lease_stats& stats() const
    {
        return m_stats;
    }

  private:
    using instant = tenancy::instant;

    async_http::Task<void> request_from_store(std::string key, store::Revision revision);
    void request_from_peers(instant now, const std::vector<wire::Endpoint>& peers);
    std::vector<wire::Endpoint> wide_peers(const lease_peers& peers);
    void report_state_change(instant now);

    async_http::asio::io_context& m_context;
    store::MetadataStore& m_store;
    store::PrefixMirror& m_configuration;
    std::string m_configuration_key;
    tenancy::configuration_lease& m_lease;
    event_log::EventLog& m_log;
    send_datagram m_send;
    std::function<void()> m_on_valid;
    Random m_random;
    std::optional<tenancy::confirmation_schedule> m_plan;
    wire::Endpoint m_self;
    /// Requests carry the time since `m_started_at` plus this random base, so that replies to a previous
    /// process at the same address can be discarded.
    std::uint64_t m_timestamp_base = 0;
    instant m_started_at;
    bool m_store_request_pending = false;
    bool m_was_valid = false;
    lease_stats m_stats;
};

}  // namespace martenyard::roles
