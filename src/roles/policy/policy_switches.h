// Which of the mechanisms that decide are at work. All are, but for trials of what each is worth.
#pragma once

#include <set>
#include <string>

#include "absl/strings/string_view.h"
#include "base/errors.h"

namespace martenyard::roles
{

/// @brief a mechanism that can be switched off
enum class mechanism
{
    /// runners of another zone cost more
    zone_cost,
    /// a shared piece of prompts has a home runner
    home,
    /// runners that keep more of the prompt cost less
    kept_prompts,
    /// requests that wait at a runner cost time
    waiting_cost,
    /// requests that run at a runner cost time
    active_cost,
    /// runners that lose requests cost more, the more a loss costs
    loss_rates,
    /// runners that failed twice in a row are used last for a while
    avoidance,
    /// other gateways' requests count
    peer_loads,
    /// the ledger tells where the turn before ran
    turn_places,
    /// a repeatable request without an answer goes elsewhere after a while
    silence_limit,
    /// gateways keep chains that they have seen
    chain_cache,
    /// chains are read from any replica
    replica_chains,
    /// a gateway that alone loses the ledger isn't ready
    readiness,
    /// a gateway that loses the ledger asks it through a peer
    relays,
    /// a few gateways watch the store for all
    peer_news,
    /// reservations are refused while a group answers nothing
    silence_refusal,
    /// a leader refuses reservations while the oldest waits too long
    overload_refusal,
    /// new programs wait while the engines are full
    program_admission,
    /// leadership goes back to the machine that should have it
    hand_back,
};

/// @brief why a list of mechanisms can't be read
struct policy_error
{
    std::string m_detail;
};

/// @brief the mechanisms that are switched off
class policy_switches
{
  public:
    /// all at work
    policy_switches() = default;

    /// @param[in] off  names of mechanisms, with commas between them; may be empty
    /// Errors: policy_error names the unknown one and lists all.
    static Result<policy_switches> parse(absl::string_view off);

    /// @return whether the mechanism is at work
    bool on(mechanism which) const;

    /// @return the names of those that are switched off, with commas between them
    std::string off_names() const;

  private:
    std::set<mechanism> m_off;
};

}  // namespace martenyard::roles
