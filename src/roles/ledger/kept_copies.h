// A storage machine's copies of the store's keys that gateways go by, on its disk.
//
// Gateways have no disk: when all of them start at once while the store is away, none knows a
// configuration, a runner or a storage machine. The gateways that speak for their zones tell its storage
// machines what changes; a process that knows nobody asks one of them (RoleSettings::seeds). A copy is
// as old as the last thing told before the outage: it carries the store's revisions, so that it never
// takes the place of a newer one, and who goes by it knows that the store has not confirmed it.
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

/// @brief named knobs
struct kept_copies_options
{
    /// between two writes of the same copy: one that changes each 0.15 s costs a sync or two a second
    std::chrono::milliseconds m_write_pause{500};
    /// a large copy is written less often: of 10,000 runners, 3 MB, each 12 s
    std::size_t m_written_bytes_per_second = std::size_t{256} << 10;
    /// before the next question for the same copy: its answer is on the way
    std::chrono::milliseconds m_ask_again{400};
};

/// @brief on the loop's thread only
class kept_copies
{
  public:
    /// All references must outlive the copies.
    /// @param[in] directory  the role's own copy of the ledger's directory, which follows the store itself
    /// @param[in] self       what peers are told the news come from
    kept_copies(async_http::asio::io_context& context, const RoleSettings& settings,
                const PlatformFormats& formats, store::MetadataStore& store, wire::Transport& transport,
                store::PrefixMirror& directory, std::function<turn_ledger::Machine()> self,
                event_log::EventLog& log, const kept_copies_options& options = {});

    /// @brief reads what the disk has
    void start();

    /// @brief a gateway told which changes it knows, or a process asks for what it lacks
    void on_datagram(const std::string& payload);

    /// @brief a gateway answered
    void on_news(const store::news_reply& reply);

    /// @brief writes what is due, one copy at a time
    void tick();

  private:
    using instant = aggregation::instant;

    /// Of one copy.
    struct upkeep
    {
        /// the last change that the disk has
        std::uint64_t m_written = 0;
        instant m_next_write;
        std::optional<instant> m_asked;
    };

    void read(std::size_t copy);
    void write(instant now, std::size_t copy);
    std::string path(std::size_t copy) const;
    void take(instant now, const aggregation::digest& told);
    void take(instant now, const store::news_request& request);
    /// nobody sends a storage machine anything else
    template <typename Other>
    void take(instant /*now*/, const Other& /*other*/)
    {
    }

    const RoleSettings& m_settings;
    wire::Transport& m_transport;
    event_log::EventLog& m_log;
    kept_copies_options m_options;
    /// these never ask the store
    store::PrefixMirror m_configuration;
    store::PrefixMirror m_runners;
    store::PrefixMirror m_aggregators;
    mirror_list m_copies;
    std::array<upkeep, aggregation::mirror_count> m_upkeep;
    change_sender m_sender;
};

}  // namespace martenyard::roles
