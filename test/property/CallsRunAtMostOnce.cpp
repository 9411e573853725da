/// A call that is not idempotent is sent again only after attempts that have certainly not run.
#include "support/Check.h"

#include "routing/Routing.h"

using namespace dandelion;

Test(attempts, repeat_a_non_idempotent_call_only_while_none_may_have_run)
{
  CHECK_PROPERTY("any outcomes", [] {
    bool isIdempotent = *rc::gen::arbitrary<bool>();
    int64_t most = *rc::gen::inRange<int64_t>(1, 6);
    Attempts attempts(isIdempotent, most, TimePoint(seconds(1)));
    RetryBudget budget;
    int mayHaveRun = 0;
    int64_t made = 0;
    NextStep next = NextStep::TryAnother;
    while (next == NextStep::TryAnother) {
      ++made;
      auto outcome = static_cast<CallOutcome>(*rc::gen::inRange(0, 3));
      mayHaveRun += outcome == CallOutcome::NotRun ? 0 : 1;
      next = attempts.OnEnded(
        AttemptEnd{ outcome, false }, budget, TimePoint(milliseconds(*rc::gen::inRange(0, 1500))));
      RC_ASSERT(isIdempotent || mayHaveRun <= 1);
      RC_ASSERT(mayHaveRun == 0 || attempts.Combined() != CallOutcome::NotRun);
    }
    RC_ASSERT(made <= most);
    RC_ASSERT(mayHaveRun > 0 || attempts.Combined() == CallOutcome::NotRun);
  });
}

Test(retry_budget, bounds_repeats_while_everything_fails)
{
  CHECK_PROPERTY("a tenth of the calls, and a fixed reserve", [] {
    RetryBudget budget;
    int calls = *rc::gen::inRange(1, 2000);
    int repeats = 0;
    for (int i = 0; i < calls; ++i) {
      budget.OnCall();
      while (budget.Spend()) {
        ++repeats;
      }
    }
    RC_ASSERT(repeats <= calls / 10 + 10);
  });
}

namespace {

/// A chain of calls, each made on behalf of the one above, that ends at an upstream which refuses.
class RefusedChain
{
public:
  RefusedChain(int aDepth, bool aIsMarkPassedOn)
    : budgets_(static_cast<size_t>(aDepth))
    , isMarkPassedOn_(aIsMarkPassedOn)
  {
  }

  /// Makes the call at a level and all that follow from it; whether it says that it was repeated.
  bool Call(size_t aLevel, const InheritedLimits& aInherited)
  {
    if (aLevel == budgets_.size()) {
      ++attemptsAtTheEnd;
      return false;
    }
    CallLimits limits = LimitsFor(policy_, aInherited, TimePoint());
    Attempts attempts(true, limits.attempts, limits.deadline);
    NextStep next = NextStep::TryAnother;
    while (next == NextStep::TryAnother) {
      InheritedLimits passed{ std::nullopt, std::nullopt, attempts.RetriesLeft() };
      bool isRetried = Call(aLevel + 1, passed) && isMarkPassedOn_;
      next = attempts.OnEnded(
        AttemptEnd{ CallOutcome::NotRun, isRetried }, budgets_[aLevel], TimePoint());
    }
    return attempts.IsRetried();
  }

  int64_t attemptsAtTheEnd = 0;

private:
  PolicySpec policy_;
  std::vector<RetryBudget> budgets_;
  bool isMarkPassedOn_;
};

} // namespace

Test(chains, do_not_multiply_repeats)
{
  CHECK_PROPERTY("any depth", [] {
    int depth = *rc::gen::inRange(1, 30);
    RefusedChain chain(depth, true);
    chain.Call(0, InheritedLimits());
    RC_ASSERT(chain.attemptsAtTheEnd <= PolicySpec().attempts);
  });
}

Test(chains, stay_bounded_where_upstreams_drop_the_mark)
{
  CHECK_PROPERTY("one repeat shared by all levels, so one more attempt for each level", [] {
    int depth = *rc::gen::inRange(1, 30);
    RefusedChain chain(depth, false);
    chain.Call(0, InheritedLimits{ std::nullopt, std::nullopt, 1 });
    RC_ASSERT(chain.attemptsAtTheEnd <= 1 + depth);
  });
}

Test(chains, keep_the_tightest_limits)
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
