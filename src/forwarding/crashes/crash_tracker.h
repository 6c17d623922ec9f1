// Counts the runners that end under each request, over all tries of its client and all gateways.
//
// The ledger keeps the counts, so that the gateway that gets the next try knows them. A loss is counted
// before the client learns of it, and a suspect request is counted before it is sent again.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "async_http/task.h"
#include "discovery/runner.h"
#include "event_log/event_log.h"
#include "forwarding/crashes/loss_watch.h"
#include "forwarding/crashes/request_fingerprint.h"
#include "forwarding/crashes/suspect_table.h"
#include "turn_ledger/crashes/crash_record.h"
#include "turn_ledger/ledger_client.h"

namespace martenyard::forwarding
{

/// @brief tuning parameters
struct crash_options
{
    /// a request under which this many runners ended is not sent to any other
    std::size_t m_max_crashes = 3;
    /// of the records in the ledger, from their last change
    std::chrono::milliseconds m_retention{60000};
    /// limits each call of the ledger, and the connection attempt to a runner that lost a request
    std::chrono::milliseconds m_call_timeout{400};
    std::chrono::milliseconds m_probe_timeout{250};
    /// after the end of a runner, and for half as long after the start of this process, the ledger is asked
    /// about requests of its service that don't pass it anyhow. Clients try these again within their
    /// deadline only.
    std::chrono::milliseconds m_alert_time{20000};
};

/// @brief the state of a runner's process as seen by a new connection
enum class runner_process
{
    listening,
    refusing,
    silent,
};

/// @brief the outcome of counting a request before it is sent to a runner
enum class crash_permit
{
    granted,
    exhausted,  ///< as many runners as allowed ended under the request, or may while it runs elsewhere
    unknown,    ///< the ledger did not answer
};

/// @brief counters since the process start, exported as metrics
struct crash_stats
{
    std::uint64_t m_losses_counted = 0;
    std::uint64_t m_losses_cleared = 0;
    std::uint64_t m_suspects_sent = 0;
    std::uint64_t m_requests_held_back = 0;
    std::uint64_t m_questions = 0;
    std::uint64_t m_alerts = 0;
};

/// @return an id of the runner's process; its start time is included if the runner reports it, since the
/// runner's id may then be reused after a restart
std::string process_of(const discovery::Runner& runner);

/// @param[in] program  scoped to the tenant; empty outside of programs
suspect make_suspect(const request_fingerprint& fingerprint, const ProgramId& program);

/// @brief not thread-safe: for the event loop's thread only
class crash_tracker : public std::enable_shared_from_this<crash_tracker>
{
  public:
    using instant = std::chrono::steady_clock::time_point;

    /// @brief the runners that ended under a request, as far as known, and the record of the last one
    struct reply
    {
        crash_permit m_permit = crash_permit::unknown;
        turn_ledger::crash_records m_records;
        turn_ledger::TurnId m_record;
    };

    /// All references must outlive the object.
    /// @param[in] restarted  this process is not part of the deployment's first start: its clients may have
    ///                       tried their requests at other gateways before
    crash_tracker(async_http::asio::io_context& context, turn_ledger::LedgerClient& ledger,
                  event_log::EventLog& log, bool restarted, const crash_options& options = {});

    /// @return the records of the request, as far as known here
    turn_ledger::crash_records known_records(const suspect& request) const;

    /// @brief stores the records from a reply of the ledger to a question for them; without any, the reply
    ///        of a leader of an earlier build changes nothing, since it may not know of records
    void learn(const suspect& request, const turn_ledger::OperationResult& reply);

    /// @return how many runners may have ended under the tries without a record. They never count as all
    ///         that may end under a request: a gateway may also be late in settling.
    std::size_t unrecorded_ends(std::size_t unsettled_tries) const
    {
        return std::min(unsettled_tries, m_options.m_max_crashes - 1);
    }

    /// @return whether runners of the service ended recently: the ledger is to be asked
    bool is_alerted(const ServiceName& service) const;

    /// @param[in] notify  called with the service when an alert begins or is extended here
    void on_alert(std::function<void(const ServiceName&)> notify)
    {
        m_notify = std::move(notify);
    }

    /// @brief a runner of the service ended, as observed here or reported by another gateway
    /// @return false if the alert has begun recently, and goes on unchanged
    bool raise_alert(const ServiceName& service);

    /// @brief asks the ledger for the records of the request; known_records then has them
    /// @return false if it does not answer
    async_http::Task<bool> find(suspect request);

    /// @brief counts a suspect request as if it ended the runner that it is about to be sent to
    /// @param[in] attempt          the id of the client's try
    /// @param[in] unsettled_tries  other tries of the request without a record
    async_http::Task<reply> reserve(suspect request, std::string runner, std::string attempt,
                                    std::size_t unsettled_tries);

    /// @brief connects to a runner that lost a request
    async_http::Task<runner_process> probe(discovery::Runner runner);

    /// @brief counts a runner's end under the request
    async_http::Task<reply> count(suspect request, std::string runner, std::string attempt,
                                  ServiceName service);

    /// @brief withdraws a record: the runner did not end under the request
    void withdraw(const suspect& request, const turn_ledger::TurnId& record);

    /// @brief withdraws all records of a request that was answered
    void forget(const suspect& request, const turn_ledger::crash_records& records);

    /// @brief keeps a loss until the runner is known to serve on or to have ended
    void watch(const std::string& runner, lost_request loss);

    /// @brief clears the losses of a runner that answered a request sent at `sent_at`
    void on_answer(const std::string& runner, instant sent_at);

    /// @brief counts the open losses of a runner that ended or no longer listens
    void on_end(const std::string& runner, const ServiceName& service);

    /// @brief another runner has the address of runners with open losses: these have ended
    /// @param[in] ended  whether a runner with open losses has ended
    void on_replaced(const std::function<bool(const std::string&)>& ended, const ServiceName& service);

    /// @brief drops what has expired
    void tick();

    crash_stats& stats()
    {
        return m_stats;
    }

    const crash_options& options() const
    {
        return m_options;
    }

    std::size_t suspects() const
    {
        return m_suspects.size();
    }

    std::size_t open_losses() const
    {
        return m_watch.size();
    }

  private:
    /// @param[in] limit  of all records; nothing: the runner has ended already
    async_http::Task<reply> write(suspect request, turn_ledger::TurnId record,
                                  std::optional<std::uint64_t> limit);
    GroupId group_of(const suspect& request) const;
    absl::Time call_deadline() const;

    async_http::asio::io_context& m_context;
    turn_ledger::LedgerClient& m_ledger;
    event_log::EventLog& m_log;
    crash_options m_options;
    suspect_table m_suspects;
    loss_watch m_watch;
    std::map<ServiceName, instant> m_alerts;
    /// of all services, after the start
    instant m_alerted_until;
    std::function<void(const ServiceName&)> m_notify;
    crash_stats m_stats;
};

}  // namespace martenyard::forwarding
