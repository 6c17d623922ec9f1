// Decides what to do with a request after an attempt at a runner has ended. Pure functions.
//
// Invariants: a request is reported as not run only if it has not run and never will, and a request
// that may have run is sent again only if running it twice is safe.
#pragma once

#include "absl/time/time.h"

namespace martenyard::forwarding {

/// How an attempt ended, as observed on the connection to the runner.
enum class AttemptOutcome {
  kNotSent,     ///< No byte of the request was sent: the connection failed.
  kWithdrawn,   ///< No byte was sent: the runner may not receive it any more.
  kNotRun,      ///< The runner reports that it did not and will not run the request.
  kCompleted,   ///< The runner sent a complete response, with any status.
  kNoResponse,  ///< Sent without a complete response: closed, timeout or malformed.
  kTruncated,   ///< A streamed response did not end properly.
  kTimedOut,    ///< The request's deadline has passed.
  kClientGone,
};

/// The facts about a request that determine its next step.
struct RetryState {
  bool repeatable = false;        ///< Running it twice is safe.
  bool can_resume = false;        ///< A started stream can be continued by another runner.
  bool response_started = false;  ///< The client has received the head of a response.
  bool may_have_run = false;      ///< In any attempt so far.
  int attempts_left = 0;          ///< Number of runners it may still be sent to.
  absl::Duration time_left;
  bool streamed = false;  ///< The attempt's response was streamed to the client.
};

enum class NextStep {
  kForward,  ///< Forward the runner's response to the client.
  kRetry,    ///< Send the request to another runner, from the start.
  kResume,   ///< Continue the stream on another runner, after the last event.
  kRefuse,   ///< 503: the request has not run and will not; retry later.
  kFail,     ///< 502: the request may have run.
  kTimeOut,  ///< 504: the request may have run.
  kAbort,    ///< Close the client's connection so that the response is not taken as complete.
  kNone,     ///< The client has disconnected.
};

/// No further attempt is made with less time left than this.
inline constexpr absl::Duration kMinAttemptTime = absl::Milliseconds(15);

NextStep DecideNextStep(AttemptOutcome outcome, const RetryState& retry_state);

}  // namespace martenyard::forwarding
