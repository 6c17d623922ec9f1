// Keeps a gateway's lease of its configuration: asks the store or the aggregators whether the
// configuration in force is still the newest, and answers those who ask here. Wires the decisions of
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

/// @brief whom a gateway may ask, and in which part it does
struct lease_peers
{
    tenancy::zone_role m_part = tenancy::zone_role::member;
    /// the own zone's aggregators but this gateway, the preferred one first
    std::vector<wire::Endpoint> m_own_zone;
    std::vector<wire::Endpoint> m_other_zones;
};

/// @brief counters since the start, for the metrics address
struct lease_stats
{
    std::uint64_t m_store_questions = 0;
    std::uint64_t m_peer_questions = 0;
    std::uint64_t m_peer_answers = 0;
};

/// @brief on the loop's thread only
class lease_keeper
{
  public:
    using send_datagram = std::function<void(const wire::Endpoint&, const aggregation::datagram&)>;

    /// All references must outlive the keeper.
    /// @param[in] on_held  the lease holds again: requests may wait for it
    lease_keeper(async_http::asio::io_context& context, store::MetadataStore& store,
                 store::PrefixMirror& configuration, tenancy::configuration_lease& lease,
                 event_log::EventLog& log, send_datagram send, std::function<void()> on_held,
                 std::uint64_t seed);

    /// @param[in] length  of the lease; nothing: there is no bound, and nothing is ever asked
    /// @param[in] self    where answers go
    void start(std::optional<std::chrono::milliseconds> length, const wire::Endpoint& self);

    /// @brief asks what is due; each tenth of a second
    void tick(const lease_peers& peers);

    /// @brief the store answers again: it is asked at the next tick if that is due
    void on_store_back();

    void on_question(const aggregation::confirmation_question& question);
    void on_answer(const aggregation::confirmation_answer& answer);

    const lease_stats& stats() const
    {
        return m_stats;
    }

  private:
    using instant = tenancy::instant;

    async_http::Task<void> ask_store(std::string key, store::Revision revision);
    void ask_peers(instant now, const std::vector<wire::Endpoint>& peers);
    std::vector<wire::Endpoint> widely(const lease_peers& peers);
    void tell_changes(instant now);

    async_http::asio::io_context& m_context;
    store::MetadataStore& m_store;
    store::PrefixMirror& m_configuration;
    tenancy::configuration_lease& m_lease;
    event_log::EventLog& m_log;
    send_datagram m_send;
    std::function<void()> m_on_held;
    Random m_random;
    std::optional<tenancy::confirmation_schedule> m_plan;
    wire::Endpoint m_self;
    /// Questions carry the time since `m_began` on top of a number of this process's own, so that an answer
    /// to an earlier life is told apart.
    std::uint64_t m_stamp_base = 0;
    instant m_began;
    bool m_asking_store = false;
    bool m_held = false;
    lease_stats m_stats;
};

}  // namespace martenyard::roles
