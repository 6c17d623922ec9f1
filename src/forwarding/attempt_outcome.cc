#include "forwarding/attempt_outcome.h"

namespace martenyard::forwarding {
namespace {

bool MayTryAgain(const RequestSituation& situation) {
  return situation.attempts_left > 0 && situation.time_left > kLeastUsefulTime;
}

NextStep AfterNotRun(const RequestSituation& situation) {
  if (situation.answer_started) {
    return MayTryAgain(situation) && situation.can_resume ? NextStep::kResume : NextStep::kBreak;
  }
  if (MayTryAgain(situation)) {
    return NextStep::kTryAnother;
  }
  return situation.may_have_run ? NextStep::kFail : NextStep::kRefuse;
}

NextStep AfterNoAnswer(const RequestSituation& situation) {
  if (situation.answer_started) {
    return MayTryAgain(situation) && situation.can_resume ? NextStep::kResume : NextStep::kBreak;
  }
  if (situation.repeatable && MayTryAgain(situation)) {
    return NextStep::kTryAnother;
  }
  return NextStep::kFail;
}

}  // namespace

NextStep DecideNextStep(AttemptEnd end, const RequestSituation& situation) {
  switch (end) {
    case AttemptEnd::kNotSent:
    case AttemptEnd::kNotRun:
      return AfterNotRun(situation);
    case AttemptEnd::kAnswered:
      // The client already has a head and events; a second response can't follow them.
      return situation.answer_started && !situation.streamed ? AfterNoAnswer(situation)
                                                             : NextStep::kPassOn;
    case AttemptEnd::kNoAnswer:
    case AttemptEnd::kBrokeOff:
      return AfterNoAnswer(situation);
    case AttemptEnd::kTimedOut:
      return situation.answer_started ? NextStep::kBreak : NextStep::kTimeOut;
    case AttemptEnd::kClientGone:
      return NextStep::kNothing;
  }
  return NextStep::kFail;
}

}  // namespace martenyard::forwarding
