// Requests that were lost at a runner of which it is not known yet whether its process ended. Decision logic:
// no I/O and no clock.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "forwarding/crashes/request_fingerprint.h"
#include "turn_ledger/types.h"

namespace martenyard::forwarding
{

/// @brief a request that may be suspect, and where its records are
struct suspect
{
    request_fingerprint m_fingerprint;
    /// of the ledger, with the records of the runners that ended under the request
    ProgramId m_account;
    /// the program whose ledger group has the account; the account itself outside of programs
    ProgramId m_home;
};

/// @brief a request that was lost at a runner
struct lost_request
{
    using instant = std::chrono::steady_clock::time_point;

    suspect m_suspect;
    /// the id of the client's try, for the log
    std::string m_request;
    /// of the loss; empty if it is not counted as the runner's end
    std::optional<turn_ledger::TurnId> m_record;
    instant m_lost_at;
};

/// @brief keeps losses until the runner is known to serve on or to have ended
///
/// A counted loss is cleared when the runner serves on; one that isn't counted is when the runner has ended.
class loss_watch
{
  public:
    using instant = std::chrono::steady_clock::time_point;

    /// @param[in] lifetime  a loss without news of its runner is dropped after this time
    /// @param[in] capacity  maximum number of losses; the oldest ones are dropped
    explicit loss_watch(std::chrono::seconds lifetime = std::chrono::seconds(30),
                        std::size_t capacity = 4096);

    void add(const std::string& runner, lost_request loss);

    /// @param[in] sent_at  when the request was sent that the runner has answered
    /// @return the counted losses that happened before; uncounted ones are dropped
    std::vector<lost_request> take_cleared(const std::string& runner, instant sent_at);

    /// @return the losses that are not counted yet, of a runner that has ended
    std::vector<lost_request> take_uncounted(const std::string& runner);

    /// @return the runners with open losses for which `predicate` holds
    std::vector<std::string> runners_where(const std::function<bool(const std::string&)>& predicate) const;

    void expire(instant now);

    std::size_t size() const
    {
        return m_size;
    }

  private:
    void drop_oldest();

    std::chrono::seconds m_lifetime;
    std::size_t m_capacity;
    std::size_t m_size = 0;
    std::map<std::string, std::vector<lost_request>> m_losses;
};

}  // namespace martenyard::forwarding
