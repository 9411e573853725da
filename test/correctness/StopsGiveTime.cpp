/// A planned stop serves callers until they have gone, and ends in time.
#include "support/Check.h"

#include "dandeliond/StopPlan.h"

using namespace dandelion;

Test(stop_plan, serves_until_callers_have_gone_and_ends_when_idle)
{
  StopPlan plan(StopLimits{ milliseconds(2500), seconds(1), milliseconds(5300) });
  TimePoint start(seconds(1));
  cr_assert_not(plan.MayEnd(start, true));
  plan.RequestStop(start);
  cr_assert(plan.AcceptsCallers(start + milliseconds(2400)));
  cr_assert_not(plan.MayEnd(start + milliseconds(2400), true));
  cr_assert(plan.MayEnd(start + milliseconds(2500), true));
  cr_assert_not(plan.MayEnd(start + milliseconds(5200), false));
  cr_assert(plan.MayEnd(start + milliseconds(5300), false));
}

Test(stop_plan, lets_other_nodes_use_the_upstream_until_the_farewell)
{
  // The upstream beside a node that is only restarted goes on, and its slots are needed.
  StopPlan plan(StopLimits{ milliseconds(2500), seconds(1), milliseconds(5300) });
  TimePoint start(seconds(1));
  plan.RequestStop(start);
  cr_assert(plan.AcceptsPeerCalls(start + milliseconds(1400)));
  cr_assert_not(plan.AcceptsPeerCalls(start + milliseconds(1500)));
  cr_assert(plan.AcceptsCallers(start + milliseconds(1500)));
}

Test(stop_plan, is_pressed_when_half_of_its_time_has_gone)
{
  StopPlan plan(StopLimits{ milliseconds(2500), seconds(1), milliseconds(5600) });
  TimePoint start(seconds(1));
  cr_assert_not(plan.IsPastHalfTime(start));
  plan.RequestStop(start);
  cr_assert_not(plan.IsPastHalfTime(start + milliseconds(2700)));
  cr_assert(plan.IsPastHalfTime(start + milliseconds(2800)));
}

Test(stop_plan, gives_calls_the_whole_time_when_it_is_asked_again)
{
  // A node may be stopped by its replacement and, within the grace time, by its removal.
  StopPlan plan(StopLimits{ milliseconds(2500), seconds(1), milliseconds(5300) });
  TimePoint start(seconds(1));
  plan.RequestStop(start);
  plan.RequestStop(start + milliseconds(900));
  cr_assert_not(plan.MayEnd(start + milliseconds(5300), false));
  cr_assert(plan.MayEnd(start + milliseconds(6200), false));
  cr_assert_not(plan.AcceptsCallers(start + milliseconds(2600)));
}
