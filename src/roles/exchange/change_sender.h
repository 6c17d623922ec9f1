// Sends peers what the copies of the store's keys here have and theirs lack.
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

/// the copies that processes tell each other of, in the order of aggregation::known_changes
using mirror_list = std::array<store::PrefixMirror*, aggregation::mirror_count>;

/// @return the revision of the last change known of each copy
aggregation::mirror_revisions last_revisions(const mirror_list& mirrors);

/// @brief on the loop's thread only
class change_sender
{
  public:
    /// @param[in] self  what peers are told the news come from
    /// All references must outlive the sender.
    change_sender(wire::Transport& transport, const mirror_list& mirrors,
                  std::function<turn_ledger::Machine()> self);

    /// @brief sends what changed after `since`; nothing while the peer has not taken what was sent before,
    ///        since it asks again
    /// @param[in] copy  a valid index
    void send(const wire::Endpoint& to, std::size_t mirror, std::uint64_t from_revision);

  private:
    wire::Transport& m_transport;
    mirror_list m_mirrors;
    std::function<turn_ledger::Machine()> m_self;

    /// the last changes sent, encoded: many peers lack the same
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
