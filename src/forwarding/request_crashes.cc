// Crash part of RequestHandler: a request under which several runners ended, in any try of its
// client and at any gateway, is not sent to another one. Until then it runs where little else does.
//
// A loss is counted before the client gets the response, so that its next try finds the count; a
// suspect request is counted before it is sent, so that the count survives this process.
#include <utility>

#include "absl/strings/str_join.h"
#include "base/clock.h"
#include "forwarding/headers/status_code.h"
#include "forwarding/request_handler.h"

namespace martenyard::forwarding {

using async_http::Task;
using event_log::Line;
using turn_ledger::TurnId;

namespace {

absl::string_view View(boost::beast::string_view text) { return {text.data(), text.size()}; }

const char* NameOf(runner_process process) {
  switch (process) {
    case runner_process::listening:
      return "listening";
    case runner_process::refusing:
      return "refusing";
    case runner_process::silent:
      return "silent";
  }
  return "unknown";
}

const char* NameOf(crash_permit permit) {
  switch (permit) {
    case crash_permit::granted:
      return "granted";
    case crash_permit::exhausted:
      return "exhausted";
    case crash_permit::unknown:
      return "unknown";
  }
  return "unknown";
}

std::string RunnersOf(const turn_ledger::crash_records& records) {
  return absl::StrJoin(turn_ledger::runners_of(records), ",");
}

}  // namespace

// ---- Identity ----

void RequestHandler::Identify() {
  if (fingerprint_ || !state_->fingerprints) {
    return;
  }
  const auto& request = exchange_->request();
  request_identity identity;
  identity.m_tenant = tenant_ == nullptr ? absl::string_view() : tenant_->m_name;
  identity.m_method = View(request.method_string());
  identity.m_host = View(request[boost::beast::http::field::host]);
  identity.m_target = View(request.target());
  identity.m_program = info_.program.value;
  identity.m_session = info_.session;
  if (info_.previous_turn) {
    identity.m_previous_turn = info_.previous_turn->value;
  }
  identity.m_prompt_part = info_.prompt.empty() ? 0 : info_.prompt.back().id;
  identity.m_body = *body_;
  fingerprint_ = state_->fingerprints->fingerprint(identity);
  if (fingerprint_) {
    suspect_ = make_suspect(*fingerprint_, program_);
    crashes_ = state_->crashes->known_records(suspect_);
  }
}

std::string RequestHandler::FingerprintText() const {
  return fingerprint_ ? fingerprint_->hex() : std::string();
}

std::optional<ProgramId> RequestHandler::CrashAccount() const {
  // Outside of programs the account is in another group than the reservation.
  bool same_group = fingerprint_ && suspect_.m_home == program_;
  return same_group ? std::make_optional(suspect_.m_account) : std::nullopt;
}

// ---- Before a send ----

void RequestHandler::LearnCrashes(const turn_ledger::OperationResult& reply) {
  if (fingerprint_) {
    state_->crashes->learn(suspect_, reply);
    crashes_ = state_->crashes->known_records(suspect_);
    unsettled_tries_ = reply.unsettled_tries.value_or(0);
  }
}

bool RequestHandler::IsHeldBack() const {
  const crash_tracker& crashes = *state_->crashes;
  std::size_t ended =
      turn_ledger::runners_of(crashes_).size() + crashes.unrecorded_ends(unsettled_tries_);
  return ended >= crashes.options().m_max_crashes;
}

Task<bool> RequestHandler::CheckCrashes() {
  // What is known here may have been cleared by another gateway.
  bool asks = IsSuspect() || state_->crashes->is_alerted(service_name_);
  if (!crashes_known_ && asks) {
    co_await WaitFor(Prerequisite::kLedgerGroups);
    Identify();
    if (fingerprint_) {
      crashes_known_ = co_await state_->crashes->find(suspect_);
      crashes_ = state_->crashes->known_records(suspect_);
    }
  }
  if (IsHeldBack()) {
    SettleInBackground(0);
    co_await RejectHeldBack();
    co_return false;
  }
  co_return true;
}

Task<void> RequestHandler::RejectHeldBack() {
  ++state_->crashes->stats().m_requests_held_back;
  state_->log.Write(Line("suspect_held_back")
                        .Text("request", info_.id.value)
                        .Text("fingerprint", FingerprintText())
                        .Text("runners", RunnersOf(crashes_))
                        .Number("unsettled_tries", unsettled_tries_)
                        .Text("source", crashes_known_ ? "ledger" : "gateway"));
  if (exchange_->stream_started()) {
    exchange_->Break();
    EndRequest("broken");
    co_return;
  }
  co_await SendError(502, reject_reason::runners_ended, std::nullopt);
}

Task<bool> RequestHandler::ReserveCrash(const discovery::Runner& runner) {
  if (!IsSuspect()) {
    co_return true;
  }
  absl::Time start = SteadyNow();
  crash_tracker::reply reply = co_await state_->crashes->reserve(suspect_, process_of(runner),
                                                                 info_.id.value, unsettled_tries_);
  bool granted = reply.m_permit == crash_permit::granted;
  crashes_ = std::move(reply.m_records);
  if (granted) {
    crash_record_ = reply.m_record;
    crashes_.erase(reply.m_record);
  } else {
    suspect_refusal_ = reject_reason::suspect_uncounted;
  }
  state_->log.Write(Line("suspect_reserved")
                        .Text("request", info_.id.value)
                        .Text("fingerprint", FingerprintText())
                        .Text("runner", runner.id.value)
                        .Text("permit", NameOf(reply.m_permit))
                        .Text("runners_ended", RunnersOf(crashes_))
                        .Number("unsettled_tries", unsettled_tries_)
                        .Real("ms", absl::ToDoubleMilliseconds(SteadyNow() - start)));
  co_return granted;
}

void RequestHandler::WithdrawCrash() {
  if (auto record = std::exchange(crash_record_, std::nullopt)) {
    state_->crashes->withdraw(suspect_, *record);
  }
}

bool RequestHandler::RisksLastRunner() const {
  absl::Time now = SteadyNow();
  int usable = 0;
  int lost = 0;
  for (const discovery::RunnerState* runner : state_->runners.OfService(service_name_)) {
    bool avoided = runner->avoid_until > now;
    bool usable_now = !runner->IsDraining() && !avoided && IsAllowed(runner->runner);
    usable += usable_now ? 1 : 0;
    lost += runner->gone || avoided ? 1 : 0;
  }
  return usable == 1 && lost > 0;
}

void RequestHandler::CountSuspect(const discovery::RunnerId& runner, int change) {
  discovery::RunnerState* state = state_->runners.Find(runner);
  if (state == nullptr || !crash_record_) {
    return;
  }
  state->own_suspects += change;
  state->own_strong_suspects += turn_ledger::runners_of(crashes_).size() > 1 ? change : 0;
}

// ---- After an attempt ----

Task<void> RequestHandler::JudgeAttempt(const discovery::Runner& runner,
                                        const AttemptResult& result,
                                        std::chrono::steady_clock::time_point sent_at) {
  crash_tracker& crashes = *state_->crashes;
  std::string process = process_of(runner);
  bool answered = result.outcome == AttemptOutcome::kCompleted ||
                  (result.outcome == AttemptOutcome::kNotRun && !result.wrong_runner);
  if (answered) {
    crashes.on_answer(process, sent_at);
  } else if (result.wrong_runner || result.refused) {
    crashes.on_end(process, runner.service);
  }
  if (!fingerprint_) {
    co_return;
  }
  bool ran = result.sent && result.outcome != AttemptOutcome::kNotRun;
  if (!ran || result.outcome == AttemptOutcome::kCompleted) {
    WithdrawCrash();
  } else if (result.connection_lost && !result.client_slow) {
    co_await JudgeLoss(runner, std::exchange(crash_record_, std::nullopt));
  } else {
    // It was given up, or the bytes were no answer: the runner may have ended all the same.
    WatchLoss(process, std::exchange(crash_record_, std::nullopt));
  }
  bool served = result.outcome == AttemptOutcome::kCompleted && is_success(result.status);
  if (served && IsSuspect()) {
    crashes.forget(suspect_, std::exchange(crashes_, {}));
  }
}

Task<void> RequestHandler::JudgeLoss(const discovery::Runner& runner,
                                     std::optional<TurnId> record) {
  std::string process = process_of(runner);
  runner_process state = co_await state_->crashes->probe(runner);
  if (!record && state == runner_process::refusing) {
    crash_tracker::reply counted =
        co_await state_->crashes->count(suspect_, process, info_.id.value, runner.service);
    crashes_ = std::move(counted.m_records);
    if (counted.m_permit == crash_permit::granted) {
      record = counted.m_record;
    }
  } else if (record) {
    crashes_.insert(*record);
  }
  state_->log.Write(Line("runner_loss")
                        .Text("request", info_.id.value)
                        .Text("fingerprint", FingerprintText())
                        .Text("runner", runner.id.value)
                        .Text("process", NameOf(state))
                        .Flag("counted", record.has_value())
                        .Text("runners_ended", RunnersOf(crashes_)));
  WatchLoss(process, std::move(record));
}

void RequestHandler::WatchLoss(const std::string& process, std::optional<TurnId> record) {
  lost_request loss;
  loss.m_suspect = suspect_;
  loss.m_request = info_.id.value;
  loss.m_record = std::move(record);
  loss.m_lost_at = SteadyInstant();
  state_->crashes->watch(process, std::move(loss));
}

}  // namespace martenyard::forwarding
