/// Reports of an upstream come late, repeated and out of order; what was left stays left.
#include "support/Check.h"

#include "admission/Admission.h"

using namespace dandelion;

namespace {

UpstreamReport MakeReport(UpstreamCondition aCondition, int64_t aBorn, int64_t aSequence)
{
  UpstreamReport report;
  report.id = "u";
  report.service = "s";
  report.condition = aCondition;
  report.startTimeMs = aBorn;
  report.sequence = aSequence;
  report.slots = 6;
  return report;
}

} // namespace

Test(upstream_tracker, never_reopens_an_incarnation_that_leaves)
{
  CHECK_PROPERTY("reports of two incarnations in any order", [] {
    UpstreamTracker tracker("s");
    TimePoint now;
    int64_t newestLeft = -1;
    int64_t newestBorn = -1;
    int reports = *rc::gen::inRange(1, 40);
    for (int i = 0; i < reports; ++i) {
      now += milliseconds(100);
      auto condition = static_cast<UpstreamCondition>(*rc::gen::inRange(0, 3));
      int64_t born = *rc::gen::inRange<int64_t>(1, 4);
      ReportVerdict verdict =
        tracker.HandleReport(MakeReport(condition, born, *rc::gen::inRange<int64_t>(1, 30)), now);
      if (verdict != ReportVerdict::Stale) {
        newestBorn = std::max(newestBorn, born);
        newestLeft = condition == UpstreamCondition::Ready ? newestLeft : born;
      }
      RC_ASSERT(!tracker.AcceptsWork() || newestLeft < newestBorn);
    }
  });
}

Test(upstream_tracker, passes_over_reports_of_a_former_incarnation)
{
  UpstreamTracker tracker("s");
  TimePoint now;
  cr_assert(tracker.HandleReport(MakeReport(UpstreamCondition::Ready, 2, 1), now) ==
            ReportVerdict::Applied);
  cr_assert(tracker.HandleReport(MakeReport(UpstreamCondition::Gone, 1, 90), now) ==
            ReportVerdict::Stale);
  cr_assert(tracker.AcceptsWork());
  cr_assert(tracker.HandleReport(MakeReport(UpstreamCondition::Ready, 2, 2), now) ==
            ReportVerdict::Unchanged);
}

Test(upstream_tracker, takes_an_id_that_starts_anew_with_its_counts)
{
  UpstreamTracker tracker("s");
  TimePoint now;
  tracker.HandleReport(MakeReport(UpstreamCondition::Ready, 1, 70), now);
  tracker.HandleReport(MakeReport(UpstreamCondition::Draining, 1, 71), now);
  cr_assert_eq(tracker.Slots(), 0);
  tracker.HandleReport(MakeReport(UpstreamCondition::Ready, 2, 1), now);
  cr_assert_eq(tracker.Slots(), 6);
}

Test(upstream_tracker, believes_no_report_of_another_service)
{
  UpstreamTracker tracker("other");
  cr_assert(tracker.HandleReport(MakeReport(UpstreamCondition::Ready, 1, 1), TimePoint()) ==
            ReportVerdict::WrongService);
  cr_assert_not(tracker.AcceptsWork());
}

Test(upstream_tracker, wants_a_second_report_after_the_health_check_denied)
{
  // The node has restarted beside an upstream that said farewell before; a report that was under
  // way since must not open the gate.
  UpstreamTracker tracker("s");
  TimePoint now;
  tracker.HandleHealthCheck(HealthCheckResult{ false, "" });
  tracker.HandleReport(MakeReport(UpstreamCondition::Ready, 1, 5), now);
  cr_assert_not(tracker.AcceptsWork());
  tracker.HandleReport(MakeReport(UpstreamCondition::Ready, 1, 6), now + milliseconds(1500));
  cr_assert(tracker.AcceptsWork());
}
