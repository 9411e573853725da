/// Checks that a call that is not idempotent is retried only after attempts that have not run, and
/// that budgets and call chains bound the number of retries.
#include "support/Check.h"

#include "routing/Routing.h"

using namespace dandelion;

Test(attempts, retries_non_idempotent_call_only_if_not_run)
{
  CHECK_PROPERTY("any outcomes", [] {
    bool isIdempotent = *rc::gen::arbitrary<bool>();
    int64_t maxAttempts = *rc::gen::inRange<int64_t>(1, 6);
    Attempts attempts(isIdempotent, maxAttempts, TimePoint(seconds(1)));
    RetryBudget budget;
    int mayHaveRun = 0;
    int64_t made = 0;
    NextStep next = NextStep::Retry;
    while (next == NextStep::Retry) {
      ++made;
      auto outcome = static_cast<CallOutcome>(*rc::gen::inRange(0, 3));
      mayHaveRun += outcome == CallOutcome::NotRun ? 0 : 1;
      next = attempts.OnEnded(FinishedAttempt{ outcome, false },
                              budget,
                              TimePoint(milliseconds(*rc::gen::inRange(0, 1500))));
      RC_ASSERT(isIdempotent || mayHaveRun <= 1);
      RC_ASSERT(mayHaveRun == 0 || attempts.Combined() != CallOutcome::NotRun);
    }
    RC_ASSERT(made <= maxAttempts);
    RC_ASSERT(mayHaveRun > 0 || attempts.Combined() == CallOutcome::NotRun);
  });
}

Test(retry_budget, bounds_retries_when_all_calls_fail)
{
  CHECK_PROPERTY("at most a tenth of the calls and the burst", [] {
    RetryBudget budget;
    int calls = *rc::gen::inRange(1, 2000);
    int retries = 0;
    for (int i = 0; i < calls; ++i) {
      budget.OnCall();
      while (budget.TryTake()) {
        ++retries;
      }
    }
    RC_ASSERT(retries <= calls / 10 + 10);
  });
}

namespace {

/// A chain of calls, each made while handling the one before, whose last upstream refuses all
/// calls.
class RefusedChain
{
public:
  RefusedChain(int aDepth, bool aPropagatesRetriedMark)
    : budgets_(static_cast<size_t>(aDepth))
    , propagatesRetriedMark_(aPropagatesRetriedMark)
  {
  }

  /// Makes the call at a level and the calls below it. Returns whether its answer says that it was
  /// retried.
  bool Call(size_t aLevel, const InheritedLimits& aInherited)
  {
    if (aLevel == budgets_.size()) {
      ++attemptsAtLastUpstream;
      return false;
    }
    CallLimits limits = LimitsFor(policy_, aInherited, TimePoint());
    Attempts attempts(true, limits.attempts, limits.deadline);
    NextStep next = NextStep::Retry;
    while (next == NextStep::Retry) {
      InheritedLimits passed{ std::nullopt, std::nullopt, attempts.RetriesLeft() };
      bool isRetried = Call(aLevel + 1, passed) && propagatesRetriedMark_;
      next = attempts.OnEnded(
        FinishedAttempt{ CallOutcome::NotRun, isRetried }, budgets_[aLevel], TimePoint());
    }
    return attempts.IsRetried();
  }

  int64_t attemptsAtLastUpstream = 0;

private:
  PolicySpec policy_;
  std::vector<RetryBudget> budgets_;
  bool propagatesRetriedMark_;
};

} // namespace

Test(call_chain, does_not_multiply_retries)
{
  CHECK_PROPERTY("any depth", [] {
    int depth = *rc::gen::inRange(1, 30);
    RefusedChain chain(depth, true);
    chain.Call(0, InheritedLimits());
    RC_ASSERT(chain.attemptsAtLastUpstream <= PolicySpec().attempts);
  });
}

Test(call_chain, bounds_retries_when_upstreams_drop_retried_mark)
{
  CHECK_PROPERTY("all levels share one retry, so there is one more attempt for each level", [] {
    int depth = *rc::gen::inRange(1, 30);
    RefusedChain chain(depth, false);
    chain.Call(0, InheritedLimits{ std::nullopt, std::nullopt, 1 });
    RC_ASSERT(chain.attemptsAtLastUpstream <= 1 + depth);
  });
}

Test(call_chain, applies_tightest_limits)
{
  CHECK_PROPERTY("any policy and any inherited limits", [] {
    PolicySpec policy;
    policy.trafficClass = static_cast<TrafficClass>(*rc::gen::inRange(0, 5));
    policy.timeoutMs = *rc::gen::inRange<int64_t>(1, 60000);
    auto inheritedClass = static_cast<TrafficClass>(*rc::gen::inRange(0, 5));
    Duration timeLeft = milliseconds(*rc::gen::inRange<int64_t>(0, 60000));
    InheritedLimits inherited{ timeLeft, inheritedClass, *rc::gen::inRange<int64_t>(0, 5) };
    TimePoint now(milliseconds(7));
    CallLimits limits = LimitsFor(policy, inherited, now);
    RC_ASSERT(limits.deadline <= now + timeLeft);
    RC_ASSERT(limits.deadline <= now + milliseconds(policy.timeoutMs));
    RC_ASSERT(limits.trafficClass >= policy.trafficClass);
    RC_ASSERT(limits.trafficClass >= inheritedClass);
    RC_ASSERT(limits.attempts <= policy.attempts);
    RC_ASSERT(limits.attempts <= 1 + *inherited.retriesLeft);
    RC_ASSERT(limits.attempts >= 1);
  });
}
