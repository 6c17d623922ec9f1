#include "forwarding/reachability/reachability_monitor.h"

#include <utility>

#include "absl/time/time.h"
#include "async_http/connection.h"
#include "base/clock.h"

namespace martenyard::forwarding
{

using async_http::Task;
using event_log::Line;

namespace
{

constexpr std::chrono::milliseconds scan_interval{100};
/// A process with a tenth of a core is paused for up to this long in normal operation. A timeout that is
/// noticed later is not evidence: the reply may have arrived during a longer pause.
constexpr std::chrono::milliseconds late_tolerance{150};

}  // namespace

contact contact_of(const connect_failure& failure)
{
    namespace error = async_http::asio::error;
    if (failure.m_expired)
    {
        bool full = failure.m_timeout >= failure.m_full_timeout;
        bool noticed_late = failure.m_elapsed > failure.m_timeout + late_tolerance;
        return full && !noticed_late ? contact::timed_out : contact::inconclusive;
    }
    bool no_route = failure.m_error == error::host_unreachable ||
                    failure.m_error == error::network_unreachable || failure.m_error == error::timed_out;
    return no_route ? contact::timed_out : contact::inconclusive;
}

reachability_monitor::reachability_monitor(async_http::asio::io_context& context,
                                           discovery::RunnerTable& runners, Random& random,
                                           event_log::EventLog& log, const ZoneName& own_zone,
                                           std::chrono::milliseconds connect_timeout,
                                           const reachability_options& options)
    : m_context(context),
      m_runners(runners),
      m_random(random),
      m_log(log),
      m_connect_timeout(connect_timeout),
      m_zones(own_zone, options)
{
}

void reachability_monitor::add_zone(const ZoneName& zone)
{
    m_zones.add_zone(zone);
}

void reachability_monitor::record(const discovery::Runner& runner, contact observed, instant began)
{
    observation seen{runner.zone, runner.id, observed, began};
    instant now = SteadyInstant();
    log_change(seen, m_zones.record(now, seen));
    if (observed == contact::timed_out)
    {
        start_trials(now, runner.zone);
        schedule_scan();
    }
}

void reachability_monitor::add(silence_watch& watch)
{
    m_watches.insert(&watch);
    schedule_scan();
}

void reachability_monitor::remove(silence_watch& watch)
{
    m_watches.erase(&watch);
}

void reachability_monitor::schedule_scan()
{
    bool idle = m_watches.empty() && m_zones.zones_in_question(SteadyInstant()).empty();
    if (m_scan || idle)
    {
        return;
    }
    m_scan.emplace(m_context, absl::FromChrono(scan_interval),
                   [this]
                   {
                       scan();
                   });
}

void reachability_monitor::scan()
{
    m_scan.reset();
    instant now = SteadyInstant();
    for (const silence_watch* watch : m_watches)
    {
        bool waits = watch->m_waiting_since.has_value();
        if (waits && now - *watch->m_waiting_since >= m_zones.options().m_silence_limit)
        {
            const discovery::Runner& runner = watch->m_runner;
            m_zones.record(now, {runner.zone, runner.id, contact::silent, *watch->m_waiting_since});
        }
    }
    for (const ZoneName& zone : m_zones.zones_in_question(now))
    {
        start_trials(now, zone);
    }
    schedule_scan();
}

void reachability_monitor::start_trials(instant now, const ZoneName& zone)
{
    std::size_t due = m_zones.begin_trials(now, zone);
    if (due == 0)
    {
        return;
    }
    std::vector<discovery::Runner> chosen = choose_runners(zone, due);
    for (const discovery::Runner& runner : chosen)
    {
        async_http::asio::co_spawn(m_context,
                                   run_trial(weak_from_this(), m_context, runner, m_connect_timeout),
                                   async_http::asio::detached);
    }
    // The zone has fewer runners than trials.
    for (std::size_t missing = due - chosen.size(); missing > 0; --missing)
    {
        end_trial({zone, discovery::RunnerId(), contact::inconclusive, now});
    }
}

std::vector<discovery::Runner> reachability_monitor::choose_runners(const ZoneName& zone, std::size_t count)
{
    // Reservoir sampling: nothing is stored for the other runners of a large zone.
    std::vector<discovery::Runner> chosen;
    std::uint64_t seen = 0;
    for (const auto& [id, state] : m_runners.all())
    {
        if (state.runner.zone != zone || state.gone)
        {
            continue;
        }
        ++seen;
        if (chosen.size() < count)
        {
            chosen.push_back(state.runner);
            continue;
        }
        std::uint64_t place = m_random.Below(seen);
        if (place < count)
        {
            chosen[place] = state.runner;
        }
    }
    return chosen;
}

Task<void> reachability_monitor::run_trial(std::weak_ptr<reachability_monitor> weak,
                                           async_http::asio::io_context& context, discovery::Runner runner,
                                           std::chrono::milliseconds timeout)
{
    auto connection = std::make_shared<async_http::Connection>(context, runner.endpoint);
    instant began = SteadyInstant();
    bool expired = false;
    bool connected = false;
    {
        async_http::Alarm alarm(context, absl::FromChrono(timeout),
                                [&expired, connection]
                                {
                                    expired = true;
                                    connection->Close();
                                });
        connected = co_await connection->Connect();
    }
    instant now = SteadyInstant();
    observation observed{runner.zone, runner.id, contact::answered, began};
    if (!connected)
    {
        observed.m_contact =
            contact_of({expired, connection->connect_error(), now - began, timeout, timeout});
    }
    connection->Close();
    if (auto monitor = weak.lock())
    {
        monitor->end_trial(observed);
    }
}

void reachability_monitor::end_trial(const observation& observed)
{
    log_change(observed, m_zones.end_trial(SteadyInstant(), observed, m_random.Uniform()));
    schedule_scan();
}

void reachability_monitor::log_change(const observation& observed, std::optional<bool> change)
{
    if (!change)
    {
        return;
    }
    bool reachable = *change;
    m_log.Write(Line(reachable ? "zone_reachable" : "zone_unreachable")
                    .Text("zone", observed.m_zone.value)
                    .Text("runner", observed.m_runner.value)
                    .Number("unreachable_zones", static_cast<std::int64_t>(m_zones.unreachable_zones()))
                    .Number("zones", static_cast<std::int64_t>(m_zones.zones()))
                    .Flag("ignored", m_zones.unreachable_zones() > 0 && m_zones.all_reachable()));
}

silence_watch::silence_watch(std::shared_ptr<reachability_monitor> monitor, const discovery::Runner& runner)
    : m_monitor(std::move(monitor)), m_runner(runner)
{
    if (m_monitor)
    {
        m_monitor->add(*this);
    }
}

silence_watch::~silence_watch()
{
    if (m_monitor)
    {
        m_monitor->remove(*this);
    }
}

void silence_watch::begin_wait()
{
    if (m_monitor)
    {
        m_waiting_since = SteadyInstant();
    }
}

void silence_watch::end_wait(bool answered)
{
    if (m_monitor && m_waiting_since && answered)
    {
        m_monitor->record(m_runner, contact::answered, *m_waiting_since);
    }
    m_waiting_since.reset();
}

}  // namespace martenyard::forwarding
