// Connects the gateway's observations with the admission modules in scheduling/admission.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "forwarding/admission/program_admission.h"
#include "forwarding/overload/overload_options.h"
#include "forwarding/service_configuration.h"
#include "scheduling/admission/concurrency_limit.h"
#include "scheduling/admission/program_admission.h"

namespace martenyard::forwarding
{

/// @brief load of a service's engines as known to this gateway
struct gateway_view
{
    /// requests of all gateways, as far as reported
    engine_load m_engines;
    /// requests of this gateway
    std::uint32_t m_own_active = 0;
    std::uint32_t m_runners = 0;
    /// number of gateways, as far as known; at least 1
    std::uint32_t m_gateways = 1;
};

/// @brief a turn that might begin a program
struct turn_arrival
{
    int m_tenant_priority = 0;
    int m_route_priority = 0;
    /// stable point of the program in [0, 1)
    double m_point = 0;
    /// time left until the program's deadline
    std::optional<std::chrono::milliseconds> m_remaining;
    /// output tokens allowed for the whole program
    std::optional<std::uint64_t> m_token_budget;
    /// uniform draws in [0, 1)
    double m_draw = 0;
    double m_jitter = 0;
};

/// @brief the decision on a turn, with the state that it was based on
struct turn_decision
{
    scheduling::admission_decision m_decision;
    double m_limit = 0;
    /// number of more urgent ranks with programs lately
    std::uint32_t m_rank = 0;
    /// tenant priority and route priority in one number
    int m_own_rank = 0;
    /// rank in which the program is counted if it asks to begin
    int m_counted_rank = 0;
    /// seconds left for each token of the program's budget
    std::optional<double> m_seconds_per_token;
    std::optional<double> m_slowdown;
};

/// @brief tuning parameters
struct admission_controller_options
{
    /// time after the start of the process for which the load counts as unknown without reports
    std::chrono::milliseconds m_start_period{500};
    /// mean age of the loads in a report when it arrives: members report, aggregators add up and forward
    std::chrono::milliseconds m_report_delay{200};
    /// time after a refusal for which the service counts as overloaded
    std::chrono::milliseconds m_overload_period{1000};
    /// time after the last turn of a service after which its state is dropped
    std::chrono::milliseconds m_idle_period{60'000};
    /// time without refusals after which the programs that begin are taken to have all their time
    std::chrono::milliseconds m_calm_period{5'000};
    /// number of such programs after which the minimum time of others is estimated from theirs
    std::size_t m_min_calm_programs = 16;
    /// low quantile of their time per token of the budget
    double m_program_time_quantile = 0.1;
    /// ratio of objective to idle time at that quantile: the strictest objectives
    double m_strictest_objective = 1.4;
    /// share of a program's idle time that is pauses and tool calls: see `m_allowed_slowdown`
    double m_pause_share = 0.44;
    /// programs that were not observed long enough are taken to have this many turns
    double m_turns_per_program = 5;
};

/// @brief load limits and admission state by service. Not thread-safe: for the event loop's thread only
class admission_controller
{
  public:
    /// @param[in] admission  start value of the limits and bounds of retry delays; must outlive the
    /// controller
    /// @param[in] overload   the enabled mechanisms; must outlive the controller
    /// @param[in] started    when the process was started
    admission_controller(const admission_options& admission, const overload_options& overload,
                         scheduling::steady_time started, const admission_controller_options& options = {});

    /// @return whether a mechanism is enabled; otherwise `admits_program` decides
    bool enabled() const;

    /// @brief a report of the other gateways' loads has arrived
    void record_report(scheduling::steady_time now);
    /// @brief the other gateways' loads are no longer known
    void record_reports_ceased();

    /// @brief a streamed turn has ended
    void record_turn(scheduling::steady_time now, const ServiceName& service,
                     const scheduling::turn_times& turn);

    turn_decision decide(scheduling::steady_time now, const ServiceName& service, const gateway_view& view,
                         const turn_arrival& arrival);

    /// @brief the ledger has admitted a turn
    /// @param[in] first  it begins a program
    void record_admitted(scheduling::steady_time now, const ServiceName& service,
                         const turn_decision& decision, bool first);

    /// @brief the ledger did not know the program, which was therefore refused
    void record_refused(scheduling::steady_time now, const ServiceName& service,
                        const turn_decision& decision);

    /// @return whether new programs of some rank are refused for load
    bool overloaded(scheduling::steady_time now, const ServiceName& service) const;
    /// @return the same for any service
    bool overloaded(scheduling::steady_time now) const;

    /// @brief current state of a service, for metrics
    struct service_status
    {
        double m_limit = 0;
        std::optional<double> m_slowdown;
        std::map<scheduling::admission_reason, std::uint64_t> m_refusals;
    };
    std::map<ServiceName, service_status> status() const;

  private:
    struct service_state
    {
        scheduling::concurrency_limit m_limit;
        /// by the rank in which programs are counted
        scheduling::offered_rates m_offered = scheduling::offered_rates();
        /// by their own rank; otherwise the share of a lower rank would make a higher one seem present
        scheduling::offered_rates m_arrived = scheduling::offered_rates();
        scheduling::load_trend m_trend = scheduling::load_trend();
        scheduling::steady_time m_created_at;
        scheduling::steady_time m_used_at;
        std::optional<scheduling::steady_time> m_refused_at;
        /// seconds per token of the budget, of programs that had all their time
        scheduling::low_quantile m_program_time;
        std::size_t m_calm_programs = 0;
        /// share of the admitted turns that began a program
        double m_first_turns = 0;
        std::map<scheduling::admission_reason, std::uint64_t> m_refusals;
    };

    service_state& state_of(scheduling::steady_time now, const ServiceName& service);
    scheduling::service_load load_of(scheduling::steady_time now, const gateway_view& view,
                                     service_state& state);
    double limit_of(const service_state& state) const;
    scheduling::program_admission_options decision_options() const;
    /// @return the time that a program needs at the present turn times, as far as known
    std::optional<std::chrono::milliseconds> minimum_time(const service_state& state,
                                                          const turn_arrival& arrival) const;

    const admission_options& m_admission;
    const overload_options& m_overload;
    scheduling::steady_time m_started;
    admission_controller_options m_options;
    std::optional<scheduling::steady_time> m_reported_at;
    bool m_reports_ceased = false;
    /// as of the last decision for which a report was available
    std::uint32_t m_gateways = 1;
    std::map<ServiceName, service_state> m_services;
};

}  // namespace martenyard::forwarding
