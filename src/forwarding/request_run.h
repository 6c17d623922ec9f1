// One client request on its way: its route, its deadline, its tries, and what the client got.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "async_http/server.h"
#include "forwarding/admission/program_admission.h"
#include "forwarding/attempt.h"
#include "forwarding/gateway_state.h"
#include "forwarding/history/history_fetch.h"
#include "forwarding/streams/passed_events.h"
#include "forwarding/streams/stream_run.h"

namespace martenyard::forwarding {

class RequestRun {
 public:
  RequestRun(std::shared_ptr<GatewayState> state, std::shared_ptr<async_http::Exchange> exchange);

  /// Handles the request to its end.
  async_http::Task<void> Run();

 private:
  /// What a process learns soon after its start.
  enum class Knowledge { kRoutes, kLedgerGroups, kLease };
  bool Knows(Knowledge what) const;
  /// Waits a little where this process has only just started.
  async_http::Task<void> WaitFor(Knowledge what);
  /// Finds the route; answers itself when there is none. @return false when it answered.
  async_http::Task<bool> FindRoute();
  /// Checks the API key and names the tenant; answers itself when the key opens nothing.
  /// @return false when it answered.
  async_http::Task<bool> CheckKey();
  /// Counts the request against its tenant's limit. @return false when it answered.
  async_http::Task<bool> TakeQuota();
  /// @return whether the key is still valid under the configuration in force now.
  bool KeyStillHolds() const;
  /// Refuses a keyed request: the configuration may be too old to say whether its key still holds.
  async_http::Task<void> RefuseWithoutLease(absl::string_view reason);
  /// Ends a request whose key lost its force while it waited.
  async_http::Task<void> RefuseKey();
  /// Makes the ids that the client chose unique over all tenants.
  void ScopeIds();
  /// Reserves the turn's tokens and fetches its history. @return false when it answered.
  async_http::Task<bool> AdmitTurn();
  /// Asks the program's group, and the others where it goes on from another program's turn.
  async_http::Task<turn_ledger::CallResult> Reserve(turn_ledger::ReserveTurn reserve,
                                                    absl::Time patience,
                                                    turn_ledger::Programs programs);
  /// Answers itself where the ledger did not admit the turn. @return false when it answered.
  async_http::Task<bool> TakeVerdict(const turn_ledger::CallResult& result, event_log::Line& line);
  engine_load EngineLoad() const;
  /// @return when a new program that was refused may come back.
  absl::Duration ProgramPause() const;
  /// The program's own group doesn't know the turn that it goes on from: another's may.
  async_http::Task<turn_ledger::CallResult> ReserveOnForeignTurn(turn_ledger::ReserveTurn reserve,
                                                                 absl::Time patience);
  /// Puts the chain before the turn's own input. @return false when it answered.
  async_http::Task<bool> TakeHistory(history_fetch& fetch, turn_ledger::ReserveTurn reserve,
                                     absl::Time patience, event_log::Line& line);
  /// From here on the request brings its turn's whole chain.
  void PutHistoryFirst(std::shared_ptr<const std::string> history);
  /// The same with a chain that came with the ledger's verdict.
  void TakeRelayedHistory(std::string history, event_log::Line& line);
  async_http::Task<void> TryRunners();
  std::optional<discovery::Runner> Choose();
  std::vector<Candidate> Candidates();
  /// @return what it costs, in milliseconds, if a runner loses this request.
  double LossCost() const;
  AttemptPlan MakePlan(const discovery::Runner& runner);
  std::string RequestHead(const discovery::Runner& runner) const;
  /// @return the rank that engines are told, 0 for the most urgent.
  int PriorityRank() const;
  async_http::Task<AttemptResult> RunOnce(const discovery::Runner& runner, stream_run& run);
  void NoteResult(const discovery::Runner& runner, const AttemptResult& result);
  void LogAttempt(const discovery::Runner& runner, const AttemptResult& result,
                  const stream_run& run, absl::Time began);
  /// Notes whether the runner lost the request.
  void NoteOutcome(const discovery::Runner& runner, const AttemptResult& result);
  /// The runner has read the prompt: it, and what it makes, are kept there for a while.
  void NotePlacement();
  RequestSituation Situation() const;
  async_http::Task<void> PassOn(AttemptResult& result, stream_run& run);
  async_http::Task<void> FinishStream(stream_run& run);
  std::uint32_t RetentionMilliseconds() const;
  /// @return what tells the ledger that the turn ended with so many tokens.
  turn_ledger::SettleTurn Settlement(std::uint64_t tokens) const;
  /// Commits a kept turn. @return false when it is not known to be committed.
  async_http::Task<bool> CommitTurn();
  void SettleLater(std::uint64_t tokens);
  async_http::Task<void> AnswerOwn(unsigned status, absl::string_view reason,
                                   std::optional<absl::Duration> retry_after);
  async_http::Task<void> Refuse(absl::string_view reason);
  void Close(absl::string_view outcome);
  absl::Duration TimeLeft() const;
  std::uint64_t TokensDelivered() const;
  std::uint64_t ConnectionShare(const ServiceName& service) const;

  std::shared_ptr<GatewayState> state_;
  std::shared_ptr<async_http::Exchange> exchange_;
  std::shared_ptr<const RouteTable> routes_;
  const Route* route_ = nullptr;
  const Service* service_ = nullptr;
  const tenancy::tenant* tenant_ = nullptr;  // Of `routes_`; null without a key.
  ServiceName service_name_;
  RequestInfo info_;
  // What the client named, made unique over all tenants.
  turn_ledger::TurnId turn_;
  ProgramId program_;
  std::optional<RequestId> previous_turn_;
  absl::Time deadline_;
  std::shared_ptr<const std::string> body_;

  bool reserved_ = false;
  bool settled_ = false;
  GroupId group_;                                       // Of the ledger, that has the program.
  std::shared_ptr<const std::string> history_;          // Of a kept turn's chain.
  std::shared_ptr<const std::string> foreign_history_;  // The same, of another program's turn.

  std::set<std::string> tried_;
  int sent_to_ = 0;  // Runners that the request was sent to.
  bool may_have_run_ = false;
  Attempt* attempt_ = nullptr;
  passed_events passed_;  // All that runs leave behind for the next one.
  std::string last_detail_;
  Choice last_choice_;
  std::uint32_t last_runner_ = 0;  // Its short id.
  std::string head_runner_;        // Whose answer's head the client gets; empty for an own answer.
};

}  // namespace martenyard::forwarding
