// Feeds zone_reachability from attempts, and attempts the trial connections that it asks for.
#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "async_http/task.h"
#include "base/random.h"
#include "discovery/runner_table.h"
#include "event_log/event_log.h"
#include "forwarding/reachability/zone_reachability.h"

namespace martenyard::forwarding
{

/// @brief how an attempt to connect failed
struct connect_failure
{
    /// the caller gave up after @ref m_timeout
    bool m_expired = false;
    /// the error of the operating system
    async_http::error_code m_error;
    std::chrono::steady_clock::duration m_elapsed{0};
    std::chrono::steady_clock::duration m_timeout{0};
    /// the timeout at which silence is evidence; a shorter one is not
    std::chrono::steady_clock::duration m_full_timeout{0};
};

/// @return what the failure tells: a timeout that this process noticed late tells nothing, since it did not
/// run
contact contact_of(const connect_failure& failure);

class silence_watch;

/// @brief the reachability of zones, with its input and output
///
/// Not thread-safe: for the event loop's thread only.
class reachability_monitor : public std::enable_shared_from_this<reachability_monitor>
{
  public:
    using instant = std::chrono::steady_clock::time_point;

    /// @param[in] runners          those that trials connect to
    /// @param[in] own_zone         always reachable
    /// @param[in] connect_timeout  of trials
    ///
    /// The references must outlive the monitor.
    reachability_monitor(async_http::asio::io_context& context, discovery::RunnerTable& runners,
                         Random& random, event_log::EventLog& log, const ZoneName& own_zone,
                         std::chrono::milliseconds connect_timeout, const reachability_options& options = {});

    void add_zone(const ZoneName& zone);

    /// @return as @ref zone_reachability::is_reachable
    bool is_reachable(const ZoneName& zone) const
    {
        return m_zones.is_reachable(zone);
    }

    /// @return as @ref zone_reachability::all_reachable
    bool all_reachable() const
    {
        return m_zones.all_reachable();
    }

    /// @return the number of unreachable zones, for metrics
    std::size_t unreachable_zones() const
    {
        return m_zones.unreachable_zones();
    }

    /// @brief records what an attempt told about the way to its runner
    /// @param[in] began  when the attempt to connect or the wait for bytes began
    void record(const discovery::Runner& runner, contact observed, instant began);

  private:
    friend class silence_watch;

    void add(silence_watch& watch);
    void remove(silence_watch& watch);
    /// @brief schedules @ref scan while there is something to watch
    void schedule_scan();
    /// @brief reports silent runners and starts the trials that are due
    void scan();
    void start_trials(instant now, const ZoneName& zone);
    /// @return up to `count` different runners of the zone, chosen at random
    std::vector<discovery::Runner> choose_runners(const ZoneName& zone, std::size_t count);
    void end_trial(const observation& observed);
    void log_change(const observation& observed, std::optional<bool> change);

    /// @brief connects to a runner without sending a request
    static async_http::Task<void> run_trial(std::weak_ptr<reachability_monitor> weak,
                                            async_http::asio::io_context& context, discovery::Runner runner,
                                            std::chrono::milliseconds timeout);

    async_http::asio::io_context& m_context;
    discovery::RunnerTable& m_runners;
    Random& m_random;
    event_log::EventLog& m_log;
    std::chrono::milliseconds m_connect_timeout;
    zone_reachability m_zones;
    std::set<silence_watch*> m_watches;
    std::optional<async_http::Alarm> m_scan;
};

/// @brief reports the answers and the silence of one runner while a request waits for its bytes
///
/// Silence never ends the request.
class silence_watch
{
  public:
    /// @param[in] monitor  null: nothing is reported
    silence_watch(std::shared_ptr<reachability_monitor> monitor, const discovery::Runner& runner);
    ~silence_watch();
    silence_watch(const silence_watch&) = delete;
    silence_watch& operator=(const silence_watch&) = delete;

    /// @brief the request begins to wait for bytes of the runner
    void begin_wait();

    /// @brief the wait has ended
    /// @param[in] answered  bytes were received
    void end_wait(bool answered);

  private:
    friend class reachability_monitor;

    std::shared_ptr<reachability_monitor> m_monitor;
    const discovery::Runner& m_runner;
    /// empty while no bytes are waited for
    std::optional<reachability_monitor::instant> m_waiting_since;
};

}  // namespace martenyard::forwarding
