// Whether this gateway should get new clients. Decision code: no I/O, no clock.
//
// A gateway that no longer reaches the turn ledger refuses every turn, while its neighbours serve them.
// It says so, and its clients go elsewhere. It doesn't say so when the others don't reach the ledger
// either: then the fault is the ledger's, and sending clients around would help nobody.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

namespace martenyard::roles
{

/// @brief named knobs
struct readiness_options
{
    /// a group of the ledger that answered nothing for this long is silent, and peers are told so
    std::chrono::milliseconds m_silent_after{450};
    /// silent for this long: the gateway isn't ready any more
    std::chrono::milliseconds m_lost_after{800};
    /// the ledger answers again for this long: the gateway is ready again
    std::chrono::milliseconds m_regained_after{500};
};

/// @brief what a gateway sees of the ledger and hears of its peers
struct readiness_view
{
    using instant = std::chrono::steady_clock::time_point;

    instant m_now;
    /// groups of the ledger that are asked whether they are there
    std::size_t m_groups = 0;
    /// of them, those silent for @ref readiness_options::m_silent_after
    std::size_t m_silent_groups = 0;
    /// other gateways that are known of
    std::size_t m_peers = 0;
    /// of them, those that said lately that the ledger is silent for them too
    std::size_t m_peers_without_ledger = 0;
};

/// @brief turns views, one after the other, into ready or not
class readiness
{
  public:
    explicit readiness(const readiness_options& options = {});

    /// @brief takes what is seen now
    /// @return whether the gateway should get new clients
    bool judge(const readiness_view& view);

    /// @return whether most of the ledger is silent for this gateway: what its peers are told
    bool ledger_silent() const;

    /// @return whether the last view showed that this gateway lost the ledger and most peers didn't
    bool lost_alone() const;

  private:
    readiness_options m_options;
    bool m_ready = true;
    bool m_silent = false;
    /// since when most groups are silent, or answer again
    std::optional<readiness_view::instant> m_since;
};

}  // namespace martenyard::roles
