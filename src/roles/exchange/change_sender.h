// Sends peers the changes in this process's store mirrors that they lack.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "aggregation/messages.h"
#include "store/prefix_mirror.h"
#include "turn_ledger/messages.h"
#include "wire/transport.h"

namespace martenyard::roles
{

/// the mirrors whose changes are propagated, in the order of aggregation::mirror_revisions
using mirror_list = std::array<store::PrefixMirror*, aggregation::mirror_count>;

/// bytes of a copy that the system may hold for a connection; a link of 200 Mbit/s has fewer in flight
constexpr int bulk_send_buffer = 256 << 10;

/// @brief the outcome of @ref change_sender::send
enum class send_result
{
    queued,
    /// earlier bytes to the peer are unsent, most likely a copy that is under way
    pending,
    /// too many bytes to all peers are unsent
    no_room,
};

/// @return the revision of the last change of each mirror
aggregation::mirror_revisions last_revisions(const mirror_list& mirrors);

/// @brief not thread-safe: for the event loop's thread only
class change_sender
{
  public:
    /// All references must outlive the object.
    /// @param[in] bulk_transport  its own connections carry the changes of the runners, whose copies are
    ///                            large, so that the configuration doesn't wait behind one
    /// @param[in] self            returns the machine that is named as the sender
    change_sender(wire::Transport& transport, wire::Transport& bulk_transport, const mirror_list& mirrors,
                  std::function<turn_ledger::Machine()> self);

    /// @brief sends the changes after `from_revision`, unless earlier ones are unsent; the peer requests them
    ///        again
    /// @param[in] mirror  a valid index
    send_result send(const wire::Endpoint& to, std::size_t mirror, std::uint64_t from_revision);

  private:
    wire::Transport& m_transport;
    wire::Transport& m_bulk_transport;
    mirror_list m_mirrors;
    std::function<turn_ledger::Machine()> m_self;

    /// the last delta sent, encoded; many peers request the same one
    struct encoded_delta
    {
        std::size_t m_mirror = 0;
        std::uint64_t m_from_revision = 0;
        std::uint64_t m_to_revision = 0;
        std::string m_frame;
    };
    std::optional<encoded_delta> m_cached;
};

}  // namespace martenyard::roles
