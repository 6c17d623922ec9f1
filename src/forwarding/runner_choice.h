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
};

/// The properties of the request that affect the choice.
struct ChoiceRequest {
  std::uint32_t prompt_tokens = 0;   ///< 0 for plain services.
  std::uint64_t rendezvous_key = 0;  ///< Equal keys prefer the same runner; 0: none.
  /// Cost of losing the request: low if it can be retried at once, high if the loss fails its
  /// program.
  double loss_ms = 0;
};

struct Choice {
  std::size_t index = 0;
  double cost_ms = 0;
};

/// @return the candidate of the lowest cost, or nothing. Draining and avoided runners are used only
/// when there is no other; tried runners, those held back and those at their connection limit
/// never.
std::optional<Choice> ChooseRunner(const std::vector<Candidate>& candidates,
                                   const ChoiceRequest& request, const ChoiceOptions& options);

}  // namespace martenyard::forwarding
