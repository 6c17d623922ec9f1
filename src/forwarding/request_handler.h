// Handles one client request: admission, runner selection, attempts, response and settlement.
#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "async_http/server.h"
#include "forwarding/admission/program_admission.h"
#include "forwarding/attempt.h"
#include "forwarding/crashes/crash_tracker.h"
#include "forwarding/crashes/request_fingerprint.h"
#include "forwarding/gateway_state.h"
#include "forwarding/history/history_fetch.h"
#include "forwarding/regions/region_restriction.h"
#include "forwarding/rejections/reject_reason.h"
#include "forwarding/streams/delivered_events.h"
#include "forwarding/streams/stream_forwarder.h"

namespace martenyard::forwarding {

/// How the origin of a resumed stream is known.
enum class OriginSource {
  kLedger,
  kSoleVersion,  ///< All known runners of the service have the same version.
};

class RequestHandler {
 public:
  RequestHandler(std::shared_ptr<GatewayState> state,
                 std::shared_ptr<async_http::Exchange> exchange);

  /// Handles the request until the response is sent or the client has disconnected.
  async_http::Task<void> Run();

 private:
  /// State that is not available immediately after the start of the process.
  enum class Prerequisite { kRoutes, kLedgerGroups, kLease };
  bool IsAvailable(Prerequisite prerequisite) const;
  /// Computes the fingerprint, once the deployment's secret is known.
  void Identify();
  /// @return the fingerprint for the log; empty if there is none.
  std::string FingerprintText() const;
  /// Waits until `prerequisite` is available, for at most the start-up timeout or a quarter of the
  /// request's time.
  async_http::Task<void> WaitFor(Prerequisite prerequisite);
  /// @return the account with the records of the runners that ended under the request, if the
  /// ledger group of the reservation has it.
  std::optional<ProgramId> CrashAccount() const;
  /// Takes over the records that came with a reply of the ledger.
  void LearnCrashes(const turn_ledger::OperationResult& reply);
  /// @return whether a runner ended under the request, in any try of its client, or may have ended
  /// together with the gateway of an earlier try.
  bool IsSuspect() const { return !crashes_.empty() || unsettled_tries_ > 0; }
  /// @return whether so many runners ended under the request that it may not be sent to another.
  bool IsHeldBack() const;
  /// Asks the ledger for crashes if the request is suspect or runners of its service ended
  /// recently, unless it has answered with the reservation. @return false if it sent an error.
  async_http::Task<bool> CheckCrashes();
  /// Ends a request that is held back.
  async_http::Task<void> RejectHeldBack();
  /// Counts a suspect request at the runner that it is about to be sent to. @return false if it may
  /// not be sent.
  async_http::Task<bool> ReserveCrash(const discovery::Runner& runner);
  /// Withdraws the count of a request that was not sent.
  void WithdrawCrash();
  /// @return whether a suspect request might end the last runner of its service.
  bool RisksLastRunner() const;
  /// Counts this request at the runner while it is in flight there, if it is suspect.
  void CountSuspect(const discovery::RunnerId& runner, int change);
  /// Decides after an attempt whether the runner ended under the request.
  async_http::Task<void> JudgeAttempt(const discovery::Runner& runner, const AttemptResult& result,
                                      std::chrono::steady_clock::time_point sent_at);
  /// The runner's side closed the connection: finds out whether the runner has ended.
  async_http::Task<void> JudgeLoss(const discovery::Runner& runner,
                                   std::optional<turn_ledger::TurnId> record);
  /// Keeps a loss until the runner is known to serve on or to have ended.
  void WatchLoss(const std::string& process, std::optional<turn_ledger::TurnId> record);
  /// Finds the route. @return false if it sent an error.
  async_http::Task<bool> FindRoute();
  /// Checks the API key and sets the tenant. @return false if it sent an error.
  async_http::Task<bool> CheckKey();
  /// Counts the request against its tenant's quota. @return false if it sent an error.
  async_http::Task<bool> CheckQuota();
  /// @return whether the request can't be served without the ledger.
  bool NeedsLedger() const;
  /// Checks the quota and admits the turn, unless this gateway is isolated from the ledger or
  /// becomes so meanwhile. @return false if it sent an error.
  async_http::Task<bool> AdmitUnlessIsolated();
  /// Rejects the request while it waits for the ledger.
  void StartRejection();
  /// Sends 503 to a request that an isolated gateway can't serve.
  async_http::Task<void> RejectIsolated();
  /// @return the Retry-After time of a request that this isolated gateway rejects.
  absl::Duration MoveDelay();
  /// @return whether the API key is still valid in the current configuration.
  bool KeyStillValid() const;
  /// Sends 503 to a request whose API key can't be verified without a valid configuration lease.
  async_http::Task<void> RefuseWithoutLease(reject_reason reason);
  /// Ends a request whose API key became invalid or unverifiable after admission.
  async_http::Task<void> RejectRevokedKey();
  /// Scopes the ids chosen by the client to its tenant.
  void ScopeIds();
  /// Reserves the turn's tokens and loads its history. @return false if it sent an error.
  async_http::Task<bool> AdmitTurn();
  /// Reserves in the program's group. If the previous turn is unknown there, searches the other
  /// groups for it.
  async_http::Task<turn_ledger::CallResult> Reserve(turn_ledger::ReserveTurn reserve,
                                                    absl::Time ledger_deadline,
                                                    turn_ledger::Programs programs);
  /// Handles the ledger's verdict. @return false if it sent an error.
  async_http::Task<bool> HandleVerdict(const turn_ledger::CallResult& result,
                                       event_log::Line& line);
  engine_load EngineLoad() const;
  /// @return which programs may begin at this load. Sets the decision, if a mechanism is enabled.
  turn_ledger::Programs AdmittedPrograms(const engine_load& load);
  /// @return the Retry-After time of a refused new program.
  absl::Duration ProgramRetryDelay() const;
  /// Reserves with the history of a previous turn that another group has.
  async_http::Task<turn_ledger::CallResult> ReserveAfterOtherGroupsTurn(
      turn_ledger::ReserveTurn reserve, absl::Time ledger_deadline);
  /// Waits for the history and prepends it to the body. @return false if it sent an error.
  async_http::Task<bool> LoadHistory(history_fetch& fetch, turn_ledger::ReserveTurn reserve,
                                     absl::Time ledger_deadline, event_log::Line& line);
  /// Prepends the history to the request body.
  void PrependHistory(std::shared_ptr<const std::string> history);
  /// Caches a history that came with the leader's verdict and prepends it to the body.
  void UseLeaderHistory(std::string history, event_log::Line& line);
  /// @return whether the client may resume the stream with a later request.
  bool IsResumable() const;
  /// @return whether the client resumes a stream with this request.
  bool IsResumption() const;
  /// @return whether the stream may still begin at another origin: the client has no part of it.
  bool MayChangeOrigin() const;
  /// @return whether the runner may deliver the next event of the stream.
  bool ContinuesStream(const discovery::Runner& runner) const;
  /// @return the ledger account with the origin of the stream that the request `stream` began.
  ProgramId OriginAccount(const turn_ledger::TurnId& stream) const;
  /// @return the question for the origin of the stream that the client resumes; nothing if the
  /// client resumes none, or doesn't name it.
  std::optional<turn_ledger::origin_query> OriginQuery() const;
  /// @return the only origin that streams of the route can have now; nothing if there are several.
  std::optional<turn_ledger::stream_origin> SoleOrigin() const;
  /// @return the origin of every stream of the service that may still be resumed, if it is proven
  /// that they have one: no other version has been known for as long as streams are kept, and the
  /// store lists none now.
  async_http::Task<std::optional<turn_ledger::stream_origin>> ProveSoleOrigin();
  /// Chooses the origin that the reservation of a new stream records.
  void PlanOrigin();
  /// Records the runner's origin if the reserved stream was planned to begin at another one.
  /// @return false if the record is not known to be committed: the runner may not be used.
  async_http::Task<bool> RecordOrigin(const discovery::Runner& runner);
  /// The first event of the runner is about to be delivered.
  void StartStream(const discovery::Runner& runner);
  void RecordOriginInBackground();
  /// Finds the origin of the stream that the client names and resumes without a reservation.
  /// @return false if it sent an error.
  async_http::Task<bool> FindOrigin();
  /// Restricts the request to the runners of an origin. @return false if it sent an error.
  async_http::Task<bool> AdoptOrigin(std::optional<turn_ledger::stream_origin> origin,
                                     OriginSource source);
  async_http::Task<void> TryRunners();
  /// Chooses a runner that may be sent the request now. Takes a permit for a cold one.
  async_http::Task<std::optional<discovery::Runner>> ChooseAdmitted();
  std::optional<discovery::Runner> Choose();
  /// Chooses among the runners of the service, or else of the route's other services.
  /// @param[out] candidates those that the choice's index refers to.
  std::optional<Choice> PickRunner(std::vector<Candidate>& candidates);
  std::vector<Candidate> Candidates();
  /// @return the mechanisms with those of placement disabled that do not apply to this request.
  overload_options PlacementMechanisms() const;
  /// @return whether runners of unreachable zones are disregarded: the service has others that may
  /// be sent the request.
  bool DisregardsUnreachable() const;
  /// @return whether this request may be sent to the runner: the operator allows it, and the runner
  /// continues the stream.
  bool IsAllowed(const discovery::Runner& runner) const;
  /// Requests a slow start permit for a cold runner. @return whether the request may be sent to it.
  async_http::Task<bool> TakePermit(const discovery::Runner& runner);
  /// @return why no runner can be chosen.
  reject_reason NoRunnerReason();
  /// @return the cost, in milliseconds, of losing this request at a runner.
  double LossCost() const;
  AttemptPlan MakePlan(const discovery::Runner& runner);
  std::string RequestHead(const discovery::Runner& runner) const;
  /// @return the priority rank sent to engines; 0 is the most urgent.
  int PriorityRank() const;
  async_http::Task<AttemptResult> RunAttempt(const discovery::Runner& runner,
                                             stream_forwarder& forwarder);
  void RecordResult(const discovery::Runner& runner, const AttemptResult& result);
  void LogAttempt(const discovery::Runner& runner, const AttemptResult& result,
                  const stream_forwarder& forwarder, absl::Time start);
  /// Records the turn's times for the load limit of its service.
  void RecordTurnTimes(const AttemptResult& result, const stream_forwarder& forwarder,
                       double runner_load, absl::Time start);
  /// A runner that lost a connection may have restarted and be cold before its entry tells so.
  void MarkPossibleRestart(const discovery::Runner& runner, AttemptOutcome outcome);
  /// Records in the runner's failure statistics whether it lost the request.
  void RecordRunnerOutcome(const discovery::Runner& runner, const AttemptResult& result);
  /// Records that the runner has cached the prompt.
  void RecordPlacement();
  RetryState CurrentRetryState() const;
  async_http::Task<void> ForwardResponse(AttemptResult& result, stream_forwarder& forwarder);
  async_http::Task<void> FinishStream(stream_forwarder& forwarder);
  std::uint32_t RetentionMilliseconds() const;
  /// @return the ledger operation that settles the turn with `tokens` tokens.
  turn_ledger::SettleTurn Settlement(std::uint64_t tokens) const;
  /// Commits the turn to the ledger. @return false when the commit is not confirmed.
  async_http::Task<bool> CommitTurn();
  void SettleInBackground(std::uint64_t tokens);
  /// Sends a response of the gateway itself. A 503 without `retry_after` gets the default one.
  async_http::Task<void> SendError(unsigned status, reject_reason reason,
                                   std::optional<absl::Duration> retry_after);
  async_http::Task<void> Refuse(reject_reason reason);
  void EndRequest(absl::string_view outcome);
  absl::Duration TimeLeft() const;
  std::uint64_t TokensDelivered() const;
  /// @return the tokens that the request may occupy in an engine's cache; 0 for plain services.
  std::uint32_t ExpectedTokens() const;
  std::uint64_t ConnectionShare(const ServiceName& service) const;

