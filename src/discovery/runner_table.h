// The runners known to a gateway and their observed health. Decision logic: no I/O.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "discovery/health/failure_estimate.h"
#include "discovery/load/runner_speeds.h"
#include "discovery/load/service_time_estimate.h"
#include "discovery/load/token_mean.h"
#include "discovery/runner.h"

namespace martenyard::discovery {

/// Tuning parameters of passive health checks.
struct HealthOptions {
  int failure_threshold = 2;  ///< Consecutive failures before a runner is avoided.
  absl::Duration initial_avoidance = absl::Milliseconds(500);
  absl::Duration max_avoidance = absl::Seconds(4);
  absl::Duration full_backoff = absl::Milliseconds(60);  ///< After it rejected a request as full.
};

/// A runner and its current state.
struct RunnerState {
  Runner runner;
  std::uint32_t short_id = 0;  ///< Hash of the id; identifies it in load reports.
  bool gone = false;           ///< Removed from the directory.
  absl::Time draining_since = absl::InfiniteFuture();  ///< When it was first seen draining.
  std::uint32_t own_active = 0;                        ///< Requests in flight from this gateway.
  std::uint32_t peers_active = 0;  ///< Requests in flight from other gateways, as last reported.
  /// Of the own ones, those under which runners ended before, and those under which several did.
  std::uint32_t own_suspects = 0;
  std::uint32_t own_strong_suspects = 0;
  int consecutive_failures = 0;
  failure_estimate failure_rate;       ///< As observed by this gateway and its peers.
  request_outcomes unreported;         ///< Observed here, not yet reported to peers.
  service_time_estimate service_time;  ///< From the requests of this gateway and its peers.
  std::uint64_t own_tokens = 0;        ///< Tokens of the requests in flight from this gateway.
  absl::Time avoid_until = absl::InfinitePast();
  absl::Time full_until = absl::InfinitePast();
  /// Until then it bears only the reduced request rate of its service.
  absl::Time cold_until = absl::InfinitePast();
  /// Until then its slow start admits no request.
  absl::Time held_back_until = absl::InfinitePast();

  /// The end may only be extended: earlier reports do not tell of later restarts.
  void MarkCold(absl::Time until) { cold_until = std::max(cold_until, until); }
  bool IsDraining() const {
    return gone || runner.draining || draining_since < absl::InfiniteFuture();
  }
  std::uint32_t Active() const { return own_active + peers_active; }
};

/// Outcome of a request, as used for the runner's health.
enum class RunnerSignal {
  kServed,
  kRejected,     ///< Rejected because the runner was full.
  kFailed,       ///< Truncated, timed out or malformed response.
  kUnreachable,  ///< Connection failed.
  kDraining,     ///< Asked to close the connection, or was replaced by another runner.
};

/// How evenly the runners of a service are used.
struct ServiceBalance {
  double busiest_to_mean = 1;  ///< Active requests for each slot, weighted by service time.
  double slowest = 1;          ///< The greatest relative service time.
};

class RunnerTable {
 public:
  using Instant = std::chrono::steady_clock::time_point;

  explicit RunnerTable(const HealthOptions& options = {}) : options_(options) {}

  /// Adds or updates a runner. @return true if it has restarted: its observed health is reset.
  bool Upsert(absl::Time now, const Runner& runner);
  /// Marks a runner as removed from the directory.
  void Remove(absl::Time now, const RunnerId& id);
  void RecordSignal(absl::Time now, const RunnerId& id, RunnerSignal signal);
  /// Adds outcomes of this gateway's requests to the runner's failure estimate.
  void RecordOutcome(const RunnerId& id, const request_outcomes& outcome);
  void RecordOutcome(Instant now, const RunnerId& id, const request_outcomes& outcome);
  /// Counts a request of this gateway that is sent to the runner.
  /// @param tokens its prompt and its maximum output; 0 for plain services.
  void BeginRequest(Instant now, RunnerState& state, std::uint32_t tokens);
  /// Counts the end of such a request.
  void EndRequest(Instant now, const RunnerId& id, std::uint32_t tokens);
  /// Adds the peers' loads of a digest, which are set in `peers_active`, to the service times.
  void RecordPeerLoads(Instant now);
  /// @return the service times of the runners of a service.
  runner_speeds SpeedsOf(Instant now, const ServiceName& service) const;
  /// @return the mean tokens of this gateway's recent requests to the service.
  double MeanTokens(const ServiceName& service) const;
  /// @return the balance of the service whose runners are used least evenly.
  /// @param uses_speeds whether to weight by service times.
  ServiceBalance Balance(Instant now, bool uses_speeds) const;
  /// Erases removed runners that left more than `retention` ago and have no requests in flight from
  /// here.
  void Prune(absl::Time now, absl::Duration retention);

  /// @return the software version of all runners of the service, removed ones that are not erased
  /// yet included; nothing if there are several, or no runner.
  std::optional<std::string> SoleVersion(const ServiceName& service) const;

  /// @return since when `SoleVersion` has been what it is; infinitely long ago if no other version
  /// can have served before.
  absl::Time SoleVersionSince(const ServiceName& service) const;

  /// Sets the time from which on all versions are known. What served before is unknown.
  /// @param start infinitely long ago if nothing can have served before.
  void SetHistoryStart(absl::Time start) { history_start_ = start; }

  RunnerState* Find(const RunnerId& id);
  /// @return the runner with this short id, or null.
  RunnerState* FindByShortId(std::uint32_t short_id);
  std::vector<RunnerState*> OfService(const ServiceName& service);
  std::map<RunnerId, RunnerState>& all() { return runners_; }

 private:
  /// The software versions of a service's runners.
  struct VersionCounts {
    std::map<std::string, std::size_t> runners;  ///< By version.
    absl::Time unchanged_since = absl::InfinitePast();
  };

  void CountVersion(absl::Time now, const Runner& runner);
  void UncountVersion(absl::Time now, const Runner& runner);

  HealthOptions options_;
  std::map<RunnerId, RunnerState> runners_;
  absl::flat_hash_map<std::uint32_t, RunnerState*> by_short_id_;  // Into `runners_`.
  std::map<ServiceName, token_mean> token_means_;
  /// A service without runners stays: its next version is not the first one.
  std::map<ServiceName, VersionCounts> versions_;
  absl::Time history_start_ = absl::InfiniteFuture();
};

}  // namespace martenyard::discovery
