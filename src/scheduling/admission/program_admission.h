// Decides whether new programs may begin on a service. Pure functions: no I/O, clock or random numbers.
//
// The room below the service's limit is filled at a bounded rate, so that many gateways with old views do not
// fill it several times over. Each gateway has a share of that rate. The highest rank takes what it needs of
// it, the next one takes of the rest. Turns of programs under way are never refused here.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "scheduling/admission/concurrency_limit.h"

namespace martenyard::scheduling
{

/// @brief tuning parameters
struct program_admission_options
{
    /// ranks, remaining times and extrapolation are used; otherwise the load alone decides
    bool m_ranks = true;
    /// programs that were refused before are distinguished from new ones
    bool m_waiting = true;
    /// time over which the room below the limit is filled. Not below the age of the views, 0.1 to 0.4 s:
    /// shorter times make the gateways admit and refuse in turns
    std::chrono::milliseconds m_fill_time{400};
    /// a rank's limit is this much lower than that of the next more urgent one, in active requests per slot.
    /// The load varies by some 0.04 by chance; without the distance, the many waiting programs of a low rank
    /// take each dip of the load, and the next programs of a higher one find no room. Slots in the distance
    /// are unused while no higher rank needs them
    double m_rank_distance = 0.2;
    /// lowest ranks are at most this far from the limit, so that many ranks do not leave slots unused
    double m_max_rank_distance = 0.2;
    /// share of the programs of lower ranks that is treated as the highest rank
    double m_lower_rank_share = 0.1;
    /// the load is extrapolated over at most this time and by at most this share of the slots
    std::chrono::milliseconds m_max_extrapolation{500};
    double m_max_extrapolated_share = 0.2;
    std::chrono::milliseconds m_min_retry_delay{100};
    std::chrono::milliseconds m_max_retry_delay{1000};
    /// retry delays are spread over this share beyond their minimum
    double m_retry_spread = 0.5;
};

/// @brief what is known of the service's load
enum class load_view
{
    /// of all gateways, as last reported
    reported,
    /// only this gateway's, because the reports of the others have ceased
    own,
    /// only this gateway's, because it has just started
    starting,
};

/// @brief load of a service's engines
struct service_load
{
    load_view m_view = load_view::reported;
    /// of all gateways if reported, else of this one
    double m_active = 0;
    /// total number of concurrent requests
    double m_slots = 0;
    /// number of gateways that share the engines
    std::uint32_t m_gateways = 1;
    /// share of the service's requests that come through this gateway
    double m_own_share = 1;
    std::chrono::milliseconds m_age{0};
    /// change of the active requests per second
    double m_trend = 0;
    /// requests per second that end without being followed by another one of their program; 0: unknown
    double m_completion_rate = 0;
};

/// @brief a turn that might begin a program
struct program_request
{
    /// programs per second that ask this gateway to begin, including those that were refused before: of the
    /// program's rank, and of more urgent ones
    double m_offered = 0;
    double m_offered_above = 0;
    /// number of more urgent ranks with programs lately
    std::uint32_t m_ranks_above = 0;
    std::optional<std::chrono::milliseconds> m_remaining;
    /// minimum time that the program needs
    std::optional<std::chrono::milliseconds> m_minimum;
    /// uniform draws in [0, 1), independent of each other
    double m_draw = 0;
    double m_jitter = 0;
};

/// @brief programs that may begin; programs under way always go on
enum class admitted_programs
{
    all,
    known_or_waiting,
    known,
};

enum class admission_reason
{
    /// there is room for all programs of the rank
    room,
    /// there is room for a fraction of the rank's programs
    near_limit,
    /// more urgent programs and those under way need all the room
    above_limit,
    /// the load is not known yet, and the gateway's own share of the slots is in use
    starting,
    /// the program can no longer be in time, and there is no room beside the others
    too_late,
};

/// @return the name used in log lines and metrics
const char* name_of(admission_reason reason);

/// @brief the decision on one turn
struct admission_decision
{
    admitted_programs m_programs = admitted_programs::all;
    admission_reason m_reason = admission_reason::room;
    /// the extrapolated load on which the decision is based, in active requests per slot
    double m_load = 0;
    /// for programs that may not begin
    std::chrono::milliseconds m_retry_delay{0};
};

/// @param[in] highest_limit  load above which no program begins, in active requests per slot
/// @return which programs may begin
admission_decision decide(const program_request& request, const service_load& load, double highest_limit,
                          const program_admission_options& options);

/// @param[in] rank     0 is the most urgent
/// @param[in] highest  most urgent rank with programs lately, if any
/// @param[in] point    stable point of the program in [0, 1); a small share of the lower ranks is treated as
/// the
///                     highest one, so that none is starved
/// @return the rank in which the program is treated
int effective_rank(int rank, std::optional<int> highest, double point,
                   const program_admission_options& options);

/// @return whether the program can no longer be in time; it then ranks last
bool is_too_late(const program_request& request);

/// @brief rates at which programs ask one gateway to begin, by rank
class offered_rates
{
  public:
    /// @param[in] time_constant  of the mean
    explicit offered_rates(std::chrono::milliseconds time_constant = std::chrono::milliseconds(2000));

    /// @param[in] rank  0 is the most urgent
    void record(steady_time now, int rank);
    /// @return programs per second
    double of(steady_time now, int rank) const;
    /// @return programs per second of all more urgent ranks
    double above(steady_time now, int rank) const;
    /// @return number of more urgent ranks with programs lately
    std::uint32_t ranks_above(int rank) const;
    /// @return the most urgent rank with programs lately
    std::optional<int> highest() const;

  private:
    struct mean_rate
    {
        steady_time m_at;
        double m_rate = 0;
    };

    double rate_at(steady_time now, const mean_rate& mean) const;

    seconds_f m_time_constant;
    std::map<int, mean_rate> m_rates;
};

/// @brief change of the active requests per second, from successive load reports
class load_trend
{
  public:
    /// @param[in] half_life  after which a difference counts half
    explicit load_trend(std::chrono::milliseconds half_life = std::chrono::milliseconds(200));

    /// @param[in] at      time of the report; a repeated one is ignored
    /// @param[in] active  active requests as reported
    void record(steady_time at, double active);

    double per_second() const
    {
        return m_per_second;
    }

    void reset();

  private:
    std::chrono::milliseconds m_half_life;
    std::optional<steady_time> m_at;
    double m_active = 0;
    double m_per_second = 0;
};

}  // namespace martenyard::scheduling
