// Which gateways watch the store, and when one asks a peer for news. Decision code: no I/O, no clock.
//
// Every gateway tells its peers, with its load reports, the last change that it knows of each prefix.
// A gateway that the store turns away, or that has just started while the store is down, so learns from
// its peers that it is behind, and asks one. The same lets most gateways of a large zone leave the
// watching to a few: the store's calls then grow with the zones and not with the gateways.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "wire/endpoint.h"

namespace martenyard::store
{

/// configuration, runners, directory: the same order at all gateways
constexpr std::size_t mirror_count = 3;

/// the last change known of each mirror's prefix
using known_changes = std::array<std::uint64_t, mirror_count>;

using instant = std::chrono::steady_clock::time_point;

/// @brief what a gateway tells of itself with each load report
struct news_digest
{
    std::string m_zone;
    wire::Endpoint m_endpoint;
    known_changes m_changes{};
    /// it watches the store, and the store answered last
    bool m_in_contact = false;
    /// most groups of the ledger don't answer it
    bool m_ledger_silent = false;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_zone, m_endpoint, m_changes, m_in_contact, m_ledger_silent);
    }
};

/// @brief named knobs
struct peer_news_options
{
    /// gateways of a zone that watch the store
    std::size_t m_watchers = 3;
    /// while no peer is in contact with the store, as many more watch after each such time: those that
    /// watch may be the ones that it turns away
    std::chrono::milliseconds m_widening{800};
    /// a peer silent for this long counts as gone
    std::chrono::milliseconds m_peer_lifetime{1600};
    /// a watching gateway that is behind waits this long for its own watch
    std::chrono::milliseconds m_own_watch_patience{400};
    /// before the same news is asked for again
    std::chrono::milliseconds m_ask_pause{150};
};

/// @brief one thing to ask for
struct news_question
{
    std::size_t m_mirror = 0;
    wire::Endpoint m_peer;
};

/// @brief what a gateway's peers know, and what follows from it
class peer_news
{
  public:
    peer_news(std::string self, std::string zone, const peer_news_options& options = {});

    /// @brief a peer told what it knows
    /// @param[in] peer  its name
    void take(instant now, const std::string& peer, const news_digest& digest);

    /// @return whether this gateway should watch the store itself: it is one of its zone's first, and
    ///         the longer no peer that is in contact with the store was heard of, the more do
    bool should_watch(instant now);

    /// @return whether some peer in contact with the store was heard of lately
    bool peer_in_contact(instant now) const;

    /// @return how many peers said lately that the ledger is silent for them
    std::size_t peers_without_ledger(instant now) const;

    /// @return up to `most` peers that reach the ledger, near ones first; other gateways choose others
    std::vector<wire::Endpoint> peers_with_ledger(instant now, std::size_t most) const;

    /// @param[in] own       the last changes that this gateway knows
    /// @param[in] watching  whether it watches the store itself
    /// @return the question that is due for a mirror, if any
    std::optional<news_question> next_question(instant now, std::size_t mirror, std::uint64_t own,
                                               bool watching);

  private:
    struct heard_peer
    {
        instant m_at;
        news_digest m_digest;
    };

    /// Since when a mirror is behind, and when it was last asked for.
    struct lag
    {
        std::optional<instant> m_since;
        std::optional<instant> m_asked;
        std::size_t m_turn = 0;
    };

    bool is_live(instant now, const heard_peer& peer) const;

    std::string m_self;
    std::string m_zone;
    peer_news_options m_options;
    std::map<std::string, heard_peer> m_peers;
    /// since when no peer in contact with the store was heard of
    std::optional<instant> m_out_of_contact_since;
    std::array<lag, mirror_count> m_lags;
};

}  // namespace martenyard::store
