/// A planned stop accepts callers during its notice and ends at its deadline at the latest. Guards
/// against a stop that refuses callers before they have been directed to other nodes, and against
/// one that outlasts its time, so that the process is killed with calls in progress.
#include "support/Check.h"

#include "dandeliond/StopPlan.h"

using namespace dandelion;

Test(stop_plan, accepts_callers_during_notice_and_ends_when_idle)
{
  StopPlan plan(StopLimits{ milliseconds(2500), seconds(1), milliseconds(5300) });
  TimePoint start(seconds(1));
  cr_assert_not(plan.MayExit(start, true));
  plan.RequestStop(start);
  cr_assert(plan.AcceptsCallers(start + milliseconds(2400)));
  cr_assert_not(plan.MayExit(start + milliseconds(2400), true));
  cr_assert(plan.MayExit(start + milliseconds(2500), true));
  cr_assert_not(plan.MayExit(start + milliseconds(5200), false));
  cr_assert(plan.MayExit(start + milliseconds(5300), false));
}

Test(stop_plan, accepts_peer_calls_until_departure_window)
{
  // When only the node is restarted, its upstream keeps running, and other nodes need its slots.
  StopPlan plan(StopLimits{ milliseconds(2500), seconds(1), milliseconds(5300) });
  TimePoint start(seconds(1));
  plan.RequestStop(start);
  cr_assert(plan.AcceptsPeerCalls(start + milliseconds(1400)));
  cr_assert_not(plan.AcceptsPeerCalls(start + milliseconds(1500)));
  cr_assert(plan.AcceptsCallers(start + milliseconds(1500)));
}

Test(stop_plan, is_past_half_time_after_half_of_max_duration)
{
  StopPlan plan(StopLimits{ milliseconds(2500), seconds(1), milliseconds(5600) });
  TimePoint start(seconds(1));
  cr_assert_not(plan.IsPastHalfTime(start));
  plan.RequestStop(start);
  cr_assert_not(plan.IsPastHalfTime(start + milliseconds(2700)));
  cr_assert(plan.IsPastHalfTime(start + milliseconds(2800)));
}

Test(stop_plan, repeated_request_extends_deadline_but_not_notice)
{
  // A node may be asked to stop by its replacement and, within the grace period, by its removal.
  StopPlan plan(StopLimits{ milliseconds(2500), seconds(1), milliseconds(5300) });
  TimePoint start(seconds(1));
  plan.RequestStop(start);
  plan.RequestStop(start + milliseconds(900));
  cr_assert_not(plan.MayExit(start + milliseconds(5300), false));
  cr_assert(plan.MayExit(start + milliseconds(6200), false));
  cr_assert_not(plan.AcceptsCallers(start + milliseconds(2600)));
}

Test(stop_plan, deadline_follows_the_latest_request)
{
  StopPlan plan(StopLimits{ milliseconds(2500), seconds(1), milliseconds(5700) });
  TimePoint start(seconds(1));
  plan.RequestStop(start);
  cr_assert(plan.Deadline() == start + milliseconds(5700));
  plan.RequestStop(start + milliseconds(900));
  cr_assert(plan.Deadline() == start + milliseconds(6600));
}
