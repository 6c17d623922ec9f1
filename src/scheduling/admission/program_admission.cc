#include "scheduling/admission/program_admission.h"

#include <algorithm>
#include <cmath>

namespace martenyard::scheduling
{

namespace
{

/// standard deviations by which a gateway's own requests may exceed its mean share, since connections are not
/// spread evenly
constexpr double own_share_deviations = 2;

/// ranks without programs for this many time constants are forgotten
constexpr double forgotten_after = 10;

/// @return the load, in active requests per slot, with the requests that are not yet in the view
double extrapolated_load(const service_load& load, double limit, const program_admission_options& options)
{
    if (load.m_view == load_view::reported)
    {
        std::chrono::milliseconds age =
            std::clamp(load.m_age, std::chrono::milliseconds(0), options.m_max_extrapolation);
        double growth = options.m_ranks ? std::max(0.0, load.m_trend) * seconds_f(age).count() : 0;
        growth = std::min(growth, options.m_max_extrapolated_share * load.m_slots);
        return (load.m_active + growth) / load.m_slots;
    }
    // Relative to the gateway's share of the slots. One request must be possible for each gateway.
    double share = std::max(1.0, limit * load.m_slots / std::max<std::uint32_t>(1, load.m_gateways));
    if (load.m_view == load_view::own && load.m_gateways > 1)
    {
        share += own_share_deviations * std::sqrt(share);
    }
    return limit * load.m_active / share;
}

/// @return the fraction of the rank's programs for which there is room
double admitted_fraction(double load, const program_request& request, const service_load& view, double limit,
                         const program_admission_options& options)
{
    if (!options.m_ranks && !options.m_waiting)
    {
        return load < limit ? 1 : 0;
    }
    double share = view.m_view == load_view::reported ? view.m_own_share : 1.0 / view.m_gateways;
    double room = std::max(0.0, limit - load) * view.m_slots * share / seconds_f(options.m_fill_time).count();
    double rest = room - request.m_offered_above;
    if (rest <= 0)
    {
        return 0;
    }
    return request.m_offered <= rest ? 1 : rest / request.m_offered;
}

/// @return the fraction for new programs; those that were refused before get the rest
double fraction_of_new(double fraction, const program_admission_options& options)
{
    if (!options.m_waiting)
    {
        return fraction;
    }
    // Never zero while there is room: a leader may not know the refused programs.
    return fraction < 0.5 ? fraction / 2 : 1.5 * fraction - 0.5;
}

std::chrono::milliseconds retry_delay(double excess, double fraction, const program_request& request,
                                      const service_load& load, const program_admission_options& options)
{
    seconds_f longest = seconds_f(options.m_max_retry_delay) / (1 + options.m_retry_spread);
    seconds_f wait = longest;
    if (load.m_completion_rate > 0 && fraction > 0)
    {
        // Until the excess has ended, and on average until it is this program's turn.
        wait = seconds_f(std::max(0.0, excess) * load.m_slots / load.m_completion_rate) +
               seconds_f(options.m_min_retry_delay) / fraction;
    }
    else if (load.m_completion_rate > 0 && excess > 0)
    {
        wait = seconds_f(excess * load.m_slots / load.m_completion_rate);
    }
    wait = std::clamp(wait, seconds_f(options.m_min_retry_delay), longest);
    return std::chrono::round<std::chrono::milliseconds>(wait *
                                                         (1 + options.m_retry_spread * request.m_jitter));
}

}  // namespace

const char* name_of(admission_reason reason)
{
    switch (reason)
    {
        case admission_reason::room:
            return "room";
        case admission_reason::near_limit:
            return "near_limit";
        case admission_reason::above_limit:
            return "above_limit";
        case admission_reason::starting:
            return "starting";
        case admission_reason::too_late:
            return "too_late";
    }
    return "unknown";
}

admission_decision decide(const program_request& request, const service_load& load, double highest_limit,
                          const program_admission_options& options)
{
    admission_decision decision;
    if (load.m_slots <= 0)
    {
        return decision;
    }
    double distance = std::min(options.m_rank_distance * request.m_ranks_above, options.m_max_rank_distance);
    double limit = options.m_ranks ? highest_limit - distance : highest_limit;
    decision.m_load = extrapolated_load(load, highest_limit, options);
    double fraction = admitted_fraction(decision.m_load, request, load, limit, options);
    if (request.m_draw < fraction_of_new(fraction, options))
    {
        decision.m_reason = fraction < 1 ? admission_reason::near_limit : admission_reason::room;
        return decision;
    }
    bool waiting = options.m_waiting && request.m_draw < 2 * fraction;
    decision.m_programs = waiting ? admitted_programs::known_or_waiting : admitted_programs::known;
    if (options.m_ranks && is_too_late(request))
    {
        decision.m_reason = admission_reason::too_late;
    }
    else if (load.m_view == load_view::starting)
    {
        decision.m_reason = admission_reason::starting;
    }
    else
    {
        decision.m_reason = fraction > 0 ? admission_reason::near_limit : admission_reason::above_limit;
    }
    decision.m_retry_delay = retry_delay(decision.m_load - limit, fraction, request, load, options);
    return decision;
}

int effective_rank(int rank, std::optional<int> highest, double point,
                   const program_admission_options& options)
{
    return point < options.m_lower_rank_share ? std::min(rank, highest.value_or(rank)) : rank;
}

bool is_too_late(const program_request& request)
{
    return request.m_remaining && request.m_minimum && *request.m_remaining < *request.m_minimum;
}

offered_rates::offered_rates(std::chrono::milliseconds time_constant) : m_time_constant(time_constant)
{
}

double offered_rates::rate_at(steady_time now, const mean_rate& mean) const
{
    return mean.m_rate * std::exp(-(now - mean.m_at) / m_time_constant);
}

void offered_rates::record(steady_time now, int rank)
{
    mean_rate& mean = m_rates.try_emplace(rank, mean_rate{now, 0}).first->second;
    mean = {now, rate_at(now, mean) + 1 / m_time_constant.count()};
    std::erase_if(m_rates,
                  [&](const auto& entry)
                  {
                      return now - entry.second.m_at > m_time_constant * forgotten_after;
                  });
}

double offered_rates::of(steady_time now, int rank) const
{
    auto found = m_rates.find(rank);
    return found == m_rates.end() ? 0 : rate_at(now, found->second);
}

double offered_rates::above(steady_time now, int rank) const
{
    double sum = 0;
    for (auto entry = m_rates.begin(); entry != m_rates.lower_bound(rank); ++entry)
    {
        sum += rate_at(now, entry->second);
    }
    return sum;
}

std::uint32_t offered_rates::ranks_above(int rank) const
{
    return static_cast<std::uint32_t>(std::distance(m_rates.begin(), m_rates.lower_bound(rank)));
}

std::optional<int> offered_rates::highest() const
{
    return m_rates.empty() ? std::nullopt : std::optional(m_rates.begin()->first);
}

load_trend::load_trend(std::chrono::milliseconds half_life) : m_half_life(half_life)
{
}

void load_trend::record(steady_time at, double active)
{
    if (m_at && at <= *m_at)
    {
        return;
    }
    if (m_at)
    {
        seconds_f passed = at - *m_at;
        double weight = 1 - std::exp2(-passed / seconds_f(m_half_life));
        m_per_second += ((active - m_active) / passed.count() - m_per_second) * weight;
    }
    m_at = at;
    m_active = active;
}

void load_trend::reset()
{
    m_at.reset();
    m_per_second = 0;
}

}  // namespace martenyard::scheduling
