// Runs calls from admission to their committed result: intent in the ledger, engine and permit,
// streaming, result in the ledger, response. Decision logic only: all I/O goes through CallHost.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "gateway/call_host.h"
#include "gateway/call_types.h"

namespace martenyard::gateway {

struct CoordinatorOptions {
  scheduling::PlacementPolicy placement = scheduling::PlacementPolicy::kWaitRebuild;
  scheduling::CostModel costs;
  std::size_t max_active = 2000;
  absl::Duration grant_lease = absl::Seconds(3);  ///< As the ledgers have it.
  /// A gateway stops using a grant after this fraction of the lease, counted from when it sent the
  /// request, so that a suspended or partitioned gateway never works on a call that has lapsed.
  double usable_lease_fraction = 0.8;
  absl::Duration renew_interval = absl::Milliseconds(500);
  absl::Duration engine_cooldown =
      absl::Seconds(3);  ///< A failed engine is not chosen for this long.
  absl::Duration placement_retry = absl::Milliseconds(100);
  absl::Duration void_timeout =
      absl::Seconds(1);  ///< For voiding a call whose admission is uncertain.
  absl::Duration commit_timeout = absl::Seconds(20);  ///< For storing a result in the ledger.
  int max_dispatches = 6;                             ///< Of one call, to engines or services.
  double retry_budget_cap = 20.0;                     ///< Retries that may accumulate.
  double retry_budget_per_call = 0.1;                 ///< Retries added by each successful call.
};

/// Counters since process start.
struct CoordinatorStats {
  std::uint64_t calls_started = 0;
  std::uint64_t calls_ran = 0;
  std::uint64_t calls_not_run = 0;
  std::uint64_t calls_unknown = 0;
  std::uint64_t calls_refused = 0;  ///< Not admitted; nothing started.
  std::uint64_t redispatches = 0;
  std::uint64_t retries_denied = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
};

class CallCoordinator {
 public:
  CallCoordinator(CallHost& host, const CoordinatorOptions& options, std::uint64_t seed);

  /// Starts the call, or attaches `sink` to it if it is already active here.
  void Start(const CallSpec& spec, std::shared_ptr<CallSink> sink);
  void OnPermitUpdate(const dispatch::PermitNews& news);
  void Tick();
  /// Rejects new calls from now on; active ones continue.
  void StopAdmitting() { admitting_ = false; }
  std::size_t active() const { return calls_.size(); }
  /// @return the groups of the active calls' programs.
  std::set<GroupId> GroupsInUse() const;
  /// @return per engine, the number of calls that hold a permit for it or wait for one.
  std::map<BackendName, int> CountByEngine() const;
  const CoordinatorStats& stats() const { return stats_; }

 private:
  enum class Stage {
    kAdmitting,
    kRenewingGrant,
    kPlacing,
    kWaitingForPermit,
    kRunning,
    kBackingOff,
    kCommitting
  };
  using CallId = std::uint64_t;

  struct Call {
    CallId id = 0;
    AdmissionId admission;
    CallSpec spec;
    std::vector<std::shared_ptr<CallSink>> sinks;
    Stage stage = Stage::kAdmitting;
    bool granted = false;
    ledger::Grant grant;
    absl::Time requested_at;  // When the request that gave or last renewed the grant was sent.
    int priority = 5;
    ledger::Tokens attained = 0;
    BackendName last_engine;
    std::string messages;  // The whole prompt, JSON.
    ledger::Tokens context_tokens = 0;
    clients::Backend backend;  // Of the current dispatch.
    bool holds_permit = false;
    clients::BackendClient::Handle handle = 0;
    int dispatches = 0;
    bool may_have_run = false;  // A back end accepted it and did not report that it had not run.
    absl::Time resume_at;       // When to retry in kPlacing and kBackingOff.
    std::map<BackendName, absl::Time> cooling_down;
    std::string text;      // Generated so far, by all dispatches.
    bool resumed = false;  // The current dispatch continues an earlier one's text.
    clients::ModelUsage usage;
    int status_if_not_run = 409;
    std::string reason;  // Reported if the call ends without a result.
  };

  Call* Find(CallId id);
  void Admit(Call& call);
  void OnBeginResult(CallId id, const LedgerResult& ledger_result);
  /// The ledger did not reply in time: voids the call, so that it can be reported as not run.
  void VoidAdmission(Call& call);
  void OnVoidResult(CallId id, const LedgerResult& ledger_result);
  void RejectAdmission(Call& call, ledger::Verdict verdict);
  void AcceptGrant(Call& call, const ledger::ApplyResult& result);
  /// @return true while the ledger is sure to hold the grant.
  bool GrantIsFresh(const Call& call) const;
  /// Starts a granted call, after renewing the grant if it may have lapsed.
  void StartWork(Call& call);

  void Place(Call& call);
  void RequestPermit(Call& call);
  void BeginDispatch(Call& call);
  void RunModel(Call& call);
  void OnModelDone(CallId id, const clients::ModelOutcome& outcome);
  static clients::ModelUsage TotalUsage(const Call& call, const clients::ModelUsage& reported);
  void ReleaseEngine(Call& call, bool engine_draining);
  void Redispatch(Call& call, const std::string& reason);

  void RunService(Call& call);
  void OnServiceDone(CallId id, const clients::ServiceOutcome& outcome);
  bool ConsumeRetry();

  void Commit(Call& call, ledger::CallState outcome, std::string result);
  void OnCommitted(CallId id, const LedgerResult& ledger_result);
  void EndFromRecord(Call& call, const ledger::CallRecord& record);
  void End(Call& call, const CallEnd& end);
  void EndWithUnknownOutcome(Call& call, int status, const std::string& title);
  void StopWork(Call& call);

  void RenewGrants();
  void Renew(GroupId group, std::vector<ledger::Grant> grants);
  void OnRenewed(const std::vector<ledger::Grant>& renewed, absl::Time requested_at,
                 const LedgerResult& ledger_result);
  Call* FindGranted(const ledger::Grant& grant);
  void RenewPermits();
  /// @return the state of a call that is abandoned now.
  static ledger::CallState OutcomeIfAbandoned(const Call& call);
  void CheckTimeouts(Call& call);
  dispatch::PermitAsk MakePermitRequest(const Call& call) const;

  CallHost& host_;
  CoordinatorOptions options_;
  Random random_;
  absl::Time next_renewal_;
  bool admitting_ = true;
  CallId last_call_id_ = 0;
  std::map<CallId, Call> calls_;
  std::map<std::pair<ProgramId, CallKey>, CallId> by_key_;
  std::uint64_t round_robin_ = 0;
  double retry_budget_;
  CoordinatorStats stats_;
};

}  // namespace martenyard::gateway
