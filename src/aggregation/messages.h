// What gateways tell the aggregators of their zone, and what these tell them and each other. All of it
// travels in datagrams; losing one costs speed only, since the next one replaces it.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "store/relay/mirror_delta.h"
#include "wire/endpoint.h"

namespace martenyard::aggregation
{

using instant = std::chrono::steady_clock::time_point;

/// configuration, runners, the ledger's directory, aggregators: the same order at all gateways
constexpr std::size_t mirror_count = 4;

/// the revision of the last change known of each mirror's prefix
using mirror_revisions = std::array<std::uint64_t, mirror_count>;

/// @brief a gateway, and where its peers reach it
struct contact
{
    std::string m_name;
    std::string m_zone;
    wire::Endpoint m_endpoint;

    friend bool operator==(const contact&, const contact&) = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_name, m_zone, m_endpoint);
    }
};

/// @brief requests at one runner: of one gateway, of a zone, or of all zones
struct runner_load
{
    /// short id, a hash of the runner's own
    std::uint32_t m_runner = 0;
    /// under way now
    std::uint16_t m_active = 0;
    /// ended since the sender's last message; small numbers, the rest comes with the next
    std::uint8_t m_served = 0;
    /// of these, sent without a whole answer
    std::uint8_t m_lost = 0;

    friend bool operator==(const runner_load&, const runner_load&) = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_runner, m_active, m_served, m_lost);
    }
};

/// @brief a runner reads this part of a prompt now
struct placement
{
    std::uint64_t m_part = 0;
    std::uint32_t m_tokens = 0;
    /// short id
    std::uint32_t m_runner = 0;

    friend bool operator==(const placement&, const placement&) = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_part, m_tokens, m_runner);
    }
};

/// @brief what a gateway is and does: told to its zone's aggregators
struct member_report
{
    contact m_from;
    mirror_revisions m_revisions{};
    /// the receiver is the one whose full digests the sender goes by
    bool m_primary = false;
    /// most groups of the ledger don't answer the sender
    bool m_ledger_unreachable = false;
    /// runners without a request of the sender are left out
    std::vector<runner_load> m_loads;
    std::vector<placement> m_placements;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_from, m_revisions, m_primary, m_ledger_unreachable, m_loads, m_placements);
    }
};

/// @brief sums: one zone's, told by its first aggregator to other zones'; or all other zones', told on by
///        an aggregator to the others of its zone
struct zone_summary
{
    contact m_from;
    mirror_revisions m_revisions{};
    /// the sender watches the store, and the store answered last
    bool m_store_reachable = false;
    /// gateways of the zone, and those among them without the ledger
    std::uint32_t m_gateways = 0;
    std::uint32_t m_without_ledger = 0;
    std::vector<runner_load> m_loads;
    std::vector<placement> m_placements;
    /// some gateways of the zone that reach the ledger; others with each summary
    std::vector<wire::Endpoint> m_with_ledger;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_from, m_revisions, m_store_reachable, m_gateways, m_without_ledger, m_loads, m_placements,
                m_with_ledger);
    }
};

/// @brief what an aggregator knows of all gateways: told to its zone's
struct digest
{
    contact m_from;
    mirror_revisions m_revisions{};
    /// the sender watches the store, and the store answered last
    bool m_store_reachable = false;
    /// with loads and placements; without, it only tells that the sender is there and what it knows
    bool m_full = false;
    std::uint32_t m_gateways = 0;
    std::uint32_t m_without_ledger = 0;
    /// of all gateways, the receiver's own included
    std::vector<runner_load> m_loads;
    std::vector<placement> m_placements;
    /// some gateways that reach the ledger; others with each digest
    std::vector<wire::Endpoint> m_with_ledger;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_from, m_revisions, m_store_reachable, m_full, m_gateways, m_without_ledger, m_loads,
                m_placements, m_with_ledger);
    }
};

/// @brief asks an aggregator when it knew its configuration to be the newest
struct confirmation_question
{
    /// where the answer goes
    wire::Endpoint m_from;
    /// comes back with the answer, and tells the asker when it asked
    std::uint64_t m_timestamp = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_from, m_timestamp);
    }
};

/// @brief the answer
struct confirmation_answer
{
    std::uint64_t m_timestamp = 0;
    /// the revision of the configuration that is in force at the sender
    std::uint64_t m_revision = 0;
    /// how long ago that one was known to be the newest
    std::uint32_t m_age_ms = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_timestamp, m_revision, m_age_ms);
    }
};

/// @brief all that gateways send each other as datagrams
using datagram = std::variant<member_report, zone_summary, digest, store::news_request, confirmation_question,
                              confirmation_answer>;

}  // namespace martenyard::aggregation
