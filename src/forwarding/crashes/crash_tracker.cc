#include "forwarding/crashes/crash_tracker.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "async_http/connection.h"
#include "base/clock.h"
#include "turn_ledger/crashes/crash_record.h"

namespace martenyard::forwarding
{

using async_http::Task;
using event_log::Line;

namespace
{

const Line& describe(Line& line, const lost_request& loss, const std::string& runner)
{
    return line.Text("request", loss.m_request)
        .Text("fingerprint", loss.m_suspect.m_fingerprint.hex())
        .Text("runner", runner);
}

}  // namespace

std::string process_of(const discovery::Runner& runner)
{
    if (runner.started == absl::UnixEpoch())
    {
        return runner.id.value;
    }
    return absl::StrCat(runner.id.value, "@", absl::ToUnixMillis(runner.started));
}

suspect make_suspect(const request_fingerprint& fingerprint, const ProgramId& program)
{
    suspect request;
    request.m_fingerprint = fingerprint;
    request.m_account = turn_ledger::crash_account(fingerprint.hex());
    request.m_home = program.value.empty() ? request.m_account : program;
    return request;
}

crash_tracker::crash_tracker(async_http::asio::io_context& context, turn_ledger::LedgerClient& ledger,
                             event_log::EventLog& log, bool restarted, const crash_options& options)
    : m_context(context), m_ledger(ledger), m_log(log), m_options(options)
{
    instant now = SteadyInstant();
    m_alerted_until = restarted ? now + options.m_alert_time / 2 : now;
}

turn_ledger::crash_records crash_tracker::known_records(const suspect& request) const
{
    return m_suspects.records(SteadyInstant(), request.m_fingerprint);
}

void crash_tracker::learn(const suspect& request, const turn_ledger::OperationResult& reply)
{
    const std::vector<turn_ledger::TurnId>& records = reply.crash_records;
    if (!records.empty() || reply.unsettled_tries)
    {
        m_suspects.replace(SteadyInstant(), request.m_fingerprint, {records.begin(), records.end()});
    }
}

bool crash_tracker::is_alerted(const ServiceName& service) const
{
    instant now = SteadyInstant();
    auto alert = m_alerts.find(service);
    return now < m_alerted_until || (alert != m_alerts.end() && now < alert->second);
}

bool crash_tracker::raise_alert(const ServiceName& service)
{
    instant now = SteadyInstant();
    instant& until = m_alerts[service];
    if (until > now + m_options.m_alert_time / 2)
    {
        return false;
    }
    until = now + m_options.m_alert_time;
    ++m_stats.m_alerts;
    m_log.Write(Line("runner_end_alert").Text("service", service.value));
    return true;
}

GroupId crash_tracker::group_of(const suspect& request) const
{
    return m_ledger.GroupOf(request.m_home);
}

absl::Time crash_tracker::call_deadline() const
{
    return SteadyNow() + absl::FromChrono(m_options.m_call_timeout);
}

Task<bool> crash_tracker::find(suspect request)
{
    if (m_ledger.groups() == 0)
    {
        co_return false;
    }
    ++m_stats.m_questions;
    // Read through the log, so that no leader answers without the latest record.
    turn_ledger::FindTurn find;
    find.turn = turn_ledger::TurnId(request.m_account.value);
    turn_ledger::Operation operation = find;
    turn_ledger::LedgerQueries queries;
    queries.crash_account = request.m_account;
    turn_ledger::CallResult result =
        co_await m_ledger.Call(group_of(request), operation, call_deadline(), turn_ledger::Relaying::kAllowed,
                               turn_ledger::Programs::kAll, queries);
    if (result)
    {
        learn(request, result.result);
    }
    co_return static_cast<bool>(result);
}

Task<crash_tracker::reply> crash_tracker::write(suspect request, turn_ledger::TurnId record,
                                                std::optional<std::uint64_t> limit)
{
    reply written;
    written.m_record = record;
    written.m_records = known_records(request);
    if (m_ledger.groups() == 0)
    {
        co_return written;
    }
    auto runners = turn_ledger::runners_of(written.m_records);
    bool counted_before = runners.contains(turn_ledger::runner_of(record));
    turn_ledger::ReserveTurn reserve;
    reserve.program = request.m_account;
    reserve.turn = record;
    reserve.tokens = !limit && counted_before ? 0 : 1;
    reserve.budget = limit;
    reserve.retention_ms = static_cast<std::uint32_t>(m_options.m_retention.count());
    turn_ledger::Operation operation = reserve;
    turn_ledger::LedgerQueries queries;
    queries.crash_account = request.m_account;
    turn_ledger::CallResult result =
        co_await m_ledger.Call(group_of(request), operation, call_deadline(), turn_ledger::Relaying::kAllowed,
                               turn_ledger::Programs::kAll, queries);
    if (result)
    {
        learn(request, result.result);
        written.m_records = known_records(request);
        bool done = result->verdict == turn_ledger::Verdict::kDone;
        written.m_permit = done ? crash_permit::granted : crash_permit::exhausted;
    }
    co_return written;
}

Task<crash_tracker::reply> crash_tracker::reserve(suspect request, std::string runner, std::string attempt,
                                                  std::size_t unsettled_tries)
{
    ++m_stats.m_suspects_sent;
    turn_ledger::TurnId record = turn_ledger::crash_record(runner, attempt);
    std::uint64_t limit = m_options.m_max_crashes - unrecorded_ends(unsettled_tries);
    co_return co_await write(std::move(request), std::move(record), limit);
}

Task<crash_tracker::reply> crash_tracker::count(suspect request, std::string runner, std::string attempt,
                                                ServiceName service)
{
    ++m_stats.m_losses_counted;
    if (raise_alert(service) && m_notify)
    {
        m_notify(service);
    }
    turn_ledger::TurnId record = turn_ledger::crash_record(runner, attempt);
    reply written = co_await write(request, record, std::nullopt);
    // Known here whatever the ledger answered.
    if (written.m_permit == crash_permit::unknown)
    {
        m_suspects.add_uncommitted(SteadyInstant(), request.m_fingerprint, record);
    }
    else
    {
        m_suspects.add(SteadyInstant(), request.m_fingerprint, record);
    }
    written.m_records.insert(record);
    co_return written;
}

Task<runner_process> crash_tracker::probe(discovery::Runner runner)
{
    auto connection = std::make_shared<async_http::Connection>(m_context, runner.endpoint);
    std::weak_ptr<async_http::Connection> weak = connection;
    async_http::Alarm alarm(m_context, absl::FromChrono(m_options.m_probe_timeout),
                            [weak]
                            {
                                if (auto pending = weak.lock())
                                {
                                    pending->Close();
                                }
                            });
    bool connected = co_await connection->Connect();
    alarm.Stop();
    if (connected)
    {
        connection->Close();
        co_return runner_process::listening;
    }
    bool refused = connection->connect_error() == async_http::asio::error::connection_refused;
    co_return refused ? runner_process::refusing : runner_process::silent;
}

void crash_tracker::withdraw(const suspect& request, const turn_ledger::TurnId& record)
{
    m_suspects.clear(request.m_fingerprint, record);
    if (m_ledger.groups() == 0)
    {
        return;
    }
    turn_ledger::SettleTurn settle;
    settle.program = request.m_account;
    settle.turn = record;
    settle.retention_ms = static_cast<std::uint32_t>(m_options.m_retention.count());
    async_http::asio::co_spawn(
        m_context,
        [self = shared_from_this(), group = group_of(request), settle]() -> Task<void>
        {
            turn_ledger::Operation operation = settle;
            // Not urgent, but a record that stays would hold back a request that ended no runner.
            absl::Time end = SteadyNow() + absl::FromChrono(self->m_options.m_retention);
            co_await self->m_ledger.Call(group, operation, end);
        },
        async_http::asio::detached);
}

void crash_tracker::forget(const suspect& request, const turn_ledger::crash_records& records)
{
    m_suspects.forget(request.m_fingerprint);
    for (const turn_ledger::TurnId& record : records)
    {
        withdraw(request, record);
    }
}

void crash_tracker::watch(const std::string& runner, lost_request loss)
{
    m_watch.add(runner, std::move(loss));
}

void crash_tracker::on_answer(const std::string& runner, instant sent_at)
{
    for (const lost_request& loss : m_watch.take_cleared(runner, sent_at))
    {
        ++m_stats.m_losses_cleared;
        Line line("runner_loss_cleared");
        m_log.Write(describe(line, loss, runner));
        withdraw(loss.m_suspect, *loss.m_record);
    }
}

void crash_tracker::on_end(const std::string& runner, const ServiceName& service)
{
    for (lost_request& loss : m_watch.take_uncounted(runner))
    {
        Line line("runner_loss_counted_late");
        m_log.Write(describe(line, loss, runner));
        async_http::asio::co_spawn(
            m_context,
            [self = shared_from_this(), loss = std::move(loss), runner, service]() mutable -> Task<void>
            {
                reply counted = co_await self->count(loss.m_suspect, runner, loss.m_request, service);
                if (counted.m_permit == crash_permit::granted)
                {
                    // The evidence may be wrong: a runner also refuses connections beyond its limit.
                    loss.m_record = counted.m_record;
                    self->watch(runner, std::move(loss));
                }
            },
            async_http::asio::detached);
    }
}

void crash_tracker::on_replaced(const std::function<bool(const std::string&)>& ended,
                                const ServiceName& service)
{
    for (const std::string& runner : m_watch.runners_where(ended))
    {
        on_end(runner, service);
    }
}

void crash_tracker::tick()
{
    m_watch.expire(SteadyInstant());
}

}  // namespace martenyard::forwarding
