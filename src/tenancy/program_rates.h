// The rate at which a tenant begins programs, compared with its usual rate. Decision logic: no I/O, no clock.
//
// The usual rate is an average over about 20 s. While gateways report an overload it is not updated, since a
// surge would otherwise become usual while it lasts. The current rate is bounded by credit for one second's
// worth of programs: unlike an average over a second it is exact for tenants with few programs.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "absl/container/flat_hash_set.h"
#include "tenancy/configuration_lease.h"

namespace martenyard::tenancy
{

/// @brief tuning parameters
struct program_rates_options
{
    /// time constant of the usual rate
    std::chrono::milliseconds m_usual_period{20000};
    /// programs of this period may begin at once
    std::chrono::milliseconds m_current_period{1000};
    /// the usual rate is averaged over at least this time, and known after it; a new leader refuses nothing
    /// until it has observed its tenants for so long
    std::chrono::milliseconds m_min_observed{4000};
    /// a tenant without requests for this long counts as new
    std::chrono::milliseconds m_idle_timeout{60000};
    /// programs under way are recognized for at least this long after they left the limiter's table. Under
    /// overload a single turn may take longer than the pause after which the table takes a program as ended.
    std::chrono::milliseconds m_remembered{15000};
    /// limit of the current rate, in relation to the usual rate
    double m_max_ratio = 2;
    /// a tenant that just started may begin so many programs a second
    double m_min_rate = 1;
    /// and so many at once: arrivals at a low rate are uneven
    double m_min_burst = 4;
    /// programs remembered per period
    std::size_t m_max_remembered = 4000;
};

class program_rates
{
  public:
    /// @param[in] start  from when on the tenant's new programs are observed
    explicit program_rates(instant start, const program_rates_options& options = {});

    /// @brief advances to the time of a request
    /// @param[in] overloaded  whether the requesting gateway is overloaded
    void advance(instant now, bool overloaded);

    /// @return whether another program is within twice the usual rate
    bool within_share() const
    {
        return m_credit >= 1;
    }

    /// @brief a new program begins
    void record_program();

    /// @brief a new program was refused
    void record_refusal()
    {
        m_refused += 1;
    }

    /// @return the time after which there is room for the programs that were refused in the last second
    std::chrono::milliseconds retry_delay() const;

    /// @return the usual rate, in programs per second
    double usual() const;

    /// @brief remembers a program that may still be under way
    void remember(instant now, std::uint64_t program);

    /// @return whether the program was remembered
    bool remembers(std::uint64_t program) const
    {
        return m_remembered.contains(program) || m_remembered_before.contains(program);
    }

  private:
    /// @return the limit of the current rate
    double limit() const;
    double capacity() const;
    void rotate_remembered(instant now);

    program_rates_options m_options;
    instant m_last;
    /// whether the last request came from an overloaded gateway
    bool m_overloaded = false;
    /// whether programs count for the usual rate
    bool m_counting = true;
    std::chrono::nanoseconds m_observed{0};
    /// weighted number of programs, and weighted seconds in which they began
    double m_programs = 0;
    double m_seconds = 0;
    /// programs that may begin now; negative after a surge without overload
    double m_credit = 0;
    /// weighted number of refusals in the last second
    double m_refused = 0;
    /// programs remembered in the current and in the previous period
    absl::flat_hash_set<std::uint64_t> m_remembered;
    absl::flat_hash_set<std::uint64_t> m_remembered_before;
    instant m_rotated_at;
};

}  // namespace martenyard::tenancy
