// Tries of client requests whose reservations are not settled. Decision logic: no I/O, no clock.
//
// A gateway that is killed together with the first runner that ends under a request leaves no record of the
// end, but the reservation of that try stays unsettled. The table is kept in memory by the leader that
// committed the reservations; a new leader begins with an empty one.
#pragma once

#include <chrono>
#include <cstddef>
#include <set>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "turn_ledger/types.h"

namespace martenyard::turn_ledger
{

/// @brief tuning parameters
struct unsettled_tries_options
{
    /// tries in the table; further ones are not recorded
    std::size_t m_max_tries = 4096;
    /// a try is forgotten after this time, as are the crash records of its request
    std::chrono::seconds m_lifetime{75};
    /// time between removals of expired tries, each of which scans the table
    std::chrono::milliseconds m_expiry_interval{1000};
};

class unsettled_tries
{
  public:
    using instant = std::chrono::steady_clock::time_point;

    explicit unsettled_tries(const unsettled_tries_options& options = {});

    /// @brief removes all tries, since another leader has committed reservations until now
    void reset();

    /// @brief a reservation of a try was committed
    /// @param[in] request  the account with the crash records of the try's request
    void add(instant now, const ProgramId& request, const TurnId& reservation);

    /// @brief a reservation was settled; it need not be known here
    void settle(const TurnId& reservation);

    /// @param[in] own      the reservation of the try that asks, which is not counted
    /// @param[in] records  the crash records of the request; tries that have one are not counted
    /// @return the number of tries under which a runner may have ended without a record
    std::size_t count(const ProgramId& request, const TurnId& own, const std::vector<TurnId>& records) const;

    std::size_t size() const
    {
        return m_tries.size();
    }

  private:
    struct unsettled_try
    {
        ProgramId m_request;
        instant m_added;
    };

    void expire(instant now);

    unsettled_tries_options m_options;
    absl::flat_hash_map<TurnId, unsettled_try> m_tries;
    absl::flat_hash_map<ProgramId, std::set<TurnId>> m_reservations;
    instant m_expired_at;
};

}  // namespace martenyard::turn_ledger
