// Message link to gateways and storage machines of any build: each peer gets messages in a wire layout
// that it can read.
//
// A peer of unknown build is sent a greeting, and for builds without greetings a ledger probe in each
// unmarked layout. Requests to it are queued until its layout is known.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "event_log/event_log.h"
#include "turn_ledger/frames/frame_codec.h"
#include "turn_ledger/frames/peer_layouts.h"
#include "wire/transport.h"

namespace martenyard::roles
{

/// @brief tuning parameters
struct peer_link_options
{
    turn_ledger::peer_layouts_options m_layouts;
    /// limit of the queued requests of all peers; requests beyond it are dropped, and their callers retry
    /// with other peers. A single turn may have several MB, the smallest process has 60 MB.
    std::size_t m_max_pending_bytes = std::size_t{8} << 20U;
    /// a request queued for longer is dropped: its caller has tried another peer by then
    std::chrono::milliseconds m_max_pending_age{400};
    /// minimum time between two log lines about unreadable frames
    std::chrono::milliseconds m_min_log_interval{1000};
};

struct peer_link_stats
{
    std::uint64_t m_unreadable = 0;
    /// requests dropped before the peer's layout was known
    std::uint64_t m_dropped = 0;
    std::uint64_t m_greetings_sent = 0;
};

/// @brief not thread-safe: for the event loop's thread only
class peer_link
{
  public:
    using instant = std::chrono::steady_clock::time_point;
    /// @brief called with the number of a request whose operation the peer does not support
    using unsupported_handler = std::function<void(const wire::Endpoint&, std::uint64_t request)>;

    /// All references must outlive the link.
    /// @param[in] self  returns the sender named in messages
    peer_link(wire::Transport& transport, std::function<turn_ledger::Machine()> self,
              event_log::EventLog& log, unsupported_handler on_unsupported = {},
              const peer_link_options& options = {});

    /// @brief sends a request, or queues it until the peer's layout is known
    void send_request(const wire::Endpoint& to, turn_ledger::Body request);

    /// @brief sends a reply in the layout of the request
    void send_reply(const wire::Endpoint& to, turn_ledger::Body body, wire::Layout layout);

    /// @brief sends a message whose bytes are the same in all layouts
    void send_message(const wire::Endpoint& to, turn_ledger::Body body);

    /// @return the message in the payload; nothing for greetings and unreadable frames
    std::optional<turn_ledger::decoded_message> read(const std::string& payload);

    const peer_link_stats& stats() const
    {
        return m_stats;
    }
    /// @return the number of peers known to read only earlier layouts
    std::size_t earlier_peers() const
    {
        return m_layouts.earlier_peers();
    }

  private:
    struct pending_request
    {
        instant m_queued_at;
        std::size_t m_bytes = 0;
        turn_ledger::Body m_body;
    };

    void enqueue(instant now, const wire::Endpoint& to, turn_ledger::Body request);
    /// @return the peer's queued requests without the expired ones, which are dropped
    std::vector<pending_request> take_pending(instant now, const wire::Endpoint& peer);

    void send(const wire::Endpoint& to, turn_ledger::Body body, wire::Layout layout);
    void send_request_in_layout(const wire::Endpoint& to, turn_ledger::Body request, wire::Layout layout);
    void send_greeting(const wire::Endpoint& to, bool wants_reply);
    void send_probes(const wire::Endpoint& to);
    void on_greeting(const wire::Greeting& greeting, std::uint16_t newest);
    void on_frame_received(const wire::Endpoint& from, const std::string& name,
                           std::optional<wire::Layout> reads);
    void send_pending(const wire::Endpoint& to, wire::Layout layout);
    void on_closed(const wire::Endpoint& peer);
    void log_unreadable(const turn_ledger::unreadable_frame& details, std::size_t bytes);

    wire::Transport& m_transport;
    std::function<turn_ledger::Machine()> m_self;
    event_log::EventLog& m_log;
    unsupported_handler m_on_unsupported;
    peer_link_options m_options;
    turn_ledger::peer_layouts m_layouts;
    std::map<wire::Endpoint, std::vector<pending_request>> m_pending;
    std::size_t m_pending_bytes = 0;
    peer_link_stats m_stats;
    std::optional<instant> m_last_logged;
};

}  // namespace martenyard::roles
