// Chooses the runner of a request. Pure functions.
//
// All criteria are expressed as costs in one unit: the expected delay of the request in
// milliseconds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"

namespace martenyard::forwarding {

/// A runner that the request may be sent to.
struct Candidate {
  std::string id;
  bool same_zone = false;
  std::uint32_t slots = 1;
  std::uint32_t active = 0;         ///< Known active requests from all gateways.
  std::uint32_t cached_tokens = 0;  ///< Leading prompt tokens assumed to be cached.
  double loss_rate = 0;             ///< Expected share of lost requests.
  bool draining = false;
  bool avoided = false;              ///< It failed or was full recently.
  bool tried = false;                ///< It was tried for this request.
  bool at_connection_limit = false;  ///< This gateway's connection share is in use.
  bool held_back = false;            ///< It is cold, and its slow start admits no request now.
  double relative_service_time = 1;  ///< Relative to the mean of the service.
  double extra_service_ms = 0;       ///< Expected service time above the mean of the service.
  double held_tokens = 0;            ///< Estimated tokens of its running requests.
  std::uint64_t cache_tokens = 0;    ///< Capacity of its cache; 0: memory is not considered.
};

struct ChoiceOptions {
  double tokens_per_ms = 250;  ///< Prefill rate for uncached prompt tokens.
  /// Prefill stalls the requests running on the engine: this share of its cost is added for each of
  /// them.
  double read_stall_share = 0;
  double active_cost_ms = 1.5;  ///< Slowdown by each running request.
  double engine_wait_ms = 22;   ///< Per queued request at an engine.
  double plain_wait_ms = 6;     ///< Per queued request at a plain service.
  double plain_active_cost_ms = 0.8;
  double other_zone_ms = 2.5;       ///< Round trip to another zone.
  double repeatable_loss_ms = 150;  ///< Loss handled by a retry of this gateway.
  double turn_loss_ms = 800;        ///< Loss handled by a client retry (at most two).
  double call_loss_ms = 4000;       ///< Loss that fails the program.
  double home_ms = 6;               ///< Weight of rendezvous hashing, which keeps
                                    ///< requests with equal keys on one runner.
  /// Share of the extra service time that is charged while the service is idle; it falls to 0 as
  /// the slots fill, since then the slower runners are needed too.
  double extra_service_share = 0.25;

  /// Prefers runners whose work is below the bound, and chooses among a few of them.
  bool load_bound = false;
  double max_load_ratio = 1.25;   ///< Work relative to the mean from which on a runner is avoided.
  double min_load_excess = 1;     ///< Requests above the mean that are allowed in any case.
  double max_bound_loss_ms = 60;  ///< Runners with a greater expected loss have no share of the
                                  ///< load and are not preferred to those above the bound.
  double bound_approach_ms = 80;  ///< Cost of work just below the bound; 0 at the mean. About what
                                  ///< reading a whole prompt again costs.
  /// Other gateways choose by the same loads at the same time, and views are 0.1 to 0.4 s old.
  /// Each request therefore considers only this many runners, drawn by its key, besides its home
  /// and as many of those that have cached its prompt.
  std::size_t sampled_runners = 2;
  /// The runner that was drawn first is kept unless another one is cheaper by more than this:
  /// smaller differences are within the error of an old view.
  double sample_tolerance_ms = 20;
};

/// The properties of the request that affect the choice.
struct ChoiceRequest {
  std::uint32_t prompt_tokens = 0;   ///< 0 for plain services.
  std::uint64_t rendezvous_key = 0;  ///< Equal keys prefer the same runner; 0: none.
  /// Cost of losing the request: low if it can be retried at once, high if the loss fails its
  /// program.
  double loss_ms = 0;
  /// Runners may end under the request: it goes to the one with the fewest others.
  bool isolated = false;
  std::uint64_t sample_key = 0;       ///< Different for each request; draws the runners considered.
  std::uint32_t expected_tokens = 0;  ///< Tokens that it may occupy in an engine's cache.
};

struct Choice {
  std::size_t index = 0;
  double cost_ms = 0;
};

/// @return the candidate of the lowest cost, or nothing. Draining and avoided runners are used only
/// when there is no other; tried runners, those held back and those at their connection limit
/// never. With a load bound, runners above it are used only when there is no other of their kind.
std::optional<Choice> ChooseRunner(const std::vector<Candidate>& candidates,
                                   const ChoiceRequest& request, const ChoiceOptions& options);

}  // namespace martenyard::forwarding