  std::shared_ptr<GatewayState> state_;
  std::shared_ptr<async_http::Exchange> exchange_;
  std::shared_ptr<const RouteTable> routes_;
  const Route* route_ = nullptr;
  const Service* service_ = nullptr;
  const tenancy::tenant* tenant_ = nullptr;  // Owned by `routes_`; null without an API key.
  region_restriction regions_;
  ServiceName service_name_;
  RequestInfo info_;
  // The client's ids, scoped to the tenant.
  turn_ledger::TurnId turn_;
  turn_ledger::TurnId reservation_id_;  ///< The turn's id; that of a resumable turn has an origin.
  ProgramId program_;
  std::optional<RequestId> previous_turn_;
  /// The same for all tries of the client; empty while it is not known.
  std::optional<request_fingerprint> fingerprint_;
  suspect suspect_;                                  ///< Valid with a fingerprint.
  turn_ledger::crash_records crashes_;               ///< Of runners that ended under the request.
  std::uint32_t unsettled_tries_ = 0;                ///< Other tries without a record of an end.
  bool crashes_known_ = false;                       ///< The records are the ledger's.
  std::optional<turn_ledger::TurnId> crash_record_;  ///< Of the runner that it is sent to now.
  std::optional<reject_reason> suspect_refusal_;     ///< Why it may not be sent now.
  absl::Time deadline_;
  std::shared_ptr<const std::string> body_;

