#include "admission/UpstreamTracker.h"

#include <utility>

namespace dandelion {

namespace {

/// Slots of an upstream that is known to serve and has not said how many it has.
constexpr int64_t kSlotsBeforeFirstReport = 2;
/// Two reports this far apart were not sent by an upstream that has left in between.
constexpr Duration kReadyConfirmationTime = milliseconds(800);

} // namespace

UpstreamTracker::UpstreamTracker(std::string aService)
  : service_(std::move(aService))
{
}

bool UpstreamTracker::IsSameIncarnation(const UpstreamReport& aReport) const
{
  return aReport.id == id_ && (!aReport.startTimeMs.has_value() || !startTimeMs_.has_value() ||
                               *aReport.startTimeMs == *startTimeMs_);
}

bool UpstreamTracker::IsStale(const UpstreamReport& aReport) const
{
  if (!condition_.has_value() || sequence_ < 0) {
    return false;
  }
  if (IsSameIncarnation(aReport)) {
    // An incarnation that leaves does not come back, whatever its late reports say.
    bool isLeaving = *condition_ != UpstreamCondition::Ready;
    bool goesBack = aReport.condition < *condition_;
    bool isOld = aReport.sequence.has_value() && *aReport.sequence <= sequence_;
    return (isLeaving && goesBack) || isOld;
  }
  return aReport.startTimeMs.has_value() && startTimeMs_.has_value() &&
         *aReport.startTimeMs <= *startTimeMs_;
}

ReportVerdict UpstreamTracker::HandleReport(const UpstreamReport& aReport, TimePoint aNow)
{
  bool isFarewell = aReport.condition == UpstreamCondition::Gone;
  if (!isFarewell && aReport.service != service_) {
    return ReportVerdict::WrongService;
  }
  if (isFarewell && !id_.empty() && aReport.id != id_) {
    return ReportVerdict::Stale;
  }
  if (IsStale(aReport)) {
    return ReportVerdict::Stale;
  }
  bool acceptedWork = AcceptsWork();
  bool isSame = IsSameIncarnation(aReport) && condition_ == aReport.condition &&
                (isFarewell || slots_ == aReport.slots);
  if (isUnhealthy_ && aReport.condition == UpstreamCondition::Ready) {
    if (!firstReadyAfterUnhealthy_.has_value()) {
      firstReadyAfterUnhealthy_ = aNow;
    }
    isUnhealthy_ = aNow - *firstReadyAfterUnhealthy_ < kReadyConfirmationTime;
  }
  id_ = aReport.id;
  startTimeMs_ = aReport.startTimeMs.has_value() ? aReport.startTimeMs : startTimeMs_;
  sequence_ = aReport.sequence.value_or(sequence_ < 0 ? 0 : sequence_);
  condition_ = aReport.condition;
  if (!isFarewell) {
    slots_ = aReport.slots;
  }
  return isSame && acceptedWork == AcceptsWork() ? ReportVerdict::Unchanged
                                                 : ReportVerdict::Applied;
}

void UpstreamTracker::HandleHealthCheck(const HealthCheckResult& aAnswer)
{
  if (condition_.has_value()) {
    return;
  }
  if (!aAnswer.isHealthy) {
    isUnhealthy_ = true;
    return;
  }
  id_ = aAnswer.id;
  slots_ = kSlotsBeforeFirstReport;
  condition_ = UpstreamCondition::Ready;
}

bool UpstreamTracker::AcceptsWork() const
{
  return condition_ == UpstreamCondition::Ready && !isUnhealthy_;
}

} // namespace dandelion
