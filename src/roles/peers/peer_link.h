// Frames between this process and gateways and storage machines of any build: each gets messages in a
// layout that it reads.
//
// A process whose build isn't known is asked who it is in all the ways that some build answers: by a
// greeting, and by a probe of the ledger in each layout that has no mark. What it must be told meanwhile
// waits.
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

/// @brief named knobs
struct peer_link_options
{
    turn_ledger::peer_layouts_options m_layouts;
    /// requests that wait for their peers' layouts, as bytes; beyond it more are dropped, and their callers
    /// try elsewhere. A kept turn may have several megabytes, a process of the least kind has 60.
    std::size_t m_most_waiting_bytes = std::size_t{8} << 20U;
    /// a request that waited longer is dropped: its caller has asked somebody else by then
    std::chrono::milliseconds m_longest_wait{400};
    /// between two lines about frames that could not be read
    std::chrono::milliseconds m_line_pause{1000};
};

struct peer_link_stats
{
    std::uint64_t m_unreadable = 0;
    /// requests dropped before the peer's layout was known
    std::uint64_t m_dropped = 0;
    std::uint64_t m_greetings = 0;
};

/// @brief on the loop's thread only
class peer_link
{
  public:
    using instant = std::chrono::steady_clock::time_point;
    /// @brief told of a request of this number whose operation the peer at the endpoint does not know
    using unsupported_handler = std::function<void(const wire::Endpoint&, std::uint64_t request)>;

    /// @param[in] self  as messages name their sender
    /// All references must outlive the link.
    peer_link(wire::Transport& transport, std::function<turn_ledger::Machine()> self,
              event_log::EventLog& log, unsupported_handler on_unsupported = {},
              const peer_link_options& options = {});

    /// @brief sends a message that the peer answers
    void ask(const wire::Endpoint& to, turn_ledger::Body request);

    /// @brief sends an answer in the layout of the request
    void answer(const wire::Endpoint& to, turn_ledger::Body body, wire::Layout layout);

    /// @brief sends a message whose bytes are the same in all layouts
    void tell(const wire::Endpoint& to, turn_ledger::Body body);

    /// @return the message that a frame's payload holds, if it is one for the owner
    std::optional<turn_ledger::decoded_message> read(const std::string& payload);

    const peer_link_stats& stats() const
    {
        return m_stats;
    }
    /// @return peers that are known to read less than this build writes
    std::size_t earlier_peers() const
    {
        return m_layouts.earlier_peers();
    }

  private:
    struct waiting_request
    {
        instant m_since;
        std::size_t m_bytes = 0;
        turn_ledger::Body m_body;
    };

    void hold(instant now, const wire::Endpoint& to, turn_ledger::Body request);
    /// @return the peer's waiting requests but for those that waited too long
    std::vector<waiting_request> take_waiting(instant now, const wire::Endpoint& peer);

    void send(const wire::Endpoint& to, turn_ledger::Body body, wire::Layout layout);
    void send_request(const wire::Endpoint& to, turn_ledger::Body request, wire::Layout layout);
    void greet(const wire::Endpoint& to, bool wants_answer);
    void probe(const wire::Endpoint& to);
    void on_greeting(const wire::Greeting& greeting, std::uint16_t newest);
    void note_heard(const wire::Endpoint& from, const std::string& name, std::optional<wire::Layout> reads);
    void send_waiting(const wire::Endpoint& to, wire::Layout layout);
    void on_closed(const wire::Endpoint& peer);
    void tell_unreadable(const turn_ledger::unreadable_frame& told, std::size_t bytes);

    wire::Transport& m_transport;
    std::function<turn_ledger::Machine()> m_self;
    event_log::EventLog& m_log;
    unsupported_handler m_on_unsupported;
    peer_link_options m_options;
    turn_ledger::peer_layouts m_layouts;
    std::map<wire::Endpoint, std::vector<waiting_request>> m_waiting;
    std::size_t m_waiting_bytes = 0;
    peer_link_stats m_stats;
    std::optional<instant> m_last_line;
};

}  // namespace martenyard::roles
