// Chooses the runner of a request: a pure function over what the gateway sees.
//
// All that speaks for or against a runner is weighed in one unit, the milliseconds that the request
// is expected to lose there.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"

namespace martenyard::forwarding {

/// A runner as the choice sees it.
struct Candidate {
  std::string id;
  bool same_zone = false;
  std::uint32_t slots = 1;
  std::uint32_t active = 0;       ///< Requests at it now, of all gateways as far as known.
  std::uint32_t kept_tokens = 0;  ///< Of the request's prompt.
  double loss_rate = 0;           ///< The share of requests that it is expected to lose.
  bool leaving = false;
  bool avoided = false;        ///< Failed lately, or was just full.
  bool tried = false;          ///< By this very request.
  bool no_connection = false;  ///< This gateway's share of its connections is used up.
};

struct ChoiceOptions {
  double tokens_per_ms = 250;  ///< How fast an engine reads what it doesn't keep.
  /// While an engine reads, what runs there stands still: of what reading costs, this share counts
  /// once more for each running request.
  double read_stall_share = 0;
  double active_cost_ms = 1.5;  ///< Each running request slows the others by about this.
  double engine_wait_ms = 22;   ///< Each request waiting before this one, at an engine.
  double plain_wait_ms = 6;     ///< The same at a plain service.
  double plain_active_cost_ms = 0.8;
  double other_zone_ms = 2.5;       ///< There and back.
  double repeatable_loss_ms = 150;  ///< Lost: sent again by this gateway.
  double turn_loss_ms = 800;        ///< Lost: the client sends the turn anew, twice at most.
  double call_loss_ms = 4000;       ///< Lost: the program has failed.
  double home_ms = 6;               ///< How much a piece's home runner is preferred while no
                                    ///< runner is known to keep the piece.
};

/// What about the request matters.
struct ChoiceRequest {
  std::uint32_t prompt_tokens = 0;  ///< 0 for plain services.
  std::uint64_t home_key = 0;       ///< Requests with equal keys should meet; 0: none.
  /// What losing it costs its program: little where it may be sent again at once, the whole program
  /// where it may not.
  double loss_ms = 0;
};

struct Choice {
  std::size_t index = 0;
  double cost_ms = 0;
};

/// @return the best candidate, or nothing when there is none that may be used. Leaving and avoided
/// runners are used only when there is no other; tried ones and those without a connection never.
std::optional<Choice> ChooseRunner(const std::vector<Candidate>& candidates,
                                   const ChoiceRequest& request, const ChoiceOptions& options);

}  // namespace martenyard::forwarding
