// Mirrors of the store's keys that gateways depend on, persisted by the storage machines.
//
// Gateways have no disk: without these mirrors, gateways that all start while the store is unavailable
// would know no configuration, runner or storage machine. The aggregators that represent their zone announce
// changes to its storage machines, which then request them. A process without known peers requests them
// from one of its seeds (RoleSettings::seeds). A mirror keeps the store's revisions, so it never replaces
// newer data, and its readers can tell that the store has not confirmed it.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "aggregation/messages.h"
#include "async_http/task.h"
#include "event_log/event_log.h"
#include "roles/exchange/change_sender.h"
#include "roles/platform_formats.h"
#include "roles/role_settings.h"
#include "store/metadata_store.h"
#include "store/prefix_mirror.h"
#include "wire/transport.h"

namespace martenyard::roles
{

/// @brief tuning parameters
struct persisted_mirrors_options
{
    /// minimum time between two writes of the same mirror; bounds the rate of syncs to two a second for a
    /// mirror that changes every 0.15 s
    std::chrono::milliseconds m_min_write_interval{500};
    /// a large mirror is written less often: one of 3 MB (10,000 runners) every 12 s
    std::size_t m_max_write_bytes_per_second = std::size_t{256} << 10;
    /// time before an unanswered request for the same mirror is repeated
    std::chrono::milliseconds m_request_retry_interval{400};
};

/// @brief not thread-safe: for the event loop's thread only
class persisted_mirrors
{
  public:
    /// All references must outlive this object.
    /// @param[in] directory  the role's own mirror of the ledger's directory, which watches the store
    /// @param[in] self       the sender named in messages to peers
    persisted_mirrors(async_http::asio::io_context& context, const RoleSettings& settings,
                      const PlatformFormats& formats, store::MetadataStore& store, wire::Transport& transport,
                      wire::Transport& bulk_transport, store::PrefixMirror& directory,
                      std::function<turn_ledger::Machine()> self, event_log::EventLog& log,
                      const persisted_mirrors_options& options = {});

    /// @brief loads the mirrors from disk
    void start();

    /// @brief handles a gateway's digest or a peer's request for changes
    void on_datagram(const std::string& payload);

    /// @brief applies changes received from a gateway
    void on_changes(const store::news_reply& reply);

    /// @brief writes at most one changed mirror to disk
    void tick();

  private:
    using instant = aggregation::instant;

    /// Persistence state of one mirror.
    struct persistence_state
    {
        /// the last change on disk
        std::uint64_t m_persisted_change = 0;
        instant m_next_write;
        std::optional<instant> m_requested_at;
    };

    void load(std::size_t mirror);
    void save(instant now, std::size_t mirror);
    std::string path(std::size_t mirror) const;
    void handle(instant now, const aggregation::digest& received);
    void handle(instant now, const store::news_request& request);
    /// ignores messages that are not meant for storage machines
    template <typename Other>
    void handle(instant /*now*/, const Other& /*other*/)
    {
    }

    const RoleSettings& m_settings;
    wire::Transport& m_transport;
    event_log::EventLog& m_log;
    persisted_mirrors_options m_options;
    /// never started: updated by peers only
    store::PrefixMirror m_configuration;
    store::PrefixMirror m_runners;
    store::PrefixMirror m_aggregators;
    mirror_list m_mirrors;
    std::array<persistence_state, aggregation::mirror_count> m_states;
    change_sender m_sender;
};

}  // namespace martenyard::roles
