#include "routing/Attempts.h"

#include <algorithm>

namespace dandelion {

namespace {

/// Part of the total limits that the nodes may use. The rest covers nodes that do not know of each
/// other yet, and restarted processes, which begin with a full balance.
constexpr double kAllocatedShare = 0.7;

} // namespace

RetryBudget::RetryBudget(RetryLimits aLimits)
  : limits_(aLimits)
  , balance_(aLimits.burst)
{
}

void RetryBudget::OnCall()
{
  balance_ = std::min(limits_.burst, balance_ + limits_.ratio);
}

bool RetryBudget::TryTake()
{
  if (balance_ < 1) {
    return false;
  }
  balance_ -= 1;
  return true;
}

void RetryBudget::Return()
{
  balance_ = std::min(limits_.burst, balance_ + 1);
}

void RetryBudget::SetLimits(RetryLimits aLimits)
{
  limits_ = aLimits;
  balance_ = std::min(balance_, limits_.burst);
}

RetryBudgets::RetryBudgets(RetryLimits aTotalLimits)
  : totalLimits_(aTotalLimits)
{
  SetNodeCount(1);
}

void RetryBudgets::SetNodeCount(size_t aNodes)
{
  nodeLimits_.ratio = totalLimits_.ratio * kAllocatedShare;
  double burst =
    totalLimits_.burst * kAllocatedShare / static_cast<double>(std::max<size_t>(1, aNodes));
  nodeLimits_.burst = std::max(1.0, burst);
  for (auto& [service, budget] : byService_) {
    budget.SetLimits(nodeLimits_);
  }
}

RetryBudget& RetryBudgets::For(const std::string& aService)
{
  return byService_.emplace(aService, RetryBudget(nodeLimits_)).first->second;
}

Attempts::Attempts(bool aIsIdempotent, int64_t aMax, TimePoint aDeadline)
  : isIdempotent_(aIsIdempotent)
  , attemptsLeft_(aMax)
  , deadline_(aDeadline)
{
}

NextStep Attempts::OnEnded(const FinishedAttempt& aEnd, RetryBudget& aBudget, TimePoint aNow)
{
  attemptsLeft_ -= aEnd.hasReachedUpstream ? 1 : 0;
  refusals_ += aEnd.hasReachedUpstream ? 0 : 1;
  --sendsLeft_;
  isRetried_ = isRetried_ || aEnd.isRetried;
  if (aEnd.outcome == CallOutcome::Ran) {
    combined_ = CallOutcome::Ran;
    bool mayRetry = aEnd.hasFailed && isIdempotent_ && !aEnd.isRetried && attemptsLeft_ > 0 &&
                    aNow < deadline_ && aBudget.TryTake();
    isRetried_ = isRetried_ || mayRetry;
    return mayRetry ? NextStep::Retry : NextStep::Answer;
  }
  bool hasRun = combined_ == CallOutcome::Ran;
  if (aEnd.outcome == CallOutcome::Unknown && !hasRun) {
    // Once an attempt may have run, a later refusal does not make the outcome `NotRun` again.
    combined_ = CallOutcome::Unknown;
  }
  bool isSafe = isIdempotent_ || combined_ == CallOutcome::NotRun;
  bool mayRetry = isSafe && !aEnd.isRetried && attemptsLeft_ > 0 && aNow < deadline_;
  if (!mayRetry) {
    return NextStep::Answer;
  }
  if (!aEnd.hasReachedUpstream) {
    return sendsLeft_ > 0 ? NextStep::Retry : NextStep::Answer;
  }
  if (!aBudget.TryTake()) {
    return NextStep::Answer;
  }
  isRetried_ = true;
  return NextStep::Retry;
}

} // namespace dandelion
