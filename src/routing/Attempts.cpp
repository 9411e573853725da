#include "routing/Attempts.h"

#include <algorithm>

namespace dandelion {

void RetryBudget::OnCall()
{
  saved_ = std::min(kMostSaved, saved_ + kEarnedPerCall);
}

bool RetryBudget::Spend()
{
  if (saved_ < kRepeatCost) {
    return false;
  }
  saved_ -= kRepeatCost;
  return true;
}

Attempts::Attempts(bool aIsIdempotent, int64_t aMost, TimePoint aDeadline)
  : isIdempotent_(aIsIdempotent)
  , left_(aMost)
  , deadline_(aDeadline)
{
}

NextStep Attempts::OnEnded(const AttemptEnd& aEnd, RetryBudget& aBudget, TimePoint aNow)
{
  --left_;
  isRetried_ = isRetried_ || aEnd.isRetried;
  if (aEnd.outcome == CallOutcome::Ran) {
    combined_ = CallOutcome::Ran;
    return NextStep::Answer;
  }
  if (aEnd.outcome == CallOutcome::Unknown) {
    // Once an attempt may have run, no later refusal makes the call "not run" again.
    combined_ = CallOutcome::Unknown;
  }
  bool isSafe = isIdempotent_ || combined_ == CallOutcome::NotRun;
  bool mayRepeat = isSafe && !aEnd.isRetried && left_ > 0 && aNow < deadline_ && aBudget.Spend();
  if (!mayRepeat) {
    return NextStep::Answer;
  }
  isRetried_ = true;
  return NextStep::TryAnother;
}

} // namespace dandelion
