// Carries calls from admission to their committed end: intent in the ledger, engine and permit,
// stream, result in the ledger, answer. Decision code: all effects go through CallHost.
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

/// Tunables.
struct CoordinatorOptions {
  scheduling::PlacementPolicy placement = scheduling::PlacementPolicy::kWaitRebuild;
  scheduling::CostModel costs;
  std::size_t max_active = 2000;
  /// The ledgers' grant lease. A gateway stops using a grant at this share of it, counted from when
  /// it asked, so that one frozen or cut off never works on a call that its ledger gave up.
  absl::Duration grant_lease = absl::Seconds(3);
  double lease_share_used = 0.8;
  absl::Duration renew_interval = absl::Milliseconds(500);
  absl::Duration engine_penalty = absl::Seconds(3);  ///< A failed engine is passed over this long.
  absl::Duration placement_retry = absl::Milliseconds(100);
  absl::Duration void_patience = absl::Seconds(1);     ///< To find out that a call did not begin.
  absl::Duration commit_patience = absl::Seconds(20);  ///< For the result to reach the ledger.
  int max_dispatches = 6;                              ///< Engines or services tried for one call.
  double retry_budget_cap = 20.0;                      ///< Retries that may be saved up.
  double retry_budget_share = 0.1;  ///< Retries earned by each call that ended well.
};

/// Counters since the start; one name per event.
struct CoordinatorStats {
  std::uint64_t calls_started = 0;
  std::uint64_t calls_ran = 0;
  std::uint64_t calls_not_run = 0;
  std::uint64_t calls_unknown = 0;
  std::uint64_t calls_refused = 0;  ///< Nothing started; the ledger was not asked or not reached.
  std::uint64_t redispatches = 0;
  std::uint64_t retries_denied = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
};

class CallCoordinator {
 public:
  CallCoordinator(CallHost& host, const CoordinatorOptions& options, std::uint64_t seed);

  /// Starts the call, or joins `sink` to the same one if it is under way here.
  void Start(const CallSpec& spec, std::shared_ptr<CallSink> sink);
  void OnPermitUpdate(const dispatch::PermitNews& news);
  void Tick();
  /// Refuses new calls from now on; those under way go on.
  void StopAdmitting() { admitting_ = false; }
  std::size_t active() const { return calls_.size(); }
  /// @return by engine, the calls that use it under a permit or wait for one there.
  std::map<BackendName, int> CountByEngine() const;
  const CoordinatorStats& stats() const { return stats_; }

 private:
  enum class Stage {
    kAdmitting,
    kConfirming,
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
    absl::Time asked_at;  // When the request was sent that gave or last renewed the grant.
    int priority = 5;
    ledger::Tokens attained = 0;
    BackendName last_engine;
    std::string messages;  // The whole prompt, JSON.
    ledger::Tokens context_tokens = 0;
    clients::Backend backend;  // Of the present dispatch.
    bool holds_permit = false;
    clients::BackendClient::Handle handle = 0;
    int dispatches = 0;
    bool may_have_run = false;  // Some back end took it and did not say that it did not run.
    absl::Time resume_at;       // kPlacing and kBackingOff: when to try again.
    std::map<BackendName, absl::Time> avoided;
    std::string text;      // Generated so far, by all dispatches.
    bool resumed = false;  // The present dispatch goes on from an earlier one's text.
    clients::ModelUsage usage;
    int status_if_not_run = 409;
    std::string reason;  // Why it ends, if it ends now without a result.
  };

  Call* Find(CallId id);
  void Admit(Call& call);
  void OnBegun(CallId id, const LedgerAnswer& answer);
  /// The ledger did not answer in time: makes sure that the call never begins, to say so.
  void VoidAdmission(Call& call);
  void OnVoided(CallId id, const LedgerAnswer& answer);
  void RefuseAdmission(Call& call, ledger::Verdict verdict);
  void TakeGrant(Call& call, const ledger::ApplyResult& result);
  /// True while the ledger surely still holds the grant.
  bool GrantIsFresh(const Call& call) const;
  /// Starts the work of a granted call, after a renewal if the grant may be stale.
  void BeginWork(Call& call);

  void Place(Call& call);
  void AskPermit(Call& call);
  void BeginDispatch(Call& call);
  void RunModel(Call& call);
  void OnModelDone(CallId id, const clients::ModelOutcome& outcome);
  static clients::ModelUsage UsageOfAnswer(const Call& call, const clients::ModelUsage& reported);
  void LeaveEngine(Call& call, bool engine_draining);
  void Redispatch(Call& call, const std::string& reason);

  void RunService(Call& call);
  void OnServiceDone(CallId id, const clients::ServiceOutcome& outcome);
  bool MayRetry();

  void Commit(Call& call, ledger::CallState outcome, std::string result);
  void OnCommitted(CallId id, const LedgerAnswer& answer);
  void EndFromRecord(Call& call, const ledger::CallRecord& record);
  void End(Call& call, const CallEnd& end);
  void EndUnknown(Call& call, int status, const std::string& title);
  void StopWork(Call& call);

  void RenewGrants();
  void Renew(GroupId group, std::vector<ledger::Grant> grants);
  void OnRenewed(const std::vector<ledger::Grant>& asked, absl::Time asked_at,
                 const LedgerAnswer& answer);
  Call* FindGranted(const ledger::Grant& grant);
  void RenewPermits();
  /// What is known of a call that is given up.
  static ledger::CallState OutcomeWhenGivenUp(const Call& call);
  void CheckTimes(Call& call);
  dispatch::PermitAsk AskOf(const Call& call) const;

  CallHost& host_;
  CoordinatorOptions options_;
  Random random_;
  absl::Time next_renewal_;
  bool admitting_ = true;
  CallId last_call_ = 0;
  std::map<CallId, Call> calls_;
  std::map<std::pair<ProgramId, CallKey>, CallId> by_key_;
  std::uint64_t round_robin_ = 0;
  double retry_budget_;
  CoordinatorStats stats_;
};

}  // namespace martenyard::gateway
