// The requests under which runners ended, as known to one gateway. Decision logic: no I/O and no clock.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>

#include "forwarding/crashes/request_fingerprint.h"
#include "turn_ledger/crashes/crash_record.h"

namespace martenyard::forwarding
{

/// @brief tuning parameters
struct suspect_options
{
    /// maximum number of requests; further ones replace those with the fewest records
    std::size_t m_max_requests = 4096;
    /// a request is forgotten this long after its last change: no client tries one again that late
    std::chrono::seconds m_lifetime{60};
};

/// @brief the runners that ended under each suspect request; bounded in number and time
class suspect_table
{
  public:
    using instant = std::chrono::steady_clock::time_point;

    explicit suspect_table(const suspect_options& options = {});

    /// @brief records that a runner ended under the request, or may have
    void add(instant now, const request_fingerprint& request, const turn_ledger::TurnId& record);

    /// @brief records the same, although the ledger is not known to have the record
    void add_uncommitted(instant now, const request_fingerprint& request, const turn_ledger::TurnId& record);

    /// @brief replaces the committed records by those of the ledger, so that cleared ones are removed
    void replace(instant now, const request_fingerprint& request, turn_ledger::crash_records records);

    /// @brief records that the runner did not end under the request
    void clear(const request_fingerprint& request, const turn_ledger::TurnId& record);

    /// @brief forgets a request: it was answered
    void forget(const request_fingerprint& request);

    /// @return the records of the runners that ended under the request; empty if it is not suspect
    turn_ledger::crash_records records(instant now, const request_fingerprint& request) const;

    /// @return the number of suspect requests, expired ones that were not erased yet included
    std::size_t size() const
    {
        return m_requests.size();
    }

  private:
    struct entry
    {
        turn_ledger::crash_records m_committed;
        /// records that the ledger may not have
        turn_ledger::crash_records m_uncommitted;
        instant m_expires;

        std::size_t size() const
        {
            return m_committed.size() + m_uncommitted.size();
        }
    };

    /// @return the request's entry without expired records, added if there is none
    entry& find_or_add(instant now, const request_fingerprint& request);
    void make_room(instant now);

    suspect_options m_options;
    std::map<request_fingerprint, entry> m_requests;
};

}  // namespace martenyard::forwarding
