// Tracks the newest layout that each peer reads. Decision logic: no I/O, no clock.
//
// A peer's layout is learned from its frames and is valid while the connection lasts, since its process can't
// be replaced without closing it. A peer that does not reply to requests is asked again nevertheless: frames
// of its previous process may be processed after the connection was closed.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>

#include "wire/endpoint.h"
#include "wire/layout.h"

namespace martenyard::turn_ledger
{

/// @brief tuning parameters
struct peer_layouts_options
{
    /// time until a peer that has not reported its layout is asked again; doubled with each question. A lost
    /// attempt of a ledger call is given up after the same time.
    std::chrono::milliseconds m_initial_ask_interval{200};
    /// maximum of that time; limits the questions of all peers that pile up at a paused machine
    std::chrono::milliseconds m_max_ask_interval{3200};
    /// a request without any frame in reply for this long makes the known layout stale
    std::chrono::milliseconds m_unanswered_limit{400};
};

class peer_layouts
{
  public:
    using instant = std::chrono::steady_clock::time_point;

    explicit peer_layouts(const peer_layouts_options& options = {});

    /// @return the layout to use for the peer, if it is known
    std::optional<wire::Layout> of(const wire::Endpoint& peer) const;

    /// @brief a request is about to be sent to the peer
    /// @return whether to ask it for its layout first
    bool on_request(instant now, const wire::Endpoint& peer);

    /// @brief a frame of the peer was received
    /// @param[in] reads  the newest layout that it reads, if the frame tells
    /// @return whether the known layout changed
    bool on_frame_received(const wire::Endpoint& peer, std::optional<wire::Layout> reads);

    /// @brief the connection to the peer was closed, possibly because its process ended
    void on_connection_closed(const wire::Endpoint& peer);

    /// @return the number of peers known to read only layouts older than this build's newest
    std::size_t earlier_peers() const;

  private:
    struct peer
    {
        std::optional<wire::Layout> m_reads;
        /// the next report replaces the known layout, even with an older one
        bool m_stale = false;
        std::optional<instant> m_last_asked;
        /// time until the next question
        std::chrono::milliseconds m_ask_interval{0};
        /// when the first request without any frame in reply was sent
        std::optional<instant> m_unanswered_since;
    };

    peer_layouts_options m_options;
    std::map<wire::Endpoint, peer> m_peers;
};

}  // namespace martenyard::turn_ledger
