// Messages between gateways and aggregators. They are sent as datagrams: a lost one only delays
// propagation, since the next one replaces it.
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

/// configuration, runners, ledger directory, aggregators: in the same order on all gateways
constexpr std::size_t mirror_count = 4;
constexpr std::size_t configuration_mirror = 0;
constexpr std::size_t runners_mirror = 1;

/// the revision of the last known change of each mirror
using mirror_revisions = std::array<std::uint64_t, mirror_count>;

/// @brief a gateway and its internal address
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

/// @brief request counts of one runner: from one gateway, one zone or all zones
struct runner_load
{
    /// short id: a hash of the full runner id
    std::uint32_t m_runner = 0;
    /// requests in progress
    std::uint16_t m_active = 0;
    /// requests completed since the sender's last message; counts above 255 carry over to the next message
    std::uint8_t m_served = 0;
    /// requests of these that did not get a complete response
    std::uint8_t m_lost = 0;

    friend bool operator==(const runner_load&, const runner_load&) = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_runner, m_active, m_served, m_lost);
    }
};

/// @brief a runner has started to process this part of a prompt
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

/// @brief state of a gateway, sent to the aggregators of its zone
struct member_report
{
    contact m_from;
    mirror_revisions m_revisions{};
    /// the receiver is the sender's primary: the sender applies its full digests
    bool m_primary = false;
    /// most ledger groups do not reply to the sender
    bool m_ledger_unreachable = false;
    /// only runners with requests from the sender
    std::vector<runner_load> m_loads;
    std::vector<placement> m_placements;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_from, m_revisions, m_primary, m_ledger_unreachable, m_loads, m_placements);
    }
};

/// @brief totals of one zone, sent by its representative to other zones, or totals of all other zones,
///        relayed by the representative to the other aggregators of its zone
struct zone_summary
{
    contact m_from;
    mirror_revisions m_revisions{};
    /// the sender watches the store, and the last call succeeded
    bool m_store_reachable = false;
    /// number of gateways, and of those that do not reach the ledger
    std::uint32_t m_gateways = 0;
    std::uint32_t m_without_ledger = 0;
    std::vector<runner_load> m_loads;
    std::vector<placement> m_placements;
    /// a random sample of the gateways of the zone that reach the ledger
    std::vector<wire::Endpoint> m_with_ledger;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_from, m_revisions, m_store_reachable, m_gateways, m_without_ledger, m_loads, m_placements,
                m_with_ledger);
    }
};

/// @brief totals of all gateways, sent by an aggregator to the gateways of its zone
struct digest
{
    contact m_from;
    mirror_revisions m_revisions{};
    /// the sender watches the store and the last call succeeded, or another zone reaches the store
    bool m_store_reachable = false;
    /// includes loads and placements; a short digest only serves as a heartbeat with revisions and counts
    bool m_full = false;
    std::uint32_t m_gateways = 0;
    std::uint32_t m_without_ledger = 0;
    /// totals of all gateways, including the receiver
    std::vector<runner_load> m_loads;
    std::vector<placement> m_placements;
    /// a random sample of the gateways that reach the ledger
    std::vector<wire::Endpoint> m_with_ledger;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_from, m_revisions, m_store_reachable, m_full, m_gateways, m_without_ledger, m_loads,
                m_placements, m_with_ledger);
    }
};

/// @brief asks an aggregator when its configuration was last confirmed to be the newest
struct confirmation_question
{
    /// address for the reply
    wire::Endpoint m_from;
    /// returned in the reply; encodes the time at which the request was sent
    std::uint64_t m_timestamp = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_from, m_timestamp);
    }
};

/// @brief reply to a @ref confirmation_question
struct confirmation_answer
{
    std::uint64_t m_timestamp = 0;
    /// the revision of the sender's configuration
    std::uint64_t m_revision = 0;
    /// time since that revision was last confirmed to be the newest
    std::uint32_t m_age_ms = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_timestamp, m_revision, m_age_ms);
    }
};

/// @brief a runner has ended under a request: for some time, gateways ask the ledger about the requests of
///        its service
struct runner_end_notice
{
    std::string m_service;
    /// number of aggregators that have passed the notice on
    std::uint8_t m_hops = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_service, m_hops);
    }
};

/// @brief all messages that gateways send as datagrams
using datagram = std::variant<member_report, zone_summary, digest, store::news_request, confirmation_question,
                              confirmation_answer, runner_end_notice>;

}  // namespace martenyard::aggregation
