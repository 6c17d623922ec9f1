// What one copy of the store's keys has that another may lack.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace martenyard::store
{

/// @brief a key as it was last written
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

/// @brief all changes of a prefix after the asker's last one
struct mirror_delta
{
    /// revision of the last change that the sender knows
    std::uint64_t m_last_change = 0;
    /// the items are all there are: what the sender removed long ago it no longer knows
    bool m_full = false;
    std::vector<relayed_item> m_items;
    std::vector<relayed_removal> m_removals;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_last_change, m_full, m_items, m_removals);
    }
};

/// @brief asks a peer for what it knows beyond the asker's last change
struct news_request
{
    /// which of the mirrors, by the order that all gateways have them in
    std::uint8_t m_mirror = 0;
    std::uint64_t m_last_change = 0;
    /// where the answer goes
    std::string m_address;
    std::uint16_t m_port = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_mirror, m_last_change, m_address, m_port);
    }
};

/// @brief a peer's answer
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
