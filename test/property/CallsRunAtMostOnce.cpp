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
      next = attempts.OnEnded(outcome, budget, TimePoint(milliseconds(*rc::gen::inRange(0, 1500))));
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
