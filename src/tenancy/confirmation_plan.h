// When a gateway asks whether its configuration is still the newest, and whom. Decision code: no I/O, no
// clock.
//
// One aggregator of each zone asks the store, about five times within the bound. The other gateways ask the
// aggregators, so the store's calls grow with the zones, not with the gateways. Who gets no answer for a
// while asks more widely: other zones' aggregators first, then the store itself.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "tenancy/configuration_lease.h"

namespace martenyard::tenancy
{

/// @brief a gateway's part among those of its zone
enum class zone_part
{
    /// the aggregator that watches the store for its zone
    speaker,
    /// another aggregator
    aggregator,
    member,
};

/// @brief what a gateway sees
struct confirmation_view
{
    instant m_now;
    zone_part m_part = zone_part::member;
    /// when the configuration in force was known to be the newest
    std::optional<instant> m_confirmed;
};

/// @brief whom to ask now
struct confirmation_questions
{
    bool m_store = false;
    /// an aggregator of the own zone
    bool m_own_zone = false;
    /// all of the own zone's, and some of other zones'
    bool m_widely = false;
};

/// @brief named knobs, as shares of the lease's length: five questions within it leave room for the loss of
///        three
struct confirmation_options
{
    /// age of the last confirmation from which on the speaker asks the store. Each call is paid for
    double m_ask_age = 0.2;
    /// and from which on the others ask their aggregators, which costs next to nothing: what they have left
    /// when the store goes away is as much longer
    double m_peer_ask_age = 0.1;
    /// between two questions to peers, or to the store while it doesn't answer
    double m_ask_again = 0.1;
    /// peers of other zones are asked too from this age on
    double m_widely_age = 0.4;
    /// who doesn't speak for its zone asks the store itself from these ages on
    double m_aggregator_store_age = 0.5;
    double m_member_store_age = 0.65;
    /// members begin one after the other over this share
    double m_member_spread = 0.2;
    /// between a member's questions to the store while aggregators answer that they know no better: the
    /// store is most likely away for all
    double m_member_store_again = 0.8;
    /// the longest pause between questions to a store that doesn't answer
    double m_longest_pause = 0.4;
};

class confirmation_plan
{
  public:
    /// @param[in] length  of the lease
    /// @param[in] spread  where this gateway stands among those that begin one after the other, 0 to 1
    confirmation_plan(std::chrono::milliseconds length, double spread,
                      const confirmation_options& options = {});

    /// @return whom to ask now; these count as asked
    confirmation_questions due(const confirmation_view& seen);

    /// @brief the store answered, or did not
    void note_store(bool answered);

    /// @brief the store answers others of this process's calls again: pauses that its silence made end,
    ///        else keys stay closed for as long as the last of them although the store is back
    void note_store_back();

    /// @brief an aggregator answered, whatever it knows
    void note_peer(instant now);

  private:
    std::chrono::nanoseconds share(double part) const;
    bool store_is_due(const confirmation_view& seen, std::chrono::nanoseconds age);
    std::chrono::nanoseconds store_age(zone_part part) const;
    std::chrono::nanoseconds store_pause(const confirmation_view& seen) const;

    std::chrono::milliseconds m_length;
    double m_spread;
    confirmation_options m_options;
    std::optional<instant> m_first_look;
    std::optional<instant> m_store_asked;
    std::optional<instant> m_peers_asked;
    std::optional<instant> m_peer_heard;
    /// questions in a row that the store did not answer
    int m_unanswered = 0;
};

}  // namespace martenyard::tenancy
