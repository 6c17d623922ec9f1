// The runners a gateway knows, with what it has seen of each. Decision code: no I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "discovery/health/failure_estimate.h"
#include "discovery/runner.h"

namespace martenyard::discovery {

/// Tunables of a runner's health as seen from traffic.
struct HealthOptions {
  int failures_to_avoid = 2;  ///< In a row.
  absl::Duration first_avoidance = absl::Milliseconds(500);
  absl::Duration longest_avoidance = absl::Seconds(4);
  absl::Duration full_pause = absl::Milliseconds(60);  ///< After it turned a request away.
};

/// A runner and its present state.
struct RunnerState {
  Runner runner;
  std::uint32_t short_id = 0;  ///< A hash of the id, as peers name it in load reports.
  bool gone = false;           ///< Its entry is no longer listed.
  absl::Time left_at = absl::InfiniteFuture();  ///< When it was first known to be leaving.
  std::uint32_t own_active = 0;                 ///< Requests of this gateway at it now.
  std::uint32_t peers_active = 0;               ///< Requests of other gateways, as last reported.
  int failures_in_a_row = 0;
  failure_estimate losses;      ///< Of requests, as seen by this gateway and by its peers.
  request_outcomes unreported;  ///< Seen by this gateway, not told to its peers yet.
  absl::Time avoid_until = absl::InfinitePast();
  absl::Time full_until = absl::InfinitePast();

  bool Leaving() const { return gone || runner.draining || left_at < absl::InfiniteFuture(); }
  std::uint32_t Active() const { return own_active + peers_active; }
};

/// How one request at a runner ended, for its health.
enum class RunnerSignal {
  kServed,
  kTurnedAway,   ///< It was full.
  kFailed,       ///< Broke off, hung, or sent bytes that are no answer.
  kUnreachable,  ///< No connection.
  kLeaves,       ///< It asked to close the connection or is another by now.
};

class RunnerTable {
 public:
  explicit RunnerTable(const HealthOptions& options = {}) : options_(options) {}

  /// Takes what a runner tells of itself. @return true when it has started again since it was
  /// known: it keeps nothing of before.
  bool Upsert(absl::Time now, const Runner& runner);
  /// The entry was removed: the runner leaves, or the list lost it.
  void Remove(absl::Time now, const RunnerId& id);
  void Note(absl::Time now, const RunnerId& id, RunnerSignal signal);
  /// What became of a request of this gateway, for the runner's share of lost ones.
  void NoteOutcome(const RunnerId& id, const request_outcomes& outcome);
  /// Drops runners that left `keep` ago and have nothing of ours.
  void Prune(absl::Time now, absl::Duration keep);

  RunnerState* Find(const RunnerId& id);
  /// @return the runner that load reports name so, or null.
  RunnerState* FindShort(std::uint32_t short_id);
  std::vector<RunnerState*> OfService(const forwarding::ServiceName& service);
  std::map<RunnerId, RunnerState>& all() { return runners_; }

 private:
  HealthOptions options_;
  std::map<RunnerId, RunnerState> runners_;
  absl::flat_hash_map<std::uint32_t, RunnerState*> by_short_id_;  // Into `runners_`.
};

}  // namespace martenyard::discovery
