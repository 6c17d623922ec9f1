// What is known of the layouts that peers read. Decision code: no I/O, no clock.
//
// A peer's layout is learned from what it sends, for as long as the connection to it lasts: its process
// can't change without breaking that. A peer that leaves requests unanswered is asked anew all the same,
// since what its former process sent may be read after the connection broke.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>

#include "wire/endpoint.h"
#include "wire/layout.h"

namespace martenyard::turn_ledger
{

/// @brief named knobs
struct peer_layouts_options
{
    /// a peer that didn't say what it is gets the next question after this time, and each further one after
    /// twice the time: a lost try of a ledger call is given up as soon
    std::chrono::milliseconds m_initial_ask_interval{200};
    /// so that a machine that stands still isn't met by the questions of a whole fleet when it goes on
    std::chrono::milliseconds m_max_ask_interval{3200};
    /// a request without any frame back for this long makes what is known doubtful: two tries of a call
    std::chrono::milliseconds m_unanswered_limit{400};
};

class peer_layouts
{
  public:
    using instant = std::chrono::steady_clock::time_point;

    explicit peer_layouts(const peer_layouts_options& options = {});

    /// @return the layout to write to the peer in, if that is known
    std::optional<wire::Layout> of(const wire::Endpoint& peer) const;

    /// @brief a request is about to be sent to the peer
    /// @return whether to ask it first what it reads
    bool on_request(instant now, const wire::Endpoint& peer);

    /// @brief a frame of the peer came
    /// @param[in] reads  the newest layout that it reads, if the frame tells
    /// @return whether that changed what is known
    bool on_frame_received(const wire::Endpoint& peer, std::optional<wire::Layout> reads);

    /// @brief the connection to the peer is gone, and maybe its process
    void on_connection_closed(const wire::Endpoint& peer);

    /// @return peers that are known to read less than this build writes
    std::size_t earlier_peers() const;

  private:
    struct peer
    {
        std::optional<wire::Layout> m_reads;
        /// what comes next replaces what is known, be it less
        bool m_stale = false;
        std::optional<instant> m_last_asked;
        /// to the next question
        std::chrono::milliseconds m_ask_interval{0};
        /// when the first of the requests was sent that nothing came back after
        std::optional<instant> m_unanswered_since;
    };

    peer_layouts_options m_options;
    std::map<wire::Endpoint, peer> m_peers;
};

}  // namespace martenyard::turn_ledger
