// Changes that one mirror of the store's keys sends to another.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace martenyard::store
{

/// @brief a key with the value of its last write
struct relayed_item
{
    std::string m_key;
    std::string m_value;
    std::uint64_t m_revision = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_key, m_value, m_revision);
    }
};

/// @brief a key that was removed
struct relayed_removal
{
    std::string m_key;
    std::uint64_t m_revision = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_key, m_revision);
    }
};

/// @brief all changes of a prefix after the requester's last one
struct mirror_delta
{
    /// revision of the last change that the sender knows
    std::uint64_t m_last_change = 0;
    /// the items are complete; removals that the sender no longer remembers are not listed
    bool m_full = false;
    std::vector<relayed_item> m_items;
    std::vector<relayed_removal> m_removals;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_last_change, m_full, m_items, m_removals);
    }
};

/// @brief requests the changes after the requester's last one from a peer
struct news_request
{
    /// index of the mirror; all gateways use the same order
    std::uint8_t m_mirror = 0;
    std::uint64_t m_last_change = 0;
    /// address that the reply is sent to
    std::string m_address;
    std::uint16_t m_port = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_mirror, m_last_change, m_address, m_port);
    }
};

/// @brief reply to a news_request
struct news_reply
{
    std::uint8_t m_mirror = 0;
    mirror_delta m_delta;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_mirror, m_delta);
    }
};

}  // namespace martenyard::store
