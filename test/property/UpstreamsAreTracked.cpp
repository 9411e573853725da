/// Checks that delayed, repeated and reordered reports never make an incarnation that has left
/// accept calls again.
#include "support/Check.h"

#include "admission/Admission.h"

using namespace dandelion;

namespace {

UpstreamReport MakeReport(UpstreamCondition aCondition, int64_t aStartTimeMs, int64_t aSequence)
{
  UpstreamReport report;
  report.id = "u";
  report.service = "s";
  report.condition = aCondition;
  report.startTimeMs = aStartTimeMs;
  report.sequence = aSequence;
  report.slots = 6;
  return report;
}

/// A tracker whose upstream has confirmed that it accepts work.
UpstreamTracker MakeConfirmedTracker()
{
  UpstreamTracker tracker("s");
  tracker.HandleHealthCheck({ HealthStatus::Healthy, "u" });
  return tracker;
}

} // namespace

Test(upstream_tracker, never_accepts_work_for_incarnation_that_has_left)
{
  CHECK_PROPERTY("reports of three incarnations in any order", [] {
    UpstreamTracker tracker = MakeConfirmedTracker();
    TimePoint now;
    int64_t newestLeavingStartTimeMs = -1;
    int64_t newestStartTimeMs = -1;
    int reports = *rc::gen::inRange(1, 40);
    for (int i = 0; i < reports; ++i) {
      now += milliseconds(100);
      auto condition = static_cast<UpstreamCondition>(*rc::gen::inRange(0, 3));
      int64_t startTimeMs = *rc::gen::inRange<int64_t>(1, 4);
      ReportVerdict verdict = tracker.HandleReport(
        MakeReport(condition, startTimeMs, *rc::gen::inRange<int64_t>(1, 30)), now);
      if (verdict != ReportVerdict::Stale) {
        newestStartTimeMs = std::max(newestStartTimeMs, startTimeMs);
        newestLeavingStartTimeMs =
          condition == UpstreamCondition::Ready ? newestLeavingStartTimeMs : startTimeMs;
      }
      RC_ASSERT(!tracker.AcceptsWork() || newestLeavingStartTimeMs < newestStartTimeMs);
    }
  });
}

Test(upstream_tracker, ignores_reports_of_earlier_incarnation)
{
  UpstreamTracker tracker = MakeConfirmedTracker();
  TimePoint now;
  cr_assert(tracker.HandleReport(MakeReport(UpstreamCondition::Ready, 2, 1), now) ==
            ReportVerdict::Applied);
  cr_assert(tracker.HandleReport(MakeReport(UpstreamCondition::Gone, 1, 90), now) ==
            ReportVerdict::Stale);
  cr_assert(tracker.AcceptsWork());
  cr_assert(tracker.HandleReport(MakeReport(UpstreamCondition::Ready, 2, 2), now) ==
            ReportVerdict::Unchanged);
}

Test(upstream_tracker, accepts_restarted_upstream_with_lower_sequence)
{
  UpstreamTracker tracker = MakeConfirmedTracker();
  TimePoint now;
  tracker.HandleReport(MakeReport(UpstreamCondition::Ready, 1, 70), now);
  tracker.HandleReport(MakeReport(UpstreamCondition::Draining, 1, 71), now);
  cr_assert_eq(tracker.Slots(), 0);
  tracker.HandleReport(MakeReport(UpstreamCondition::Ready, 2, 1), now);
  cr_assert_eq(tracker.Slots(), 6);
}

Test(upstream_tracker, rejects_report_of_wrong_service)
{
  UpstreamTracker tracker("other");
  cr_assert(tracker.HandleReport(MakeReport(UpstreamCondition::Ready, 1, 1), TimePoint()) ==
            ReportVerdict::WrongService);
  cr_assert_not(tracker.AcceptsWork());
}

/// The node has restarted after its upstream left. Reports that the upstream sent before it left
/// may still arrive, and must not make the node accept work, however many there are and whenever.
Test(upstream_tracker, accepts_no_work_after_a_restart_before_a_health_check_passes)
{
  CHECK_PROPERTY("late reports and failed checks in any order", [] {
    UpstreamTracker tracker("s");
    TimePoint now;
    int steps = *rc::gen::inRange(1, 40);
    for (int i = 0; i < steps; ++i) {
      now += milliseconds(*rc::gen::inRange(0, 3000));
      if (*rc::gen::arbitrary<bool>()) {
        tracker.HandleReport(MakeReport(UpstreamCondition::Ready,
                                        *rc::gen::inRange<int64_t>(1, 4),
                                        *rc::gen::inRange<int64_t>(1, 30)),
                             now);
      } else {
        bool isUnhealthy = *rc::gen::arbitrary<bool>();
        tracker.HandleHealthCheck(
          { isUnhealthy ? HealthStatus::Unhealthy : HealthStatus::Unknown, "u" });
      }
      RC_ASSERT(!tracker.AcceptsWork());
    }
    tracker.HandleReport(MakeReport(UpstreamCondition::Ready, 5, 1), now);
    RC_ASSERT(tracker.AwaitsHealthCheck());
    tracker.HandleHealthCheck({ HealthStatus::Healthy, "u" });
    RC_ASSERT(tracker.AcceptsWork());
  });
}

/// The upstream may begin to leave while its health check is on the way back.
Test(upstream_tracker, passed_health_check_does_not_undo_a_leave)
{
  UpstreamTracker tracker("s");
  TimePoint now;
  tracker.HandleReport(MakeReport(UpstreamCondition::Ready, 1, 5), now);
  tracker.HandleReport(MakeReport(UpstreamCondition::Draining, 1, 6), now);
  tracker.HandleHealthCheck({ HealthStatus::Healthy, "u" });
  cr_assert_not(tracker.AcceptsWork());
  tracker.HandleReport(MakeReport(UpstreamCondition::Ready, 1, 4), now);
  cr_assert_not(tracker.AcceptsWork());
}
