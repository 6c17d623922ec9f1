#include "forwarding/attempt_outcome.h"

namespace martenyard::forwarding {
namespace {

bool CanRetry(const RetryState& retry_state) {
  return retry_state.attempts_left > 0 && retry_state.time_left > kMinAttemptTime;
}

NextStep AfterNotRun(const RetryState& retry_state) {
  if (retry_state.response_started) {
    return CanRetry(retry_state) && retry_state.can_resume ? NextStep::kResume : NextStep::kAbort;
  }
  if (CanRetry(retry_state)) {
    return NextStep::kRetry;
  }
  return retry_state.may_have_run ? NextStep::kFail : NextStep::kRefuse;
}

NextStep AfterNoResponse(const RetryState& retry_state) {
  if (retry_state.response_started) {
    return CanRetry(retry_state) && retry_state.can_resume ? NextStep::kResume : NextStep::kAbort;
  }
  if (retry_state.repeatable && CanRetry(retry_state)) {
    return NextStep::kRetry;
  }
  return NextStep::kFail;
}

}  // namespace

NextStep DecideNextStep(AttemptOutcome outcome, const RetryState& retry_state) {
  switch (outcome) {
    case AttemptOutcome::kNotSent:
    case AttemptOutcome::kWithdrawn:
    case AttemptOutcome::kNotRun:
      return AfterNotRun(retry_state);
    case AttemptOutcome::kCompleted:
      // The client already has a head and events; a second response can't follow them.
      return retry_state.response_started && !retry_state.streamed ? AfterNoResponse(retry_state)
                                                                   : NextStep::kForward;
    case AttemptOutcome::kNoResponse:
    case AttemptOutcome::kTruncated:
      return AfterNoResponse(retry_state);
    case AttemptOutcome::kTimedOut:
      return retry_state.response_started ? NextStep::kAbort : NextStep::kTimeOut;
    case AttemptOutcome::kClientGone:
      return NextStep::kNone;
  }
  return NextStep::kFail;
}

}  // namespace martenyard::forwarding
