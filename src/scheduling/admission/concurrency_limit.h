// Adaptive limit for the load up to which new programs begin on a service. Decision logic: no I/O or clock.
//
// Turns slow down gradually as engines fill up, so the right limit depends on the engines, the prompts and
// the programs. It is found by comparing observed turn times with those on idle engines.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace martenyard::scheduling
{

using steady_time = std::chrono::steady_clock::time_point;
using seconds_f = std::chrono::duration<double>;

/// @brief tuning parameters
struct concurrency_limit_options
{
    /// in active requests per slot
    double m_start = 0.7;
    double m_min = 0.35;
    double m_max = 0.95;
    /// slowdown of turns at which the limit stays where it is. Programs are in time at 1.4 to 1.7 times their
    /// idle time, of which some 0.44 are pauses and tool calls, which do not slow down with the engines (a
    /// third of the running programs pause at any moment). Turns may then take (1.4 - 0.44) / 0.56 = 1.72
    /// times their idle time in the mean; the rest is for the differences between programs
    double m_allowed_slowdown = 1.6;
    /// lowers the limit by this much below the start value at twice the allowed slowdown. Not integrated over
    /// time: the gateways' idle times differ, and integrators that act on the same engines move to opposite
    /// bounds. The gateways' limits must differ by less than the distance of two ranks: at 1.2 they were 0.7
    /// to 0.9 on the same engines, and gateways with a low limit refused the highest rank for seconds
    double m_gain = 0.4;
    /// time constant of changes. Samples arrive a turn, about 1 s, after their cause
    std::chrono::milliseconds m_change_time{1'500};
    /// growth requires demand: a refused program, or a load of at least this share of the limit
    double m_demand_share = 0.9;
    /// time constant of the return to the start value
    std::chrono::milliseconds m_return_time{10'000};
    std::chrono::milliseconds m_step{250};
    /// age up to which a turn counts, and number of turns that are kept
    std::chrono::milliseconds m_window{3'000};
    std::size_t m_max_samples = 64;
    std::size_t m_min_samples = 8;
    /// a runner below this load, in active requests per slot, counts as idle
    double m_idle_load = 0.2;
    /// samples of idle runners needed before slowdowns are computed
    std::size_t m_min_idle_samples = 16;
    /// quantile of the samples of idle runners. A third of the runners may be 1.3 times as fast as the
    /// others; a quantile among these would make all others look overloaded
    double m_idle_quantile = 0.4;
    /// relative step of the quantile's estimate per sample; the first steps are longer
    double m_idle_step = 0.02;
};

/// @brief observed times of one streamed turn
struct turn_times
{
    seconds_f m_first_event{0};
    /// mean time between events; zero if there was only one
    seconds_f m_per_event{0};
    std::uint32_t m_events = 0;
    /// active requests per slot of the runner when the turn was sent to it
    double m_runner_load = 0;
};

/// @brief estimate of a low quantile in constant memory, by stochastic approximation
class low_quantile
{
  public:
    /// @param[in] quantile  between 0 and 1
    /// @param[in] step      relative change of the estimate per sample, after the first ones
    low_quantile(double quantile, double step);

    void record(double value);

    double value() const
    {
        return m_value;
    }

  private:
    double m_quantile;
    double m_step;
    double m_value = 0;
    std::size_t m_count = 0;
};

/// @brief adaptive limit of one service, as observed by one gateway
class concurrency_limit
{
  public:
    explicit concurrency_limit(const concurrency_limit_options& options = {});

    /// @brief records a turn that has ended; turns that were held up by the client must be left out
    void record(steady_time now, const turn_times& turn);

    /// @brief records the load at which a new program arrived, and adjusts the limit
    /// @param[in] load     in active requests per slot
    /// @param[in] refused  a new program was refused at this load
    void update(steady_time now, double load, bool refused);

    /// @return the load up to which new programs may begin, in active requests per slot
    double limit() const
    {
        return m_limit;
    }

    /// @return median ratio of recent turn times to those on idle runners; nothing without enough samples
    std::optional<double> slowdown() const
    {
        return m_slowdown;
    }

    /// @return mean time of recent turns; nothing without samples
    std::optional<seconds_f> turn_time() const;

    /// @return time of a turn with `events` events on an idle runner; nothing without enough samples
    std::optional<seconds_f> idle_time(std::uint32_t events) const;

    /// @return time of a turn with few events on an idle runner
    std::optional<seconds_f> shortest_turn() const;

  private:
    struct sample
    {
        steady_time m_at;
        double m_slowdown;
    };

    void drop_old_samples(steady_time now);
    /// @return median of the kept samples; a single slow runner among several does not move it far
    std::optional<double> median_slowdown() const;
    void step(double seconds);

    concurrency_limit_options m_options;
    double m_limit;
    low_quantile m_idle_first_event;
    low_quantile m_idle_per_event;
    low_quantile m_events;
    std::size_t m_idle_samples = 0;
    std::deque<sample> m_samples;
    std::optional<double> m_slowdown;
    std::optional<seconds_f> m_turn_time;
    std::optional<steady_time> m_stepped_at;
    bool m_demand = false;
};

}  // namespace martenyard::scheduling
