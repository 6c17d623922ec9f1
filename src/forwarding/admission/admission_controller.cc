#include "forwarding/admission/admission_controller.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace martenyard::forwarding
{

using scheduling::load_view;
using scheduling::service_load;
using scheduling::steady_time;
using std::chrono::milliseconds;

namespace
{

/// tenant priorities come first: routes have fewer priorities than this
constexpr int route_priorities = 1000;
/// weight of a new turn in the share of turns that begin programs
constexpr double first_turn_weight = 0.01;

}  // namespace

admission_controller::admission_controller(const admission_options& admission,
                                           const overload_options& overload, steady_time started,
                                           const admission_controller_options& options)
    : m_admission(admission), m_overload(overload), m_started(started), m_options(options)
{
}

bool admission_controller::enabled() const
{
    bool any = m_overload.m_adaptive_limit || m_overload.m_rank_admission || m_overload.m_waiting_programs;
    // An infinite limit means that admission control is switched off.
    return any && std::isfinite(m_admission.m_max_load);
}

void admission_controller::record_report(steady_time now)
{
    m_reported_at = now;
    m_reports_ceased = false;
}

void admission_controller::record_reports_ceased()
{
    m_reported_at.reset();
    m_reports_ceased = true;
}

admission_controller::service_state& admission_controller::state_of(steady_time now,
                                                                    const ServiceName& service)
{
    auto found = m_services.find(service);
    if (found == m_services.end())
    {
        std::erase_if(m_services,
                      [&](const auto& entry)
                      {
                          return now - entry.second.m_used_at > m_options.m_idle_period;
                      });
        scheduling::concurrency_limit_options options;
        options.m_start = m_admission.m_max_load;
        options.m_min = std::min(options.m_min, options.m_start);
        options.m_max = std::max(options.m_max, options.m_start);
        service_state fresh{.m_limit = scheduling::concurrency_limit(options),
                            .m_created_at = now,
                            .m_program_time = scheduling::low_quantile(m_options.m_program_time_quantile,
                                                                       options.m_idle_step)};
        found = m_services.emplace(service, std::move(fresh)).first;
        found->second.m_first_turns = 1 / m_options.m_turns_per_program;
    }
    found->second.m_used_at = now;
    return found->second;
}

double admission_controller::limit_of(const service_state& state) const
{
    return m_overload.m_adaptive_limit ? state.m_limit.limit() : m_admission.m_max_load;
}

service_load admission_controller::load_of(steady_time now, const gateway_view& view, service_state& state)
{
    service_load load;
    load.m_active = view.m_engines.m_active;
    load.m_slots = view.m_engines.m_slots;
    load.m_gateways = std::max<std::uint32_t>(1, view.m_gateways);
    if (m_reported_at)
    {
        m_gateways = load.m_gateways;
        // A gateway without requests has the mean share, so that its first programs can begin.
        load.m_own_share = (view.m_own_active + 1.0) / (load.m_active + load.m_gateways);
        state.m_trend.record(*m_reported_at, load.m_active);
        load.m_trend = state.m_trend.per_second();
        load.m_age =
            std::chrono::duration_cast<milliseconds>(now - *m_reported_at) + m_options.m_report_delay;
    }
    else if (m_reports_ceased)
    {
        state.m_trend.reset();
        load.m_view = load_view::own;
        load.m_active = view.m_own_active;
        // The count of gateways comes with the reports, too.
        load.m_gateways = std::max(load.m_gateways, m_gateways);
    }
    else if (now - m_started < m_options.m_start_period)
    {
        load.m_view = load_view::starting;
        load.m_active = view.m_own_active;
        // Before the gateways are counted, assume one for each runner.
        load.m_gateways = load.m_gateways > 1 ? load.m_gateways : std::max<std::uint32_t>(1, view.m_runners);
    }
    else if (load.m_gateways > 1)
    {
        load.m_view = load_view::own;
        load.m_active = view.m_own_active;
    }
    if (auto turn_time = state.m_limit.turn_time())
    {
        load.m_completion_rate = view.m_engines.m_active / turn_time->count() * state.m_first_turns;
    }
    return load;
}

void admission_controller::record_turn(steady_time now, const ServiceName& service,
                                       const scheduling::turn_times& turn)
{
    state_of(now, service).m_limit.record(now, turn);
}

turn_decision admission_controller::decide(steady_time now, const ServiceName& service,
                                           const gateway_view& view, const turn_arrival& arrival)
{
    service_state& state = state_of(now, service);
    service_load load = load_of(now, view, state);
    if (load.m_slots > 0 && load.m_view == load_view::reported)
    {
        state.m_limit.update(now, load.m_active / load.m_slots, false);
    }
    scheduling::program_admission_options options = decision_options();
    scheduling::program_request request;
    request.m_remaining = arrival.m_remaining;
    request.m_minimum = minimum_time(state, arrival);
    request.m_draw = arrival.m_draw;
    request.m_jitter = arrival.m_jitter;
    turn_decision result;
    if (arrival.m_remaining && arrival.m_token_budget && *arrival.m_token_budget > 0)
    {
        result.m_seconds_per_token = scheduling::seconds_f(*arrival.m_remaining).count() /
                                     static_cast<double>(*arrival.m_token_budget);
    }
    if (options.m_ranks)
    {
        result.m_own_rank = arrival.m_tenant_priority * route_priorities + arrival.m_route_priority;
        result.m_counted_rank = scheduling::is_too_late(request)
                                    ? std::numeric_limits<int>::max()
                                    : scheduling::effective_rank(result.m_own_rank, state.m_arrived.highest(),
                                                                 arrival.m_point, options);
    }
    request.m_offered = state.m_offered.of(now, result.m_counted_rank);
    request.m_offered_above = state.m_offered.above(now, result.m_counted_rank);
    result.m_rank = request.m_ranks_above = state.m_offered.ranks_above(result.m_counted_rank);
    result.m_limit = limit_of(state);
    result.m_slowdown = state.m_limit.slowdown();
    result.m_decision = scheduling::decide(request, load, result.m_limit, options);
    return result;
}

scheduling::program_admission_options admission_controller::decision_options() const
{
    scheduling::program_admission_options options;
    options.m_ranks = m_overload.m_rank_admission;
    options.m_waiting = m_overload.m_waiting_programs;
    options.m_min_retry_delay = m_admission.m_min_retry_delay;
    options.m_max_retry_delay = m_admission.m_max_retry_delay;
    return options;
}

std::optional<milliseconds> admission_controller::minimum_time(const service_state& state,
                                                               const turn_arrival& arrival) const
{
    using std::chrono::duration_cast;
    if (!arrival.m_token_budget || state.m_calm_programs < m_options.m_min_calm_programs)
    {
        auto shortest = state.m_limit.shortest_turn();
        return shortest ? std::optional(duration_cast<milliseconds>(*shortest)) : std::nullopt;
    }
    double idle = static_cast<double>(*arrival.m_token_budget) * state.m_program_time.value() /
                  m_options.m_strictest_objective;
    double slowdown = std::max(1.0, state.m_limit.slowdown().value_or(1));
    double pace = m_options.m_pause_share + (1 - m_options.m_pause_share) * slowdown;
    return duration_cast<milliseconds>(scheduling::seconds_f(idle * pace));
}

void admission_controller::record_admitted(steady_time now, const ServiceName& service,
                                           const turn_decision& decision, bool first)
{
    service_state& state = state_of(now, service);
    state.m_first_turns += ((first ? 1 : 0) - state.m_first_turns) * first_turn_weight;
    if (!first)
    {
        return;
    }
    state.m_offered.record(now, decision.m_counted_rank);
    state.m_arrived.record(now, decision.m_own_rank);
    // After refusals, programs that begin may have lost a part of their time.
    bool calm = now - state.m_refused_at.value_or(state.m_created_at) > m_options.m_calm_period;
    if (calm && decision.m_seconds_per_token)
    {
        state.m_program_time.record(*decision.m_seconds_per_token);
        ++state.m_calm_programs;
    }
}

void admission_controller::record_refused(steady_time now, const ServiceName& service,
                                          const turn_decision& decision)
{
    service_state& state = state_of(now, service);
    ++state.m_refusals[decision.m_decision.m_reason];
    state.m_offered.record(now, decision.m_counted_rank);
    state.m_arrived.record(now, decision.m_own_rank);
    bool for_load = decision.m_decision.m_reason != scheduling::admission_reason::starting;
    if (for_load)
    {
        state.m_refused_at = now;
        state.m_limit.update(now, decision.m_decision.m_load, true);
    }
}

bool admission_controller::overloaded(steady_time now, const ServiceName& service) const
{
    auto found = m_services.find(service);
    return found != m_services.end() && found->second.m_refused_at &&
           now - *found->second.m_refused_at < m_options.m_overload_period;
}

bool admission_controller::overloaded(steady_time now) const
{
    return std::any_of(m_services.begin(), m_services.end(),
                       [&](const auto& entry)
                       {
                           return overloaded(now, entry.first);
                       });
}

std::map<ServiceName, admission_controller::service_status> admission_controller::status() const
{
    std::map<ServiceName, service_status> result;
    for (const auto& [name, state] : m_services)
    {
        result[name] = {limit_of(state), state.m_limit.slowdown(), state.m_refusals};
    }
    return result;
}

}  // namespace martenyard::forwarding
