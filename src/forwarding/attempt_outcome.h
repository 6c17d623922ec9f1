// What the end of one attempt at a runner means for the request: a pure table.
//
// The promise behind it: "not run" is said only of what never ran and never will, and what may have
// run is sent again only if a second run does no harm.
#pragma once

#include "absl/time/time.h"

namespace martenyard::forwarding {

/// How an attempt ended, as seen on the connection to the runner.
enum class AttemptEnd {
  kNotSent,   ///< No byte of the request left.
  kNotRun,    ///< The runner says that it did not and will not run it.
  kAnswered,  ///< A whole answer of the runner's own, whatever its status.
  kNoAnswer,  ///< Sent; then a reset, a close, silence, or bytes that are no answer.
  kBrokeOff,  ///< The answer began and never ended properly.
  kTimedOut,  ///< The request's time is over.
  kClientGone,
};

/// What may still be done for the request.
struct RequestSituation {
  bool repeatable = false;      ///< A second run does no harm.
  bool can_resume = false;      ///< A stream that began may go on elsewhere.
  bool answer_started = false;  ///< The client has the head of an answer.
  bool may_have_run = false;    ///< By an earlier attempt.
  int attempts_left = 0;        ///< Runners that it may still be sent to.
  absl::Duration time_left;
  bool streamed = false;  ///< The attempt's answer went to the client as it came.
};

enum class NextStep {
  kPassOn,      ///< Give the client the runner's answer.
  kTryAnother,  ///< Send it to another runner, from its start.
  kResume,      ///< Send it to another runner, from the last event on.
  kRefuse,      ///< 503: it has not run and never will; come back later.
  kFail,        ///< 502: it may have run.
  kTimeOut,     ///< 504: it may have run.
  kBreak,       ///< Break the client's connection, so that nothing looks complete.
  kNothing,     ///< The client is gone.
};

/// Below this much time left, another attempt is of no use.
inline constexpr absl::Duration kLeastUsefulTime = absl::Milliseconds(15);

NextStep DecideNextStep(AttemptEnd end, const RequestSituation& situation);

}  // namespace martenyard::forwarding