  bool rejecting_ = false;          // The gateway became isolated while the request waited.
  bool sending_rejection_ = false;  // The 503 of the isolated gateway is being sent.
  async_http::Signal rejection_ended_;
  std::optional<turn_decision> admission_;  // Empty if only the load decides.
  bool reserved_ = false;
  bool settled_ = false;
  GroupId group_;                                           // Ledger group of the program.
  std::shared_ptr<const std::string> history_;              // Chain of the previous turns.
  std::shared_ptr<const std::string> other_group_history_;  // The same, of another program.

  /// Of the stream: planned until it starts, then fixed. Empty if not planned.
  std::optional<turn_ledger::stream_origin> origin_;
  bool origin_open_ = false;             ///< Runners of other origins may be chosen, too.
  std::uint32_t origin_generation_ = 0;  ///< Of the last record of the origin.

  std::set<std::string> tried_;
  int sent_attempts_ = 0;  // Attempts that sent the request, except to a wrong runner.
  bool may_have_run_ = false;
  absl::Time send_before_ = absl::InfiniteFuture();  // End of the slow start permit.
  Attempt* attempt_ = nullptr;
  delivered_events delivered_;  // Over all attempts.
  std::string last_detail_;
  Choice last_choice_;
  std::uint32_t last_runner_ = 0;  // Short id.
  std::string head_runner_;  // Runner whose response head the client got; empty for own responses.
};

}  // namespace martenyard::forwarding
